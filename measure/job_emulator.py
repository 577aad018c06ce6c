"""Emulates days of jobs with the real planner and simulated workers.

There is no network, no other process and no host failure, so a day takes seconds.
Ordering and placement rules can therefore be compared over many seeds before they are
measured on the users' benchmark. See ``python -m measure.job_emulator --help``.
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
REPORT_INTERVAL_S = 0.6
LEASE_S = 10.0
UNIX_S = 1_000_000.0
# Emulated time after the last arrival; jobs that end later earn nothing.
POST_ARRIVAL_S = 25.0
# A job that takes longer than its objective earns a reduced worth; one that takes
# longer than this multiple of the objective earns nothing.
LATE_FACTOR = 3.0
# A job's worth is its kind's worth times a factor that grows with its work: the
# minimum is the part that does not depend on the work.
MIN_WORTH_FACTOR = 0.3
MAX_WORTH_FACTOR = 4.0
# Share of the pool's GPUs up to which the objective counts a step's tasks as running
# at the same time; a step that needs more gets proportionally more time.
WIDE_STEP_SHARE = 0.25


class JobKind(NamedTuple):
    """A kind of job, with the parameters of the users' workload sheets.

    :ivar per_s: arrivals per second
    :ivar steps: mean number of steps, 1 to 2
    :ivar width: mean number of tasks per step, at most ``max_width``
    :ivar estimate_error: estimates are wrong by a factor of up to 1 plus this
    :ivar gang: probability that the tasks of each step form a gang
    :ivar rack_bound: probability that a gang must be placed in one rack
    :ivar saves: probability that tasks save their progress
    """

    name: str
    per_s: float
    steps: float
    width: float
    max_width: int
    demand: Resources
    gpus: tuple[int, ...]
    work_s: float
    work_spread: float
    estimate_error: float
    gang: float
    rack_bound: float
    saves: float
    worth: float
    late_worth: float
    queue: Queue


class Deployment(NamedTuple):
    """Workers and job kinds of an emulated data centre."""

    workers: int
    rack: int
    capacity: Resources
    save_s: float
    accounts: int
    kinds: tuple[JobKind, ...]
    speeds: tuple[float, ...]


class Job(NamedTuple):
    """A job arrival with the actual profiles of its tasks by step."""

    at: float
    kind: JobKind
    request: JobRequest
    profiles: tuple[tuple[TaskProfile, ...], ...]
    objective_s: float
    worth: float


class SlowSpell(NamedTuple):
    """A time in which some of the workers are slow.

    :param share: share of the workers
    :param factor: how many times as long their tasks take
    """

    share: float
    factor: float
    start_s: float = 7.5
    length_s: float = 7.0


class Result(NamedTuple):
    """Worth earned, resources wasted and errors in an emulated day.

    :ivar worth: share of the offered worth that was earned
    :ivar worst_window: mean of that share in the two worst windows; a window holds the
        jobs that arrive within two seconds
    :ivar by_kind: that share by kind of job
    :ivar served: by kind the number of jobs in time, late and not served
    :ivar p99_s: by kind the 99th percentile of the time of those that completed
    :ivar in_time: share of the jobs that earned their full worth
    :ivar late: share of the jobs that earned a reduced worth
    :ivar wasted_core_s: core-seconds of lost work; a GPU counts as 8 cores
    :ivar violations: number of duplicate runs and of starts that exceeded the capacity
        of a worker
    """

    worth: float
    worst_window: float
    by_kind: dict[str, float]
    served: dict[str, tuple[int, int, int]]
    p99_s: dict[str, float]
    in_time: float
    late: float
    wasted_core_s: float
    violations: int


def make_queue(
    name: str, priority: int, attempts: int, stretch: float, target: float
) -> Queue:
    """Return a queue as the emulated operator configures it."""
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


class Sheet(NamedTuple):
    """Figures of a users' workload sheet.

    :ivar memory_gb: memory of a worker
    :ivar save_s: period in which tasks save their progress
    :ivar per_s: arrivals of long, quick and batch jobs per second
    :ivar widths: mean tasks of their steps
    :ivar work_s: mean run times of their tasks
    :ivar late_worth: worth of a late long and a late batch job
    :ivar speeds: speeds of which each worker has one
    """

    workers: int
    rack: int
    cores: int
    memory_gb: int
    save_s: float
    accounts: int
    per_s: tuple[float, float, float]
    widths: tuple[float, float, float]
    work_s: tuple[float, float, float]
    late_worth: tuple[float, float]
    speeds: tuple[float, ...] = (0.8, 1.0, 1.25)


SHEETS = {
    "mlac": Sheet(
        24, 6, 32, 64, 0.5, 4,
        (0.393, 0.765, 0.236), (5, 3.4, 16), (6.8, 2.5, 9.5), (1.5, 0.5),
    ),
    "anjo": Sheet(
        24, 8, 64, 128, 2.0, 4,
        (0.43, 0.963, 0.341), (4, 3, 12), (8.5, 2.5, 9.5), (0.3, 0.1),
    ),
    "ctc": Sheet(
        24, 8, 64, 256, 0.5, 4,
        (0.221, 0.673, 0.325), (5, 3, 16), (9.4, 2.1, 5.2), (0.9, 0.3),
    ),
    "mlac-grown": Sheet(
        176, 12, 32, 64, 0.5, 10,
        (1.29, 3.52, 0.815), (13, 5, 39), (6.8, 2.5, 9.5), (1.5, 0.5),
    ),
    "anjo-grown": Sheet(
        176, 20, 64, 256, 2.0, 10,
        (1.52, 5.66, 1.2), (10, 5, 30), (6.8, 2.5, 7.6), (0.3, 0.1),
    ),
    "ctc-grown": Sheet(
        176, 8, 64, 256, 0.5, 10,
        (0.727, 3.1, 1.12), (13, 5, 39), (9.4, 2.1, 5.2), (0.9, 0.3),
    ),
    "mlac-large": Sheet(
        270, 12, 32, 128, 0.5, 24,
        (1.38, 5.5, 1.35), (13, 5, 38), (11.0, 2.5, 9.5), (1.5, 0.5),
    ),
    "qalamkar": Sheet(
        176, 8, 64, 128, 0.5, 10,
        (0.672, 2.87, 1.03), (13, 5.4, 39), (11.0, 2.5, 6.1), (1.5, 0.5),
    ),
    "yhteishaku": Sheet(
        176, 12, 128, 256, 2.0, 10,
        (1.14, 3.1, 1.12), (13, 5.4, 39), (5.8, 2.1, 5.2), (0.3, 0.1),
        (0.6, 1.0, 1.6),
    ),
}  # fmt: skip


def make_deployment(name: str, load: float) -> Deployment:
    """Return one of the users' deployments, its arrival rates scaled by ``load``."""
    sheet = SHEETS[name]
    cpu_scale = sheet.cores / 32
    memory_scale = sheet.memory_gb / 64
    gpus = (1, 2, 4, 8, 8)

    def demand(cpu: int, memory: int) -> Resources:
        return Resources(int(cpu * cpu_scale), int(memory * memory_scale), 0)

    rates = [rate * load for rate in sheet.per_s]
    widths, work = sheet.widths, sheet.work_s
    long_late, batch_late = sheet.late_worth
    return Deployment(
        sheet.workers,
        sheet.rack,
        Resources(sheet.cores * 1000, sheet.memory_gb * 1024, 8),
        sheet.save_s,
        sheet.accounts,
        (
            JobKind("long", rates[0], 1, widths[0], 30, demand(13000, 26000),
                 gpus, work[0], 0.3, 0.9, 1.0, 0.6, 0.45, 3.0, long_late,
                 make_queue("long", 1, 3, 3.0, 1.0)),
            JobKind("quick", rates[1], 1, widths[1], 21, demand(3700, 5500),
                 gpus, work[1], 0.5, 0.5, 1.0, 0.8, 0.0, 4.0, 0.8,
                 make_queue("quick", 0, 2, 1.5, 0.25)),
            JobKind("batch", rates[2], 1.3, widths[2], 94, demand(2800, 7400),
                 (1,), work[2], 0.3, 0.5, 0.0, 0.0, 0.45, 1.0, batch_late,
                 make_queue("batch", 2, 2, 3.0, 3.0)),
        ),
        sheet.speeds,
    )  # fmt: skip


