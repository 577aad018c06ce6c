"""One scheduling round: placement, reservation and preemption."""

from collections.abc import Mapping, Sequence

from bilberryhitch_jobs import JobState
from bilberryhitch_telemetry import events, log

from .cluster_state import ClusterState, format_task
from .completion import odds_by_worker
from .guarantees import Guarantees
from .headroom import UrgentDemand, headroom
from .lost_work import LossCause
from .placement import (
    Odds,
    TaskPlacement,
    place_gang,
    place_task,
)
from .pool_usage import is_underused, mostly_idle, runs_suspect
from .preemption import PreemptionPlan, plan_preemption
from .quarantine import Quarantine
from .reports import AdviceRequest, StartOrder
from .reservations import Reservations
from .roomy_workers import RoomyWorkers
from .runs import Run
from .units import StepOccurrence, Unit
from .worker_pool import WorkerPool
from .workers import Worker

# Wait before other work is preempted, enough for capacity that frees within a round.
# The objective of an urgent job leaves about one second besides its run time, and a
# stop takes up to 0.9 s of it.
PREEMPT_AFTER_S = 0.05
# How long the last attempt of a unit waits for a worker without a recent failure.
SUSPECT_WAIT_S = 1.5
# Wait before a task may run on another rack than its data in a mostly idle pool.
REMOTE_DATA_AFTER_S = 1.5
# How long a unit that may crash workers waits for one that runs nothing: in a pool that
# is mostly idle, or if it is long-running.
ISOLATION_WAIT_S = 2.0
# The same for other units in a busy pool.
BUSY_ISOLATION_WAIT_S = 6.0
# How long reservations and headroom keep a unit off free workers, if less than half of
# the service is in use.
MAX_WAIT_S = 2.0
# How long suspects on their workers keep a long-running unit off. Several of them may
# start one after the other on the only worker with room.
SHARING_WAIT_S = 4.0
# How long a gang waits for one rack, or for the one with its data, if less than half of
# the service is in use.
LOCALITY_WAIT_S = 10.0
EMPTY_POOL = WorkerPool(())


