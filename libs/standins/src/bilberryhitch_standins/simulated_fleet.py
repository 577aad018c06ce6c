"""A model of workers that run tasks under leases; time is passed in.

Used by the stand-in of a worker's interface, by the emulator and by tests.
"""

from collections.abc import Callable
from typing import NamedTuple

from bilberryhitch_jobs import Resources, TaskName
from bilberryhitch_planner import (
    EndedTask,
    EndKind,
    HeartbeatReply,
    RunningTask,
    StartOutcome,
    StopOutcome,
    WorkerEntry,
)


class TaskProfile(NamedTuple):
    """What a task really is.

    :param work_s: time that it needs on a worker of speed 1
    :param gang_size: tasks that work only together; 1 for a single task
    :param fails: it ends in failure
    :param checkpoint_period_s: period of its checkpoints; 0 if it makes none
    """

    work_s: float
    demand: Resources = Resources()
    gang_size: int = 1
    fails: bool = False
    checkpoint_period_s: float = 0.0
    same_rack: bool = False
    data_rack: str = ""


class WorkerParameters(NamedTuple):
    """Bounds of the platform, in seconds."""

    hold_max_s: float = 10.0
    stop_duration_s: float = 0.4
    gang_s: float = 3.0
    restore_s: float = 0.1
    away_factor: float = 3.0


class _Run:
    def __init__(
        self, worker: "SimulatedWorker", truth: TaskProfile, number: int, now: float
    ) -> None:
        self.worker = worker
        self.truth = truth
        self.number = number
        self.began = now
        self.done_s = 0.0
        self.saved_s = 0.0
        self.stop_at: float | None = None
        self.task: TaskName

    def percent(self) -> float:
        return 100.0 * self.done_s / self.truth.work_s if self.truth.work_s else 100.0


class SimulatedFleet:
    """All workers of a pool and the gangs that span them.

    :param truth: what each task really is
    :ivar duplicate_runs: tasks that were seen to run twice at a time
    :ivar overcommitted: starts that brought a worker over its capacity
    """

    def __init__(
        self,
        truth: Callable[[TaskName], TaskProfile],
        terms: WorkerParameters | None = None,
    ) -> None:
        self.workers: dict[str, SimulatedWorker] = {}
        self.duplicate_runs: list[TaskName] = []
        self.overcommitted: list[TaskName] = []
        self.wasted_core_s = 0.0
        self._truth = truth
        self._terms = terms or WorkerParameters()
        self._gangs: dict[tuple[str, int, int, int], dict[int, _Run]] = {}

    def add_worker(self, entry: WorkerEntry, speed: float = 1.0) -> "SimulatedWorker":
        """Start a worker."""
        worker = SimulatedWorker(self, entry, speed)
        self.workers[entry.worker] = worker
        return worker

    def advance(self, now: float) -> None:
        """Let time pass on all workers."""
        for worker in self.workers.values():
            worker.advance(now)
        for key, members in list(self._gangs.items()):
            self._advance_gang(key, members, now)

    def truth_of(self, task: TaskName) -> TaskProfile:
        """Return what a task really is."""
        return self._truth(task)

    @property
    def terms(self) -> WorkerParameters:
        """Bounds of the platform."""
        return self._terms

    def join(self, run: _Run) -> None:
        """Note a start, and what it breaks."""
        task = run.task
        for worker in self.workers.values():
            if worker.alive and worker.runs_task(task, besides=run):
                self.duplicate_runs.append(task)
        if run.truth.gang_size > 1:
            key = (task.job, task.occurrence, task.step, run.number)
            self._gangs.setdefault(key, {})[task.ordinal] = run

    def complete(self, run: _Run) -> bool:
        """Return whether all members of the run's gang are present."""
        if run.truth.gang_size == 1:
            return True
        return len(self._members(run)) == run.truth.gang_size

    def factor(self, run: _Run) -> float:
        """Return how much slower a run is because of where it and its gang are."""
        truth = run.truth
        racks = {member.worker.entry.rack for member in self._members(run).values()}
        away = bool(truth.data_rack) and run.worker.entry.rack != truth.data_rack
        if away or (truth.same_rack and len(racks) > 1):
            return self._terms.away_factor
        return 1.0

    def end(self, run: _Run, how: EndKind, now: float) -> None:
        """End a run and, with it, its gang."""
        members = list(self._members(run).values())
        key = (run.task.job, run.task.occurrence, run.task.step, run.number)
        self._gangs.pop(key, None)
        run.worker.list_end(run, how)
        for member in members:
            if member is not run:
                other = EndKind.DONE if how is EndKind.DONE else EndKind.BROKEN
                member.worker.list_end(member, other)

    def _members(self, run: _Run) -> dict[int, _Run]:
        key = (run.task.job, run.task.occurrence, run.task.step, run.number)
        return self._gangs.get(key, {run.task.ordinal: run})

    def _advance_gang(
        self, key: tuple[str, int, int, int], members: dict[int, _Run], now: float
    ) -> None:
        first = next(iter(members.values()))
        if len(members) == first.truth.gang_size:
            return
        if now - min(run.began for run in members.values()) > self._terms.gang_s:
            for run in list(members.values()):
                run.worker.list_end(run, EndKind.ALONE)
            self._gangs.pop(key, None)