def generate_arrivals(
    deployment: Deployment, seconds: float, rng: random.Random
) -> Iterator[Job]:
    """Yield jobs by arrival time; each kind has a burst, one after the other."""
    drawn: list[tuple[float, JobKind]] = []
    for number, kind in enumerate(deployment.kinds):
        at = 0.0
        burst = (2.0 + 6.0 * number, 8.0 + 6.0 * number)
        while at < seconds:
            rate = kind.per_s * (2.0 if burst[0] < at < burst[1] else 1.0)
            at += rng.expovariate(rate)
            drawn.append((at, kind))
    for number, (at, kind) in enumerate(sorted(drawn, key=lambda pair: pair[0])):
        if at < seconds:
            yield _job(f"{number:016x}", at, kind, deployment, rng)


def _job(
    name: str, at: float, kind: JobKind, deployment: Deployment, rng: random.Random
) -> Job:
    gpu = rng.choice(kind.gpus)
    gang = rng.random() < kind.gang
    same_rack = gang and rng.random() < kind.rack_bound
    saves = rng.random() < kind.saves
    steps, profiles, critical_path_s = [], [], 0.0
    count = 1 if rng.random() > kind.steps - 1 else 2
    core_s = 0.0
    pool_gpus = deployment.workers * deployment.capacity.gpu
    for index in range(count):
        width = max(1, min(kind.max_width, round(rng.expovariate(1 / kind.width)) or 1))
        mean = min(
            kind.work_s * 1.6,
            rng.lognormvariate(math.log(kind.work_s), kind.work_spread),
        )
        demand = kind.demand._replace(gpu=gpu)
        task_work_s = [mean * rng.uniform(0.85, 1.15) for _ in range(width)]
        error_factor = 1 + kind.estimate_error
        steps.append(
            Step(
                width, demand, mean * rng.uniform(1 / error_factor, error_factor),
                depends_on=(index - 1,) if index else (),
                gang=gang, same_rack=same_rack, saves_progress=saves,
            )
        )  # fmt: skip
        profile = TaskProfile(
            max(task_work_s),
            demand,
            gang_size=width if gang else 1,
            checkpoint_period_s=deployment.save_s if saves else 0.0,
            same_rack=same_rack,
        )
        profiles.append(
            tuple(
                profile if gang else profile._replace(work_s=work)
                for work in task_work_s
            )
        )
        # The number of rounds, possibly fractional, in which the tasks run.
        waves = max(1.0, width * gpu / (pool_gpus * WIDE_STEP_SHARE))
        critical_path_s += max(task_work_s) * waves
        core_s += sum(task_work_s) * (demand.cpu / 1000 + 8 * gpu)
    mean_core_s = (
        kind.work_s
        * kind.width
        * (kind.demand.cpu / 1000 + 8 * statistics.mean(kind.gpus))
    )
    share = MIN_WORTH_FACTOR + (1 - MIN_WORTH_FACTOR) * core_s / (
        mean_core_s * kind.steps
    )
    account = f"account-{min(deployment.accounts - 1, int(rng.expovariate(0.8)))}"
    request = JobRequest(name, kind.queue, account, "s", tuple(steps), UNIX_S + at)
    return Job(
        at, kind, request, tuple(profiles),
        kind.queue.stretch * critical_path_s + kind.queue.target_s,
        kind.worth * min(MAX_WORTH_FACTOR, share),
    )  # fmt: skip


