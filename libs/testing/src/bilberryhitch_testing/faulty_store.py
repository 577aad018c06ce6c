"""A partitioned table store in memory whose calls may fail or take effect late."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, TypeVar

from bilberryhitch_jobs import ExpectedRevision, RowRemoval, RowSnapshot, RowWrite
from bilberryhitch_jobs.errors import (
    CommitConflict,
    HistoryLost,
    StoreRefused,
    StoreUnknown,
)
from bilberryhitch_jobs.rows import StoreRow

from .simulated_process import ProcessLoop

T = TypeVar("T")

ALL_HOSTS = "*"
WATCH_MARGIN_S = 0.8


class StoreOutage(NamedTuple):
    """A time in which the store does not serve some calls.

    :param host: host whose calls fail, or ``ALL_HOSTS``
    :param silent: calls are not answered; otherwise they are refused
    :param writes_only: reads and watches are served
    """

    host: str
    silent: bool
    writes_only: bool


class StoreFaults(NamedTuple):
    """Probabilities and times of faults of single calls, in seconds.

    :param lost_answer: share of the transactions that take effect without an answer
    :param late: share of the transactions without an answer that are carried out
        later, if their condition holds then
    :param late_s: longest delay of these
    :param slow_read: share of the reads whose answer is under way for ``slow_read_s``
    :param newest_revision: the answer to a transaction names the revision that is the
        newest when it is sent
    """

    lost_answer: float = 0.02
    late: float = 0.5
    late_s: float = 4.0
    slow_read: float = 0.02
    slow_read_s: float = 1.4
    newest_revision: bool = False


class PartitionedStore:
    """Rows of a store by table, partition and key, with their history.

    :ivar outages: outages that go on now
    :ivar faults: faults of single calls
    """

    def __init__(
        self, loop: ProcessLoop, chance: random.Random, faults: StoreFaults
    ) -> None:
        self.loop = loop
        self.chance = chance
        self.faults = faults
        self.outages: list[StoreOutage] = []
        self.revision = 0
        self._rows: dict[tuple[str, str, str], StoreRow] = {}
        self._history: list[StoreRow] = []
        self._forgotten = 0
        self._watches: list[Callable[[], bool]] = []

    def client(self, host: str, *, late: bool = True) -> "StoreCalls":
        """Return the calls of one host.

        :param late: whether transactions without an answer may be carried out later
        """
        return StoreCalls(self, host, late=late)

    def outage_for(self, host: str, *, write: bool) -> StoreOutage | None:
        """Return an outage that a call meets."""
        for outage in self.outages:
            hit = outage.host in (ALL_HOSTS, host)
            if hit and (write or not outage.writes_only):
                return outage
        return None

    def forget_history(self) -> None:
        """Drop the history, so that watches must read their tables again."""
        self._forgotten = self.revision

    def rows(self, table: str, partition: str = "") -> tuple[StoreRow, ...]:
        """Return the rows of one partition in order of their keys."""
        found = [
            row for key, row in self._rows.items() if key[:2] == (table, partition)
        ]
        return tuple(sorted(found, key=lambda row: row.key))

    def changes(self, table: str, after: int) -> tuple[StoreRow, ...]:
        """Return the changes of a table since a revision.

        :raises HistoryLost: if they are no longer retained
        """
        if after < self._forgotten:
            raise HistoryLost(table, after)
        recent = []
        for row in reversed(self._history):
            if row.revision <= after:
                break
            if row.table == table:
                recent.append(row)
        return tuple(reversed(recent))

    def apply(
        self,
        expected: Sequence[ExpectedRevision],
        writes: Sequence[RowWrite],
        removals: Sequence[RowRemoval],
        partition: str,
    ) -> int:
        """Apply a transaction and return its revision.

        :raises CommitConflict: if a row does not have its expected revision
        """
        present = [
            self._rows.get((each.table, partition, each.key)) for each in expected
        ]
        for each, row in zip(expected, present, strict=True):
            if (row.revision if row else 0) != each.revision:
                raise CommitConflict(tuple(row for row in present if row))
        self.revision += 1
        for write in writes:
            row = StoreRow(write.table, write.key, write.value, self.revision)
            self._rows[write.table, partition, write.key] = row
            self._history.append(row)
        for removal in removals:
            if self._rows.pop((removal.table, partition, removal.key), None):
                self._history.append(
                    StoreRow(removal.table, removal.key, b"", self.revision, True)
                )
        self._watches = [watch for watch in self._watches if not watch()]
        return self.revision

    def add_watch(self, watch: Callable[[], bool]) -> None:
        """Call a function after each transaction until it returns True."""
        self._watches.append(watch)


class StoreCalls:
    """The ``Store`` interface as one host reaches it.

    Calls that have been sent are carried out also while their process is halted.
    """

    def __init__(self, store: PartitionedStore, host: str, *, late: bool) -> None:
        self._store = store
        self._host = host
        self._late = store.faults.late if late else 0.0

    async def read(
        self,
        table: str,
        first: str = "",
        last: str = "",
        *,
        partition: str = "",
        timeout_s: float,
    ) -> RowSnapshot:
        """Return all rows of a partition."""
        store = self._store
        await self._meet_outage("read", timeout_s, write=False)
        delay_s = store.chance.uniform(0.001, 0.02)
        if store.chance.random() < store.faults.slow_read:
            delay_s = min(store.faults.slow_read_s, timeout_s - 0.05)

        def look() -> RowSnapshot:
            return RowSnapshot(store.rows(table, partition), store.revision)

        answer: asyncio.Future[RowSnapshot] = store.loop.create_future()
        return await self._exchange("read", look, answer, delay_s, timeout_s)

    async def watch(self, table: str, after: int, wait_s: float) -> RowSnapshot:
        """Return the rows that changed since a revision, once there are any."""
        store = self._store
        timeout_s = wait_s + WATCH_MARGIN_S
        await self._meet_outage("watch", timeout_s, write=False)
        answer: asyncio.Future[RowSnapshot] = store.loop.create_future()

        def look(*, due: bool = False) -> bool:
            if answer.done():
                return True
            try:
                changed = store.changes(table, after)
            except HistoryLost as error:
                self._answer(answer, error)
                return True
            if changed or due:
                self._answer(answer, RowSnapshot(changed, store.revision))
            return bool(changed or due)

        def begin() -> None:
            if not look():
                store.add_watch(look)

        store.loop.call_outside(0.002, begin)
        store.loop.call_outside(max(wait_s, 0.002), lambda: look(due=True))
        return await self._wait("watch", answer, timeout_s)

    async def commit(
        self,
        expected: Sequence[ExpectedRevision],
        writes: Sequence[RowWrite],
        removals: Sequence[RowRemoval] = (),
        *,
        partition: str = "",
        timeout_s: float,
    ) -> int:
        """Apply a transaction and return its revision."""
        store, faults = self._store, self._store.faults
        outage = store.outage_for(self._host, write=True)

        def apply() -> int:
            return store.apply(expected, tuple(writes), tuple(removals), partition)

        if outage is not None and outage.silent:
            if store.chance.random() < self._late:
                late_s = store.chance.uniform(0.01, faults.late_s)
                store.loop.call_outside(late_s, _ignoring_conflicts(apply))
            await asyncio.sleep(timeout_s)
            raise StoreUnknown("commit", "silent")
        await self._meet_outage("commit", timeout_s, write=True)
        if store.chance.random() < faults.lost_answer:
            late = store.chance.random() < self._late
            late_s = store.chance.uniform(0.01, faults.late_s) if late else 0.005
            store.loop.call_outside(late_s, _ignoring_conflicts(apply))
            await asyncio.sleep(timeout_s)
            raise StoreUnknown("commit", "answer lost")
        delay_s = store.chance.uniform(0.002, 0.03)
        answer: asyncio.Future[int] = store.loop.create_future()
        return await self._exchange("commit", apply, answer, delay_s, timeout_s)

    async def _meet_outage(self, call: str, timeout_s: float, *, write: bool) -> None:
        outage = self._store.outage_for(self._host, write=write)
        if outage is None:
            return
        if outage.silent:
            await asyncio.sleep(timeout_s)
            raise StoreUnknown(call, "silent")
        await asyncio.sleep(0.005)
        raise StoreRefused(call, "503")

    async def _exchange(
        self,
        call: str,
        action: Callable[[], T],
        answer: "asyncio.Future[T]",
        answer_s: float,
        timeout_s: float,
    ) -> T:
        """Carry out an action in the store and return its result after a delay."""
        store = self._store

        def carry_out() -> None:
            result: Any
            try:
                result = action()
            except CommitConflict as conflict:
                result = conflict
            store.loop.call_outside(answer_s, send, result)

        def send(result: Any) -> None:
            if store.faults.newest_revision and isinstance(result, int):
                result = store.revision
            self._answer(answer, result)

        store.loop.call_outside(0.002, carry_out)
        return await self._wait(call, answer, timeout_s)

    def _answer(self, answer: "asyncio.Future[Any]", result: Any) -> None:
        outage = self._store.outage_for(self._host, write=False)
        if answer.done() or (outage is not None and outage.silent):
            return
        if isinstance(result, Exception):
            answer.set_exception(result)
        else:
            answer.set_result(result)

    async def _wait(
        self, call: str, answer: "asyncio.Future[T]", timeout_s: float
    ) -> T:
        try:
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError as error:
            raise StoreUnknown(call, "no answer") from error


def _ignoring_conflicts(apply: Callable[[], int]) -> Callable[[], None]:
    def carry_out() -> None:
        try:
            apply()
        except CommitConflict:
            return

    return carry_out
