"""Measures CPU time and store calls of a planner, by number of workers.

``python -m measure.planner_cost --seed 1`` runs real planners on a virtual clock
against worker models in this process. It prints one JSON line for each size, with the
lowest CPU figures of three runs. CPU seconds exclude the worker models and logging,
and include the event loop. The store is in memory with a latency of 10 ms per call;
the scheduler is a list of free workers. Jobs arrive in one burst, in which
transactions share commits; a job that arrives alone costs one write for its start and
one for its end.
"""

import argparse
import asyncio
import itertools
import json
import random
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from bilberryhitch_gangs import (
    LeaseView,
    Planner,
    PoolView,
    Reservation,
    WorkerView,
)
from bilberryhitch_gangs.job_rows import put_job
from bilberryhitch_model import (
    Explanation,
    Host,
    Identity,
    JobRecord,
    Member,
    Placement,
    Pool,
    QueuedJob,
    Shape,
    Start,
)
from bilberryhitch_platform import MemoryTables
from bilberryhitch_standins import LeaseReport, WorkerModel
from bilberryhitch_testing import FaultyTables, VirtualTimeLoop
from expression import Ok, Result
from loguru import logger

from measure.records import write_record

SIZES = (50, 100, 200, 400)
REPEATS = 3
STEADY_S = 60
GANG = 2
RUN_S = 200.0
END_S = 6.0
STORE_S = 0.01
CENTRE, POOL = "ruwi", "gpu"


class Phase(NamedTuple):
    """Counters of a run, or their increase over a phase of it.

    :param cpu_s: CPU seconds of the process without the worker models
    :param at: loop time in seconds
    """

    cpu_s: float
    reads: int
    writes: int
    renewals: int
    at: float


class InProcessWorkers:
    """Worker client that calls the worker models directly and sums their CPU time."""

    def __init__(self, models: dict[str, WorkerModel]) -> None:
        self._models = models
        self.model_cpu_s = 0.0
        self.renewals = 0

    async def reserve(self, host: Host, token: int, wanted: Reservation) -> LeaseView:
        """Reserve resources for a task."""
        return await self._lease(
            host, lambda model: model.reserve(token=token, **wanted._asdict())
        )

    async def start_task(
        self, host: Host, token: int, attempt_id: str, run: str, saved: str
    ) -> LeaseView:
        """Start the task of a lease."""
        return await self._lease(
            host, lambda model: model.start(attempt_id, token, run, saved)
        )

    async def renew(
        self, host: Host, token: int, attempt_ids: Sequence[str], term_s: float
    ) -> WorkerView:
        """Renew leases for another term."""
        self.renewals += 1
        model = self._models[host.name]
        return await self._view(lambda: model.renew(token, attempt_ids, term_s))

    async def checkpoint(
        self, host: Host, token: int, attempt_id: str, saved: str
    ) -> LeaseView:
        """Checkpoint the task of a lease."""
        return await self._lease(
            host, lambda model: model.checkpoint(attempt_id, token, saved)
        )

    async def throttle(
        self, host: Host, token: int, attempt_id: str, speed: float
    ) -> LeaseView:
        """Set the speed of the task of a lease."""
        return await self._lease(
            host, lambda model: model.throttle(attempt_id, token, speed)
        )

    async def stop(self, host: Host, token: int, attempt_id: str) -> LeaseView:
        """Stop the task and end its lease."""
        return await self._lease(host, lambda model: model.stop(attempt_id, token))

    async def release(self, host: Host, token: int, attempt_id: str) -> None:
        """Delete an ended lease."""
        await asyncio.sleep(0)
        self._models[host.name].release(attempt_id, token)

    async def state(self, host: Host) -> WorkerView:
        """Return all leases of a worker."""
        return await self._view(self._models[host.name].state)

    async def _lease(
        self, host: Host, act: Callable[[WorkerModel], LeaseReport]
    ) -> LeaseView:
        await asyncio.sleep(0)
        before = time.process_time()
        report = act(self._models[host.name])
        self.model_cpu_s += time.process_time() - before
        return LeaseView(*report)

    async def _view(self, act: Callable[[], object]) -> WorkerView:
        await asyncio.sleep(0)
        before = time.process_time()
        report = act()
        self.model_cpu_s += time.process_time() - before
        leases = tuple(LeaseView(*lease) for lease in report.leases)  # type: ignore[attr-defined]
        return WorkerView(report.boot_id, report.highest, leases)  # type: ignore[attr-defined]


