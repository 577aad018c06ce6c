"""Simulation of workers that run tasks for ``bilberryhitch_planner``, without I/O.

A worker has one lease for all of its runs. It takes the calls of this planner's worker
protocol: start, stop and heartbeat (``hold``). The workers of ``bilberryhitch_gangs``,
which have another protocol, are simulated in ``worker_model.py``.

The caller passes the time. The worker stand-in of the platform, the job emulator and
tests use this module.
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
    """Actual run time, demand and outcome of a task, which the planner doesn't know.

    :param work_s: run time in seconds on a worker of speed 1
    :param demand: resources that the task uses
    :param gang_size: number of tasks of the gang, which progress only while all of
        them run; 1 for a single task
    :param fails: the task fails at the end of its run time
    :param checkpoint_period_s: seconds of work between checkpoints; 0 for a task that
        saves none
    :param same_rack: the gang runs slower if it spans racks
    :param data_rack: the task runs slower on other racks; empty for no preference
    """

    work_s: float
    demand: Resources = Resources()
    gang_size: int = 1
    fails: bool = False
    checkpoint_period_s: float = 0.0
    same_rack: bool = False
    data_rack: str = ""


class WorkerParameters(NamedTuple):
    """Timings of the simulated workers.

    :param max_lease_extension_s: a call extends the lease to at most this many seconds
        after the time of the call
    :param stop_duration_s: seconds from a stop call to the end of the run
    :param gang_assembly_timeout_s: seconds after which an incomplete gang ends
    :param restore_s: not used
    :param placement_slowdown: factor by which an unfavourable rack slows a run
    """

    max_lease_extension_s: float = 10.0
    stop_duration_s: float = 0.4
    gang_assembly_timeout_s: float = 3.0
    restore_s: float = 0.1
    placement_slowdown: float = 3.0


class _Run:
    def __init__(
        self, worker: "SimulatedWorker", profile: TaskProfile, number: int, now: float
    ) -> None:
        self.worker = worker
        self.profile = profile
        self.number = number
        self.started_at = now
        self.done_s = 0.0
        self.saved_s = 0.0
        self.stop_at: float | None = None
        self.task: TaskName

    def percent(self) -> float:
        if not self.profile.work_s:
            return 100.0
        return min(100.0, 100.0 * self.done_s / self.profile.work_s)

    @property
    def complete(self) -> bool:
        """Whether its work is done; a gang ends when that of all members is."""
        return self.done_s >= self.profile.work_s


class SimulatedFleet:
    """All workers of a pool and the gangs that span them.

    :param get_profile: returns the profile of a task
    :ivar workers: workers by the identifier of the incarnation
    :ivar duplicate_runs: tasks started while another run of them was in
        progress
    :ivar overcommitted: tasks whose start exceeded the capacity of a worker
    :ivar wasted_core_s: core-seconds of lost work; a GPU counts as 8 cores
    """

    def __init__(
        self,
        get_profile: Callable[[TaskName], TaskProfile],
        parameters: WorkerParameters | None = None,
    ) -> None:
        self.workers: dict[str, SimulatedWorker] = {}
        self.duplicate_runs: list[TaskName] = []
        self.overcommitted: list[TaskName] = []
        self.wasted_core_s = 0.0
        self._get_profile = get_profile
        self._parameters = parameters or WorkerParameters()
        self._gangs: dict[tuple[str, int, int, int], dict[int, _Run]] = {}

    def add_worker(self, entry: WorkerEntry, speed: float = 1.0) -> "SimulatedWorker":
        """Add a worker that runs tasks at a multiple of the normal speed."""
        worker = SimulatedWorker(self, entry, speed)
        self.workers[entry.worker] = worker
        return worker

    def advance(self, now: float) -> None:
        """Simulate all workers up to the time ``now``, in seconds."""
        for worker in self.workers.values():
            worker.advance(now)
        for key, members in list(self._gangs.items()):
            self._end_incomplete_gang(key, members, now)

    def get_profile(self, task: TaskName) -> TaskProfile:
        """Return the profile of a task."""
        return self._get_profile(task)

    @property
    def parameters(self) -> WorkerParameters:
        """Timings of the simulated workers."""
        return self._parameters

    def register_run(self, run: _Run) -> None:
        """Add a started run to its gang and record a duplicate run of its task."""
        task = run.task
        for worker in self.workers.values():
            if worker.alive and worker.has_other_run(task, excluded=run):
                self.duplicate_runs.append(task)
        if run.profile.gang_size > 1:
            key = (task.job, task.occurrence, task.step, run.number)
            self._gangs.setdefault(key, {})[task.ordinal] = run

    def has_all_members(self, run: _Run) -> bool:
        """Return whether all tasks of the run's gang are running."""
        if run.profile.gang_size == 1:
            return True
        return len(self._get_members(run)) == run.profile.gang_size

    def is_complete(self, run: _Run) -> bool:
        """Return whether the work of all tasks of the run's gang is done."""
        return all(member.complete for member in self._get_members(run).values())

    def get_slowdown(self, run: _Run) -> float:
        """Return the factor by which the racks of a run and its gang slow it down."""
        profile = run.profile
        racks = {member.worker.entry.rack for member in self._get_members(run).values()}
        remote = bool(profile.data_rack) and run.worker.entry.rack != profile.data_rack
        if remote or (profile.same_rack and len(racks) > 1):
            return self._parameters.placement_slowdown
        return 1.0

    def end_run(self, run: _Run, how: EndKind, now: float) -> None:
        """End a run and all other runs of its gang."""
        members = list(self._get_members(run).values())
        key = (run.task.job, run.task.occurrence, run.task.step, run.number)
        self._gangs.pop(key, None)
        run.worker.record_end(run, how)
        for member in members:
            if member is not run:
                other = EndKind.DONE if how is EndKind.DONE else EndKind.BROKEN
                member.worker.record_end(member, other)

    def _get_members(self, run: _Run) -> dict[int, _Run]:
        key = (run.task.job, run.task.occurrence, run.task.step, run.number)
        return self._gangs.get(key, {run.task.ordinal: run})

    def _end_incomplete_gang(
        self, key: tuple[str, int, int, int], members: dict[int, _Run], now: float
    ) -> None:
        first = next(iter(members.values()))
        if len(members) == first.profile.gang_size:
            return
        if (
            now - min(run.started_at for run in members.values())
            > self._parameters.gang_assembly_timeout_s
        ):
            for run in list(members.values()):
                run.worker.record_end(run, EndKind.ALONE)
            self._gangs.pop(key, None)


