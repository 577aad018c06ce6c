"""Entry hosts in one process on virtual time, with fake executors."""

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
    """Executors of 8 slots that run a request for the seconds given in its body.

    :ivar over_commits: requests that arrived while all slots were in use
    """

    def __init__(self) -> None:
        self.running: dict[str, int] = {}
        self.most_running = 0
        self.over_commits = 0

    async def call(
        self, host: Host, attempt_id: str, route: str, body: bytes, *limits: object
    ) -> ExecutorAnswer:
        """Run a request, or refuse it while all slots are in use."""
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
        """Report the executor as healthy."""
        return True


class Cluster:
    """Entry hosts of one data centre, connected by a link without losses.

    :param owner: chooses the entry host that owns an executor
    :ivar forwards: number of peer calls
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
                peers=_DirectLink(self, name),
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
        """Start the entry hosts and their heartbeats."""
        for service in self._services.values():
            await service.start()
        self._heartbeats = asyncio.create_task(self._exchange_heartbeats())
        await asyncio.sleep(HEARTBEAT_S)

    async def close(self) -> None:
        """Close the entry hosts and stop the heartbeats."""
        for service in self._services.values():
            await service.close()
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    async def submit(self, number: int, call: RequestCall) -> Outcome:
        """Submit a call to the entry host chosen round-robin by ``number``."""
        name = self._names[number % len(self._names)]
        return await self._services[name].submit(call)

    def entry_hosts(self, data_centre: str) -> list[str]:
        """Return all entry hosts."""
        return self._names

    def endpoints(self, kind: str, data_centre: str) -> Sequence[Host]:
        """Return all executors."""
        return self._executor_hosts

    def is_leaving(self, host: str) -> bool:
        """Return False: no host leaves the cluster."""
        return False

    async def forward(self, sender: str, host: str, message: Message) -> Message:
        """Deliver a call to a peer after the link delay and return its reply."""
        self.forwards += 1
        await asyncio.sleep(LINK_S)
        reply = await self._services[host].handle(sender, message)
        await asyncio.sleep(LINK_S)
        assert reply is not None
        return reply

    async def _exchange_heartbeats(self) -> None:
        while True:
            for sender, service in self._services.items():
                for receiver in self._services.values():
                    receiver.receive_free_slots(sender, service.free_slots())
                    receiver.receive_usage(sender, service.usage())
            await asyncio.sleep(HEARTBEAT_S)


class _DirectLink:
    """The peer link of one entry host."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self._cluster = cluster
        self._name = name

    async def call(self, host: str, message: Message, timeout_s: float) -> Message:
        """Send a message to a peer and return its reply."""
        return await self._cluster.forward(self._name, host, message)
