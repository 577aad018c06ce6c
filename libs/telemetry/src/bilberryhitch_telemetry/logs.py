"""Writes log events as JSON lines, to standard error by default."""

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
CREDENTIAL_WORDS = ("token", "authorization", "password", "secret", "credential")
# Fencing tokens are counters, not credentials, and are needed to trace a takeover.
NON_CREDENTIAL_FIELDS = frozenset(
    {"fencing_token", "former_fencing_token", "highest_token"}
)
# The burst admits all lines of a takeover of 300 workers with 3,000 runs. A higher
# steady rate would take more processor time than the work that is logged.
MAX_BURST_LINES = 4_000
MAX_LINES_PER_S = 400
# Any caller can send long values, which would make a line unreadable.
MAX_LOG_VALUE_CHARS = 2_000


def start_logs(
    level: Level,
    common: Mapping[str, object] | None = None,
    *,
    stream: TextIO | None = None,
) -> None:
    """Write events of ``level`` and above as JSON lines.

    Messages of libraries that use :mod:`logging` become ``library_message`` events.

    :param common: fields that are added to every line, such as the name of the host
    :param stream: output for the lines; standard error by default
    """
    output = stream if stream is not None else sys.stderr
    common_fields = _sanitise_fields(common or {})

    limiter = LineRateLimiter()

    def write(message: "Message") -> None:
        dropped = limiter.acquire(time.monotonic())
        if dropped is None:
            return
        text = _encode_line(message.record, common_fields) + "\n"
        if dropped:
            text = (
                _encode_dropped_lines(message.record, common_fields, dropped)
                + "\n"
                + text
            )
        try:
            output.write(text)
            output.flush()
        except BlockingIOError:
            # The reader of the output is too slow: drop the line rather than block.
            limiter.count_dropped()

    logger.remove()
    logger.add(write, level=level, format="{message}", catch=True)
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)


class LineRateLimiter:
    """A token bucket that limits log lines and counts the dropped ones."""

    def __init__(self) -> None:
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def acquire(self, now: float) -> int | None:
        """Take a token for one line.

        :param now: time on the monotonic clock in seconds
        :returns: the number of lines dropped since the last one written, or None if
            this line must be dropped
        """
        refill = max(0.0, now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(float(MAX_BURST_LINES), self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return None
        self._tokens -= 1
        dropped, self._dropped = self._dropped, 0
        return dropped

    def count_dropped(self) -> None:
        """Count a line that was dropped because it could not be written."""
        self._dropped += 1


def log(event: Event, **fields: object) -> None:
    """Log an event with its fields.

    The values of fields whose names suggest credentials are redacted.
    """
    logger.bind(event=event, fields=fields).log(event.level, event.name)


def _encode_line(record: Any, common_fields: Mapping[str, Any]) -> str:
    extra = record["extra"]
    event: Event = extra.get("event", LIBRARY_MESSAGE)
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "number": event.number,
        "event": event.name,
        **common_fields,
        **_sanitise_fields(extra.get("fields", {"message": record["message"]})),
    }
    return msgspec.json.encode(line).decode()


def _encode_dropped_lines(
    record: Any, common_fields: Mapping[str, Any], count: int
) -> str:
    fields = {"event": LINES_DROPPED, "fields": {"count": count}}
    return _encode_line({**record, "extra": fields}, common_fields)


def _sanitise_fields(fields: Mapping[str, object]) -> dict[str, Any]:
    return {name: _sanitise(name, value) for name, value in fields.items()}


def _sanitise(name: str, value: object) -> Any:
    lower_name = name.lower()
    if lower_name not in NON_CREDENTIAL_FIELDS and any(
        word in lower_name for word in CREDENTIAL_WORDS
    ):
        return REDACTED
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, Mapping):
        return {str(key): _sanitise(str(key), item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [_sanitise(name, item) for item in value]
    if isinstance(value, BaseException):
        return _format_error(value)
    return str(value)[:MAX_LOG_VALUE_CHARS]


def _format_error(error: BaseException) -> str:
    """Return the class and text of an error and the location that raised it."""
    frames = traceback.extract_tb(error.__traceback__)
    location = f" at {frames[-1].name}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__}: {error}{location}"[:MAX_LOG_VALUE_CHARS]


class _LibraryHandler(logging.Handler):
    """Converts messages of :mod:`logging` to ``library_message`` events."""

    def emit(self, record: logging.LogRecord) -> None:
        fields = {"library": record.name, "message": record.getMessage()}
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = _format_error(record.exc_info[1])
        level = record.levelname if record.levelname in _LEVELS else "WARNING"
        logger.bind(event=LIBRARY_MESSAGE, fields=fields).log(
            level, LIBRARY_MESSAGE.name
        )


_LEVELS = frozenset({"DEBUG", "INFO", "WARNING", "ERROR"})
