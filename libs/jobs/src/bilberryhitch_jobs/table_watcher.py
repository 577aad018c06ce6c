"""Watches a table: a snapshot of its rows first, then every change in order."""

import asyncio
from collections.abc import Callable, Sequence

from bilberryhitch_model import clock
from bilberryhitch_telemetry import events, log

from .errors import STORE_ERRORS, HistoryLost
from .rows import RowSnapshot, Store, StoreRow

WATCH_WAIT_S = 1.0
READ_TIMEOUT_S = 1.5
WATCH_RETRY_DELAY_S = 0.1


class TableWatcher:
    """Reports the rows of a table and their changes to two callbacks.

    :param on_snapshot: called with all rows and the revision, at the start and each
        time the store no longer retains the changes to continue from
    :param on_change: called with each changed or removed row
    :param partitions: partitions of the table that hold rows
    :param wait_s: how long the store may wait for a change; a connection without
        responses is detected after this plus the client's margin
    :ivar last_response_at: steady time of the store's last response
    :ivar reported_revision: all changes up to this revision have been reported
    """

    def __init__(
        self,
        store: Store,
        table: str,
        on_snapshot: Callable[[tuple[StoreRow, ...], int], None],
        on_change: Callable[[StoreRow], None],
        *,
        partitions: Sequence[str] = ("",),
        wait_s: float = WATCH_WAIT_S,
    ) -> None:
        self.last_response_at = float("-inf")
        self.reported_revision = 0
        self._store = store
        self._table = table
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._partitions = partitions
        self._wait_s = wait_s
        self._revision: int | None = None
        self._unreachable = False

    async def run(self) -> None:
        """Watch the table until cancelled."""
        while True:
            try:
                await self.poll()
            except HistoryLost:
                log(events.STORE_HISTORY_LOST, table=self._table)
                self._revision = None
            except STORE_ERRORS as error:
                self._note_failure(error)
                await asyncio.sleep(WATCH_RETRY_DELAY_S)

    async def poll(self) -> None:
        """Read the whole table on the first call, its changes on later ones.

        :raises HistoryLost: if the changes are no longer retained
        """
        if self._revision is None:
            snapshot = await read_partitions(self._store, self._table, self._partitions)
            self._note_response()
            self._on_snapshot(snapshot.rows, snapshot.revision)
            self._set_revision(snapshot.revision)
            return
        changes = await self._store.watch(self._table, self._revision, self._wait_s)
        self._note_response()
        for row in changes.rows:
            apply_row(self._on_change, row)
        self._set_revision(max(self._revision, changes.revision))

    def _set_revision(self, revision: int) -> None:
        self._revision = revision
        self.reported_revision = max(self.reported_revision, revision)

    def _note_response(self) -> None:
        self.last_response_at = clock.steady_s()
        if self._unreachable:
            self._unreachable = False
            log(events.DEPENDENCY_REGAINED, dependency=f"store table {self._table}")

    def _note_failure(self, error: Exception) -> None:
        if not self._unreachable:
            self._unreachable = True
            log(
                events.DEPENDENCY_LOST,
                dependency=f"store table {self._table}",
                error=error,
            )


def apply_row(on_change: Callable[[StoreRow], None], row: StoreRow) -> None:
    """Report one row; an unexpected error costs this row and no other."""
    try:
        on_change(row)
    except Exception as error:
        log(
            events.UNEXPECTED_ERROR,
            scope=f"row of {row.table}",
            key=row.key,
            error=repr(error),
        )


async def read_partitions(
    store: Store, table: str, partitions: Sequence[str]
) -> RowSnapshot:
    """Return the rows of all partitions and the lowest of their revisions.

    Each partition is read at its own revision; a watch from the lowest one repeats the
    changes made in between.
    """
    snapshots = await asyncio.gather(
        *(
            store.read(table, partition=partition, timeout_s=READ_TIMEOUT_S)
            for partition in partitions
        )
    )
    rows = tuple(row for snapshot in snapshots for row in snapshot.rows)
    return RowSnapshot(rows, min(snapshot.revision for snapshot in snapshots))
