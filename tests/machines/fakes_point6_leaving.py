"""Fake store and host list that report to the oracle what processes learn."""

import json

from bilberryhitch_model.errors import StoreUnavailable
from bilberryhitch_platform import Delete, MemoryTables
from bilberryhitch_testing import FaultyTables

from .oracle_point6_leaving import Cause


class WatchedTables(MemoryTables):
    """The store; reports to the oracle each drain that is undone."""

    def __init__(self, oracle, hosts):
        super().__init__()
        self._oracle = oracle
        self._hosts = hosts

    async def transact(self, expects, writes):
        result = await super().transact(expects, writes)
        for write in writes if result.is_ok() else ():
            host = write.key.removeprefix("drains/")
            if host not in self._hosts or isinstance(write, Delete):
                continue
            if not json.loads(write.value)["leaving"]:
                self._oracle.drain_ended(host, result.ok)
        return result


class ProcessTables(FaultyTables):
    """One process's access to the store; reports to the oracle what it learns."""

    def __init__(self, inner, learned):
        super().__init__(inner)
        self._learned = learned

    async def scan(self, prefix, since=0, after="", limit=1000):
        page = await super().scan(prefix, since, after, limit)
        for row in page.rows:
            host, _, boots = row.key.removeprefix("drains/").partition("/")
            value = json.loads(row.value)
            if boots:
                for boot in value:
                    self._learned(host, Cause("boot", boot))
            elif value["leaving"]:
                self._learned(host, Cause("drain", str(row.revision)))
        return page


class ProcessHostList:
    """One process's access to the host list.

    :ivar mode: ``true``, ``lag``, ``flap`` (lags at every other call), ``omit``
        (without ``omitted``), ``live`` (leaving hosts are listed live) or ``down``
    """

    def __init__(self, world, process):
        self._world = world
        self._process = process
        self.mode = "true"
        self.lag_s = 5.0
        self.omitted = "w1"
        self._calls = 0

    async def list_hosts(self):
        await self._world.tables[self._process]._unpaused.wait()
        self._calls += 1
        if self.mode == "down":
            raise StoreUnavailable("list_hosts")
        lags = self.mode == "lag" or (self.mode == "flap" and self._calls % 2)
        hosts = self._world.snapshot(self.lag_s if lags else 0.0)
        if self.mode == "omit":
            hosts = [host for host in hosts if host.name != self.omitted]
        if self.mode == "live":
            hosts = [host._replace(state="live") for host in hosts]
        for host in hosts:
            if host.state == "leaving" and host.boot_id == self._world.boots[host.name]:
                self._world.learned(
                    self._process, host.name, Cause("boot", host.boot_id)
                )
        return hosts
