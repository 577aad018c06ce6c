"""Jobs as the planner tracks them: occurrences of steps and their units.

A unit is what is placed as a whole: a gang or a single task. At any time all its runs
have the same run number.
"""

from collections.abc import Iterator

from bilberryhitch_jobs import (
    FINISHED_STATES,
    GANG_INDEX,
    CrashCount,
    JobProgress,
    JobRequest,
    JobState,
    Placement,
    Queue,
    Resources,
    Step,
    TaskName,
    UnitProgress,
)

from .job_failures import JobFailures
from .machine_speed import StepLength
from .runs import Run

# Delay before a unit is retried after a failed start, doubled with each further one in
# a row. The longest exceeds the pause of a worker that refused a start, so that a unit
# which is refused everywhere does not take each worker again as its pause ends.
START_RETRY_DELAY_S = 0.15
MAX_DOUBLINGS = 3
# Starts in a row that could not be made after which the workers are not to blame.
OFTEN_REFUSED_STARTS = 3
# Weight of one accelerator, in cores, in the work of a task.
CORES_PER_GPU = 8
# Crashes of sound workers on which a task was alone after which it is given up.
MAX_CRASHES_ALONE = 2
# Crashes after which a task is given up whatever else was on the workers: a task that
# crashes workers must not be started for ever.
MAX_CRASHES = 4
# Crashes, also long after its start, after which a task runs alone.
ISOLATING_CRASHES = 2


class Unit:
    """A gang or a single task, placed as a whole.

    :ivar index: index of the task in its step, or ``GANG_INDEX``
    :ivar last_run: number of the latest run; 0 before the first
    :ivar failed_runs: numbers of the failed runs
    :ivar checkpoint: latest checkpoint; empty if there is none
    :ivar crashes: crashes of workers that its runs were on, by index of the task
    :ivar cleared: since the last of them a run of it has begun without crashing its
        worker
    :ivar placements: where its latest run was ordered, by index of the task; tasks
        whose run has ended are left out
    :ivar runs: runs that may exist, by index of the task
    :ivar across_racks: capacity is being freed across racks, since no single rack
        can be cleared for it
    :ivar adopted: all tasks of its latest run are known, although an earlier planner
        started it
    :ivar alone_since: monotonic time since which it waits for workers that run nothing
    :ivar reserved_since: monotonic time since which workers are reserved for it
    :ivar retry_at: monotonic time before which it is not started again
    :ivar failed_start: number of the last run that could not be started
    :ivar failed_starts: how many could not be started in a row
    :ivar waiting_since: monotonic time since which it has been ready to run
    """

    __slots__ = (
        "across_racks",
        "adopted",
        "alone_since",
        "crashes",
        "done",
        "failed_runs",
        "failed_start",
        "failed_starts",
        "index",
        "last_run",
        "placements",
        "reserved_since",
        "runs",
        "retry_at",
        "checkpoint",
        "cleared",
        "step",
        "waiting_since",
    )

    def __init__(
        self, step: "StepOccurrence", index: int, progress: UnitProgress
    ) -> None:
        self.step = step
        self.index = index
        self.done = progress.done
        self.last_run = progress.last_run
        self.failed_runs = set(progress.failed_runs)
        self.checkpoint = progress.checkpoint
        self.crashes: dict[int, CrashCount] = dict(progress.crashes)
        self.placements: dict[int, Placement] = dict(progress.placements)
        self.runs: dict[int, Run] = {}
        self.across_racks = False
        self.adopted = False
        self.cleared = False
        self.retry_at = 0.0
        self.failed_start = 0
        self.failed_starts = 0
        self.alone_since: float | None = None
        self.reserved_since: float | None = None
        self.waiting_since = step.job.arrived_at

    @property
    def task_indexes(self) -> range:
        """Indexes of its tasks in the step."""
        if self.index == GANG_INDEX:
            return range(self.step.step.task_count)
        return range(self.index, self.index + 1)

    def task(self, index: int) -> TaskName:
        """Return the name of one of its tasks."""
        return TaskName(
            self.step.job.request.job, self.step.occurrence, self.step.index, index
        )

    @property
    def attempts_left(self) -> int:
        """Number of further failed runs after which the job fails."""
        return self.step.job.queue.max_attempts - len(self.failed_runs)

    @property
    def isolated(self) -> bool:
        """Whether it waits for idle workers, as one of its tasks may crash them."""
        return any(
            count.early or count.total >= ISOLATING_CRASHES
            for count in self.crashes.values()
        )

    @property
    def exclusive(self) -> bool:
        """Whether nothing may be placed beside its next run.

        A start without a crash shows what there is to be seen of a suspect. Another one
        would keep others off its workers for no gain.
        """
        return self.isolated and not self.cleared

    @property
    def crashes_workers(self) -> bool:
        """Whether one of its tasks crashes workers, so that it cannot be done."""
        return any(
            count.alone >= MAX_CRASHES_ALONE or count.total >= MAX_CRASHES
            for count in self.crashes.values()
        )

    @property
    def hopeless(self) -> bool:
        """Whether it must not be started again."""
        if self.done:
            return False
        no_attempts = bool(self.failed_runs) and self.attempts_left <= 0
        return no_attempts or self.crashes_workers

    @property
    def often_refused(self) -> bool:
        """Whether several starts in a row could not be made."""
        return self.failed_starts >= OFTEN_REFUSED_STARTS

    def delay_retry(self, run: int, now: float) -> None:
        """Put off the next start after a run that could not be started.

        :param run: its number; several members of a gang may have failed to start
        """
        if run != self.failed_start:
            self.failed_start = run
            self.failed_starts += 1
        delay_s = START_RETRY_DELAY_S * 2 ** min(self.failed_starts - 1, MAX_DOUBLINGS)
        self.retry_at = now + delay_s

    @property
    def progress(self) -> UnitProgress:
        """Progress of the unit to be stored."""
        return UnitProgress(
            self.done,
            self.last_run,
            tuple(sorted(self.failed_runs)),
            self.checkpoint,
            {} if self.done else self.crashes,
            {} if self.done else self.placements,
        )


