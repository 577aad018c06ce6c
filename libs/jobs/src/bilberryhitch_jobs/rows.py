"""Rows of a transactional table store, and the interface of the store."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol


class StoreRow(NamedTuple):
    """A row as read from the store.

    :param value: empty for a removed row
    :param revision: revision of the store at the row's last change; 0 if absent
    """

    table: str
    key: str
    value: bytes
    revision: int
    removed: bool = False


class RowSnapshot(NamedTuple):
    """Rows as of one revision of the store.

    :param revision: the revision, from which a watch continues
    """

    rows: tuple[StoreRow, ...]
    revision: int


class ExpectedRevision(NamedTuple):
    """Precondition of a transaction: the revision of a row, or 0 if it is absent."""

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
    """Interface of the store; each call raises one of ``STORE_ERRORS`` on failure.

    A ``timeout_s`` limits the time until a response begins and each pause within it.
    How long a whole response takes depends on its size and is not limited.
    """

    async def read(
        self,
        table: str,
        first: str = "",
        last: str = "",
        *,
        partition: str = "",
        timeout_s: float,
    ) -> RowSnapshot:
        """Return the rows of a partition with ``first`` <= key < ``last`` by key.

        An empty ``first`` or ``last`` is no bound.
        """

    async def watch(self, table: str, after: int, wait_s: float) -> RowSnapshot:
        """Return the rows of all partitions that changed since a revision.

        Without a change it waits for one for up to ``wait_s``.

        :param after: revision after which changes are returned
        :raises HistoryLost: if the changes are no longer retained
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
        """Apply all changes to one partition atomically.

        :returns: the new revision of the store
        :raises CommitConflict: if a row does not have the expected revision
        """
