"""Measures CPU, memory and traffic of an entry host process, by number of workers.

``python -m measure.daemon_cost --seed 1`` starts a real ``serve`` process for each
size. The platform and the workers are stand-ins in this process. Each worker runs a
member of a gang that does not end, so that only control overhead is measured: lease
renewals, the planner lease, polls and heartbeats. Bytes are those of the loopback
interface and include TCP/IP headers, so no other program should use it meanwhile.
"""

import argparse
import asyncio
import hashlib
import json
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

import aiohttp
import numpy
import psutil
from bilberryhitch_model import Host, Pool, Route, to_plain
from bilberryhitch_standins import PlatformStandin, WorkerStandin

from bilberryhitch.standin_command import register_host
from measure.records import write_record

SIZES = (0, 20, 40, 80)
SETTLE_S = 15.0
MEASURE_S = 20.0
START_LIMIT_S = 60.0
GANG_WORKERS = 2
ACCELERATORS = 8
WORKERS_PER_RACK = 8
CENTRE = "ruwi"
TOKEN = "measure"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
OPERATOR = {"Authorization": "Bearer operator"}


class Reading(NamedTuple):
    """Counters at a point in time."""

    at: float
    cpu_s: float
    loopback_bytes: int
    reads: int
    writes: int


class Testbed:
    """An entry host process with stand-ins for the platform and the workers."""

    def __init__(self, folder: Path, workers: int) -> None:
        self._folder = folder
        self.platform = PlatformStandin()
        self.workers = [
            WorkerStandin(_make_worker(number)) for number in range(workers)
        ]
        self.process: asyncio.subprocess.Process | None = None
        self.api = ""

    async def start(self) -> None:
        """Start the stand-ins and the entry host and wait until it listens."""
        address = await self.platform.start()
        platform = f"http://{address.ip}:{address.port}"
        for worker in self.workers:
            address = await worker.start()
            row = worker.model.host._replace(address=f"{address.ip}:{address.port}")
            await register_host(platform, row)
        path = self._folder / "host.jsonc"
        path.write_text(_settings(platform))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bilberryhitch",
            "serve",
            str(path),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        assert self.process.stdout is not None
        line = await asyncio.wait_for(self.process.stdout.readline(), START_LIMIT_S)
        self.api = f"http://{line.decode().split()[-1]}"

    async def close(self) -> None:
        """Stop the entry host and the stand-ins."""
        if self.process is not None:
            self.process.kill()
            await self.process.wait()
        await asyncio.gather(*(worker.close() for worker in self.workers))
        await self.platform.close()

    def running(self) -> int:
        """Return the number of workers that run a task."""
        return sum(1 for worker in self.workers if worker.model.usage()["accelerators"])

    def read(self) -> Reading:
        """Return the current counters."""
        assert self.process is not None
        times = psutil.Process(self.process.pid).cpu_times()
        loopback = psutil.net_io_counters(pernic=True)["lo"]
        return Reading(
            time.monotonic(),
            times.user + times.system,
            loopback.bytes_sent,
            self.platform.reads,
            self.platform.writes,
        )

    def memory_mb(self) -> tuple[float, float]:
        """Return the unique and the resident set size of the entry host in MB."""
        assert self.process is not None
        info = psutil.Process(self.process.pid).memory_full_info()
        return info.uss / 1e6, info.rss / 1e6


async def measure_size(workers: int) -> dict[str, float]:
    """Measure an entry host with a number of workers."""
    with TemporaryDirectory() as folder:
        testbed = Testbed(Path(folder), workers)
        try:
            await testbed.start()
            await _start_load(testbed)
            await asyncio.sleep(SETTLE_S)
            before = testbed.read()
            await asyncio.sleep(MEASURE_S)
            after = testbed.read()
            return _figures(workers, before, after, testbed.memory_mb())
        finally:
            await testbed.close()


