"""Entry hosts in one process on virtual time, with fake executors, to measure."""

import asyncio
import random
from collections.abc import Callable, Sequence
from itertools import count

from bilberryhitch_membership import owner as rendezvous_owner
from bilberryhitch_model import Host, Identity, Outcome, RequestCall, Tables
from bilberryhitch_model.errors import ExecutorNotAccepted
from bilberryhitch_peers import Message
from bilberryhitch_platform import MemoryTables
from bilberryhitch_requests import ExecutorAnswer, RequestService

DATA_CENTRE = "ruwi"
SLOTS = 8
LINK_S = 0.0005
HEARTBEAT_S = 0.5


class FakeExecutors:
    """Runs each request for the seconds in its body; counts what exceeds 8 slots.

    :ivar over_commits: requests sent while all slots were in use
    """

    def __init__(self) -> None:
        self.running: dict[str, int] = {}
        self.most_running = 0
        self.over_commits = 0

    async def call(
        self, host: Host, attempt_id: str, route: str, body: bytes, *limits: object
    ) -> ExecutorAnswer:
        """Run one request."""
        running = self.running.get(host.name, 0)
        if running >= SLOTS:
            self.over_commits += 1
            raise ExecutorNotAccepted(host.name, "full")
        self.running[host.name] = running + 1
        self.most_running = max(self.most_running, running + 1)
        await asyncio.sleep(float(body))
        self.running[host.name] -= 1
        return ExecutorAnswer(attempt_id, 200, len(body), body)

    async def probe(self, host: Host, timeout_s: float) -> bool:
        """Return that the executor answers."""
        return True


class Cluster:
    """Entry hosts of one data centre with a perfect link between them.

    :param owner: which entry host owns an executor
    :ivar forwards: peer calls made
    """

    def __init__(
        self,
        entry_hosts: int,
        tables: Tables,
        *,
        seed: int,
        owner: Callable[[str, Sequence[str]], str] = rendezvous_owner,
    ) -> None:
        self.tables_view = tables
        self.executors = FakeExecutors()
        self.forwards = 0
        self._names = [f"e{number}" for number in range(entry_hosts)]
        hosts = sorted({name for pool in tables.pools.values() for name in pool.hosts})
        self._executor_hosts = [
            Host(name, "executor", DATA_CENTRE, name) for name in hosts
        ]
        ids = count()
        self._services = {
            name: RequestService(
                Identity(name, DATA_CENTRE, "i1"),
                MemoryTables(),
                config=self,
                membership=self,
                peers=_Link(self, name),
                executors=self.executors,
                now=lambda: 0.0,
                new_id=lambda: f"n{next(ids)}",
                rng=random.Random(f"{seed}/{name}"),
                owner=owner,
            )
            for name in self._names
        }
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start every entry host and the heartbeats between them."""
        for service in self._services.values():
            await service.start()
        self._heartbeats = asyncio.create_task(self._beat())
        await asyncio.sleep(HEARTBEAT_S)

    async def close(self) -> None:
        """Finish what is in flight."""
        for service in self._services.values():
            await service.close()
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    async def submit(self, number: int, call: RequestCall) -> Outcome:
        """Submit at the entry host that the load balancer picks for ``number``."""
        name = self._names[number % len(self._names)]
        return await self._services[name].submit(call)

    def entry_hosts(self, data_centre: str) -> list[str]:
        """Return all entry hosts."""
        return self._names

    def endpoints(self, kind: str, data_centre: str) -> Sequence[Host]:
        """Return all executors."""
        return self._executor_hosts

    def is_leaving(self, host: str) -> bool:
        """Return that no host leaves."""
        return False

    async def carry(self, sender: str, host: str, message: Message) -> Message:
        """Carry a call to a peer and its answer back."""
        self.forwards += 1
        await asyncio.sleep(LINK_S)
        reply = await self._services[host].handle(sender, message)
        await asyncio.sleep(LINK_S)
        assert reply is not None
        return reply

    async def _beat(self) -> None:
        while True:
            for sender, service in self._services.items():
                for receiver in self._services.values():
                    receiver.receive_free_slots(sender, service.free_slots())
                    receiver.receive_usage(sender, service.usage())
            await asyncio.sleep(HEARTBEAT_S)


class _Link:
    """The peer link of one entry host."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self._cluster = cluster
        self._name = name

    async def call(self, host: str, message: Message, timeout_s: float) -> Message:
        """Send a message and return its answer."""
        return await self._cluster.carry(self._name, host, message)
