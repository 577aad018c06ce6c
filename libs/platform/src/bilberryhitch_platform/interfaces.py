"""Interfaces of the platform's services and the records that they exchange."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from bilberryhitch_model import Host
from bilberryhitch_model.errors import StoreConflict
from expression import Result


class Row(NamedTuple):
    """A row; ``revision`` is the revision of the store that wrote it."""

    key: str
    value: bytes
    revision: int


class Expect(NamedTuple):
    """Precondition of a transaction: the revision of a row, or 0 if it is absent."""

    key: str
    revision: int


class Put(NamedTuple):
    """Creates or replaces a row."""

    key: str
    value: bytes


class Delete(NamedTuple):
    """Deletes a row."""

    key: str


Write = Put | Delete


class Page(NamedTuple):
    """One page of a scan.

    :param revision: revision of the store at which the page was read
    :param more: whether the scan has rows after the last one of the page
    """

    rows: tuple[Row, ...]
    revision: int
    more: bool


class TableService(Protocol):
    """The transactional table service.

    Every call may raise :class:`~bilberryhitch_model.errors.StoreUnavailable`
    (no effect) and :meth:`transact` also
    :class:`~bilberryhitch_model.errors.StoreAnswerLost` (effect unknown).
    """

    async def get(self, key: str) -> Row | None:
        """Return the row or ``None``."""

    async def scan(
        self, prefix: str, since: int = 0, after: str = "", limit: int = 1000
    ) -> Page:
        """Return rows under ``prefix`` in order of keys, one page at a time.

        :param since: only rows written after this revision
        :param after: only keys greater than this one
        :param limit: maximum number of rows of a page
        """

    async def transact(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        """Apply all writes atomically at one new revision.

        :returns: the new revision, or the first condition that failed
        """


class ObjectStore(Protocol):
    """The object store, for large responses and checkpoints."""

    async def put_object(self, key: str, body: bytes) -> None:
        """Create or replace an object."""

    async def get_object(self, key: str) -> bytes | None:
        """Return the object or ``None``."""


class HostList(Protocol):
    """The platform's list of live and leaving hosts; changes reach it with a delay."""

    async def list_hosts(self) -> list[Host]:
        """Return all hosts of the list."""
