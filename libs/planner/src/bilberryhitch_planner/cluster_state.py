"""Jobs, workers and runs as the planner knows them, and the handling of ended runs."""

from bilberryhitch_jobs import JobState, TaskName
from bilberryhitch_telemetry import events, log

from .advice import Permissions
from .blame import Blame
from .lost_work import LossCause, record_lost_work
from .preemption import PendingPreemptions
from .reports import (
    EndedTask,
    EndKind,
    Order,
    RunningTask,
    StopOrder,
)
from .runs import Run, RunState
from .speeds import COMPLETE_PERCENT, observe_end
from .units import StepOccurrence, TrackedJob, Unit
from .workers import Worker

# A run without progress for this share of its estimated run time is stalled. Even a
# run that is slowed down eightfold on a slow worker gains several percent in that time.
STALL_SHARE = 0.25
# Applies to short runs, such as urgent ones. Three heartbeats, 0.6 s apart, span this
# time, and a run that works shows progress within it.
MIN_STALL_TIMEOUT_S = 1.2
MAX_STALL_TIMEOUT_S = 3.5
# Progress is reported in whole percent. A long run on a slow worker needs more than the
# times above for one of them.
STALL_PERCENT = 3.0
SLOWEST_SPEED = 1 / 8
# Why the runs of a job that has ended in a state are stopped.
STOP_CAUSES = {
    JobState.CANCELLED: LossCause.CANCELLED,
    JobState.FAILED: LossCause.JOB_FAILED,
}