class StepOccurrence:
    """One occurrence of a step of a scheduled job.

    :ivar units: all units, by index
    :ivar waiting: units to be placed: not done and without runs, by index
    :ivar opens_at: monotonic time from which its objective counts: that of its job's
        acceptance, or that at which the occurrence is due
    :ivar queued_at: monotonic time at which it last queued up for a turn as the first
        of its priority; minus infinity before it had one
    :ivar turn_since: monotonic time since which it has its turn
    :ivar undone: number of units that are not done
    :ivar lengths: what its runs show of its length, apart from and on distant racks
    :ivar unit_work: estimated work of one of its units in core-seconds
    """

    def __init__(self, job: "TrackedJob", occurrence: int, index: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.index = index
        self.step: Step = job.request.steps[index]
        indexes = [GANG_INDEX] if self.step.gang else range(self.step.task_count)
        known = job.initial_progress.units
        due_s = job.request.due_s(occurrence)
        self.opens_at = job.arrived_at + max(0.0, due_s - job.request.accepted_s)
        self.queued_at = float("-inf")
        self.turn_since: float | None = None
        self.units = {
            each: Unit(self, each, known.get((occurrence, index, each), UnitProgress()))
            for each in indexes
        }
        self.waiting = {
            each: unit for each, unit in self.units.items() if not unit.done
        }
        self.undone = len(self.waiting)
        self.lengths: dict[bool, StepLength] = {}
        tasks = self.step.task_count if self.step.gang else 1
        self.unit_work = tasks * self.step.estimate_s * core_equivalents(self.step)

    @property
    def undone_work(self) -> float:
        """Estimated work of the units that are not done, in core-seconds."""
        return self.undone * self.unit_work

    @property
    def ready(self) -> bool:
        """Whether all dependencies within the occurrence are done."""
        return all(
            self.job.steps[self.occurrence, earlier].undone == 0
            for earlier in self.step.depends_on
        )

    def is_over(self) -> bool:
        """Return whether no task of it will run any more."""
        return not self.undone or self.job.finished

    def mark_done(self, unit: Unit) -> None:
        """Mark a unit as done; a unit that is done already is left unchanged."""
        if unit.done:
            return
        unit.done = True
        self.undone -= 1
        self.waiting.pop(unit.index, None)


class TrackedJob:
    """An accepted job.

    :ivar initial_progress: progress when this planner learned of the job
    :ivar queue: settings of its queue, as last configured
    :ivar revision: store revision of its acceptance
    :ivar inherited: an earlier planner may have started its tasks
    :ivar arrived_at: monotonic time of its acceptance; for inherited jobs estimated
        from the wall clock
    :ivar work: estimated work of one occurrence in core-seconds
    :ivar failures: workers on which its runs have failed in a row
    """

    def __init__(
        self,
        request: JobRequest,
        progress: JobProgress,
        *,
        revision: int,
        inherited: bool,
        arrived_at: float,
    ) -> None:
        self.request = request
        self.initial_progress = progress
        self.queue: Queue = request.queue
        self.state = progress.state
        self.finished_s = progress.finished_s
        self.revision = revision
        self.inherited = inherited
        self.arrived_at = arrived_at
        self.failures = JobFailures()
        self._chains = _remaining_chains(request.steps)
        self.work = sum(
            step.task_count * step.estimate_s * core_equivalents(step)
            for step in request.steps
        )
        self.steps: dict[tuple[int, int], StepOccurrence] = {}
        if not self.finished:
            for occurrence in range(request.occurrences):
                for index in range(len(request.steps)):
                    self.steps[occurrence, index] = StepOccurrence(
                        self, occurrence, index
                    )

    @property
    def objective_s(self) -> float:
        """Target time from acceptance to completion, in seconds."""
        longest = max(self._chains, default=0.0)
        return self.queue.stretch * longest + self.queue.target_s

    def remaining_s(self, index: int) -> float:
        """Return the estimated seconds from the start of a step to the job's end."""
        return self._chains[index]

    @property
    def finished(self) -> bool:
        """Whether it is completed, failed or cancelled."""
        return self.state in FINISHED_STATES

    @property
    def complete(self) -> bool:
        """Whether every task is done."""
        return all(step.undone == 0 for step in self.steps.values())

    @property
    def units(self) -> Iterator[Unit]:
        """Units of all its steps."""
        for step in self.steps.values():
            yield from step.units.values()

    @property
    def started(self) -> bool:
        """Whether any of its tasks has been started."""
        return self.state is not JobState.PENDING

    def find_unit(self, task: TaskName) -> Unit | None:
        """Return the unit of a task, or None if the job has no such task."""
        step = self.steps.get((task.occurrence, task.step))
        if step is None or not 0 <= task.ordinal < step.step.task_count:
            return None
        return step.units[GANG_INDEX if step.step.gang else task.ordinal]

    def demand_of(self, task: TaskName) -> Resources | None:
        """Return the resources of a task; None if the job has no such step.

        Works for finished jobs as well, whose runs hold resources until they stop.
        """
        if not 0 <= task.step < len(self.request.steps):
            return None
        return self.request.steps[task.step].reserved_resources

    def progress(self) -> JobProgress:
        """Return the progress of the job to be stored."""
        touched = {
            (unit.step.occurrence, unit.step.index, unit.index): unit.progress
            for unit in self.units
            if unit.last_run or unit.done
        }
        return JobProgress(self.state, self.request.account, touched, self.finished_s)


def core_equivalents(step: Step) -> float:
    """Return what a task takes of a worker, in cores; see ``CORES_PER_GPU``."""
    return step.demand.cpu / 1000 + step.demand.gpu * CORES_PER_GPU


def _remaining_chains(steps: tuple[Step, ...]) -> tuple[float, ...]:
    """Return the estimated seconds of the longest dependency chain from each step."""
    chains = [step.estimate_s for step in steps]
    for index in reversed(range(len(steps))):
        for earlier in steps[index].depends_on:
            chained = steps[earlier].estimate_s + chains[index]
            chains[earlier] = max(chains[earlier], chained)
    return tuple(chains)
