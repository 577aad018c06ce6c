"""Stores speeds of machines for later planners, and reports them to operators.

A row holds up to 500 machines: logarithm of the speed and its error, in hundredths.
"""

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
from bilberryhitch_jobs import RowWrite, Store, StoreRow, read_json_row
from bilberryhitch_telemetry import events, log
from bilberryhitch_telemetry.metrics import MACHINE_SPEEDS

from .leader_election import CALL_TIMEOUT_S
from .speeds import MachineSpeeds, machine_name
from .workers import Worker

SPEEDS_TABLE = "speeds"
VERSION = 1
MACHINES_PER_ROW = 500
# Far more rows than the machines of any deployment take.
MAX_ROWS = 100
ROW_KEYS = frozenset(str(number) for number in range(MAX_ROWS))
# The platform takes rows of 64 KB; names are of 200 bytes at most.
MAX_ROW_BYTES = 60_000
# Most bytes of an entry besides the machine's name, and of a row besides its entries.
ENTRY_BYTES = 14
ROW_BYTES = 100
WRITE_PERIOD_S = 5.0
# A speed that is known less well is not worth a row.
MAX_STORED_ERROR = 0.25
# Values beyond these were not written by a planner.
MAX_HUNDREDTHS = 200
# A stored speed has changed if it differs by so many of its errors, or if its error
# has fallen to this share.
CHANGED_ERRORS = 2.0
IMPROVED_SHARE = 0.7
# A machine without a worker is forgotten after this time.
UNUSED_S = 600.0
# Logarithm of the speed from which on a machine counts as fast; its negative is slow.
CLASS_LIMIT = 0.12
# Share of that limit by which a speed must pass it, so that classes do not alternate.
CLASS_MARGIN = 0.25
MAX_CLASS_ERROR = 0.1
MAX_LOGGED = 50


class StoredSpeed(NamedTuple):
    """Lasting speed of a machine.

    :param mean: its logarithm, in hundredths; 0 for the average machine
    :param error: standard deviation of the logarithm, in hundredths
    """

    mean: int
    error: int


class _SpeedRow(msgspec.Struct):
    version: int
    unix_s: float
    speeds: dict[str, tuple[int, int]]


async def read_speeds(store: Store) -> tuple[StoreRow, ...]:
    """Return the rows that earlier planners have stored.

    :raises StoreRefused, StoreUnknown: if the store does not answer
    """
    snapshot = await store.read(SPEEDS_TABLE, timeout_s=CALL_TIMEOUT_S)
    return snapshot.rows


