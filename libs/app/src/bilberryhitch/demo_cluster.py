"""Runs all components of a deployment within the demo process."""

import asyncio
import hashlib
from collections.abc import Callable, Sequence

from bilberryhitch_model import Address, Host, PeerAddress
from bilberryhitch_platform import MemoryHostList, MemoryTables
from bilberryhitch_settings import Caller, Limits, Settings
from bilberryhitch_settings import Platform as PlatformSettings
from bilberryhitch_standins import ExecutorStandin, WorkerStandin

from .demo_deployments import (
    ACCELERATORS_PER_WORKER,
    Deployment,
    endpoint_hosts,
    table_rows,
)
from .entry_host import EntryHost, PlatformServices
from .ports import free_ports

ENTRY_HOSTS_PER_DATA_CENTRE = 2
READY_TIMEOUT_S = 20.0
CONDITION_POLL_INTERVAL_S = 0.1
LOOPBACK = "127.0.0.1"


class DemoCluster:
    """Entry hosts, workers and executors on loopback with an in-memory platform."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._host_list = MemoryHostList()
        self._platform = PlatformServices(MemoryTables(), self._host_list)
        self._entry_hosts: list[EntryHost] = []
        self._workers: list[WorkerStandin] = []
        self._executors: list[ExecutorStandin] = []

    @property
    def apis(self) -> list[str]:
        """Base URLs of the entry hosts."""
        return [
            f"http://{host.api_address.ip}:{host.api_address.port}"
            for host in self._entry_hosts
        ]

    @property
    def accelerators(self) -> int:
        """Total number of accelerators."""
        return ACCELERATORS_PER_WORKER * len(self._workers)

    def accelerators_in_use(self) -> int:
        """Return the number of accelerators on which a task is running."""
        return sum(worker.model.usage()["accelerators"] for worker in self._workers)

    async def start(self) -> None:
        """Start all components and wait until all entry hosts have the tables.

        :raises TimeoutError: the tables were not adopted in time
        """
        for row in endpoint_hosts(self._deployment):
            await self._start_endpoint(row)
        for settings in _make_settings(self._deployment):
            host = EntryHost(settings, self._platform)
            self._entry_hosts.append(host)
            await host.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self._put_tables()

    async def close(self) -> None:
        """Stop all components, entry hosts first."""
        await asyncio.gather(*(host.close() for host in self._entry_hosts))
        await asyncio.gather(*(worker.close() for worker in self._workers))
        await asyncio.gather(*(executor.close() for executor in self._executors))

    async def _start_endpoint(self, row: Host) -> None:
        standin: WorkerStandin | ExecutorStandin
        if row.kind == "worker":
            standin = WorkerStandin(row)
            self._workers.append(standin)
        else:
            standin = ExecutorStandin(row)
            self._executors.append(standin)
        address = await standin.start()
        self._host_list.set_host(row._replace(address=f"{address.ip}:{address.port}"))

    async def _put_tables(self) -> None:
        first = self._entry_hosts[0]
        centre = self._deployment.data_centres[0]
        await _wait_until(
            lambda: first.ready and first.membership.endpoints("worker", centre)
        )
        result = await first.config.commit(table_rows(self._deployment), 0, "demo")
        if result.is_error():
            raise result.error
        await _wait_until(
            lambda: all(host.config.tables_view.revision for host in self._entry_hosts)
        )


async def _wait_until(condition: Callable[[], object]) -> None:
    while not condition():  # noqa: ASYNC110 - conditions have no event
        await asyncio.sleep(CONDITION_POLL_INTERVAL_S)


def caller_token(client_account: str) -> str:
    """Return the token of the only caller of a client account."""
    return f"demo-{client_account}"


def _make_settings(deployment: Deployment) -> Sequence[Settings]:
    names = [
        (centre, f"{centre}-entry-{number}")
        for centre in deployment.data_centres
        for number in range(ENTRY_HOSTS_PER_DATA_CENTRE)
    ]
    addresses = [Address(LOOPBACK, port) for port in free_ports(len(names))]
    peers = [
        PeerAddress(name, centre, address)
        for (centre, name), address in zip(names, addresses, strict=True)
    ]
    return [
        Settings(
            host=peer.host,
            data_centre=peer.data_centre,
            api_address=Address(LOOPBACK, 0),
            peer_address=peer.address,
            peers=tuple(other for other in peers if other != peer),
            platform=PlatformSettings("", ""),
            operators={},
            callers=_callers(deployment),
            limits=Limits(),
            log_level="ERROR",
            otlp_endpoint="",
        )
        for peer in peers
    ]


def _callers(deployment: Deployment) -> dict[str, Caller]:
    accounts = {kind.client_account for kind in deployment.kinds}
    return {
        hashlib.sha256(caller_token(account).encode()).hexdigest(): Caller(
            account, "desk"
        )
        for account in accounts
    }
