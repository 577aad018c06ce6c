"""In-memory implementations of the platform's services, for tests and the demo."""

from collections.abc import Sequence

from bilberryhitch_model import Host
from bilberryhitch_model.errors import StoreConflict
from expression import Error, Ok, Result
from sortedcontainers import SortedDict

from .interfaces import Delete, Expect, Page, Row, Write


class MemoryTables:
    """In-memory table service with sorted keys and one revision counter."""

    def __init__(self) -> None:
        self._rows: SortedDict[str, Row] = SortedDict()
        self._revision = 0

    @property
    def revision(self) -> int:
        """Revision of the last transaction."""
        return self._revision

    async def get(self, key: str) -> Row | None:
        """Return the row or ``None``."""
        row: Row | None = self._rows.get(key)
        return row

    async def scan(
        self, prefix: str, since: int = 0, after: str = "", limit: int = 1000
    ) -> Page:
        """Return rows under ``prefix`` written after ``since``, in order of keys."""
        rows: list[Row] = []
        first_key = max(prefix, after)
        for key in self._rows.irange(minimum=first_key):
            if not key.startswith(prefix):
                break
            row = self._rows[key]
            if key <= after or row.revision <= since:
                continue
            if len(rows) == limit:
                return Page(tuple(rows), self._revision, more=True)
            rows.append(row)
        return Page(tuple(rows), self._revision, more=False)

    async def transact(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        """Apply all writes atomically at one new revision."""
        for expect in expects:
            row = self._rows.get(expect.key)
            revision = row.revision if row is not None else 0
            if revision != expect.revision:
                return Error(StoreConflict(expect.key, revision))
        self._revision += 1
        for write in writes:
            if isinstance(write, Delete):
                self._rows.pop(write.key, None)
                continue
            self._rows[write.key] = Row(write.key, write.value, self._revision)
        return Ok(self._revision)


class MemoryObjects:
    """In-memory object store."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    async def put_object(self, key: str, body: bytes) -> None:
        """Create or replace an object."""
        self._objects[key] = body

    async def get_object(self, key: str) -> bytes | None:
        """Return the object or ``None``."""
        return self._objects.get(key)


class MemoryHostList:
    """In-memory host list."""

    def __init__(self, hosts: Sequence[Host] = ()) -> None:
        self._hosts = {host.name: host for host in hosts}

    def set_host(self, host: Host) -> None:
        """Add or replace a host."""
        self._hosts[host.name] = host

    def remove_host(self, name: str) -> None:
        """Remove a host."""
        self._hosts.pop(name, None)

    async def list_hosts(self) -> list[Host]:
        """Return all hosts."""
        return list(self._hosts.values())
