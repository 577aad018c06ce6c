"""A store in memory for tests of the leader lease and the state writer."""

import asyncio
from collections.abc import Sequence

from bilberryhitch_jobs import ExpectedRevision, RowRemoval, RowSnapshot, RowWrite
from bilberryhitch_jobs.errors import CommitConflict, StoreUnknown
from bilberryhitch_jobs.rows import StoreRow
from bilberryhitch_planner.leader_election import (
    LEASE_KEY,
    LEASE_TABLE,
    LeaseRow,
    decode_lease,
)


class MemoryStore:
    """A store with conditional transactions whose replies may be lost.

    :ivar rows: rows by table and key
    :ivar revision: revision of the last transaction
    :ivar lose_replies: number of further transactions that take effect unanswered
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoreRow] = {}
        self.revision = 0
        self.lose_replies = 0

    async def read(
        self,
        table: str,
        first: str = "",
        last: str = "",
        *,
        partition: str = "",
        timeout_s: float,
    ) -> RowSnapshot:
        """Return all rows of a table."""
        rows = tuple(row for key, row in sorted(self.rows.items()) if key[0] == table)
        return RowSnapshot(rows, self.revision)

    async def watch(self, table: str, after: int, wait_s: float) -> RowSnapshot:
        """Return the rows that changed since a revision, once there are any."""
        waited = 0.0
        while True:
            rows = [row for row in self.rows.values() if row.table == table]
            changed = tuple(row for row in rows if row.revision > after)
            if changed or waited >= wait_s:
                return RowSnapshot(changed, self.revision)
            await asyncio.sleep(0.05)
            waited += 0.05

    async def commit(
        self,
        expected: Sequence[ExpectedRevision],
        writes: Sequence[RowWrite],
        removals: Sequence[RowRemoval] = (),
        *,
        partition: str = "",
        timeout_s: float,
    ) -> int:
        """Apply a transaction and return its revision.

        :raises CommitConflict: if a row does not have its expected revision
        :raises StoreUnknown: if the reply is to be lost
        """
        for each in expected:
            row = self.rows.get((each.table, each.key))
            if (row.revision if row else 0) != each.revision:
                raise CommitConflict((row,) if row else ())
        self.revision += 1
        for write in writes:
            key = (write.table, write.key)
            self.rows[key] = StoreRow(
                write.table, write.key, write.value, self.revision
            )
        for removal in removals:
            self.rows.pop((removal.table, removal.key), None)
        if self.lose_replies:
            self.lose_replies -= 1
            raise StoreUnknown("commit", "lost")
        return self.revision

    def lease(self) -> LeaseRow:
        """Return the decoded lease row."""
        return decode_lease(self.rows.get((LEASE_TABLE, LEASE_KEY)))

    def lease_revision(self) -> int:
        """Return the revision of the lease row."""
        return self.rows[LEASE_TABLE, LEASE_KEY].revision