class SimulatedWorker:
    """One incarnation of a worker.

    :ivar alive: false after a crash
    :ivar fails_all: every run fails after a tenth of its work
    :ivar stalled: no run makes progress
    :ivar clock_offset: seconds by which the worker's clock is ahead
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
        self._highest_closed_run: dict[TaskName, int] = {}
        self._last_end_sequence = 0
        self._highest_token = 0
        self._lease_until = float("inf")
        self._now = 0.0

    @property
    def running(self) -> int:
        """Number of runs in progress."""
        return len(self._runs)

    @property
    def tasks(self) -> list[TaskName]:
        """Tasks of the runs in progress."""
        return list(self._runs)

    @property
    def ends(self) -> list[EndedTask]:
        """Ended tasks that the planner has not acknowledged."""
        return self._ends

    def crash(self) -> None:
        """Mark the worker as crashed and end all of its runs."""
        self.alive = False
        for run in list(self._runs.values()):
            self._fleet.end_run(run, EndKind.LAPSED, self._now)

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
        """Start a run unless the token, the lease or the run number forbids it.

        :param number: run number of the task
        :param saved: checkpoint to resume from, as seconds of work; empty for none
        :param lease_until_s: end of the lease on the worker's clock
        """
        if not self._accept_token(token):
            return StartOutcome.FENCED
        if lease_until_s <= now + self.clock_offset:
            return StartOutcome.LATE
        self._extend_lease(lease_until_s, now)
        existing = self._runs.get(task)
        if existing is not None and existing.number == number:
            return StartOutcome.STARTED
        if number <= self._highest_closed_run.get(task, 0) or existing is not None:
            return StartOutcome.OLD
        run = _Run(self, self._fleet.get_profile(task), number, now)
        run.task = task
        run.saved_s = run.done_s = float(saved or 0)
        self._runs[task] = run
        if not self._used_resources().fits(self.entry.capacity):
            self._fleet.overcommitted.append(task)
        self._fleet.register_run(run)
        return StartOutcome.STARTED

    def stop(
        self, task: TaskName, number: int, *, token: int, now: float
    ) -> StopOutcome:
        """Stop runs of a task up to a run number, and refuse their later starts."""
        if not self._accept_token(token):
            return StopOutcome.FENCED
        self._highest_closed_run[task] = max(
            number, self._highest_closed_run.get(task, 0)
        )
        run = self._runs.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = now + self._fleet.parameters.stop_duration_s
        return StopOutcome.STOPPED

    def hold(
        self,
        *,
        token: int,
        acknowledged: int,
        lease_until_s: float | None,
        now: float,
    ) -> HeartbeatReply | None:
        """Extend the lease and list the runs.

        :param acknowledged: highest sequence number of ended tasks to drop
        :param lease_until_s: end of the lease on the worker's clock; ``None`` leaves
            it unchanged
        :returns: ``None`` if the token is lower than one seen before
        """
        if not self._accept_token(token):
            return None
        if lease_until_s is not None:
            self._extend_lease(lease_until_s, now)
        self._ends = [end for end in self._ends if end.sequence > acknowledged]
        running = tuple(
            RunningTask(task, run.number, self._checkpoint(run), run.percent())
            for task, run in self._runs.items()
        )
        return HeartbeatReply(now + self.clock_offset, 0, running, tuple(self._ends))

    def advance(self, now: float) -> None:
        """Simulate the runs up to the time ``now``, in seconds."""
        elapsed_s, self._now = now - self._now, now
        if not self.alive:
            return
        lapsed = now > self._lease_until
        for run in list(self._runs.values()):
            if run.task not in self._runs:
                continue
            if lapsed:
                self._fleet.end_run(run, EndKind.LAPSED, now)
            elif run.stop_at is not None and now >= run.stop_at:
                self._fleet.end_run(run, EndKind.STOPPED, now)
            else:
                self._advance_run(run, elapsed_s, now)

    def has_other_run(self, task: TaskName, excluded: _Run) -> bool:
        """Return whether the worker has a run of the task other than ``excluded``."""
        run = self._runs.get(task)
        return run is not None and run is not excluded

    def record_end(self, run: _Run, how: EndKind) -> None:
        """Remove a run and list it as ended."""
        if self._runs.pop(run.task, None) is None:
            return
        self._highest_closed_run[run.task] = max(
            run.number, self._highest_closed_run.get(run.task, 0)
        )
        if how is not EndKind.DONE:
            kept = run.done_s if how is EndKind.STOPPED else run.saved_s
            lost = run.done_s - (kept if run.profile.checkpoint_period_s else 0.0)
            demand = run.profile.demand
            self._fleet.wasted_core_s += lost * (demand.cpu / 1000 + 8 * demand.gpu)
        if self.alive:
            self._last_end_sequence += 1
            saved = self._checkpoint(run, stopped=how is EndKind.STOPPED)
            self._ends.append(
                EndedTask(self._last_end_sequence, run.task, run.number, how, saved)
            )

    def _advance_run(self, run: _Run, elapsed_s: float, now: float) -> None:
        if self.stalled or not self._fleet.has_all_members(run):
            return
        run.done_s += elapsed_s * self.speed / self._fleet.get_slowdown(run)
        if run.profile.checkpoint_period_s:
            run.saved_s = run.done_s - run.done_s % run.profile.checkpoint_period_s
        if self.fails_all and run.done_s > 0.1 * run.profile.work_s:
            self._fleet.end_run(run, EndKind.FAILED, now)
        elif self._fleet.is_complete(run):
            how = EndKind.FAILED if run.profile.fails else EndKind.DONE
            self._fleet.end_run(run, how, now)

    def _accept_token(self, token: int) -> bool:
        if token < self._highest_token:
            return False
        self._highest_token = token
        return True

    def _extend_lease(self, lease_until_s: float, now: float) -> None:
        until = min(
            lease_until_s - self.clock_offset,
            now + self._fleet.parameters.max_lease_extension_s,
        )
        self._lease_until = (
            until
            if self._lease_until == float("inf")
            else max(self._lease_until, until)
        )

    def _used_resources(self) -> Resources:
        used = Resources()
        for run in self._runs.values():
            used = used.plus(run.profile.demand)
        return used

    def _checkpoint(self, run: _Run, *, stopped: bool = False) -> str:
        if not run.profile.checkpoint_period_s:
            return ""
        value = run.done_s if stopped else run.saved_s
        return f"{value:.3f}" if value else ""
