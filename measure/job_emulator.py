"""Plays days of jobs against the real planner and a model of workers.

No network, no processes, no failures of hosts: a day takes seconds, so that rules of
ordering and placement can be compared over many seeds before they are measured on
the users' bench. Run ``python -m measure.job_emulator --help``.
"""

import argparse
import json
import math
import random
import statistics
import time
from collections.abc import Iterator
from typing import NamedTuple

from bilberryhitch_jobs import (
    Account,
    Configuration,
    JobProgress,
    JobRequest,
    JobState,
    Limits,
    Queue,
    Resources,
    Step,
    TaskName,
)
from bilberryhitch_planner import Planner, StartOrder, StopOutcome, WorkerEntry
from bilberryhitch_standins.simulated_fleet import SimulatedFleet, TaskProfile
from loguru import logger

TICK_S = 0.02
LOOK_S = 0.6
LEASE_S = 10.0
UNIX_S = 1_000_000.0
# After the last arrival; later answers earn nothing.
TAIL_S = 25.0
LATE_FACTOR = 3.0
# A job earns this much of its worth whatever its work, and at most four times it.
FIXED_WORTH = 0.3
MOST_WORTH = 4.0
WIDE_SHARE = 0.25


class Kind(NamedTuple):
    """A kind of request, as the users' sheets describe it."""

    name: str
    per_s: float
    steps: float
    width: float
    most: int
    demand: Resources
    gpus: tuple[int, ...]
    work_s: float
    work_spread: float
    estimate_off: float
    gang: float
    rack_bound: float
    saves: float
    worth: float
    late_worth: float
    queue: Queue


class Deployment(NamedTuple):
    """Workers and kinds of requests."""

    workers: int
    rack: int
    capacity: Resources
    save_s: float
    accounts: int
    kinds: tuple[Kind, ...]


class Job(NamedTuple):
    """An arrival and what it really is."""

    at: float
    kind: Kind
    request: JobRequest
    truths: tuple[tuple[TaskProfile, ...], ...]
    objective_s: float
    worth: float


class Result(NamedTuple):
    """What a day earned."""

    worth: float
    worst_window: float
    by_kind: dict[str, float]
    in_time: float
    late: float
    wasted_core_s: float
    violations: int


def queue(
    name: str, priority: int, attempts: int, stretch: float, target: float
) -> Queue:
    """Return a route of the emulated operator."""
    return Queue(
        name,
        "h",
        f"/{name}/",
        "pool",
        3.0,
        priority,
        attempts,
        stretch,
        target,
        False,
        None,
    )


def deployment(name: str, load: float) -> Deployment:
    """Return one of the users' deployments at a share of its load."""
    grown = name.endswith("grown")
    agency = name.startswith("anjo")
    cores = 64 if agency else 32
    memory = (256 if grown else 128) if agency else 64
    rates = {
        ("mlac", False): (0.393, 0.765, 0.236),
        ("anjo", False): (0.43, 0.963, 0.341),
        ("mlac", True): (1.29, 3.52, 0.815),
        ("anjo", True): (1.52, 5.66, 1.2),
    }[("anjo" if agency else "mlac", grown)]
    widths = (
        ((13, 5, 39) if not agency else (10, 5, 30))
        if grown
        else ((5, 3.4, 16) if not agency else (4, 3, 12))
    )
    scale = cores / 32
    gpus = (1, 2, 4, 8, 8)

    def demand(cpu: int, mem: int) -> Resources:
        return Resources(int(cpu * scale), int(mem * memory / 64), 0)

    long_worth, batch_late = (0.3, 0.1) if agency else (1.5, 0.5)
    long_work = 8.5 if agency and not grown else 6.8
    batch_work = 7.6 if agency and grown else 9.5
    return Deployment(
        176 if grown else 24,
        (20 if agency else 12) if grown else (8 if agency else 6),
        Resources(cores * 1000, memory * 1024, 8),
        2.0 if agency else 0.5,
        10 if grown else 4,
        (
            Kind("long", rates[0] * load, 1, widths[0], 30, demand(13000, 26000), gpus,
                 long_work, 0.3, 0.9, 1.0, 0.6, 0.45, 3.0, long_worth,
                 queue("long", 1, 3, 3.0, 1.0)),
            Kind("quick", rates[1] * load, 1, widths[1], 21, demand(3700, 5500), gpus,
                 2.5, 0.5, 0.5, 1.0, 0.8, 0.0, 4.0, 0.8,
                 queue("quick", 0, 2, 1.5, 0.25)),
            Kind("batch", rates[2] * load, 1.3, widths[2], 94, demand(2800, 7400), (1,),
                 batch_work, 0.3, 0.5, 0.0, 0.0, 0.45, 1.0, batch_late,
                 queue("batch", 2, 2, 3.0, 3.0)),
        ),
    )  # fmt: skip


