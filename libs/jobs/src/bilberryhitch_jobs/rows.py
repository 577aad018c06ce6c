"""Rows of a transactional table store and the calls that the product needs."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol


class StoreRow(NamedTuple):
    """A row as the store returned it.

    :param value: empty if the row was removed
    :param revision: version of the store at the row's last change; 0 if absent
    """

    table: str
    key: str
    value: bytes
    revision: int
    removed: bool = False


class RowSnapshot(NamedTuple):
    """Rows of one moment.

    :param revision: version of the store at that moment, from which to watch
    """

    rows: tuple[StoreRow, ...]
    revision: int


class ExpectedRevision(NamedTuple):
    """A row's revision that a transaction depends on; 0 means absent."""

    table: str
    key: str
    revision: int


class RowWrite(NamedTuple):
    """A row to be written."""

    table: str
    key: str
    value: bytes


class RowRemoval(NamedTuple):
    """A row to be removed."""

    table: str
    key: str


class Store(Protocol):
    """Calls to the store; each raises a class of ``STORE_ERRORS`` on failure."""

    async def read(
        self,
        table: str,
        first: str = "",
        last: str = "",
        *,
        partition: str = "",
        timeout_s: float,
    ) -> RowSnapshot:
        """Return a part's rows with ``first`` <= key < ``last`` in order of keys."""

    async def watch(self, table: str, after: int, wait_s: float) -> RowSnapshot:
        """Return rows changed since ``after`` in any part; wait ``wait_s`` for one.

        :raises HistoryLost: if the changes are no longer kept
        """

    async def commit(
        self,
        expected: Sequence[ExpectedRevision],
        writes: Sequence[RowWrite],
        removals: Sequence[RowRemoval] = (),
        *,
        partition: str = "",
        timeout_s: float,
    ) -> int:
        """Apply all changes to one part or none; return the store's new version.

        :raises CommitConflict: if a row has not the expected revision
        """
