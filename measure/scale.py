"""Benchmarks the scheduler's operations at the target size and fractions of it.

The target is that of section 1.4 of the design page: 3,000 workers with
4,100 accelerators, 64,000 running tasks and 330 client accounts.
"""

import argparse
import json
import math
import random
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from time import perf_counter
from typing import Any

from bilberryhitch_model import (
    Evict,
    Guarantee,
    Host,
    Placement,
    Pool,
    QueuedJob,
    Shape,
)
from bilberryhitch_scheduling import PoolScheduler

from .policy import commit_id

PARTS = (0.125, 0.25, 0.5, 1.0)
WORKERS = 3000
LARGE_WORKERS = 157  # of 8 accelerators; the others have 1, together 4,099
TASKS = 64_000
ACCOUNTS = 330
TASKS_PER_CORE_JOB = 64  # CPU-only jobs hold most of the running tasks
SMALL_SHARE = 0.9  # fraction of small gangs among jobs with accelerators
ROUNDS = 50  # timed repetitions of each operation


def make_worker_hosts(part: float) -> list[Host]:
    """Return workers in racks of eight, the first ones with 8 accelerators each."""
    large = int(LARGE_WORKERS * part)
    return [
        Host(
            f"w{number:04}",
            "worker",
            "dc",
            "",
            rack=f"rack-{number // 8}",
            position=number % 8,
            accelerators=8 if number < large else 1,
            cores=64,
            memory_gb=256,
        )
        for number in range(int(WORKERS * part))
    ]


def make_pool(part: float) -> Pool:
    """Return a pool in which each client account has a guarantee, a few a large one."""
    accounts = int(ACCOUNTS * part)
    sizes = [32 if n % 40 == 0 else 8 if n % 10 == 0 else 1 for n in range(accounts)]
    rows = [
        Guarantee(f"a{number}", "dc", size, 4 if size == 1 else 1)
        for number, size in enumerate(sizes)
    ]
    return Pool("gpu", "job", guarantees=tuple(rows), max_queued=100_000)


class Benchmark:
    """A scheduler with its running jobs and the latencies of its operations."""

    def __init__(self, part: float, seed: int) -> None:
        self.part = part
        self.times: dict[str, list[float]] = {}
        self.running: dict[str, tuple[QueuedJob, Placement, bool]] = {}
        self._rng = random.Random(seed)
        self._jobs: dict[str, QueuedJob] = {}
        self.scheduler = PoolScheduler("dc", make_pool(part), make_worker_hosts(part))

    def time_call(self, name: str, call: Callable[..., Any], *args: Any) -> Any:
        """Call a function, record its duration in seconds and return its result."""
        begin = perf_counter()
        result = call(*args)
        self.times.setdefault(name, []).append(perf_counter() - begin)
        return result

    def submit(self, shape: Shape) -> None:
        """Submit a job of a random client account."""
        number = len(self._jobs)
        account = f"a{self._rng.randrange(int(ACCOUNTS * self.part))}"
        kind = f"k{self._rng.randrange(3)}"
        job = QueuedJob(f"j{number}", account, kind, f"c{number % 4}", shape)
        self._jobs[job.job_id] = job
        self.time_call("submit", self.scheduler.submit, job, 0.0)

    def decide(self) -> None:
        """Decide and confirm the decisions until there are no more."""
        while decisions := self.time_call("decide", self.scheduler.decide, 1.0):
            for row in decisions:
                if isinstance(row, Evict):
                    self.running.pop(row.job_id, None)
                    self.scheduler.evicted(row.job_id, 1.0)
                else:
                    job = self._jobs[row.job_id]
                    self.running[row.job_id] = (job, row.placement, row.borrowed)
                    self.scheduler.started(row.job_id, 1.0)

    def random_gang(self) -> Shape:
        """Return a random gang shape; most have at most 4 accelerators."""
        if self._rng.random() < SMALL_SHARE:
            return Shape(1, self._rng.choice((1, 1, 1, 2, 4)), 1, 1)
        return Shape(self._rng.choice((8, 16, 32, 128)), 1, 1, 1)

    def fill(self) -> None:
        """Start the running tasks of the target size and leave a backlog queued."""
        for _ in range(int(TASKS * self.part / TASKS_PER_CORE_JOB)):
            self.submit(Shape(TASKS_PER_CORE_JOB, 0, 2, 1))
        for _ in range(int(4000 * self.part)):
            self.submit(self.random_gang())
        self.decide()
        self.times.clear()

    def churn(self) -> None:
        """Time single operations while the pool is full."""
        for _ in range(ROUNDS):
            job_id = self._rng.choice(list(self.running))
            del self.running[job_id]
            self.time_call("finished", self.scheduler.finished, job_id, 2.0)
            self.submit(self.random_gang())
            self.decide()
        for host in self._rng.sample(make_worker_hosts(self.part), 20):
            self.time_call("host_lost", self.scheduler.host_lost, host.name)
            self.scheduler.host_back(host)

    def take_over(self) -> None:
        """Time the adoption of all running jobs by a new scheduler."""
        fresh = PoolScheduler("dc", make_pool(self.part), make_worker_hosts(self.part))
        begin = perf_counter()
        for job, placement, borrowed in self.running.values():
            fresh.adopt(job, placement, borrowed, 3.0)
        fresh.decide(3.0)
        self.times["takeover"] = [perf_counter() - begin]


def measure(part: float, seed: int) -> dict[str, Any]:
    """Return a result row: median and p99 in milliseconds, memory in MB."""
    bench = Benchmark(part, seed)
    bench.fill()
    bench.churn()
    bench.take_over()
    row: dict[str, Any] = {
        "part": part,
        "tasks": sum(job.shape.tasks for job, _, _ in bench.running.values()),
        "jobs": len(bench.running),
    }
    for name, times in bench.times.items():
        times.sort()
        row[f"{name}_p50_ms"] = round(1000 * times[len(times) // 2], 4)
        row[f"{name}_p99_ms"] = round(1000 * times[int(0.99 * (len(times) - 1))], 4)
    tracemalloc.start()
    held = Benchmark(part, seed)
    held.fill()
    row["memory_mb"] = round(tracemalloc.get_traced_memory()[0] / 1e6, 2)
    tracemalloc.stop()
    return row


def slope(rows: list[dict[str, Any]], field: str) -> dict[str, float]:
    """Fit ``log(value) = slope * log(part) + c`` by least squares."""
    points = [(math.log(row["part"]), math.log(max(row[field], 1e-6))) for row in rows]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    found = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    residual = max(abs(y - mean_y - found * (x - mean_x)) for x, y in points)
    return {"slope": round(found, 3), "residual": round(residual, 3)}


def main() -> None:
    """Measure all sizes, then append the results and the fitted slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=Path, default=Path("measures/scale.jsonl"))
    options = parser.parse_args()
    command = f"python -m measure.scale --seed {options.seed}"
    head = {"commit": commit_id(), "seed": options.seed, "command": command}
    rows = []
    with options.output.open("a") as lines:
        for part in PARTS:
            rows.append({**head, **measure(part, options.seed)})
            print(json.dumps(rows[-1]), file=lines, flush=True)
            print(json.dumps(rows[-1]))
        fields = [name for name in rows[-1] if name.endswith(("_p50_ms", "_mb"))]
        fits = {field: slope(rows, field) for field in fields}
        print(json.dumps({**head, "fit": fits}), file=lines)
        print(json.dumps(fits))


if __name__ == "__main__":
    main()