def arrivals(site: Deployment, seconds: float, rng: random.Random) -> Iterator[Job]:
    """Yield jobs in order of time, with a burst of each kind in turn."""
    drawn: list[tuple[float, Kind]] = []
    for number, kind in enumerate(site.kinds):
        at = 0.0
        burst = (2.0 + 6.0 * number, 8.0 + 6.0 * number)
        while at < seconds:
            rate = kind.per_s * (2.0 if burst[0] < at < burst[1] else 1.0)
            at += rng.expovariate(rate)
            drawn.append((at, kind))
    for number, (at, kind) in enumerate(sorted(drawn, key=lambda pair: pair[0])):
        if at < seconds:
            yield _job(f"{number:016x}", at, kind, site, rng)


def _job(name: str, at: float, kind: Kind, site: Deployment, rng: random.Random) -> Job:
    gpu = rng.choice(kind.gpus)
    gang = rng.random() < kind.gang
    bound = gang and rng.random() < kind.rack_bound
    saves = rng.random() < kind.saves
    steps, truths, chain = [], [], 0.0
    count = 1 if rng.random() > kind.steps - 1 else 2
    core_s = 0.0
    room = site.workers * site.capacity.gpu
    for index in range(count):
        width = max(1, min(kind.most, round(rng.expovariate(1 / kind.width)) or 1))
        mean = min(
            kind.work_s * 1.6,
            rng.lognormvariate(math.log(kind.work_s), kind.work_spread),
        )
        demand = kind.demand._replace(gpu=gpu)
        works = [mean * rng.uniform(0.85, 1.15) for _ in range(width)]
        off = 1 + kind.estimate_off
        steps.append(
            Step(
                width, demand, mean * rng.uniform(1 / off, off),
                depends_on=(index - 1,) if index else (),
                gang=gang, same_rack=bound, saves_progress=saves,
            )
        )  # fmt: skip
        truth = TaskProfile(
            max(works),
            demand,
            gang_size=width if gang else 1,
            checkpoint_period_s=site.save_s if saves else 0.0,
            same_rack=bound,
        )
        truths.append(
            tuple(truth if gang else truth._replace(work_s=work) for work in works)
        )
        waves = max(1.0, width * gpu / (room * WIDE_SHARE))
        chain += max(works) * waves
        core_s += sum(works) * (demand.cpu / 1000 + 8 * gpu)
    mean_core_s = (
        kind.work_s
        * kind.width
        * (kind.demand.cpu / 1000 + 8 * statistics.mean(kind.gpus))
    )
    share = FIXED_WORTH + (1 - FIXED_WORTH) * core_s / (mean_core_s * kind.steps)
    account = f"account-{min(site.accounts - 1, int(rng.expovariate(0.8)))}"
    request = JobRequest(name, kind.queue, account, "s", tuple(steps), UNIX_S + at)
    return Job(
        at, kind, request, tuple(truths),
        kind.queue.stretch * chain + kind.queue.target_s,
        kind.worth * min(MOST_WORTH, share),
    )  # fmt: skip