async def _start_load(testbed: Testbed) -> None:
    """Configure pool and route, then submit jobs until each worker runs a task."""
    async with aiohttp.ClientSession() as session:
        pools = f"{testbed.api}/v1/admin/pools?base_revision=0"
        await _send(session, "PUT", pools, [_pool(testbed)], OPERATOR)
        routes = f"{testbed.api}/v1/admin/routes?base_revision=1"
        await _send(session, "PUT", routes, [_route()], OPERATOR)
        call = {
            "route": "render",
            "shape": {"tasks": GANG_WORKERS, "accelerators": ACCELERATORS},
            "run": json.dumps({"seconds": 1e6}),
        }
        for _ in range(len(testbed.workers) // GANG_WORKERS):
            await _send(session, "POST", f"{testbed.api}/v1/jobs", call, HEADERS)
    async with asyncio.timeout(START_LIMIT_S):
        while testbed.running() < len(testbed.workers):  # noqa: ASYNC110
            await asyncio.sleep(0.2)


async def _send(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: object,
    headers: dict[str, str],
) -> None:
    """Retry a call until it succeeds, as a new entry host knows no workers yet."""
    async with asyncio.timeout(START_LIMIT_S):
        while True:
            async with session.request(
                method, url, json=to_plain(body), headers=headers
            ) as response:
                if response.ok:
                    return
            await asyncio.sleep(0.5)


def _figures(
    workers: int, before: Reading, after: Reading, memory: tuple[float, float]
) -> dict[str, float]:
    seconds = after.at - before.at
    return {
        "workers": workers,
        "control_cpu_percent": 100 * (after.cpu_s - before.cpu_s) / seconds,
        "control_uss_mb": memory[0],
        "rss_mb": memory[1],
        "control_kb_per_s": (after.loopback_bytes - before.loopback_bytes)
        / seconds
        / 1e3,
        "store_reads_per_s": (after.reads - before.reads) / seconds,
        "store_writes_per_s": (after.writes - before.writes) / seconds,
    }


def slopes(rows: list[dict[str, float]]) -> dict[str, dict[str, float]]:
    """Fit each figure against the number of workers by least squares.

    :returns: for each figure the intercept, the slope per worker and the largest
        residual
    """
    sizes = [row["workers"] for row in rows]
    found = {}
    for name in rows[0]:
        if name == "workers":
            continue
        values = [row[name] for row in rows]
        slope, base = numpy.polyfit(sizes, values, 1)
        residual = max(
            abs(value - base - slope * size)
            for size, value in zip(sizes, values, strict=True)
        )
        found[name] = {
            "base": round(float(base), 4),
            "slope": round(float(slope), 5),
            "residual": round(float(residual), 4),
        }
    return found


def _make_worker(number: int) -> Host:
    return Host(
        name=f"worker-{number}",
        kind="worker",
        data_centre=CENTRE,
        address="",
        boot_id=f"boot-{number}",
        rack=f"rack-{number // WORKERS_PER_RACK}",
        position=number % WORKERS_PER_RACK,
        accelerators=ACCELERATORS,
        cores=32,
        memory_gb=64,
    )


def _pool(testbed: Testbed) -> Pool:
    names = tuple(worker.model.host.name for worker in testbed.workers)
    return Pool("gangs", "job", names)


def _route() -> Route:
    return Route("render", "job", "render", "acme", "gangs")


def _settings(platform: str) -> str:
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    settings = {
        "identity": {"host": "ruwi-1", "data_centre": CENTRE},
        "api": {"ip": "127.0.0.1", "port": 0},
        "peer": {"ip": "127.0.0.1", "port": 0},
        "platform": {"url": platform, "token": "platform"},
        "operators": {"measure": hashlib.sha256(b"operator").hexdigest()},
        "callers": {digest: {"client_account": "acme", "caller": "desk"}},
        "log_level": "ERROR",
    }
    return json.dumps(settings)


def main() -> None:
    """Measure each size and record the results and the fitted slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    rows = []
    for size in SIZES:
        rows.append(asyncio.run(measure_size(size)))
        write_record("daemon_cost", arguments.seed, rows[-1])
    write_record("daemon_cost", arguments.seed, {"fit": slopes(rows)})


if __name__ == "__main__":
    main()
