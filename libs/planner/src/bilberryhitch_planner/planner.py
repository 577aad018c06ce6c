"""Decides which tasks run on which workers. Performs no I/O.

The caller passes in events (jobs, cancellations, heartbeat replies, results of
orders) and the current time. The planner returns orders for workers and names the
jobs whose progress must be stored. A run that may exist keeps its resources and its
unit allocated: neither is assigned to another run before the first one has certainly
ended.
"""

from bilberryhitch_jobs import (
    Configuration,
    JobProgress,
    JobRequest,
    JobState,
    Queue,
    Resources,
)
from bilberryhitch_telemetry import events, log

from .cluster_state import ClusterState, format_task
from .crashes import EARLY_S
from .delay_cost import MeanWork
from .guarantees import Guarantees
from .headroom import UrgentDemand
from .lost_work import LossCause
from .ordering import steps_in_order
from .quarantine import Quarantine
from .release_log import Proof, log_release
from .reports import (
    Advice,
    AdviceRequest,
    EndKind,
    HeartbeatReply,
    Order,
    StartOrder,
    StartOutcome,
    StopOrder,
    StopOutcome,
    WorkerEntry,
)
from .reservations import Reservations
from .runs import RunState
from .scheduling_round import SchedulingRound
from .speeds import MachineSpeeds
from .throttling import throttle_orders
from .units import StepOccurrence, TrackedJob, Unit
from .worker_health import WorkerHealth
from .worker_losses import WorkerLosses
from .worker_pool import WorkerPool
from .workers import Worker

# Outcomes of a start after which a worker gets no new runs for a while.
REFUSALS = frozenset(
    {StartOutcome.REFUSED, StartOutcome.NOT_SENT, StartOutcome.NO_ROOM}
)
# A worker that starts at an address this soon after another one ended there may be
# in a crash loop; it takes over the failure count.
RESTART_MEMORY_S = 8.0
# A worker lists at most this many ended runs in one reply. After a full list a run
# that is missing may still be listed as ended in a later reply.
MAX_ENDS_PER_REPLY = 500


