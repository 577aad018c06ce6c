"""Measures the control overhead of an entry host, by number of entry hosts.

``python -m measure.control_cost --seed 1`` prints one JSON line for each size and
one with the least-squares slopes. Each size runs in its own process, which holds all
entry hosts; they use real peer links over loopback and an in-memory table service.
Figures are per entry host; bytes are those of the messages, without the headers of
ZeroMQ and TCP.
"""

import argparse
import asyncio
import multiprocessing
import random
import resource
from collections.abc import Sequence
from itertools import count
from typing import NamedTuple

import psutil
from bilberryhitch_membership import HeartbeatFields, Membership
from bilberryhitch_model import Address, Host, Identity, PeerAddress
from bilberryhitch_peers import DrainNotice, Heartbeat, Message, PeerLink
from bilberryhitch_platform import MemoryHostList, MemoryTables
from bilberryhitch_testing import FaultyTables

from measure.records import write_record

SIZES = (2, 4, 8, 16, 40)
SETTLE_S = 4.0  # excludes connection set-up and the first polls
MEASURE_S = 5.0
HOSTS_PER_DATA_CENTRE = 8
WORKERS = 3000
ACCOUNTS = 4
LOOPBACK = Address("127.0.0.1", 0)
BYTES_PER_MB = 1_000_000


class Sample(NamedTuple):
    """Counters of the whole process at a point in time."""

    at_s: float
    cpu_s: float
    sent: int
    sent_bytes: int
    reads: int


class EntryHost:
    """An entry host with peer link, membership and a store that counts its calls."""

    def __init__(
        self,
        identity: Identity,
        store: MemoryTables,
        hosts: MemoryHostList,
        heartbeat_fields: HeartbeatFields,
    ) -> None:
        numbers = count()
        self.identity = identity
        self.tables = FaultyTables(store)
        self.link = PeerLink(identity, LOOPBACK, [], self._handle)
        self.membership = Membership(
            identity,
            self.tables,
            hosts,
            now=lambda: 0.0,
            new_id=lambda: f"{identity.incarnation}-{next(numbers)}",
            broadcast=self.link.broadcast,
            send=self.link.send,
            heartbeat_fields=lambda: heartbeat_fields,
        )

    async def _handle(self, sender: str, message: Message) -> Message | None:
        if isinstance(message, Heartbeat):
            self.membership.receive_heartbeat(message)
        elif isinstance(message, DrainNotice):
            self.membership.receive_drain_notice(message)
        return None


def make_heartbeat_fields(accounts: int) -> HeartbeatFields:
    """Return the heartbeat fields for a number of client accounts."""
    return HeartbeatFields(
        1, {f"p/account-{n}": 123.5 for n in range(accounts)}, {"p": 8}
    )


def make_host_list(rng: random.Random) -> MemoryHostList:
    """Return a host list with the target number of workers."""
    workers = [
        Host(f"w{n}", "worker", "dc0", f"10.0.0.1:{n}", boot_id=f"{rng.random()}")
        for n in range(WORKERS)
    ]
    return MemoryHostList(workers)


async def start_hosts(
    size: int, rng: random.Random, heartbeat_fields: HeartbeatFields
) -> list[EntryHost]:
    """Start ``size`` entry hosts that are connected to each other."""
    store = MemoryTables()
    host_list = make_host_list(rng)
    hosts: list[EntryHost] = []
    addresses: list[PeerAddress] = []
    for number in range(size):
        name = f"e{number}"
        data_centre = f"dc{number // HOSTS_PER_DATA_CENTRE}"
        identity = Identity(name, data_centre, f"{name}-1")
        host = EntryHost(identity, store, host_list, heartbeat_fields)
        address = await host.link.start()
        hosts.append(host)
        addresses.append(PeerAddress(name, data_centre, address))
        host_list.set_host(Host(name, "entry", data_centre, "", boot_id="1"))
    for host in hosts:
        host.link.set_peers(addresses)
        await host.membership.start()
    return hosts


