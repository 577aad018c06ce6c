"""Measures what the planner's rounds, heartbeats and takeovers cost by size.

The pool is full of batch tasks while gangs wait, as in a burst: no gang fits, so each
round compares every one with every worker and reserves workers for the first ones.
Processor time; no network. See ``python -m measure.planner_rounds --help``.
"""

import argparse
import math
import statistics
import time
from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import Any

from bilberryhitch_planner import StartOrder
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    ended,
    entry,
    queue,
    request,
    running,
    step,
)
from loguru import logger

from .records import write_record

WORKER_COUNTS = (176, 540, 1080, 1500, 3000)
WAITING_GANGS = (10, 40)
RACK_SIZE = 12
TASKS_PER_JOB = 40
ROUNDS = 15
# Workers whose heartbeats arrive within one round of 20 ms at a period of 0.6 s.
HEARTBEAT_SHARE = 0.02 / 0.6
LONG = queue("long", 1)
BATCH = queue("batch", 2)


class FullPool:
    """A planner whose pool is full of batch tasks while gangs wait.

    :ivar starts: start orders of the running tasks, by worker
    """

    def __init__(self, workers: int, gangs: int) -> None:
        self.harness = PlannerHarness(
            *(entry(f"w{n:04}", rack=f"r{n // RACK_SIZE}") for n in range(workers))
        )
        self.starts: dict[str, list[StartOrder]] = {}
        self._sequences: dict[str, int] = {}
        self._workers = workers
        self.fill()
        self.queue_gangs(gangs)

    def fill(self) -> None:
        """Start a batch task on each accelerator."""
        for name in list(self.harness.planner.workers):
            self.harness.send_heartbeat(name)
        gpus = sum(worker.free.gpu for worker in self.harness.planner.workers.values())
        for number in range(math.ceil(gpus / TASKS_PER_JOB)):
            self.harness.add(
                request(f"{number:016x}", step(TASKS_PER_JOB), route=BATCH)
            )
        for order in self.harness.start_all():
            self.starts.setdefault(order.worker, []).append(order)

    def queue_gangs(self, gangs: int) -> None:
        """Queue gangs that need whole workers, two in three within one rack."""
        for number in range(gangs):
            gang = step(2 + number % 6, gpu=8, gang=True, same_rack=number % 3 > 0)
            self.harness.add(request(f"gang-{number}", gang, route=LONG))

    def send_heartbeat(self, worker: str) -> None:
        """Pass on a heartbeat reply in which every run has made progress."""
        percent = 10.0 + self.harness.now * 10.0
        rows = [running(order, percent) for order in self.starts[worker]]
        self.harness.send_heartbeat(worker, rows)

    def end_run(self, worker: str) -> None:
        """Pass on a heartbeat reply in which one run has ended."""
        order = self.starts[worker].pop()
        number = self._sequences[worker] = self._sequences.get(worker, 0) + 1
        percent = 10.0 + self.harness.now * 10.0
        rows = [running(each, percent) for each in self.starts[worker]]
        self.harness.send_heartbeat(worker, rows, [ended(order, sequence=number)])

    def take_over(self) -> None:
        """Let a new planner adopt all jobs and runs and plan once."""
        former = self.harness
        names = list(former.planner.workers)
        self.harness = PlannerHarness(
            *(former.planner.workers[name].entry for name in names),
            inherited_revision=1000,
            inherited_until=former.now + 12.0,
        )
        self.harness.now = former.now
        for job in former.planner.jobs.values():
            self.harness.add(job.request, job.progress(), revision=job.revision)
        for name in names:
            self.send_heartbeat(name)
        self.harness.plan()


def timed_ms(call: Callable[..., Any], *arguments: Any) -> float:
    """Return the processor time of a call in milliseconds."""
    begin = time.process_time()
    call(*arguments)
    return (time.process_time() - begin) * 1000.0


def measure(workers: int, gangs: int) -> dict[str, float]:
    """Return the medians for one size, in milliseconds of processor time."""
    pool = FullPool(workers, gangs)
    names = list(pool.starts)
    together = max(1, round(workers * HEARTBEAT_SHARE))
    quiet, busy, heartbeats = [], [], []
    pool.harness.plan()
    for number in range(ROUNDS):
        pool.harness.now += 0.02
        quiet.append(timed_ms(pool.harness.plan))
        first = number * together % len(names)
        reporting = names[first : first + together]
        heartbeats += [timed_ms(pool.send_heartbeat, name) for name in reporting]
        pool.end_run(reporting[0])
        busy.append(timed_ms(pool.harness.plan))
    return {
        "quiet_round_ms": statistics.median(quiet),
        "busy_round_ms": statistics.median(busy),
        "heartbeat_ms": statistics.median(heartbeats),
        "takeover_ms": timed_ms(pool.take_over),
    }


def exponents(rows: Sequence[dict[str, float]], name: str) -> list[float]:
    """Return the growth exponent of a figure between successive numbers of workers."""
    return [
        round(
            math.log(after[name] / before[name])
            / math.log(after["workers"] / before["workers"]),
            2,
        )
        for before, after in pairwise(rows)
        if before[name] > 0 and after[name] > 0
    ]


def main() -> None:
    """Measure all sizes and record a line for each and one of the exponents."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1, help="recorded only")
    arguments = parser.parse_args()
    logger.remove()
    for gangs in WAITING_GANGS:
        rows = []
        for workers in WORKER_COUNTS:
            row = {"workers": workers, "gangs": gangs, **measure(workers, gangs)}
            rows.append(row)
            write_record("planner_rounds", arguments.seed, row)
        names = ("quiet_round_ms", "busy_round_ms", "heartbeat_ms", "takeover_ms")
        fits = {f"{name}_exponents": exponents(rows, name) for name in names}
        write_record("planner_rounds", arguments.seed, {"gangs": gangs, **fits})


if __name__ == "__main__":
    main()
