"""A store in memory that is silent for some time."""

import asyncio
from collections.abc import Sequence

from bilberryhitch_jobs import ExpectedRevision, RowRemoval, RowSnapshot, RowWrite
from bilberryhitch_jobs.errors import StoreUnknown
from bilberryhitch_jobs.rows import StoreRow

from .memory_store import MemoryStore


class SilentStore(MemoryStore):
    """A store that answers no call until a time, and keeps removed rows in its feed.

    :ivar silent_until: loop time in seconds; calls fail before it
    :ivar mute_until: loop time in seconds; transactions fail before it
    """

    def __init__(self) -> None:
        super().__init__()
        self.silent_until = self.mute_until = 0.0
        self._removed: dict[tuple[str, str], StoreRow] = {}

    @property
    def _silent(self) -> bool:
        return asyncio.get_running_loop().time() < self.silent_until

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as another client, also during a silence."""
        self.revision += 1
        self._removed.pop((table, key), None)
        self.rows[table, key] = StoreRow(table, key, value, self.revision)

    def drop(self, table: str, key: str) -> None:
        """Remove a row as another client, also during a silence."""
        if self.rows.pop((table, key), None) is None:
            return
        self.revision += 1
        self._removed[table, key] = StoreRow(table, key, b"", self.revision, True)

    async def read(
        self,
        table: str,
        first: str = "",
        last: str = "",
        *,
        partition: str = "",
        timeout_s: float,
    ) -> RowSnapshot:
        """Return all rows of a table, or only those of a job partition."""
        if self._silent:
            await asyncio.sleep(timeout_s)
            raise StoreUnknown("read", "silent")
        snapshot = await super().read(table, timeout_s=timeout_s)
        if not partition:
            return snapshot
        rows = tuple(
            row for row in snapshot.rows if row.key.split(".")[0][-1:] == partition
        )
        return RowSnapshot(rows, snapshot.revision)

    async def watch(self, table: str, after: int, wait_s: float) -> RowSnapshot:
        """Return the rows that changed or were removed, once there are any."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            if self._silent:
                await asyncio.sleep(wait_s)
                raise StoreUnknown("watch", "silent")
            rows = [*self.rows.values(), *self._removed.values()]
            changed = [row for row in rows if row.table == table]
            changed = [row for row in changed if row.revision > after]
            if changed or loop.time() >= until:
                changed.sort(key=lambda row: row.revision)
                return RowSnapshot(tuple(changed), self.revision)
            await asyncio.sleep(0.05)

    async def commit(
        self,
        expected: Sequence[ExpectedRevision],
        writes: Sequence[RowWrite],
        removals: Sequence[RowRemoval] = (),
        *,
        partition: str = "",
        timeout_s: float,
    ) -> int:
        """Apply a transaction after 5 ms; while silent nothing is applied."""
        await asyncio.sleep(0.005)
        if self._silent or asyncio.get_running_loop().time() < self.mute_until:
            await asyncio.sleep(timeout_s)
            raise StoreUnknown("commit", "silent")
        return await super().commit(expected, writes, removals, timeout_s=timeout_s)