class ClusterState:
    """Jobs, workers and the runs of the jobs on the workers.

    :ivar jobs: jobs by name
    :ivar workers: workers by identifier of their incarnation
    :ivar dirty: names of the jobs whose progress must be stored
    :ivar orders: orders to be sent
    :ivar ready: steps whose dependencies are done, by job, occurrence and step index
    :ivar blame: tells the failures of workers from those of jobs
    :ivar preemptions: capacity that is being freed for urgent units
    :ivar permissions: permissions of the advice service, by the same key as ``ready``
    """

    def __init__(self) -> None:
        self.jobs: dict[str, TrackedJob] = {}
        self.workers: dict[str, Worker] = {}
        self.dirty: set[str] = set()
        self.orders: list[Order] = []
        self.ready: dict[tuple[str, int, int], StepOccurrence] = {}
        self.blame = Blame(self.workers)
        self.preemptions = PendingPreemptions()
        self.permissions: dict[tuple[str, int, int], Permissions] = {}

    def permissions_of(self, step: StepOccurrence) -> Permissions | None:
        """Return the permissions of a step; None if its queue needs none."""
        if step.job.queue.advice is None:
            return None
        key = (step.job.request.job, step.occurrence, step.index)
        return self.permissions.setdefault(key, Permissions())

    def queue_ready_steps(self, job: TrackedJob, now: float) -> None:
        """Queue the steps of a job whose dependencies are done."""
        for (occurrence, index), step in job.steps.items():
            key = (job.request.job, occurrence, index)
            if key in self.ready or not step.undone or not step.ready:
                continue
            self.ready[key] = step
            for unit in step.waiting.values():
                unit.waiting_since = max(unit.waiting_since, min(now, job.arrived_at))

    def finish_job(self, job: TrackedJob, state: JobState, unix_s: float) -> None:
        """Finish a job and stop its remaining runs."""
        job.state = state
        job.finished_s = unix_s
        name = job.request.job
        self.dirty.add(name)
        log(events.JOB_ENDED, request_id=name, state=str(state))
        for unit in job.units:
            if not unit.done:
                for run in unit.runs.values():
                    self.order_stop(run, STOP_CAUSES.get(state, LossCause.NOT_NEEDED))
        for occurrence, index in job.steps:
            self.ready.pop((name, occurrence, index), None)
            self.permissions.pop((name, occurrence, index), None)
        self.preemptions.release_job(job)

    def apply_ended(
        self, worker: Worker, ended: EndedTask, now: float, unix_s: float
    ) -> None:
        """Apply an ended run listed by a worker; a known one is ignored."""
        if ended.sequence <= worker.last_end_sequence:
            return
        worker.last_end_sequence = ended.sequence
        run = worker.runs.get((ended.task, ended.run))
        log(
            events.RUN_ENDED,
            request_id=ended.task.job,
            task=format_task(ended.task),
            run=ended.run,
            worker=worker.entry.worker,
            how=str(ended.how),
            sequence=ended.sequence,
            known=run is not None,
        )
        if run is not None:
            if ended.how is EndKind.DONE:
                observe_end(worker, run)
            self.release_run(worker, run, ended.how, ended.checkpoint, now, unix_s)
            return
        job = self.jobs.get(ended.task.job)
        unit = job.find_unit(ended.task) if job else None
        if job is None or unit is None or unit.done or job.finished:
            return
        unit.last_run = max(unit.last_run, ended.run)
        same_run = all(run.number == ended.run for run in unit.runs.values())
        if same_run or ended.how in (EndKind.FAILED, EndKind.DONE):
            self._apply_unit_end(
                unit, ended.run, ended.how, ended.checkpoint, now, unix_s
            )

    def release_run(
        self,
        worker: Worker,
        run: Run,
        how: EndKind,
        checkpoint: str,
        now: float,
        unix_s: float,
    ) -> None:
        """Release the resources of an ended run and update its unit."""
        worker.remove_run(run)
        record_lost_work(run, how, now)
        if how is EndKind.DONE:
            self.blame.record_success(worker, self.jobs.get(run.task.job))
        elif how is EndKind.FAILED:
            self.blame.record_failure(worker, run, self.jobs.get(run.task.job), now)
        unit = run.unit
        if unit is None:
            return
        unit.cleared = unit.cleared or how is EndKind.FAILED
        if unit.runs.get(run.task.ordinal) is run:
            del unit.runs[run.task.ordinal]
            unit.placements.pop(run.task.ordinal, None)
        if not unit.step.job.finished:
            self._apply_unit_end(
                unit, run.number, how, checkpoint or run.checkpoint, now, unix_s
            )

    def _apply_unit_end(
        self,
        unit: Unit,
        number: int,
        how: EndKind,
        checkpoint: str,
        now: float,
        unix_s: float,
    ) -> None:
        """Apply the end of one run of a unit."""
        step, job = unit.step, unit.step.job
        if unit.done:
            return
        self.dirty.add(job.request.job)
        if not job.started:
            job.state = JobState.RUNNING
        if how is EndKind.DONE and not step.step.long_running:
            self._complete(unit, number, now, unix_s)
            return
        if how is not EndKind.STOPPED:
            unit.failed_starts = 0
        if checkpoint and number == unit.last_run:
            unit.checkpoint = checkpoint
        if how is EndKind.FAILED and not step.step.long_running:
            unit.failed_runs.add(number)
            if unit.attempts_left <= 0:
                self.finish_job(job, JobState.FAILED, unix_s)
                return
        for run in unit.runs.values():
            if run.number == number:
                self.order_stop(run, LossCause.MEMBER_ENDED)
        self._requeue(unit, now)

    def _complete(self, unit: Unit, number: int, now: float, unix_s: float) -> None:
        """Complete a unit of which a run is done; other runs are not needed."""
        step, job = unit.step, unit.step.job
        for run in unit.runs.values():
            if run.number != number:
                self.order_stop(run, LossCause.NOT_NEEDED)
        step.mark_done(unit)
        if job.complete:
            self.finish_job(job, JobState.COMPLETED, unix_s)
        elif not step.undone:
            self.queue_ready_steps(job, now)

    def _requeue(self, unit: Unit, now: float) -> None:
        """Queue a unit again once all its runs have ended."""
        if not unit.runs:
            unit.waiting_since = now
            unit.step.waiting[unit.index] = unit

    def apply_running(self, worker: Worker, running: RunningTask, now: float) -> None:
        """Apply an active run listed by a worker."""
        run = worker.runs.get((running.task, running.run))
        if run is None:
            run = self._adopt(worker, running, now)
        run.confirmed = True
        if run.state is RunState.ORDERED:
            run.state = RunState.RUNNING
        if run.state is RunState.RUNNING and run.settled_at is None:
            run.settled_at = now
        run.load = running.load
        if running.percent != run.percent:
            run.percent = running.percent
            worker.forecast = None
            run.advanced_at = now
        if running.checkpoint:
            run.checkpoint = running.checkpoint

    def _adopt(self, worker: Worker, running: RunningTask, now: float) -> Run:
        """Add a run that this planner did not start; stop it if it is not needed."""
        job = self.jobs.get(running.task.job)
        unit = job.find_unit(running.task) if job else None
        # A run holds its resources until it has stopped. The demand of an unknown
        # job's task is unknown, so it counts as the whole worker.
        demand = job.demand_of(running.task) if job else None
        needed = (
            job is not None
            and not job.finished
            and unit is not None
            and not unit.done
            and running.run >= unit.last_run
            and all(run.number == running.run for run in unit.runs.values())
            and running.task.ordinal not in unit.runs
        )
        run = Run(
            running.task,
            running.run,
            worker.entry.capacity if demand is None else demand,
            worker.entry.worker,
            unit if needed else None,
            now,
        )
        run.settled_at = now
        run.cpu_percent_known = False
        run.exclusive = demand is None or (unit is not None and unit.exclusive)
        worker.add_run(run)
        log(
            events.RUN_ADOPTED,
            request_id=running.task.job,
            task=format_task(running.task),
            run=running.run,
            worker=worker.entry.worker,
            needed=needed,
            last_run=unit.last_run if unit else None,
            other_workers=[other.worker for other in unit.runs.values()]
            if unit
            else [],
            started_ms=worker.started_ms,
        )
        if not needed or unit is None or job is None:
            self.order_stop(run, LossCause.NOT_NEEDED)
            return run
        run.state = RunState.RUNNING
        unit.runs[running.task.ordinal] = run
        unit.placements[running.task.ordinal] = worker.placement
        unit.last_run = running.run
        # The missing members of a gang may be on workers that cannot be reached.
        unit.adopted = len(unit.runs) == len(unit.task_indexes)
        unit.step.waiting.pop(unit.index, None)
        if not job.started:
            job.state = JobState.RUNNING
        self.dirty.add(running.task.job)
        return run

    def order_stop(self, run: Run, cause: LossCause) -> None:
        """Order a run to be stopped, unless that was ordered before."""
        if run.state is RunState.STOPPING:
            return
        run.state = RunState.STOPPING
        run.stopped_for = cause
        run.settled_at = None
        worker = self.workers.get(run.worker)
        if worker is not None:
            worker.forecast = None
        self.orders.append(StopOrder(run.worker, run.task, run.number))

    def repeat_stop(self, run: Run) -> None:
        """Order a stop again that has been answered."""
        if run.settled_at is None:
            return
        run.settled_at = None
        self.orders.append(StopOrder(run.worker, run.task, run.number))

    def take_orders(self) -> list[Order]:
        """Return the orders to be sent now."""
        orders, self.orders = self.orders, []
        for order in orders:
            worker = self.workers.get(order.worker)
            run = worker.runs.get((order.task, order.run)) if worker else None
            if isinstance(order, StopOrder) and worker is not None and run is not None:
                run.stopped_in = worker.started_ms
        return orders

    def stop_other_members(self, run: Run) -> None:
        """Stop the other members of a gang of which one member cannot run."""
        if run.unit is None:
            return
        for other in run.unit.runs.values():
            if other is not run:
                self.order_stop(other, LossCause.UNCERTAIN_START)

    def stop_if_stalled(self, worker: Worker, run: Run) -> None:
        """Stop all runs of a unit if the given run is stalled."""
        unit = run.unit
        if (
            run.state is not RunState.RUNNING
            or unit is None
            or unit.step.step.long_running
            # It only gets CPU time that other tasks leave idle, possibly none.
            or unit.step.step.uses_idle_cpu
            # Members of a gang that are done wait for the slower ones.
            or run.percent >= COMPLETE_PERCENT
            or worker.answered_at - run.advanced_at < _stall_timeout_s(unit, run)
        ):
            return
        log(
            events.RUN_STALLED,
            request_id=run.task.job,
            task=format_task(run.task),
            run=run.number,
            worker=run.worker,
            percent=run.percent,
        )
        self.blame.record_failure(worker, run, unit.step.job, worker.answered_at)
        for each in unit.runs.values():
            self.order_stop(each, LossCause.STALLED)


def _stall_timeout_s(unit: Unit, run: Run) -> float:
    """Return how long a run may make no progress, in seconds.

    A gang starts to work once its last member has started, so a gang without any
    progress gets the longest time.
    """
    estimate_s = unit.step.step.estimate_s
    if run.percent and not run.checkpoint:
        percent_s = (run.advanced_at - run.ordered_at) / run.percent
    else:
        percent_s = estimate_s / SLOWEST_SPEED / 100
    if any(other.percent for other in unit.runs.values()):
        share_s = max(estimate_s * STALL_SHARE, MIN_STALL_TIMEOUT_S)
        timeout_s = min(share_s, MAX_STALL_TIMEOUT_S)
    else:
        timeout_s = MAX_STALL_TIMEOUT_S
    return max(timeout_s, percent_s * STALL_PERCENT)


def format_task(task: TaskName) -> str:
    """Format the name of a task for logs."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.ordinal}"