class FreeListScheduler:
    """Scheduler that places each gang on the first free workers."""

    def __init__(self, data_centre: str, pool: Pool, hosts: Sequence[Host]) -> None:
        self._free = deque(host.name for host in hosts)
        self._queue: deque[QueuedJob] = deque()

    def submit(self, job: QueuedJob, now: float) -> Result[None, object]:
        """Queue a job."""
        self._queue.append(job)
        return Ok(None)

    def decide(self, now: float) -> list[Start]:
        """Start queued jobs while there are free workers."""
        starts = []
        while self._queue and len(self._free) >= GANG:
            names = [self._free.popleft() for _ in range(GANG)]
            members = tuple(Member(name, (0, 1, 2, 3), 1) for name in names)
            job_id = self._queue.popleft().job_id
            starts.append(Start(job_id, Placement(members), borrowed=False))
        return starts

    def adopt(
        self, job: QueuedJob, placement: Placement, borrowed: bool, now: float
    ) -> None:
        """Remove the workers of a running gang from the free list."""
        for member in placement.members:
            self._free.remove(member.host)

    def explain(self, job_id: str) -> Explanation:
        """Return an empty explanation."""
        return Explanation(job_id, "", "", "")

    def cancel(self, job_id: str) -> bool:
        """Return False: cancellation is not supported."""
        return False

    def started(self, job_id: str, now: float) -> None:
        """Do nothing."""

    def finished(self, job_id: str, now: float, completed: bool = True) -> None:
        """Do nothing."""

    def take_dropped(self) -> list[object]:
        """Return an empty list: no job is dropped."""
        return []

    shortfall = take_dropped
    evicted = started

    def start_failed(self, job_id: str, host: str, now: float) -> None:
        """Raise an error, as the worker models fail no start."""
        raise RuntimeError(f"start of job {job_id} failed on worker {host}")

    def host_lost(self, host: object) -> None:
        """Do nothing."""

    host_back = quarantine = release = set_pool = host_lost


