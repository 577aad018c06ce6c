"""Deletes rows under ``operations/`` once they are older than an hour.

The rows hold no timestamp, as the clock of a writer may be wrong and a row that is
deleted too early lets a retried transaction be applied twice. Age is derived from
revisions of the store instead: the row ``sweeps/operations`` lists the revisions at
the last marks, and a process adds a mark only after it has seen that row unchanged
for ``MARK_INTERVAL_S`` on its monotonic clock. A row written before the oldest of
thirteen marks is therefore at least an hour old.
"""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import msgspec
from bilberryhitch_model.errors import StoreError

from .commit import OPERATIONS_PREFIX, commit
from .interfaces import Delete, Expect, Put, Row, TableService

MARKS_KEY = "sweeps/operations"
MARK_INTERVAL_S = 300.0
MARKS_PER_HOUR = 12
SWEEP_INTERVAL_S = 60.0
MAX_ROWS_PER_DELETION = 200


class OperationsSweeper:
    """Sweeps expired operation rows in the background.

    Any number of processes may run one; conditional transactions keep two of them
    from adding the same mark.

    :param new_id: generates the identifiers of operations
    :ivar deleted: number of rows deleted by this process
    """

    def __init__(
        self,
        tables: TableService,
        *,
        new_id: Callable[[], str],
        sweep_interval_s: float = SWEEP_INTERVAL_S,
    ) -> None:
        self._tables = tables
        self._new_id = new_id
        self._sweep_interval_s = sweep_interval_s
        self._seen_revision = -1
        self._seen_since_s = 0.0
        self._task: asyncio.Task[None] | None = None
        self.deleted = 0

    async def start(self) -> None:
        """Start the background task."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the background task; a deletion in progress may still be applied."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    async def sweep(self) -> None:
        """Add a mark if one is due, then delete the rows that have expired.

        :raises StoreError: the store failed; the next sweep continues from there
        """
        row = await self._tables.get(MARKS_KEY)
        if not self._is_mark_due(row):
            return
        page = await self._tables.scan(MARKS_KEY, limit=1)
        marks = [*_decode_marks(row), page.revision][-(MARKS_PER_HOUR + 1) :]
        expect = Expect(MARKS_KEY, 0 if row is None else row.revision)
        put = Put(MARKS_KEY, msgspec.json.encode(marks))
        result = await commit(self._tables, [expect], [put], self._new_id())
        if result.is_ok() and len(marks) > MARKS_PER_HOUR:
            await self._delete_up_to(marks[0])

    async def _run(self) -> None:
        while True:
            # The marks are in the store, so the next sweep resumes a failed one.
            with contextlib.suppress(StoreError):
                await self.sweep()
            await asyncio.sleep(self._sweep_interval_s)

    def _is_mark_due(self, row: Row | None) -> bool:
        now_s = asyncio.get_running_loop().time()
        revision = 0 if row is None else row.revision
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._seen_since_s = now_s
        return revision == 0 or now_s - self._seen_since_s >= MARK_INTERVAL_S

    async def _delete_up_to(self, revision: int) -> None:
        after = ""
        while True:
            page = await self._tables.scan(
                OPERATIONS_PREFIX, after=after, limit=MAX_ROWS_PER_DELETION
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


def _decode_marks(row: Row | None) -> list[int]:
    return [] if row is None else msgspec.json.decode(row.value, type=list[int])
