"""Rows ``drains/<host>/boots``: boots that the host list showed as leaving.

From these rows a process still learns about leaving boots when it is partitioned from
its peers and its host list lags. Each host has at most one row, which is deleted once
the host is live with a newer boot.
"""

from collections.abc import Callable, Iterable

from bilberryhitch_model.errors import StoreError
from bilberryhitch_peers import DrainNotice
from bilberryhitch_platform import Delete, Expect, Put, Row, TableService, commit
from msgspec import DecodeError, json

from .drains import DRAIN_PREFIX

BOOTS_SUFFIX = "/boots"


class BootRows:
    """Cache of the rows in the store, and the hosts whose row must be written."""

    def __init__(self, tables: TableService, new_id: Callable[[], str]) -> None:
        self._tables = tables
        self._new_id = new_id
        self._rows: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._unsaved: set[str] = set()

    @property
    def hosts(self) -> list[str]:
        """Hosts that have a row in the cache."""
        return list(self._rows)

    def load(self, row: Row) -> list[DrainNotice]:
        """Cache a row and return its notices; ignores rows of other kinds."""
        if not row.key.endswith(BOOTS_SUFFIX):
            return []
        host = row.key.removeprefix(DRAIN_PREFIX).removesuffix(BOOTS_SUFFIX)
        try:
            boots = tuple(json.decode(row.value, type=list[str]))
        except DecodeError:
            return []
        if row.revision > self._rows.get(host, (0, ()))[0]:
            self._rows[host] = (row.revision, boots)
        return [DrainNotice(host, True, 0, boot_id=boot) for boot in boots]

    def mark_unsaved(self, host: str) -> None:
        """Mark the row of a host for writing: the list showed a leaving boot."""
        self._unsaved.add(host)

    async def save(self, leaving_boots: Callable[[str], tuple[str, ...]]) -> None:
        """Write the rows marked as unsaved; failed writes are retried by the next call.

        :param leaving_boots: returns the leaving boots of a host
        """
        for host in sorted(self._unsaved):
            revision, stored = self._rows.get(host, (0, ()))
            boots = tuple(sorted({*stored, *leaving_boots(host)}))
            if not leaving_boots(host) or boots == stored:
                self._unsaved.discard(host)
                continue
            put = Put(DRAIN_PREFIX + host + BOOTS_SUFFIX, json.encode(boots))
            written = await self._commit(host, revision, put)
            if written:
                if written > self._rows.get(host, (0, ()))[0]:
                    self._rows[host] = (written, boots)
                self._unsaved.discard(host)

    async def delete(self, hosts: Iterable[str]) -> None:
        """Delete the rows of hosts that are live with a newer boot."""
        for host in hosts:
            # A concurrent call may have deleted the row.
            if host not in self._rows:
                continue
            revision, _ = self._rows[host]
            if await self._commit(
                host, revision, Delete(DRAIN_PREFIX + host + BOOTS_SUFFIX)
            ):
                self._remove_cached(host, revision)

    async def _commit(self, host: str, revision: int, write: Put | Delete) -> int:
        """Write a row if its revision is unchanged.

        :returns: the revision of the commit, or 0 if the row was not written
        """
        expect = Expect(DRAIN_PREFIX + host + BOOTS_SUFFIX, revision)
        try:
            result = await commit(self._tables, [expect], [write], self._new_id())
        except StoreError:
            return 0
        if result.is_ok():
            return result.ok
        if result.error.key == expect.key and result.error.found_revision == 0:
            self._remove_cached(host, revision)
        return 0

    def _remove_cached(self, host: str, revision: int) -> None:
        """Remove a deleted row from the cache unless a newer revision was loaded."""
        if self._rows.get(host, (0, ()))[0] == revision:
            self._rows.pop(host, None)
