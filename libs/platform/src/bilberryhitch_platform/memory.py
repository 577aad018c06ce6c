"""An in-memory platform, used by the stand-in, the demo and tests."""

from collections.abc import Sequence

from bilberryhitch_model import Host
from bilberryhitch_model.errors import StoreConflict
from expression import Error, Ok, Result
from sortedcontainers import SortedDict

from .interfaces import Delete, Expect, Page, Row, Write


class MemoryTables:
    """Table service held in memory: sorted keys, one revision counter."""

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
        """Return rows under ``prefix`` written after ``since``, in key order."""
        rows: list[Row] = []
        low = max(prefix, after)
        for key in self._rows.irange(minimum=low):
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
        """Apply all writes at one new revision, or none."""
        for expect in expects:
            row = self._rows.get(expect.key)
            found = row.revision if row is not None else 0
            if found != expect.revision:
                return Error(StoreConflict(expect.key, found))
        self._revision += 1
        for write in writes:
            if isinstance(write, Delete):
                self._rows.pop(write.key, None)
                continue
            self._rows[write.key] = Row(write.key, write.value, self._revision)
        return Ok(self._revision)


class MemoryObjects:
    """Object store held in memory."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object under ``key``, replacing any other."""
        self._objects[key] = body

    async def get_object(self, key: str) -> bytes | None:
        """Return the object or ``None``."""
        return self._objects.get(key)


class MemoryHostList:
    """Host list held in memory."""

    def __init__(self, hosts: Sequence[Host] = ()) -> None:
        self._hosts = {host.name: host for host in hosts}

    def set_host(self, host: Host) -> None:
        """Add a host or replace its row."""
        self._hosts[host.name] = host

    def remove_host(self, name: str) -> None:
        """Drop a host from the list."""
        self._hosts.pop(name, None)

    async def list_hosts(self) -> list[Host]:
        """Return every host."""
        return list(self._hosts.values())