class Testbed:
    """Two planner candidates for one pool, of which one is elected."""

    def __init__(self, workers: int, seed: int) -> None:
        self.loop = VirtualTimeLoop()
        self._random = random.Random(seed)
        self._ids = itertools.count(1)
        self.hosts = tuple(
            Host(f"w{i}", "worker", CENTRE, "", accelerators=8, cores=64, memory_gb=128)
            for i in range(workers)
        )
        self.models = {h.name: WorkerModel(h, self.loop.time) for h in self.hosts}
        self.workers = InProcessWorkers(self.models)
        self.store = MemoryTables()
        self.tables = FaultyTables(self.store)
        self.tables.slow_s = STORE_S
        self.planners = [self._planner(rank) for rank in range(2)]
        self.tasks = [self.loop.create_task(each.run()) for each in self.planners]

    def _planner(self, rank: int) -> Planner:
        names = frozenset(host.name for host in self.hosts)
        pool = Pool(POOL, "job", tuple(names))
        return Planner(
            Identity(f"e{rank}", CENTRE, f"e{rank}-1"),
            POOL,
            self.tables,
            self.workers,
            view=lambda: PoolView(pool, self.hosts, names),
            own_rank=lambda: rank,
            make_scheduler=FreeListScheduler,  # type: ignore[arg-type]
            now=self.loop.time,
            new_id=lambda: f"{self._random.getrandbits(64):016x}",
        )

    def submit(self, jobs: int) -> None:
        """Write job rows as the job service does, without counting the store calls."""
        for _ in range(jobs):
            record = JobRecord(
                f"{CENTRE}.{POOL}.j{next(self._ids)}",
                "acme",
                "caller",
                "sim",
                "sim",
                POOL,
                CENTRE,
                Shape(GANG, 4),
                "normal",
                idempotent=True,
                checkpoint=False,
                declared_s=60.0,
                accepted_at=self.loop.time(),
                run=json.dumps({"seconds": RUN_S}),
            )
            self.loop.run_until_complete(self.store.transact([], [put_job(record)]))

    def measure(self, work: Callable[[], None]) -> Phase:
        """Return the increase of the counters while ``work`` runs."""
        before = self._counters()
        work()
        after = self._counters()
        return Phase(*(b - a for a, b in zip(before, after, strict=True)))

    def _counters(self) -> Phase:
        return Phase(
            time.process_time() - self.workers.model_cpu_s,
            self.tables.reads,
            self.tables.writes,
            self.workers.renewals,
            self.loop.time(),
        )

    def wait_until(self, done: Callable[[], bool], limit_s: float = 60.0) -> None:
        """Advance the clock until ``done`` returns true.

        :raises TimeoutError: if it still returns false after ``limit_s`` of loop time
        """
        until = self.loop.time() + limit_s
        while not done():
            if self.loop.time() > until:
                raise TimeoutError
            self.loop.advance(0.05)

    def running(self) -> int:
        """Return the number of running tasks."""
        reports = (model.state() for model in self.models.values())
        return sum(
            lease.state == "running" for report in reports for lease in report.leases
        )

    def close(self) -> None:
        """Cancel the planners and close the event loop."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*self.tasks, return_exceptions=True)
        )
        self.loop.close()


def measure_size(workers: int, seed: int) -> dict[str, float]:
    """Measure one size; store calls are those of both candidates."""
    testbed = Testbed(workers, seed)
    first, second = testbed.planners
    testbed.wait_until(lambda: first.planning or second.planning)
    holder = 0 if first.planning else 1
    jobs = workers // GANG
    idle = testbed.measure(lambda: testbed.loop.advance(STEADY_S))
    submitted_at = testbed.loop.time()
    testbed.submit(jobs)
    # Polling the last worker only keeps the CPU cost of the wait low.
    probe = testbed.models[f"w{workers - 1}"]
    start = testbed.measure(
        lambda: testbed.wait_until(lambda: bool(probe.usage()["accelerators"]))
    )
    testbed.loop.advance(1)
    if testbed.running() != jobs * GANG:
        raise RuntimeError(
            f"{testbed.running()} tasks are running, expected {jobs * GANG}"
        )
    steady = testbed.measure(lambda: testbed.loop.advance(STEADY_S))
    testbed.tasks[holder].cancel()
    other = testbed.planners[1 - holder]
    takeover = testbed.measure(lambda: testbed.wait_until(lambda: other.planning))
    testbed.loop.advance(STEADY_S)
    kept = testbed.running() == jobs * GANG
    testbed.loop.advance(submitted_at + RUN_S - testbed.loop.time())
    end = testbed.measure(lambda: testbed.loop.advance(END_S))
    testbed.close()
    return {
        "workers": workers,
        "jobs": jobs,
        "cpu_per_renewal_idle_s": idle.cpu_s / idle.renewals,
        "cpu_per_renewal_s": steady.cpu_s / steady.renewals,
        "cpu_per_second_s": steady.cpu_s / STEADY_S,
        "cpu_per_start_s": start.cpu_s / jobs,
        "start_all_loop_s": start.at,
        "cpu_per_takeover_s": takeover.cpu_s,
        "takeover_loop_s": takeover.at,
        "gangs_kept": kept,
        "writes_per_job_start": start.writes / jobs,
        "writes_per_job_end": end.writes / jobs,
        "cpu_per_end_s": end.cpu_s / jobs,
        "reads_per_second": steady.reads / STEADY_S,
        "writes_per_second": steady.writes / STEADY_S,
    }


def lowest_of_repeats(workers: int, seed: int) -> dict[str, float]:
    """Measure a size several times and keep the lowest CPU figures.

    Load from other processes can only increase a figure.
    """
    runs = [measure_size(workers, seed) for _ in range(REPEATS)]
    cpu = [name for name in runs[0] if name.startswith("cpu_")]
    return runs[0] | {name: min(run[name] for run in runs) for name in cpu}


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, list[float]]:
    """Return the least-squares slope and the residual at each point."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance / sum((x - mean_x) ** 2 for x, _ in points)
    return slope, [y - mean_y - slope * (x - mean_x) for x, y in points]


def main() -> None:
    """Measure each size and record the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    logger.remove()
    lines = [lowest_of_repeats(size, seed) for size in SIZES]
    for name in ("cpu_per_second_s", "cpu_per_takeover_s"):
        slope, residuals = fit([(line["workers"], line[name]) for line in lines])
        for line, residual in zip(lines, residuals, strict=True):
            line[f"{name}_slope_per_worker"] = slope
            line[f"{name}_residual"] = residual
    for line in lines:
        rounded = {name: _rounded(value) for name, value in line.items()}
        write_record("planner_cost", seed, rounded)


def _rounded(value: float) -> float:
    return value if isinstance(value, int) else float(f"{value:.4g}")


if __name__ == "__main__":
    main()