class Planner:
    """Scheduling state of one planner during one lease term.

    :param inherited_revision: store revision of the lease's acquisition; jobs accepted
        up to it may have been started by an earlier planner
    :param inherited_until: monotonic time in seconds at which every worker lease
        granted by an earlier planner has expired
    :ivar cordoned: workers that get no new runs because they are about to be taken
        down
    :ivar evacuated: data centres in which nothing is started
    :ivar headroom_sizes: number of idle workers set aside for urgent work, by service
    :ivar advice_requests: requests to be sent to the advice service
    :ivar speeds: speeds of the machines
    """

    def __init__(
        self,
        *,
        inherited_revision: int,
        inherited_until: float,
    ) -> None:
        self._state = ClusterState()
        self._losses = WorkerLosses(self._state)
        self.speeds = MachineSpeeds()
        self._stored_roster: frozenset[str] = frozenset()
        # Workers that were missing from it when it or they became known.
        self._unstored: set[str] = set()
        self.cordoned: frozenset[str] = frozenset()
        self.evacuated: frozenset[str] = frozenset()
        self._inherited_revision = inherited_revision
        self._inherited_until = inherited_until
        self._acquired_revision = inherited_revision
        self._confirmed_revision = 0
        self._newest_revision = 0
        self._queues: dict[str, Queue] = {}
        self._guarantees = Guarantees()
        self._urgent_demand = UrgentDemand()
        self.headroom_sizes: dict[str, int] = {}
        # By address: time at which the last worker ended there, and its health.
        self._recent_ends: dict[str, tuple[float, WorkerHealth]] = {}
        self._reservations: Reservations | None = None
        self._mean_work = MeanWork()
        self._pools: dict[str, WorkerPool] = {}
        self._quarantine = Quarantine()
        self.advice_requests: list[AdviceRequest] = []

    @property
    def jobs(self) -> dict[str, TrackedJob]:
        """Accepted jobs, by name."""
        return self._state.jobs

    @property
    def workers(self) -> dict[str, Worker]:
        """Workers, by identifier of their incarnation."""
        return self._state.workers

    @property
    def dirty(self) -> set[str]:
        """Names of the jobs whose progress must be stored."""
        return self._state.dirty

    @dirty.setter
    def dirty(self, names: set[str]) -> None:
        self._state.dirty = names

    @property
    def inherited_revision(self) -> int:
        """Store revision up to which jobs may have been started by earlier planners."""
        return self._inherited_revision

    @property
    def has_news(self) -> bool:
        """Whether there are orders to send or changed jobs to store."""
        return bool(self._state.orders or self._state.dirty)

    @property
    def has_unconfirmed_jobs(self) -> bool:
        """Whether a job was accepted after the lease was last confirmed."""
        return self._newest_revision > self._confirmed_revision

    @property
    def newest_revision(self) -> int:
        """Store revision of the latest acceptance of a job that this planner knows."""
        return self._newest_revision

    def confirm_lease(self, revision: int) -> None:
        """Record that a commit of this planner has a store revision above a given one.

        A later planner knows the revision of the commit, so it treats jobs accepted up
        to the given revision as possibly started.
        """
        self._confirmed_revision = max(self._confirmed_revision, revision)

    def limit_inheritance(self, revision: int) -> None:
        """Set the highest store revision at which an earlier planner held the lease.

        Jobs accepted later have certainly not been started.
        """
        self._inherited_revision = min(self._inherited_revision, revision)

    @property
    def stored_roster(self) -> frozenset[str]:
        """Workers that are certainly in the stored roster.

        A later planner queries them before it restarts what this planner may have
        started.
        """
        return self._stored_roster

    @stored_roster.setter
    def stored_roster(self, names: frozenset[str]) -> None:
        self._stored_roster = names
        self._unstored = self.workers.keys() - names

    @property
    def roster_outdated(self) -> bool:
        """Whether a worker is missing from the stored roster.

        Asked after each heartbeat, so it does not walk all workers.
        """
        return any(name in self.workers for name in self._unstored)

    @property
    def has_unsynced_workers(self) -> bool:
        """Whether a worker may have runs that this planner does not know of yet."""
        return any(not worker.synced for worker in self.workers.values())

    # Job events.

    def add_job(
        self,
        request: JobRequest,
        progress: JobProgress,
        revision: int,
        *,
        now: float,
        unix_s: float,
    ) -> None:
        """Add an accepted job; a known one is left unchanged.

        :param revision: store revision of its acceptance
        """
        if request.job in self.jobs:
            return
        age = max(0.0, unix_s - request.accepted_s)
        job = TrackedJob(
            request,
            progress,
            revision=revision,
            inherited=self._inherits(revision, progress),
            arrived_at=now - age if revision <= self._acquired_revision else now,
        )
        job.queue = self._queues.get(request.queue.name, job.queue)
        self.jobs[request.job] = job
        if job.finished:
            return
        if job.complete:
            self._state.finish_job(job, JobState.COMPLETED, unix_s)
            return
        if any(unit.hopeless for unit in job.units):
            self._state.finish_job(job, JobState.FAILED, unix_s)
            return
        self._mean_work.add(job)
        self._newest_revision = max(self._newest_revision, revision)
        if not job.inherited:
            self._urgent_demand.record(job, now)
        self._state.queue_ready_steps(job, now)
        self._losses.inherit_placements(job, unix_s)

    def _inherits(self, revision: int, progress: JobProgress) -> bool:
        """Return whether an earlier planner may have started a job."""
        return revision <= self._inherited_revision or bool(progress.units)

    def cancel_job(self, name: str, *, unix_s: float) -> None:
        """Cancel a job; a finished one is left unchanged."""
        job = self.jobs.get(name)
        if job is not None and not job.finished:
            self._state.finish_job(job, JobState.CANCELLED, unix_s)

    def remove_job(self, name: str) -> None:
        """Remove a finished job whose rows have been deleted."""
        self.jobs.pop(name, None)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration.

        Jobs of a queue that was removed keep its last settings.
        """
        queues = {queue.name: queue for queue in configuration.queues}
        for job in self.jobs.values():
            job.queue = queues.get(job.request.queue.name, job.queue)
        self._queues = queues
        self._guarantees.configure(configuration.accounts.values())
        self._urgent_demand.configure(configuration.queues)

    # Worker events.

    def add_worker(self, entry: WorkerEntry, *, now: float) -> Worker:
        """Add a registered worker or update its registration."""
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = Worker(entry, now)
            worker.lease_until = max(now, self._inherited_until)
            self._keep_worker(worker)
            former = self._recent_ends.pop(entry.address, None)
            if former is not None and now - former[0] < RESTART_MEMORY_S:
                worker.health.inherit(former[1])
                worker.health.record_crash(now)
        worker.registered = True
        worker.update_entry(entry)
        self.speeds.bind(worker)
        return worker

    def mark_unregistered(self, name: str, *, now: float) -> None:
        """Record that a worker is no longer registered; its runs may continue."""
        worker = self.workers.get(name)
        if worker is None:
            return
        worker.registered = False
        if not worker.runs and worker.synced:
            del self.workers[name]

    def remove_ended_worker(
        self,
        name: str,
        *,
        now: float,
        unix_s: float,
        known_at: float | None = None,
        source: str = "",
    ) -> None:
        """Release all runs of an incarnation that has ended.

        A worker that has answered or got an order since it was known to have ended may
        have started again under its identifier. It stays, and shows by its next list
        what it runs.

        :param known_at: monotonic time to which the knowledge dates back; by default
            now
        :param source: what has shown it, for the log
        """
        worker = self.workers.get(name)
        known_at = now if known_at is None else known_at
        if worker is None or worker.active_since(known_at):
            return
        del self.workers[name]
        announced = self._end_announced(worker)
        log(
            events.WORKER_GONE,
            worker=name,
            runs=len(worker.runs),
            announced=announced,
            source=source,
            known_s=round(now - known_at, 3),
            answered_s=round(now - worker.answered_at, 3),
        )
        self._recent_ends = {
            address: ended
            for address, ended in self._recent_ends.items()
            if now - ended[0] < RESTART_MEMORY_S
        }
        self._recent_ends[worker.entry.address] = (now, worker.health)
        self._losses.release_ended_worker(
            worker, known_at, now, unix_s, announced=announced
        )

    def apply_heartbeat(
        self,
        name: str,
        reply: HeartbeatReply,
        *,
        sent_at: float,
        now: float,
        unix_s: float,
    ) -> None:
        """Apply a worker's list of active and ended runs.

        :param sent_at: monotonic time at which the request was sent
        """
        worker = self.workers.get(name)
        if worker is None or sent_at < worker.discovered_at:
            # Since the request the worker has been removed, and may be back.
            return
        started_ms = reply.started_ms or worker.started_ms
        listed = {(running.task, running.run) for running in reply.running}
        if worker.started_ms not in (0, started_ms):
            worker.allow_for_longest_lease(now)
            announced = self._end_announced(worker)
            own = listed | {(ended.task, ended.run) for ended in reply.ended}
            self._losses.apply_restart(
                worker, started_ms, own, sent_at, now, unix_s, announced=announced
            )
        worker.started_ms = started_ms
        worker.lapsed = []
        worker.set_clock(reply.clock_s, now)
        if not worker.synced:
            worker.synced = True
            log(events.WORKER_SYNCED, worker=name, running=len(reply.running))
        for ended in reply.ended:
            self._state.apply_ended(worker, ended, now, unix_s)
        for running in reply.running:
            self._state.apply_running(worker, running, now)
        self.speeds.observe_runs(worker, self.workers, now)
        self._losses.settle_inherited(worker, started_ms, unix_s)
        self._state.orders += throttle_orders(worker, now)
        if len(reply.ended) < MAX_ENDS_PER_REPLY:
            self._losses.release_missing_runs(worker, listed, sent_at, now, unix_s)
        worker.end_isolation(EARLY_S)

    def apply_start_outcome(
        self,
        order: StartOrder,
        outcome: StartOutcome,
        *,
        certain: bool,
        now: float,
        unix_s: float,
    ) -> None:
        """Apply the result of a start order.

        :param certain: whether every earlier attempt of the order got an answer
        """
        worker = self.workers.get(order.worker)
        run = worker.runs.get((order.task, order.run)) if worker else None
        if worker is None or run is None:
            return
        if outcome is StartOutcome.STARTED:
            worker.heard_at = now
            worker.allow_for_longest_lease(now)
            run.settled_at = now
            run.confirmed = True
            run.certain = certain
            if run.state is RunState.ORDERED:
                run.state = RunState.RUNNING
                run.advanced_at = run.started_at = now
            return
        log(
            events.START_NOT_DONE,
            request_id=order.task.job,
            task=format_task(order.task),
            run=order.run,
            worker=order.worker,
            outcome=str(outcome),
            certain=certain,
        )
        if run.unit is not None:
            self._delay_retry(run.unit, order, outcome, now)
        unanswered = outcome is StartOutcome.UNKNOWN or not certain
        refused = outcome in REFUSALS or (
            unanswered and outcome is not StartOutcome.OLD
        )
        # A unit that others have refused before shows nothing of this worker.
        if refused and not (run.unit and run.unit.often_refused):
            worker.health.record_refusal(now)
        if outcome is StartOutcome.OLD:
            # The run has ended on the worker or can never start. The next heartbeat
            # reply shows which.
            run.state = RunState.STOPPING
            run.stopped_for = LossCause.UNCERTAIN_START
            run.settled_at = now
            worker.forecast = None
            self._state.stop_other_members(run)
        elif certain and outcome is not StartOutcome.UNKNOWN:
            log_release(worker, run, Proof.NOT_STARTED, now)
            self._state.release_run(worker, run, EndKind.STOPPED, "", now, unix_s)
        else:
            self._state.order_stop(run, LossCause.UNCERTAIN_START)
            self._state.stop_other_members(run)

    def _delay_retry(
        self, unit: Unit, order: StartOrder, outcome: StartOutcome, now: float
    ) -> None:
        """Put off the next start of a unit of which a run could not be started."""
        unit.delay_retry(order.run, now)
        permissions = self._state.permissions_of(unit.step)
        if outcome is StartOutcome.NO_TICKET and permissions is not None:
            permissions.discard_ticket(order.worker)

    def apply_stop_outcome(
        self, order: StopOrder, outcome: StopOutcome, *, now: float
    ) -> None:
        """Apply the result of a stop order."""
        worker = self.workers.get(order.worker)
        run = worker.runs.get((order.task, order.run)) if worker else None
        if worker is not None and outcome is StopOutcome.STOPPED:
            worker.heard_at = now
            if run is None:
                return
            run.settled_at = now
            if run.stopped_in not in (0, worker.started_ms):
                # A former life may have answered, whose stop bars no later start.
                self._state.repeat_stop(run)

    def apply_advice(
        self, request: AdviceRequest, advice: Advice | None, *, now: float
    ) -> None:
        """Apply a reply of the advice service; None if there was no usable reply."""
        known = self._state.permissions.get(
            (request.job, request.occurrence, request.step)
        )
        if known is not None and advice is not None:
            known.apply_reply(request.workers, advice.granted, now + advice.valid_s)
            log(
                events.ADVICE_TAKEN,
                request_id=request.job,
                step=request.step,
                asked=len(request.workers),
                granted=len(advice.granted),
                valid_s=advice.valid_s,
            )

    def tick(
        self, *, now: float, unix_s: float, lease_confirmed_at: float | None = None
    ) -> None:
        """Release runs whose lease has expired and stop stalled runs.

        :param lease_confirmed_at: monotonic time at which this planner last certainly
            held the leader lease; by default now. A successor may have renewed the
            leases of workers since.
        """
        known_until = now if lease_confirmed_at is None else lease_confirmed_at
        self.speeds.tick(self.workers, now)
        for name, worker in list(self.workers.items()):
            if known_until > worker.lease_until:
                if worker.runs:
                    log(
                        events.WORKER_LAPSED,
                        worker=name,
                        runs=len(worker.runs),
                        lapsed_s=round(now - worker.lease_until, 3),
                        answered_s=round(now - worker.answered_at, 3),
                        started_ms=worker.started_ms,
                    )
                worker.synced = worker.synced or not worker.registered
                announced = self._end_announced(worker)
                self._losses.release_lapsed_worker(
                    worker, now, unix_s, announced=announced
                )
                if not worker.registered:
                    del self.workers[name]
                continue
            if worker.checked_at != worker.answered_at:
                worker.checked_at = worker.answered_at
                for run in list(worker.runs.values()):
                    self._state.stop_if_stalled(worker, run)

    def _end_announced(self, worker: Worker) -> bool:
        """Return whether a worker was expected to end."""
        return worker.entry.draining or worker.entry.worker in self.cordoned

    def add_unregistered_worker(self, name: str, *, now: float) -> None:
        """Add an unregistered worker that may still have runs."""
        if name not in self.workers:
            entry = WorkerEntry(name, "", "", "", Resources(), frozenset(), "")
            worker = Worker(entry, now)
            worker.lease_until = max(now, self._inherited_until)
            worker.registered = False
            self._keep_worker(worker)

    def _keep_worker(self, worker: Worker) -> None:
        name = worker.entry.worker
        self.workers[name] = worker
        if name not in self._stored_roster:
            self._unstored.add(name)

    # Scheduling.

    def plan(self, *, now: float, unix_s: float, may_start: bool = True) -> list[Order]:
        """Run one scheduling round and return the orders to send.

        :param may_start: whether a run that is started now could get a lease
        """
        self._state.blame.review(now)
        self._update_pools(now)
        self._guarantees.count(self.workers.values())
        round_ = SchedulingRound(
            self._state,
            self._guarantees,
            self._pools,
            self._quarantine,
            previous=self._reservations,
            demand=self._urgent_demand,
            blocked=self.has_unsynced_workers and now < self._inherited_until,
            now=now,
        )
        for step in self._steps_in_order(now) if may_start else ():
            confirmed = step.job.revision <= self._confirmed_revision
            if confirmed and step.job.request.due_s(step.occurrence) <= unix_s:
                _place_step(round_, step)
        self._reservations = round_.reserved
        self.headroom_sizes = {
            service: len(workers) for service, workers in round_.headroom.items()
        }
        self.advice_requests += round_.advice_requests
        return self._state.take_orders()

    def _update_pools(self, now: float) -> None:
        """Collect the workers that may get new runs, by service."""
        allowed = self.stored_roster - self.cordoned
        usable: dict[str, list[Worker]] = {}
        quarantined: dict[str, list[Worker]] = {}
        for name, worker in self.workers.items():
            evacuated = worker.entry.data_centre in self.evacuated
            if name not in allowed or evacuated or not worker.sound(now):
                continue
            workers = usable if worker.usable(now) else quarantined
            workers.setdefault(worker.entry.service, []).append(worker)
        known = self._pools
        self._pools = {
            service: pool
            if (pool := known.get(service)) is not None and pool.holds(workers)
            else WorkerPool(workers)
            for service, workers in usable.items()
        }
        self._quarantine.update(quarantined, usable, now)

    def waiting_counts(self) -> dict[str, int]:
        """Return the number of jobs that have not started, by queue name."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.finished and not job.started:
                name = job.request.queue.name
                counts[name] = counts.get(name, 0) + 1
        return counts

    def _steps_in_order(self, now: float) -> list[StepOccurrence]:
        steps = [step for step in self._state.ready.values() if step.waiting]
        return steps_in_order(steps, self._mean_work, now)


def _place_step(round_: SchedulingRound, step: StepOccurrence) -> None:
    """Place a step; an unexpected error costs this step and no other."""
    try:
        round_.place_step(step)
    except Exception as error:
        log(
            events.UNEXPECTED_ERROR,
            scope="placement of job",
            key=step.job.request.job,
            error=repr(error),
        )
