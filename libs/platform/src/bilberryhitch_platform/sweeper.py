"""Deletes rows of ``operations/`` once they are older than an hour.

Rows carry no time stamp: a writer's clock may be wrong, and an early deletion
would let a repeated transaction apply twice. Age is measured in store
revisions instead. The row ``sweeps/operations`` lists the store revisions at
the last marks; a mark is added only by a process that has seen that row
unchanged for ``MARK_INTERVAL_S`` on its own monotonic clock. A row written
before the oldest of thirteen marks is therefore at least an hour old.
"""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import msgspec
from bilberryhitch_model.errors import StoreError

from .commit import OPERATIONS_PREFIX, commit
from .interfaces import Delete, Expect, Put, Row, TableService

SWEEPS_KEY = "sweeps/operations"
MARK_INTERVAL_S = 300.0
MARKS_PER_HOUR = 12
POLL_S = 60.0
ROWS_PER_DELETION = 200


class OperationsSweeper:
    """One of any number of sweepers; they divide the work by compare-and-set.

    :param new_id: source of operation ids
    :ivar deleted: rows deleted by this process
    """

    def __init__(
        self,
        tables: TableService,
        *,
        new_id: Callable[[], str],
        poll_s: float = POLL_S,
    ) -> None:
        self._tables = tables
        self._new_id = new_id
        self._poll_s = poll_s
        self._seen_revision = -1
        self._seen_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self.deleted = 0

    async def start(self) -> None:
        """Start sweeping in the background."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop sweeping; a deletion under way may still apply."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    async def sweep(self) -> None:
        """Look at the marks once and do what is due.

        :raises StoreError: the store failed; the next sweep goes on from there
        """
        row = await self._tables.get(SWEEPS_KEY)
        if not self._mark_is_due(row):
            return
        page = await self._tables.scan(SWEEPS_KEY, limit=1)
        marks = [*_marks(row), page.revision][-(MARKS_PER_HOUR + 1) :]
        expect = Expect(SWEEPS_KEY, 0 if row is None else row.revision)
        put = Put(SWEEPS_KEY, msgspec.json.encode(marks))
        result = await commit(self._tables, [expect], [put], self._new_id())
        if result.is_ok() and len(marks) > MARKS_PER_HOUR:
            await self._delete_up_to(marks[0])

    async def _run(self) -> None:
        while True:
            # The marks are in the store, so the next poll resumes a failed sweep.
            with contextlib.suppress(StoreError):
                await self.sweep()
            await asyncio.sleep(self._poll_s)

    def _mark_is_due(self, row: Row | None) -> bool:
        now_s = asyncio.get_running_loop().time()
        revision = 0 if row is None else row.revision
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._seen_at = now_s
        return revision == 0 or now_s - self._seen_at >= MARK_INTERVAL_S

    async def _delete_up_to(self, revision: int) -> None:
        after = ""
        while True:
            page = await self._tables.scan(
                OPERATIONS_PREFIX, after=after, limit=ROWS_PER_DELETION
            )
            await self._delete([row for row in page.rows if row.revision <= revision])
            if not page.more:
                return
            after = page.rows[-1].key

    async def _delete(self, rows: Sequence[Row]) -> None:
        if not rows:
            return
        result = await commit(
            self._tables,
            [Expect(row.key, row.revision) for row in rows],
            [Delete(row.key) for row in rows],
            self._new_id(),
        )
        if result.is_ok():
            self.deleted += len(rows)


def _marks(row: Row | None) -> list[int]:
    return [] if row is None else msgspec.json.decode(row.value, type=list[int])