def read_counters(hosts: Sequence[EntryHost]) -> Sample:
    """Return the current counters, summed over the entry hosts."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return Sample(
        asyncio.get_running_loop().time(),
        usage.ru_utime + usage.ru_stime,
        sum(host.link.counts.sent for host in hosts),
        sum(host.link.counts.sent_bytes for host in hosts),
        sum(host.tables.reads for host in hosts),
    )


def uss_mb() -> float:
    """Return the unique set size (USS) of this process in MB."""
    return float(psutil.Process().memory_full_info().uss) / BYTES_PER_MB


async def measure_size(size: int, seed: int, accounts: int) -> dict[str, float]:
    """Run ``size`` entry hosts and return the overhead of each."""
    empty_mb = uss_mb()
    hosts = await start_hosts(
        size, random.Random(seed), make_heartbeat_fields(accounts)
    )
    try:
        await asyncio.sleep(SETTLE_S)
        first = read_counters(hosts)
        await asyncio.sleep(MEASURE_S)
        last = read_counters(hosts)
        live = min(
            len(host.membership.entry_hosts(host.identity.data_centre))
            for host in hosts
        )
        used_mb = uss_mb() - empty_mb
    finally:
        await asyncio.gather(*(host.membership.close() for host in hosts))
        await asyncio.gather(*(host.link.close() for host in hosts))
    host_seconds = size * (last.at_s - first.at_s)
    return {
        "entry_hosts": size,
        "accounts": accounts,
        "cpu_s_per_s": round((last.cpu_s - first.cpu_s) / host_seconds, 5),
        "uss_mb": round(used_mb / size, 3),
        "uss_of_empty_process_mb": round(empty_mb, 1),
        "messages_sent_per_s": round((last.sent - first.sent) / host_seconds, 2),
        "bytes_sent_per_s": round(
            (last.sent_bytes - first.sent_bytes) / host_seconds, 1
        ),
        "table_reads_per_s": round((last.reads - first.reads) / host_seconds, 3),
        "fewest_live_seen": live,
    }


def measure_in_subprocess(size: int, seed: int, accounts: int) -> dict[str, float]:
    """Measure a size in a new process, so that earlier sizes do not affect memory."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(1) as pool:
        return pool.apply(run_size, (size, seed, accounts))


def run_size(size: int, seed: int, accounts: int) -> dict[str, float]:
    """Run :func:`measure_size` on a new event loop."""
    return asyncio.run(measure_size(size, seed, accounts))


def fit(lines: Sequence[dict[str, float]], figure: str) -> dict[str, float]:
    """Fit a figure against the number of entry hosts by least squares.

    :returns: slope, intercept and root mean square of the residuals
    """
    points = [(line["entry_hosts"], line[figure]) for line in lines]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    squares = sum((y - slope * x - intercept) ** 2 for x, y in points)
    return {
        "slope": float(f"{slope:.4g}"),
        "intercept": float(f"{intercept:.4g}"),
        "residual_rms": float(f"{(squares / len(points)) ** 0.5:.4g}"),
    }


def main() -> None:
    """Measure each size and record the results and the fitted slopes."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1, help="seed of the host list")
    parser.add_argument(
        "--accounts",
        type=int,
        default=ACCOUNTS,
        help="number of client accounts with usage",
    )
    options = parser.parse_args()
    lines = []
    for size in SIZES:
        lines.append(measure_in_subprocess(size, options.seed, options.accounts))
        write_record("control_cost", options.seed, lines[-1])
    figures = ("cpu_s_per_s", "uss_mb", "bytes_sent_per_s", "table_reads_per_s")
    fits = {figure: fit(lines, figure) for figure in figures}
    write_record("control_cost", options.seed, {"fit": fits})


if __name__ == "__main__":
    main()
