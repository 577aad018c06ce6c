"""Log events as JSON lines on standard error."""

import logging
import sys
import time
import traceback
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, TextIO

import msgspec
from loguru import logger

from .events import LIBRARY_MESSAGE, LINES_DROPPED, Event, Level

if TYPE_CHECKING:
    from loguru import Message

REDACTED = "[redacted]"
SECRET_WORDS = ("token", "authorization", "password", "secret", "credential")
# Fencing tokens are plain counters and are needed to follow a takeover.
PUBLIC_FIELDS = frozenset({"fencing_token", "highest_token"})
# A takeover of 300 workers with 3,000 runs is written whole; a steady rate above
# this would cost more processor time than the work it tells of.
BURST_LINES = 4_000
LINES_PER_S = 400
# A longer value makes one line unreadable and can be sent by any caller.
MAX_TEXT = 2_000


def start_logs(
    level: Level,
    common: Mapping[str, object] | None = None,
    *,
    stream: TextIO | None = None,
) -> None:
    """Write events of ``level`` and above as JSON lines.

    Messages of libraries that use :mod:`logging` become
    ``library_message`` events.

    :param common: fields of every line, such as the host's name
    :param stream: where lines go; standard error by default
    """
    target = stream if stream is not None else sys.stderr
    shared = _plain(common or {})

    budget = LineBudget()

    def write(message: "Message") -> None:
        dropped = budget.take(time.monotonic())
        if dropped is None:
            return
        text = _line(message.record, shared) + "\n"
        if dropped:
            text = _dropped_line(message.record, shared, dropped) + "\n" + text
        try:
            target.write(text)
            target.flush()
        except BlockingIOError:
            # The reader is behind: losing a line is better than waiting for it.
            budget.lose()

    logger.remove()
    logger.add(write, level=level, format="{message}", catch=True)
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)


class LineBudget:
    """Bounds how many lines are written; the rest is counted."""

    def __init__(self) -> None:
        self._left = float(BURST_LINES)
        self._at = time.monotonic()
        self._dropped = 0

    def take(self, now: float) -> int | None:
        """Return the lines dropped since the last one written, None to drop this."""
        refill = max(0.0, now - self._at) * LINES_PER_S
        self._left = min(float(BURST_LINES), self._left + refill)
        self._at = now
        if self._left < 1:
            self._dropped += 1
            return None
        self._left -= 1
        dropped, self._dropped = self._dropped, 0
        return dropped

    def lose(self) -> None:
        """Count a line that could not be written."""
        self._dropped += 1


def log(event: Event, **fields: object) -> None:
    """Write one event with its fields.

    Fields whose name suggests a credential are replaced before they are written.
    """
    logger.bind(event=event, fields=fields).log(event.level, event.name)


def _line(record: Any, shared: Mapping[str, Any]) -> str:
    extra = record["extra"]
    event: Event = extra.get("event", LIBRARY_MESSAGE)
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "number": event.number,
        "event": event.name,
        **shared,
        **_plain(extra.get("fields", {"message": record["message"]})),
    }
    return msgspec.json.encode(line).decode()


def _dropped_line(record: Any, shared: Mapping[str, Any], count: int) -> str:
    fields = {"event": LINES_DROPPED, "fields": {"count": count}}
    return _line({**record, "extra": fields}, shared)


def _plain(fields: Mapping[str, object]) -> dict[str, Any]:
    return {name: _safe(name, value) for name, value in fields.items()}


def _safe(name: str, value: object) -> Any:
    lowered = name.lower()
    if lowered not in PUBLIC_FIELDS and any(word in lowered for word in SECRET_WORDS):
        return REDACTED
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, Mapping):
        return {str(key): _safe(str(key), item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [_safe(name, item) for item in value]
    if isinstance(value, BaseException):
        return _describe(value)
    return str(value)[:MAX_TEXT]


def _describe(error: BaseException) -> str:
    """Return the error with the place that raised it."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f" at {frames[-1].name}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__}: {error}{place}"[:MAX_TEXT]


class _LibraryHandler(logging.Handler):
    """Turns messages of :mod:`logging` into events."""

    def emit(self, record: logging.LogRecord) -> None:
        fields = {"library": record.name, "message": record.getMessage()}
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = _describe(record.exc_info[1])
        level = record.levelname if record.levelname in _LEVELS else "WARNING"
        logger.bind(event=LIBRARY_MESSAGE, fields=fields).log(
            level, LIBRARY_MESSAGE.name
        )


_LEVELS = frozenset({"DEBUG", "INFO", "WARNING", "ERROR"})
