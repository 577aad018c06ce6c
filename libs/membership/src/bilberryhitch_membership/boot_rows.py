"""Rows ``drains/<host>/boots``: boots that the platform's list called leaving.

A process that is cut off from its peers and whose copy of the host list lags
can then still learn of them from the store. There is at most one row for each
host; it is deleted once the host is live with a newer boot.
"""

from collections.abc import Callable, Iterable

from bilberryhitch_model.errors import StoreError
from bilberryhitch_peers import DrainNotice
from bilberryhitch_platform import Delete, Expect, Put, Row, TableService, commit
from msgspec import DecodeError, json

from .drains import DRAINS

BOOTS = "/boots"


class BootRows:
    """The rows as this process last read them, and what it has to write."""

    def __init__(self, tables: TableService, new_id: Callable[[], str]) -> None:
        self._tables = tables
        self._new_id = new_id
        self._rows: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._unsaved: set[str] = set()

    @property
    def hosts(self) -> list[str]:
        """Hosts whose row was read and not seen deleted."""
        return list(self._rows)

    def read(self, row: Row) -> list[DrainNotice]:
        """Note a row and return what it says; nothing for other rows."""
        if not row.key.endswith(BOOTS):
            return []
        host = row.key.removeprefix(DRAINS).removesuffix(BOOTS)
        try:
            boots = tuple(json.decode(row.value, type=list[str]))
        except DecodeError:
            return []
        if row.revision > self._rows.get(host, (0, ()))[0]:
            self._rows[host] = (row.revision, boots)
        return [DrainNotice(host, True, 0, boot_id=boot) for boot in boots]

    def must_save(self, host: str) -> None:
        """Note that this process learned from the list that a host leaves."""
        self._unsaved.add(host)

    async def save(self, marks: Callable[[str], tuple[str, ...]]) -> None:
        """Write what is unsaved; what fails is tried again at the next call.

        :param marks: leaving boots of a host as this process knows them
        """
        for host in sorted(self._unsaved):
            revision, stored = self._rows.get(host, (0, ()))
            boots = tuple(sorted({*stored, *marks(host)}))
            if not marks(host) or boots == stored:
                self._unsaved.discard(host)
                continue
            put = Put(DRAINS + host + BOOTS, json.encode(boots))
            written = await self._commit(host, revision, put)
            if written:
                if written > self._rows.get(host, (0, ()))[0]:
                    self._rows[host] = (written, boots)
                self._unsaved.discard(host)

    async def delete(self, hosts: Iterable[str]) -> None:
        """Delete the rows of hosts that are live with a newer boot."""
        for host in hosts:
            # Calls overlap, so another may have deleted the row meanwhile.
            if host not in self._rows:
                continue
            revision, _ = self._rows[host]
            if await self._commit(host, revision, Delete(DRAINS + host + BOOTS)):
                self._drop(host, revision)

    async def _commit(self, host: str, revision: int, write: Put | Delete) -> int:
        """Write if the row is as last read; returns 0 when it was not written."""
        expect = Expect(DRAINS + host + BOOTS, revision)
        try:
            result = await commit(self._tables, [expect], [write], self._new_id())
        except StoreError:
            return 0
        if result.is_ok():
            return result.ok
        if result.error.key == expect.key and result.error.found_revision == 0:
            self._drop(host, revision)
        return 0

    def _drop(self, host: str, revision: int) -> None:
        """Forget a deleted row, unless a later one was read meanwhile."""
        if self._rows.get(host, (0, ()))[0] == revision:
            self._rows.pop(host, None)
