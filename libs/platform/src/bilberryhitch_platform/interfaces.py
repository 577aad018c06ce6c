"""What the system needs of the platform."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from bilberryhitch_model import Host
from bilberryhitch_model.errors import StoreConflict
from expression import Result


class Row(NamedTuple):
    """A row; ``revision`` is the store-wide revision that wrote it."""

    key: str
    value: bytes
    revision: int


class Expect(NamedTuple):
    """Condition of a transaction; revision 0 means that the row is absent."""

    key: str
    revision: int


class Put(NamedTuple):
    """Write of a row."""

    key: str
    value: bytes


class Delete(NamedTuple):
    """Removal of a row."""

    key: str


Write = Put | Delete


class Page(NamedTuple):
    """One page of a scan.

    :param revision: store revision at which the page was read
    :param more: whether rows after the last one remain
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
        """Return rows under ``prefix`` written after revision ``since``.

        :param after: only keys greater than this one
        :param limit: most rows of a page
        """

    async def transact(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        """Apply all writes at one new revision, or none.

        :returns: the new revision, or the first condition that failed
        """


class ObjectStore(Protocol):
    """The object store, for large answers and checkpoints."""

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object under ``key``, replacing any other."""

    async def get_object(self, key: str) -> bytes | None:
        """Return the object or ``None``."""


class HostList(Protocol):
    """The platform's list of live and leaving hosts; it lags."""

    async def list_hosts(self) -> list[Host]:
        """Return every host that the platform knows."""
