"""Follows a table: its rows at one moment, then every change in order."""

import asyncio
import time
from collections.abc import Callable, Sequence

from bilberryhitch_telemetry import events, log

from .errors import STORE_ERRORS, HistoryLost
from .rows import RowSnapshot, Store, StoreRow

# A silent connection is noticed within this and the client's own margin.
WAIT_S = 1.0
READ_TIMEOUT_S = 1.5
PAUSE_S = 0.1


class TableWatcher:
    """Keeps a reader up to date with a table.

    :param partitions: partitions of the table that hold rows
    :param on_snapshot: receives all rows, first and after a loss of history
    :param on_row: receives each row that changed or was removed
    """

    def __init__(
        self,
        store: Store,
        table: str,
        on_snapshot: Callable[[tuple[StoreRow, ...], int], None],
        on_row: Callable[[StoreRow], None],
        *,
        partitions: Sequence[str] = ("",),
    ) -> None:
        self.heard_at = float("-inf")
        self._store = store
        self._table = table
        self._on_snapshot = on_snapshot
        self._on_row = on_row
        self._partitions = partitions
        self._revision: int | None = None
        self._lost = False

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self.advance()
            except HistoryLost:
                log(events.STORE_HISTORY_LOST, table=self._table)
                self._revision = None
            except STORE_ERRORS as error:
                self._note_loss(error)
                await asyncio.sleep(PAUSE_S)

    async def advance(self) -> None:
        """Read once: the whole table first, afterwards what has changed.

        :raises HistoryLost: if the changes are no longer kept
        """
        if self._revision is None:
            snapshot = await read_partitions(self._store, self._table, self._partitions)
            self._heard()
            self._revision = snapshot.revision
            self._on_snapshot(snapshot.rows, snapshot.revision)
            return
        changes = await self._store.watch(self._table, self._revision, WAIT_S)
        self._heard()
        for row in changes.rows:
            self._on_row(row)
        self._revision = max(self._revision, changes.revision)

    def _heard(self) -> None:
        self.heard_at = time.monotonic()
        if self._lost:
            self._lost = False
            log(events.DEPENDENCY_REGAINED, dependency=f"store table {self._table}")

    def _note_loss(self, error: Exception) -> None:
        if not self._lost:
            self._lost = True
            log(
                events.DEPENDENCY_LOST,
                dependency=f"store table {self._table}",
                error=error,
            )


async def read_partitions(
    store: Store, table: str, partitions: Sequence[str]
) -> RowSnapshot:
    """Return the rows of all partitions.

    Each partition is read at its own revision; a watch from the lowest of them repeats
    the changes made in between.
    """
    snapshots = await asyncio.gather(
        *(
            store.read(table, partition=partition, timeout_s=READ_TIMEOUT_S)
            for partition in partitions
        )
    )
    rows = tuple(row for snapshot in snapshots for row in snapshot.rows)
    return RowSnapshot(rows, min(snapshot.revision for snapshot in snapshots))