class SpeedRows:
    """Stored speeds during one lease term.

    :param put: queues a row for the next transaction
    """

    def __init__(self, speeds: MachineSpeeds, put: Callable[[RowWrite], None]) -> None:
        self._speeds = speeds
        self._put = put
        # What each row holds, and the row of each machine.
        self._rows: list[dict[str, StoredSpeed]] = []
        self._sizes: list[int] = []
        self._row_of: dict[str, int] = {}
        self._classes: dict[str, str] = {}
        self._unused_since: dict[str, float] = {}
        self._checked_at: float | None = None

    def load(self, rows: Iterable[StoreRow], unix_s: float) -> None:
        """Load the rows of earlier planners; one that is unreadable is left out.

        :param unix_s: Unix time in seconds, for the age in the log
        """
        documents = {
            number: document
            for row in rows
            if not row.removed
            and (number := _row_number(row)) is not None
            and (document := _read_row(row)) is not None
        }
        for number, document in sorted(
            documents.items(), key=lambda each: each[1].unix_s
        ):
            for name, (mean, error) in document.speeds.items():
                if _valid(name, mean, error):
                    self._forget_stored(name)
                    self._keep(name, StoredSpeed(mean, error), number)
                    self._speeds.load(name, mean / 100, error / 100)
        if self._row_of:
            newest_s = max(document.unix_s for document in documents.values())
            age_s = round(unix_s - newest_s, 1)
            log(events.SPEEDS_LOADED, machines=len(self._row_of), age_s=age_s)

    def check(self, workers: Iterable[Worker], now: float, unix_s: float) -> None:
        """Store and report what has changed, at most every few seconds.

        :param workers: all workers, whose machines are in use
        :param now: monotonic time in seconds
        """
        if self._checked_at is None:
            self._checked_at = now
        if now - self._checked_at < WRITE_PERIOD_S:
            return
        self._checked_at = now
        self._forget_unused({machine_name(worker) for worker in workers}, now)
        self._report()
        for number in sorted(self._update_rows()):
            document = _SpeedRow(VERSION, round(unix_s, 1), dict(self._rows[number]))
            value = msgspec.json.encode(document, order="sorted")
            self._put(RowWrite(SPEEDS_TABLE, str(number), value))

    def _update_rows(self) -> set[int]:
        """Update the rows; return the numbers of those to be written."""
        changed: set[int] = set()
        for name, machine in self._speeds.machines.items():
            if machine.error > MAX_STORED_ERROR:
                continue
            mean = round(100 * self._speeds.relative(machine))
            speed = StoredSpeed(mean, max(1, round(100 * machine.error)))
            number = self._row_of.get(name)
            if number is None:
                number = self._find_row(name)
                self._keep(name, speed, number)
            elif _differs(self._rows[number][name], speed):
                self._rows[number][name] = speed
            else:
                continue
            changed.add(number)
        return changed

    def _keep(self, name: str, speed: StoredSpeed, number: int) -> None:
        """Add a machine to a row."""
        while len(self._rows) <= number:
            self._rows.append({})
            self._sizes.append(ROW_BYTES)
        self._row_of[name] = number
        self._rows[number][name] = speed
        self._sizes[number] += _entry_bytes(name)

    def _forget_stored(self, name: str) -> None:
        """Remove a machine from its row, which is not written for that."""
        number = self._row_of.pop(name, None)
        if number is not None:
            del self._rows[number][name]
            self._sizes[number] -= _entry_bytes(name)

    def _find_row(self, name: str) -> int:
        """Return the number of a row that has room for a machine."""
        needed = _entry_bytes(name)
        for number, row in enumerate(self._rows):
            fits = self._sizes[number] + needed <= MAX_ROW_BYTES
            if fits and len(row) < MACHINES_PER_ROW:
                return number
        return len(self._rows)

    def _forget_unused(self, used: set[str], now: float) -> None:
        machines = self._speeds.machines
        self._unused_since = {
            name: self._unused_since.get(name, now)
            for name in machines
            if name not in used
        }
        for name, since in self._unused_since.items():
            if now - since < UNUSED_S:
                continue
            del machines[name]
            self._classes.pop(name, None)
            self._forget_stored(name)

    def _report(self) -> None:
        """Log machines whose class is first known or has changed; count classes."""
        changed: dict[str, float] = {}
        counts = dict.fromkeys(("slow", "average", "fast", "unknown", "disturbed"), 0)
        for name, machine in self._speeds.machines.items():
            known = self._classes.get(name)
            mean = self._speeds.relative(machine)
            if machine.error <= MAX_CLASS_ERROR:
                found = _class_of(mean, known)
                if found != known and not (found == "average" and known is None):
                    changed[name] = round(math.exp(mean), 2)
                self._classes[name] = known = found
            counts["disturbed" if machine.disturbance else known or "unknown"] += 1
        for name, count in counts.items():
            MACHINE_SPEEDS.set(count, {"speed": name})
        if changed:
            shown = dict(sorted(changed.items())[:MAX_LOGGED])
            log(
                events.MACHINE_SPEEDS_CHANGED,
                machines=shown,
                more=len(changed) - len(shown),
                **counts,
            )


def _class_of(mean: float, known: str | None) -> str:
    """Return the class of a speed: ``slow``, ``average`` or ``fast``.

    :param mean: logarithm of the speed
    :param known: its class so far
    """
    margin = 0.0 if known is None else CLASS_MARGIN * CLASS_LIMIT
    slow = -CLASS_LIMIT + (margin if known == "slow" else -margin)
    fast = CLASS_LIMIT + (-margin if known == "fast" else margin)
    if mean < slow:
        return "slow"
    return "fast" if mean > fast else "average"


def _differs(stored: StoredSpeed, speed: StoredSpeed) -> bool:
    return (
        abs(speed.mean - stored.mean) > CHANGED_ERRORS * stored.error
        or speed.error < IMPROVED_SHARE * stored.error
    )


def _row_number(row: StoreRow) -> int | None:
    """Return the number of a row; None, with a log line, if it has none."""
    if row.key in ROW_KEYS:
        return int(row.key)
    log(events.ROW_UNREADABLE, key=row.key, error="unknown row of speeds")
    return None


def _read_row(row: StoreRow) -> _SpeedRow | None:
    """Return a row's document; None, with a log line, if it is of no use."""
    if len(row.value) > MAX_ROW_BYTES:
        log(events.ROW_UNREADABLE, key=row.key, error="oversized row of speeds")
        return None
    document = read_json_row(row, _SpeedRow)
    if document is not None and document.version != VERSION:
        log(events.ROW_UNREADABLE, key=row.key, error="unknown version of speeds")
        return None
    return document


def _entry_bytes(name: str) -> int:
    return len(msgspec.json.encode(name)) + ENTRY_BYTES


def _valid(name: str, mean: int, error: int) -> bool:
    return bool(name) and abs(mean) <= MAX_HUNDREDTHS and 0 < error <= MAX_HUNDREDTHS