class Day:
    """One played day."""

    def __init__(self, site: Deployment, seconds: float, seed: int) -> None:
        rng = random.Random(seed)
        self.jobs = {job.request.job: job for job in arrivals(site, seconds, rng)}
        self.fleet = SimulatedFleet(self._truth)
        self.planner = Planner(inherited_revision=0, inherited_until=0.0)
        guaranteed = int(0.62 * site.workers * site.capacity.gpu / site.accounts)
        accounts = {
            name: Account(name, frozenset(), guaranteed)
            for name in (f"account-{number}" for number in range(site.accounts))
        }
        queues = tuple(kind.queue for kind in site.kinds)
        self.planner.configure(Configuration(1, queues, {}, accounts, {}, Limits()))
        self.ended: dict[str, tuple[JobState, float]] = {}
        self._seconds = seconds
        self._looked: dict[str, float] = {}
        self._acknowledged: dict[str, int] = {}
        for number in range(site.workers):
            rack = f"r{number // site.rack}"
            entry = WorkerEntry(
                f"w{number}",
                "pool",
                "",
                "dc",
                site.capacity,
                frozenset({"a", rack}),
                rack,
            )
            self.fleet.add_worker(entry, rng.choice((0.8, 1.0, 1.25)))
            self.planner.add_worker(entry, now=0.0)
        self.planner.stored_roster = frozenset(self.planner.workers)

    def play(self) -> Result:
        """Play to the end and return what was earned."""
        pending = sorted(self.jobs.values(), key=lambda job: job.at)
        now, position = 0.0, 0
        while now < self._seconds + TAIL_S:
            self.fleet.advance(now)
            while position < len(pending) and pending[position].at <= now:
                self._submit(pending[position], now)
                position += 1
            self._look(now)
            self._plan(now)
            now += TICK_S
        return self._result()

    def _truth(self, task: TaskName) -> TaskProfile:
        return self.jobs[task.job].truths[task.step][task.ordinal]

    def _submit(self, job: Job, now: float) -> None:
        self.planner.confirm_lease(1)
        progress = JobProgress(JobState.PENDING, job.request.account, {})
        self.planner.add_job(job.request, progress, 1, now=now, unix_s=UNIX_S + now)

    def _look(self, now: float) -> None:
        for name, model in self.fleet.workers.items():
            due = now - self._looked.get(name, -LOOK_S) >= LOOK_S
            if not due and not model.ends:
                continue
            self._looked[name] = now
            report = model.hold(
                token=1,
                acknowledged=self._acknowledged.get(name, 0),
                lease_until_s=now + LEASE_S,
                now=now,
            )
            assert report is not None
            for ended in report.ended:
                self._acknowledged[name] = max(
                    self._acknowledged.get(name, 0), ended.sequence
                )
            self.planner.apply_heartbeat(
                name, report, sent_at=now, now=now, unix_s=UNIX_S + now
            )
            self.planner.workers[name].lease_deadline(now + LEASE_S, now)
            model.hold(
                token=1, acknowledged=self._acknowledged.get(name, 0),
                lease_until_s=None, now=now,
            )  # fmt: skip

    def _plan(self, now: float) -> None:
        self.planner.tick(now=now, unix_s=UNIX_S + now)
        for order in self.planner.plan(now=now, unix_s=UNIX_S + now):
            model = self.fleet.workers[order.worker]
            if isinstance(order, StartOrder):
                outcome = model.start(
                    order.task, order.run, saved=order.checkpoint, token=1,
                    lease_until_s=now + LEASE_S, now=now,
                )  # fmt: skip
                self.planner.apply_start_outcome(
                    order, outcome, certain=True, now=now, unix_s=UNIX_S + now
                )
            else:
                model.stop(order.task, order.run, token=1, now=now)
                self.planner.apply_stop_outcome(order, StopOutcome.STOPPED, now=now)
        for name in self.planner.dirty:
            job = self.planner.jobs[name]
            if job.finished and name not in self.ended:
                self.ended[name] = (job.state, now)
        self.planner.dirty = set()

    def _result(self) -> Result:
        owed = earned = in_time = late = 0.0
        windows: dict[int, list[float]] = {}
        kinds: dict[str, list[float]] = {}
        for name, job in self.jobs.items():
            got = self._credit(name, job)
            owed += job.worth
            earned += got
            in_time += got == job.worth
            late += 0 < got < job.worth
            for total in (
                windows.setdefault(int(job.at // 2), [0.0, 0.0]),
                kinds.setdefault(job.kind.name, [0.0, 0.0]),
            ):
                total[0] += got
                total[1] += job.worth
        worst = sorted(got / all_ for got, all_ in windows.values() if all_)[:2]
        return Result(
            earned / owed,
            statistics.mean(worst),
            {name: round(got / all_, 3) for name, (got, all_) in kinds.items()},
            in_time / len(self.jobs),
            late / len(self.jobs),
            self.fleet.wasted_core_s,
            len(self.fleet.duplicate_runs) + len(self.fleet.overcommitted),
        )

    def _credit(self, name: str, job: Job) -> float:
        state, at = self.ended.get(name, (JobState.PENDING, 0.0))
        if state is not JobState.COMPLETED:
            return 0.0
        took = at - job.at
        if took <= job.objective_s:
            return job.worth
        if took <= LATE_FACTOR * job.objective_s:
            return job.worth * job.kind.late_worth / job.kind.worth
        return 0.0


def main() -> None:
    """Play days of one deployment and print a JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    sites = ["mlac", "anjo", "mlac-grown", "anjo-grown"]
    parser.add_argument("site", choices=sites)
    parser.add_argument(
        "--load", type=float, default=1.4, help="times the sheet's rates"
    )
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--days", type=int, default=3)
    arguments = parser.parse_args()
    logger.remove()
    worths = []
    for seed in range(arguments.seed, arguments.seed + arguments.days):
        began = time.process_time()
        day = Day(deployment(arguments.site, arguments.load), arguments.seconds, seed)
        result = day.play()
        worths.append(result.worth)
        line = {"site": arguments.site, "load": arguments.load, "seed": seed}
        line |= {"jobs": len(day.jobs), **result._asdict()}
        line["cpu_s"] = round(time.process_time() - began, 1)
        print(
            json.dumps(
                {k: round(v, 3) if isinstance(v, float) else v for k, v in line.items()}
            )
        )
    print(
        json.dumps(
            {"site": arguments.site, "mean_worth": round(statistics.mean(worths), 4)}
        )
    )


if __name__ == "__main__":
    main()