class SimulatedWorker:
    """One incarnation of a worker.

    :ivar alive: false after a crash
    :ivar fails_all: every run fails soon after its start
    :ivar stalled: nothing makes progress
    """

    def __init__(self, fleet: SimulatedFleet, entry: WorkerEntry, speed: float) -> None:
        self.entry = entry
        self.speed = speed
        self.alive = True
        self.fails_all = False
        self.stalled = False
        self.clock_offset = 0.0
        self._fleet = fleet
        self._runs: dict[TaskName, _Run] = {}
        self._ends: list[EndedTask] = []
        self._barred: dict[TaskName, int] = {}
        self._count = 0
        self._token = 0
        self._lease = float("inf")
        self._now = 0.0

    @property
    def running(self) -> int:
        """Number of runs."""
        return len(self._runs)

    @property
    def ends(self) -> list[EndedTask]:
        """Ends that are not acknowledged."""
        return self._ends

    def crash(self) -> None:
        """Lose everything at once."""
        self.alive = False
        for run in list(self._runs.values()):
            self._fleet.end(run, EndKind.LAPSED, self._now)

    def start(
        self,
        task: TaskName,
        number: int,
        *,
        saved: str,
        token: int,
        lease_until_s: float,
        now: float,
    ) -> StartOutcome:
        """Answer a start."""
        if not self._admit(token):
            return StartOutcome.FENCED
        if lease_until_s <= now + self.clock_offset:
            return StartOutcome.LATE
        self._extend(lease_until_s, now)
        present = self._runs.get(task)
        if present is not None and present.number == number:
            return StartOutcome.STARTED
        if number <= self._barred.get(task, 0) or present is not None:
            return StartOutcome.OLD
        run = _Run(self, self._fleet.truth_of(task), number, now)
        run.task = task
        run.saved_s = run.done_s = float(saved or 0)
        self._runs[task] = run
        if not self._used().fits(self.entry.capacity):
            self._fleet.overcommitted.append(task)
        self._fleet.join(run)
        return StartOutcome.STARTED

    def stop(
        self, task: TaskName, number: int, *, token: int, now: float
    ) -> StopOutcome:
        """Answer a stop."""
        if not self._admit(token):
            return StopOutcome.FENCED
        self._barred[task] = max(number, self._barred.get(task, 0))
        run = self._runs.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = now + self._fleet.terms.stop_duration_s
        return StopOutcome.STOPPED

    def hold(
        self,
        *,
        token: int,
        acknowledged: int,
        lease_until_s: float | None,
        now: float,
    ) -> HeartbeatReply | None:
        """Answer a hold; None for a token that is too low."""
        if not self._admit(token):
            return None
        if lease_until_s is not None:
            self._extend(lease_until_s, now)
        self._ends = [end for end in self._ends if end.sequence > acknowledged]
        running = tuple(
            RunningTask(task, run.number, self._checkpoint(run), run.percent())
            for task, run in self._runs.items()
        )
        return HeartbeatReply(now + self.clock_offset, 0, running, tuple(self._ends))

    def advance(self, now: float) -> None:
        """Let time pass."""
        passed, self._now = now - self._now, now
        if not self.alive:
            return
        lapsed = now > self._lease
        for run in list(self._runs.values()):
            if run.task not in self._runs:
                continue
            if lapsed:
                self._fleet.end(run, EndKind.LAPSED, now)
            elif run.stop_at is not None and now >= run.stop_at:
                self._fleet.end(run, EndKind.STOPPED, now)
            else:
                self._work(run, passed, now)

    def runs_task(self, task: TaskName, besides: _Run) -> bool:
        """Return whether another run of a task is here."""
        run = self._runs.get(task)
        return run is not None and run is not besides

    def list_end(self, run: _Run, how: EndKind) -> None:
        """Move a run to the ends."""
        if self._runs.pop(run.task, None) is None:
            return
        self._barred[run.task] = max(run.number, self._barred.get(run.task, 0))
        if how is not EndKind.DONE:
            kept = run.done_s if how is EndKind.STOPPED else run.saved_s
            lost = run.done_s - (kept if run.truth.checkpoint_period_s else 0.0)
            demand = run.truth.demand
            self._fleet.wasted_core_s += lost * (demand.cpu / 1000 + 8 * demand.gpu)
        if self.alive:
            self._count += 1
            saved = self._checkpoint(run, stopped=how is EndKind.STOPPED)
            self._ends.append(EndedTask(self._count, run.task, run.number, how, saved))

    def _work(self, run: _Run, passed: float, now: float) -> None:
        if self.stalled or not self._fleet.complete(run):
            return
        run.done_s += passed * self.speed / self._fleet.factor(run)
        if run.truth.checkpoint_period_s:
            run.saved_s = run.done_s - run.done_s % run.truth.checkpoint_period_s
        if self.fails_all and run.done_s > 0.1 * run.truth.work_s:
            self._fleet.end(run, EndKind.FAILED, now)
        elif run.done_s >= run.truth.work_s:
            how = EndKind.FAILED if run.truth.fails else EndKind.DONE
            self._fleet.end(run, how, now)

    def _admit(self, token: int) -> bool:
        if token < self._token:
            return False
        self._token = token
        return True

    def _extend(self, lease_until_s: float, now: float) -> None:
        until = min(
            lease_until_s - self.clock_offset, now + self._fleet.terms.hold_max_s
        )
        self._lease = until if self._lease == float("inf") else max(self._lease, until)

    def _used(self) -> Resources:
        used = Resources()
        for run in self._runs.values():
            used = used.plus(run.truth.demand)
        return used

    def _checkpoint(self, run: _Run, *, stopped: bool = False) -> str:
        if not run.truth.checkpoint_period_s:
            return ""
        value = run.done_s if stopped else run.saved_s
        return f"{value:.3f}" if value else ""