class Day:
    """An emulated day.

    :param slow: a time in which some of the workers are slow
    """

    def __init__(
        self,
        deployment: Deployment,
        seconds: float,
        seed: int,
        slow: SlowSpell | None = None,
    ) -> None:
        rng = random.Random(seed)
        self.jobs = {
            job.request.job: job for job in generate_arrivals(deployment, seconds, rng)
        }
        self.fleet = SimulatedFleet(self._profile)
        self.planner = Planner(inherited_revision=0, inherited_until=0.0)
        guaranteed = int(
            0.62 * deployment.workers * deployment.capacity.gpu / deployment.accounts
        )
        accounts = {
            name: Account(name, frozenset(), guaranteed)
            for name in (f"account-{number}" for number in range(deployment.accounts))
        }
        queues = tuple(kind.queue for kind in deployment.kinds)
        self.planner.configure(Configuration(1, queues, {}, accounts, {}, Limits()))
        self.ended: dict[str, tuple[JobState, float]] = {}
        self._seconds = seconds
        self._reported_at: dict[str, float] = {}
        self._acknowledged: dict[str, int] = {}
        for number in range(deployment.workers):
            rack = f"r{number // deployment.rack}"
            entry = WorkerEntry(
                f"w{number}",
                "pool",
                "",
                "dc",
                deployment.capacity,
                frozenset({"a", rack}),
                rack,
            )
            self.fleet.add_worker(entry, rng.choice(deployment.speeds))
            self.planner.add_worker(entry, now=0.0)
        self.planner.stored_roster = frozenset(self.planner.workers)
        self._slow = slow
        names = sorted(self.fleet.workers)
        self._slow_workers = (
            random.Random(seed).sample(names, round(slow.share * len(names)))
            if slow
            else []
        )

    def run(self) -> Result:
        """Emulate the day and return its result."""
        pending = sorted(self.jobs.values(), key=lambda job: job.at)
        now, position = 0.0, 0
        while now < self._seconds + POST_ARRIVAL_S:
            self.fleet.advance(now)
            self._change_speeds(now)
            while position < len(pending) and pending[position].at <= now:
                self._submit(pending[position], now)
                position += 1
            self._exchange_heartbeats(now)
            self._plan(now)
            now += TICK_S
        return self._result()

    def _profile(self, task: TaskName) -> TaskProfile:
        return self.jobs[task.job].profiles[task.step][task.ordinal]

    def _change_speeds(self, now: float) -> None:
        """Slow workers down at the start of the slow time; speed them up at its end."""
        if self._slow is None:
            return
        start, end = self._slow.start_s, self._slow.start_s + self._slow.length_s
        for at, factor in ((start, 1 / self._slow.factor), (end, self._slow.factor)):
            if now - TICK_S < at <= now:
                for name in self._slow_workers:
                    self.fleet.workers[name].speed *= factor

    def _submit(self, job: Job, now: float) -> None:
        self.planner.confirm_lease(1)
        progress = JobProgress(JobState.PENDING, job.request.account, {})
        self.planner.add_job(job.request, progress, 1, now=now, unix_s=UNIX_S + now)

    def _exchange_heartbeats(self, now: float) -> None:
        for name, model in self.fleet.workers.items():
            due = (
                now - self._reported_at.get(name, -REPORT_INTERVAL_S)
                >= REPORT_INTERVAL_S
            )
            if not due and not model.ends:
                continue
            self._reported_at[name] = now
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
        offered_worth = earned = in_time = late = 0.0
        windows: dict[int, list[float]] = {}
        kinds: dict[str, list[float]] = {}
        for name, job in self.jobs.items():
            credit = self._credit(name, job)
            offered_worth += job.worth
            earned += credit
            in_time += credit == job.worth
            late += 0 < credit < job.worth
            for total in (
                windows.setdefault(int(job.at // 2), [0.0, 0.0]),
                kinds.setdefault(job.kind.name, [0.0, 0.0]),
            ):
                total[0] += credit
                total[1] += job.worth
        worst = sorted(
            credit / offered for credit, offered in windows.values() if offered
        )[:2]
        return Result(
            earned / offered_worth,
            statistics.mean(worst),
            {
                name: round(credit / offered, 3)
                for name, (credit, offered) in kinds.items()
            },
            {kind: self._served(kind) for kind in kinds},
            {kind: self._p99_s(kind) for kind in kinds},
            in_time / len(self.jobs),
            late / len(self.jobs),
            self.fleet.wasted_core_s,
            len(self.fleet.duplicate_runs) + len(self.fleet.overcommitted),
        )

    def _served(self, kind: str) -> tuple[int, int, int]:
        """Return the number of jobs of a kind in time, late and not served."""
        in_time = late = missed = 0
        for name, job in self.jobs.items():
            if job.kind.name == kind:
                credit = self._credit(name, job)
                in_time += credit == job.worth
                late += 0 < credit < job.worth
                missed += credit == 0
        return in_time, late, missed

    def _p99_s(self, kind: str) -> float:
        """Return the 99th percentile of the completion times of a kind's jobs."""
        times = sorted(
            at - self.jobs[name].at
            for name, (state, at) in self.ended.items()
            if state is JobState.COMPLETED and self.jobs[name].kind.name == kind
        )
        return round(times[int(0.99 * len(times))], 2) if times else 0.0

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
    """Emulate days of one deployment and print a JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", choices=sorted(SHEETS))
    parser.add_argument(
        "--load",
        type=float,
        default=1.4,
        help="factor on the arrival rates of the workload sheet",
    )
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--days", type=int, default=3)
    parser.add_argument(
        "--slow-share",
        type=float,
        default=0.0,
        help="share of the workers that are slow for a while",
    )
    parser.add_argument("--slow-factor", type=float, default=6.0)
    arguments = parser.parse_args()
    logger.remove()
    worths = []
    for seed in range(arguments.seed, arguments.seed + arguments.days):
        started_s = time.process_time()
        day = Day(
            make_deployment(arguments.site, arguments.load),
            arguments.seconds,
            seed,
            SlowSpell(arguments.slow_share, arguments.slow_factor),
        )
        result = day.run()
        worths.append(result.worth)
        line = {"site": arguments.site, "load": arguments.load, "seed": seed}
        line |= {"jobs": len(day.jobs), **result._asdict()}
        line["cpu_s"] = round(time.process_time() - started_s, 1)
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