class SchedulingRound:
    """Scheduling decisions for one moment.

    :param state: jobs, workers and runs; updated by the decisions
    :param guarantees: usage of each client account, counted for this round
    :param usable: workers that may get new runs, by service
    :param quarantine: workers that failed too often a short time ago
    :param previous: reservations of the previous round
    :param demand: demand of urgent work
    :param blocked: some workers have not listed their runs; units that an earlier
        planner may have started must wait
    :param now: monotonic time in seconds
    :ivar advice_requests: requests to be sent to the advice service
    :ivar reserved: workers reserved for waiting gangs
    :ivar headroom: workers that are set aside for urgent work, by service
    """

    def __init__(
        self,
        state: ClusterState,
        guarantees: Guarantees,
        usable: Mapping[str, WorkerPool],
        quarantine: Quarantine,
        *,
        previous: Reservations | None,
        demand: UrgentDemand,
        blocked: bool,
        now: float,
    ) -> None:
        self.advice_requests: list[AdviceRequest] = []
        self.reserved = Reservations(now, previous)
        self._state = state
        self._guarantees = guarantees
        self._usable = usable
        self._quarantine = quarantine
        self._blocked = blocked
        self._now = now
        self._demand = demand
        self.headroom = {
            service: headroom(pool.workers, demand.recent(service, now))
            for service, pool in usable.items()
        }
        self._underused: dict[str, bool] = {}
        self._roomy = RoomyWorkers()

    def place_step(self, step: StepOccurrence) -> None:
        """Start the waiting units of a step that fit; preempt other work if allowed.

        Placement ends with the first unit that neither fits nor may preempt other
        work. If that is a gang, workers are reserved for it.
        """
        now = self._now
        whole_pool = self._pool_of(step)
        pool = whole_pool.for_step(step.step)
        permissions = self._state.permissions_of(step)
        if permissions is not None:
            request = permissions.next_request(step, pool.workers, now)
            if request is not None:
                self.advice_requests.append(request)
            pool = WorkerPool(
                [
                    each
                    for each in pool.workers
                    if permissions.is_granted(each.entry.worker, now)
                ]
            )
        any_rack = self._remote_data_allowed(step, pool.workers)
        if not step.step.gang and step.job.queue.priority > 0:
            self._place_tasks(step, pool, whole_pool, any_rack)
            return
        for unit in list(step.waiting.values()):
            if not self._may_place(unit):
                continue
            members = self._place(unit, pool, any_rack)
            if members is not None:
                self._start(unit, members)
            elif unit.isolated:
                self.reserved.reserve(unit, pool.workers, whole_pool)
            elif not self._preempt(unit, pool.workers):
                if step.step.gang:
                    self.reserved.reserve(unit, pool.workers, whole_pool)
                break

    def _pool_of(self, step: StepOccurrence) -> WorkerPool:
        """Return the workers that a step may use.

        Quarantined ones are among them if one of its units waits for too long: they may
        be sound, and the only ones with room.
        """
        service = step.job.queue.service
        pool = self._usable.get(service, EMPTY_POOL)
        quarantined = self._quarantine.workers(service)
        if not quarantined:
            return pool
        oldest = min(step.waiting.values(), key=lambda unit: unit.waiting_since)
        if not self._passes_quarantine(oldest):
            return pool
        return WorkerPool([*pool.workers, *quarantined])

    def _passes_quarantine(self, unit: Unit) -> bool:
        """Return whether a unit may use quarantined workers."""
        return self._quarantine.lets_in(unit, self._guarantees, self._now)

    def _place_tasks(
        self,
        step: StepOccurrence,
        pool: WorkerPool,
        whole_pool: WorkerPool,
        any_rack: bool,
    ) -> None:
        """Start the waiting single tasks of a step that may not preempt other work.

        Such tasks have no workers of their own set aside, so all of them may use the
        same ones.
        """
        units = []
        for unit in list(step.waiting.values()):
            if not self._may_place(unit):
                continue
            if unit.isolated:
                self._place_isolated(unit, pool, whole_pool, any_rack)
            else:
                units.append(unit)
        if not units:
            return
        allowed = self._allowed_workers(units[0], pool.workers)
        first, *others = self._by_health(units[0], allowed)
        odds = self._odds(units[0])
        choices = TaskPlacement(step, first, any_rack=any_rack, odds=odds)
        for unit in units:
            worker = choices.next_worker()
            while worker is None and others:
                if self._waits_for_healthy(unit, pool):
                    return
                choices = TaskPlacement(
                    step, others.pop(0), any_rack=any_rack, odds=odds
                )
                worker = choices.next_worker()
            if worker is None or not self._may_use(unit, worker):
                return
            self._start(unit, {unit.index: worker})

    def _place_isolated(
        self, unit: Unit, pool: WorkerPool, whole_pool: WorkerPool, any_rack: bool
    ) -> None:
        """Start a unit that runs alone, or reserve a worker for it."""
        members = self._place(unit, pool, any_rack)
        if members is not None:
            self._start(unit, members)
        else:
            self.reserved.reserve(unit, pool.workers, whole_pool)

    def _may_place(self, unit: Unit) -> bool:
        """Return whether a unit may be started at this moment."""
        inherited = self._blocked and unit.step.job.inherited and not unit.adopted
        return unit.retry_at <= self._now and not inherited

    def _allowed_workers(self, unit: Unit, workers: Sequence[Worker]) -> list[Worker]:
        """Return the workers that have room for a task and are not kept for others."""
        return self._unreserved_workers(
            unit, self._roomy.workers(workers, unit.step.step)
        )

    def _unreserved_workers(
        self, unit: Unit, workers: Sequence[Worker]
    ) -> list[Worker]:
        """Return the workers that are not kept for other units."""
        job = unit.step.job
        set_aside = self.headroom.get(job.queue.service, frozenset())
        urgent = job.queue.priority == 0
        may_use_headroom = urgent or unit.isolated
        # A unit within its guarantee may use workers reserved for other gangs.
        guaranteed = urgent and self._guarantees.covers(unit)
        overdue = self._is_overdue(unit, MAX_WAIT_S)
        lasting = unit.step.step.long_running
        may_share = lasting and self._is_overdue(unit, SHARING_WAIT_S)
        passes_quarantine = self._passes_quarantine(unit)
        allows = self._state.preemptions.allows
        return [
            worker
            for worker in workers
            if (may_share or not worker.exclusive)
            and (passes_quarantine or not worker.health.quarantined(self._now))
            and allows(worker, unit, self._now)
            and (guaranteed or overdue or self.reserved.allows(worker, unit))
            and (may_use_headroom or overdue or worker.entry.worker not in set_aside)
        ]

    def _is_overdue(self, unit: Unit, wait_s: float) -> bool:
        """Return whether a unit need not leave free workers to others any longer.

        That is so after a while if the service is less than half in use, and for
        long-running units however full it is.
        """
        if self._now - unit.waiting_since <= wait_s:
            return False
        service = unit.step.job.queue.service
        if service not in self._underused:
            pool = self._usable.get(service, EMPTY_POOL)
            self._underused[service] = is_underused(pool.workers)
        return unit.step.step.long_running or self._underused[service]

    def _waits_for_healthy(self, unit: Unit, pool: WorkerPool) -> bool:
        """Return whether a unit waits for a worker without a recent failure.

        The last attempt of a unit does so for a while, and one that may crash workers
        if there are others: the crash of a worker that fails anyway proves nothing.
        """
        careful = unit.attempts_left <= 1 and bool(unit.failed_runs)
        if unit.isolated and not careful:
            careful = bool(self._healthy(unit, pool.workers))
        since = unit.waiting_since if unit.alone_since is None else unit.alone_since
        return careful and self._now - since < SUSPECT_WAIT_S

    def _place(
        self, unit: Unit, pool: WorkerPool, any_rack: bool
    ) -> dict[int, Worker] | None:
        """Choose workers, idle ones for a unit that may crash them.

        Work that never ends may keep every worker busy. Such a unit runs beside it
        then, after a while, and beside another one like it only as a last resort.

        :returns: the worker of each task, by task index; None if the unit must wait
        """
        allowed = self._allowed_workers(unit, pool.workers)
        if not unit.isolated:
            return self._place_among(unit, allowed, pool, any_rack)
        if unit.alone_since is None:
            unit.alone_since = self._now
        idle = [worker for worker in allowed if not worker.runs]
        members = self._place_among(unit, idle, pool, any_rack)
        waited_s = self._now - unit.alone_since
        quarantined = self._quarantine.workers(unit.step.job.queue.service)
        short = unit.step.step.long_running or mostly_idle(
            list(dict.fromkeys([*pool.workers, *quarantined]))
        )
        limit_s = ISOLATION_WAIT_S if short else BUSY_ISOLATION_WAIT_S
        if members is not None or waited_s <= limit_s:
            return members
        apart = [worker for worker in allowed if not runs_suspect(worker)]
        return self._place_among(unit, apart, pool, any_rack) or self._place_among(
            unit, allowed, pool, any_rack
        )

    def _place_among(
        self, unit: Unit, allowed: Sequence[Worker], pool: WorkerPool, any_rack: bool
    ) -> dict[int, Worker] | None:
        """Choose among workers; use those with a recent failure as a last resort."""
        first, *others = self._by_health(unit, allowed)
        members = self._choose(unit, first, pool, any_rack, with_suspects=False)
        for workers in others:
            if members is not None or self._waits_for_healthy(unit, pool):
                break
            members = self._choose(unit, workers, pool, any_rack, with_suspects=True)
        return members

    def _healthy(self, unit: Unit, workers: Sequence[Worker]) -> list[Worker]:
        """Return the workers without a recent failure, of any or of the unit's job."""
        now, failures = self._now, unit.step.job.failures
        return [
            worker
            for worker in workers
            if worker.health.healthy(now)
            and not failures.recent(worker.entry.worker, now)
        ]

    def _by_health(
        self, unit: Unit, workers: Sequence[Worker]
    ) -> list[Sequence[Worker]]:
        """Return sets of workers to be tried in turn, each with those before it.

        First come those without a recent failure, and quarantined ones last.
        """
        healthy = self._healthy(unit, workers)
        if len(healthy) == len(workers):
            return [healthy]
        now = self._now
        open_ = [worker for worker in workers if not worker.health.quarantined(now)]
        return (
            [healthy, open_, workers] if len(open_) < len(workers) else [healthy, open_]
        )

    def _may_use(self, unit: Unit, worker: Worker) -> bool:
        """Return whether a unit may run on a worker that may be in quarantine."""
        quarantined = worker.health.quarantined(self._now)
        return not quarantined or self._passes_quarantine(unit)

    def _choose(
        self,
        unit: Unit,
        workers: Sequence[Worker],
        pool: WorkerPool,
        any_rack: bool,
        *,
        with_suspects: bool,
    ) -> dict[int, Worker] | None:
        """Choose among workers that have room for a task of the unit."""
        odds = self._odds(unit)
        if not unit.step.step.gang:
            worker = place_task(unit, workers, any_rack=any_rack, odds=odds)
            return {unit.index: worker} if worker else None

        def free_gpus(group: Sequence[Worker]) -> int:
            rack = pool.racks[group[0].entry.rack]
            return sum(
                worker.free.gpu
                for worker in self._unreserved_workers(unit, rack)
                if with_suspects or worker.health.healthy(self._now)
            )

        step = unit.step.step
        groups = pool.locality_groups(step, workers)
        restarted = unit.last_run > 0 and self._opened_long_ago(unit)
        wait_s = MAX_WAIT_S if step.long_running or restarted else LOCALITY_WAIT_S
        across_racks = unit.across_racks or self._is_overdue(unit, wait_s)
        return place_gang(
            unit, workers, groups, free_gpus, across_racks=across_racks, odds=odds
        )

    def _opened_long_ago(self, unit: Unit) -> bool:
        return self._now - unit.step.opens_at > LOCALITY_WAIT_S

    def _odds(self, unit: Unit) -> Odds | None:
        """Return the odds of a unit by worker; None if speeds need not be weighed.

        Fast workers are spared only where urgent work may come.
        """
        if not self._demand.may_come(unit.step.job.queue.service):
            return None
        return odds_by_worker(unit, self._now)

    def _remote_data_allowed(
        self, step: StepOccurrence, workers: Sequence[Worker]
    ) -> bool:
        """Return whether single tasks may run on another rack than their data."""
        rack = step.step.data_rack
        if not rack or all(worker.entry.rack != rack for worker in workers):
            return True
        waiting_since = min(unit.waiting_since for unit in step.waiting.values())
        if self._now - waiting_since < REMOTE_DATA_AFTER_S:
            return False
        return step.step.long_running or mostly_idle(workers)

    def _start(self, unit: Unit, members: dict[int, Worker]) -> None:
        step, job, now = unit.step, unit.step.job, self._now
        unit.last_run += 1
        unit.placements.clear()
        unit.alone_since = None
        unit.reserved_since = None
        step.waiting.pop(unit.index, None)
        self._state.preemptions.release(unit)
        demand = step.step.reserved_resources
        permissions = self._state.permissions_of(step)
        for index, worker in members.items():
            name = worker.entry.worker
            run = Run(unit.task(index), unit.last_run, demand, name, unit, now)
            run.exclusive = unit.exclusive
            unit.runs[index] = run
            unit.placements[index] = worker.placement
            worker.add_run(run)
            self._state.orders.append(
                StartOrder(
                    name,
                    run.task,
                    run.number,
                    job.request.spec,
                    unit.checkpoint,
                    permissions.ticket(name) if permissions else "",
                )
            )
        job.state = JobState.RUNNING
        self._guarantees.claim(unit)
        self._state.dirty.add(job.request.job)
        odds = self._odds(unit)
        log(
            events.UNIT_STARTED,
            request_id=job.request.job,
            task=format_task(unit.task(unit.task_indexes[0])),
            run=unit.last_run,
            workers=[worker.entry.worker for worker in members.values()],
            slowest=round(min(worker.speed for worker in members.values()), 2),
            odds=odds and round(min(map(odds, members.values())), 2),
            waited_s=round(now - unit.waiting_since, 3),
            saved=unit.checkpoint,
            accepted_at_revision=job.revision,
            inherited=job.inherited,
            unknown_workers=self._blocked,
        )

    def _preempt(self, unit: Unit, workers: Sequence[Worker]) -> bool:
        """Preempt other work if the unit is within its account's guarantee.

        :returns: whether capacity is being freed for the unit
        """
        now = self._now
        if self._state.preemptions.pending_for(unit, now):
            return True
        self._state.preemptions.release(unit)
        waited_s = now - unit.waiting_since
        if (
            unit.step.job.queue.priority != 0
            or waited_s < PREEMPT_AFTER_S
            or not self._guarantees.covers(unit)
        ):
            return False
        candidates = [
            each
            for each in workers
            if self._state.preemptions.allows(each, unit, now)
            and self._may_use(unit, each)
        ]
        preemption = self._plan_reclaim(unit, candidates)
        if preemption is None:
            return False
        self._state.preemptions.hold_workers(preemption.workers, unit, now)
        unit.across_racks = preemption.across_racks
        self._guarantees.claim(unit)
        for victim in preemption.units:
            for run in victim.runs.values():
                self._state.order_stop(run, LossCause.EVICTED)
        log(
            events.UNITS_EVICTED,
            request_id=unit.step.job.request.job,
            task=format_task(unit.task(unit.task_indexes[0])),
            evicted=[
                format_task(each.task(each.task_indexes[0]))
                for each in preemption.units
            ],
            lost_core_s=round(preemption.cost, 1),
            waited_s=round(waited_s, 3),
        )
        return True

    def _plan_reclaim(
        self, unit: Unit, candidates: Sequence[Worker]
    ) -> PreemptionPlan | None:
        """Return the preemption for a unit within its account's guarantee.

        Other accounts' urgent work, which would miss its objective, is stopped only if
        stopping patient work does not do.
        """
        allows = self._guarantees.allows_preemption
        plan = plan_preemption(
            unit,
            candidates,
            lambda each: each.step.job.queue.priority > 0 and allows(each),
            self._now,
        )
        if plan is not None and not plan.across_racks:
            return plan
        return plan_preemption(unit, candidates, allows, self._now)
