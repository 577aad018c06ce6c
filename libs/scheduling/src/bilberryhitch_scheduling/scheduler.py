"""The scheduler of one data centre and pool."""

from collections.abc import Sequence

from bilberryhitch_model import (
    Decision,
    Explanation,
    GuaranteeShortfall,
    Host,
    Placement,
    Pool,
    QueuedJob,
)
from bilberryhitch_model.errors import QueueFull, ShapeImpossible
from expression import Error, Ok, Result

from .allocator import Allocator
from .explanations import BoundCellRow, bound_cell_rows, explain
from .fair_groups import QueueEntry
from .fair_queue import Dropped
from .feasibility import Feasibility
from .guaranteed_cells import GuaranteedCells
from .jobs import Job
from .lifecycle import Lifecycle
from .pool_state import PoolState
from .pool_workers import PoolWorkers
from .run_time_estimates import RunTimeEstimates


class PoolScheduler:
    """Decides which queued jobs start where and which borrowers are evicted.

    It does no I/O and reads no clock; all times are loop time in seconds. The caller
    carries out the decisions and reports the results. A job that was evicted or whose
    start failed is requeued automatically.

    :param hosts: rows of the workers; those outside the pool are ignored
    """

    def __init__(self, data_centre: str, pool: Pool, hosts: Sequence[Host]) -> None:
        self._data_centre = data_centre
        self._pool = pool
        self._workers = PoolWorkers(data_centre, pool, hosts)
        self._estimates = RunTimeEstimates()
        self._dropped: list[Dropped[QueuedJob]] = []
        self._lifecycle = Lifecycle(pool.max_queued)
        self._lifecycle.shares.set_rows(pool.shares)
        self._build_cells()

    def submit(
        self, job: QueuedJob, now: float
    ) -> Result[None, ShapeImpossible | QueueFull]:
        """Queue a job; does nothing if the job id is known already.

        Another job may be dropped for it, see :meth:`take_dropped`.

        :returns: :class:`ShapeImpossible` if the job could never run, or
            :class:`QueueFull` if the job itself was dropped
        """
        if job.job_id in self._lifecycle.jobs:
            return Ok(None)
        record = Job(job, self._charged_accelerators(job))
        rule = self._feasibility.infeasible_reason(record)
        if rule:
            return Error(ShapeImpossible(job.shape, rule))
        self._lifecycle.jobs[job.job_id] = record
        self._lifecycle.shares.count_job(job.client_account, 1)
        dropped = self._lifecycle.enqueue(record)
        if dropped is None:
            return Ok(None)
        self._lifecycle.remove(dropped.item)
        if dropped.item is record:
            limit = self._lifecycle.queue.limit
            return Error(QueueFull(self._pool.name, limit, dropped.retry_after_s))
        dropped_job = Dropped(
            dropped.item.spec, dropped.client_account, dropped.retry_after_s
        )
        self._dropped.append(dropped_job)
        return Ok(None)

    def take_dropped(self) -> list[Dropped[QueuedJob]]:
        """Return, once, the jobs that a full queue dropped; none of them ever ran."""
        dropped, self._dropped = self._dropped, []
        return dropped

    def cancel(self, job_id: str) -> bool:
        """Remove a job for which no start was decided.

        :returns: ``False`` if the job is unknown, starting or running; the caller
            must then stop it and report :meth:`finished`
        """
        job = self._lifecycle.jobs.get(job_id)
        if job is None or job.stage not in ("queued", "clearing"):
            return False
        if job.stage == "clearing":
            self._lifecycle.release(job, 0.0)
        self._lifecycle.remove(job)
        return True

    def decide(self, now: float) -> list[Decision]:
        """Run one scheduling round and return its starts and evictions.

        A job that needs evictions keeps its allocation, and a later call starts it
        after all of them were reported.
        """
        self._lifecycle.bind_adopted()
        decisions: list[Decision] = [
            self._lifecycle.decide_start(job, now)
            for job in list(self._lifecycle.awaiting_evictions.values())
            if not job.pending_evictions
        ]
        self._allocator.reservations.refresh(now)
        while True:
            if self._lifecycle.capacity_freed:
                self._lifecycle.capacity_freed = False
                self._allocator.clear_failed_searches()
                self._lifecycle.queue.unpark()
            entry = self._lifecycle.queue.select()
            if entry is not None:
                decisions.extend(self._try_start(entry, now))
            elif not self._lifecycle.capacity_freed:
                return decisions

    def adopt(
        self, job: QueuedJob, placement: Placement, borrowed: bool, now: float
    ) -> None:
        """Record a job that is already running, as after a planner failover."""
        if job.job_id in self._lifecycle.jobs:
            return
        record = self._lifecycle.jobs[job.job_id] = Job(
            job, self._charged_accelerators(job)
        )
        self._lifecycle.shares.count_job(job.client_account, 1)
        self._allocator.adopt(record, placement, borrowed)
        record.stage = "running"
        record.was_started = True
        record.started_at = now
        self._lifecycle.record_allocation(record)

    def started(self, job_id: str, now: float) -> None:
        """Report that all tasks of a gang are running."""
        job = self._lifecycle.jobs.get(job_id)
        if job is not None and job.stage == "starting":
            job.stage = "running"
            job.started_at = now

    def start_failed(self, job_id: str, host: str, now: float) -> None:
        """Report that a start was undone; the job is requeued.

        :param host: the worker that refused
        """
        self._lifecycle.requeue(job_id, now)

    def finished(self, job_id: str, now: float, completed: bool = True) -> None:
        """Report the end of a job; estimates use completed runs only."""
        job = self._lifecycle.jobs.get(job_id)
        if job is None:
            return
        if job.stage == "running" and completed:
            spec, run_s = job.spec, max(0.0, now - job.started_at)
            self._estimates.observe(spec.client_account, spec.kind, run_s)
        if job.stage != "queued":
            self._lifecycle.release(job, now)
        self._lifecycle.remove(job)

    def evicted(self, job_id: str, now: float) -> None:
        """Report that a borrower was stopped; it is requeued."""
        self._lifecycle.requeue(job_id, now)

    def host_lost(self, host: str) -> None:
        """Report a lost worker; its jobs are reported as ended separately."""
        self._set_unusable(host, "lost", True)

    def host_back(self, host: Host) -> None:
        """Report a worker that is new, changed or available again."""
        unchanged = self._workers.put(host)
        if not unchanged or host.name not in self._pool_state.hosts:
            self._workers.set_unusable(host.name, "lost", False)
            self._rebuild_cells()
            return
        self._pool_state.hosts[host.name].host = host
        self._set_unusable(host.name, "lost", False)
        self._set_unusable(host.name, "leaving", host.state == "leaving")

    def quarantine(self, host: str) -> None:
        """Give a worker no new work; its running jobs continue."""
        self._set_unusable(host, "quarantined", True)

    def end_quarantine(self, host: str) -> None:
        """End the quarantine of a worker."""
        self._set_unusable(host, "quarantined", False)

    def set_pool(self, pool: Pool) -> None:
        """Apply a changed row of the pools table."""
        self._pool = pool
        self._lifecycle.shares.set_rows(pool.shares)
        self._lifecycle.queue.limit = pool.max_queued
        self._workers.pool = pool
        workers = self._workers.workers()
        if any(host.name not in self._pool_state.hosts for host in workers):
            self._rebuild_cells()
            return
        names = {host.name for host in workers}
        for name in self._pool_state.hosts:
            self._set_unusable(name, "removed", name not in names)
        self._allocator.guarantees.set_rows(self._workers.guarantees())
        self._apply_pool_row()
        for account in {
            job.spec.client_account for job in self._lifecycle.jobs.values()
        }:
            self._lifecycle.queue.refresh(account)
        self._lifecycle.capacity_freed = True

    def explain(self, job_id: str) -> Explanation:
        """Return why a job waits, or why it was allowed to start."""
        job = self._lifecycle.jobs.get(job_id)
        ahead = (
            self._lifecycle.queue.count_ahead(job.entry)
            if job is not None and job.entry
            else 0
        )
        return explain(job_id, job, self._allocator, self._lifecycle.shares, ahead)

    def shortfall(self) -> list[GuaranteeShortfall]:
        """Return the guaranteed cells that cannot be provided at present."""
        self._lifecycle.bind_adopted()
        return self._allocator.guarantees.shortfall(self._data_centre)

    def bound_cells(self) -> list[BoundCellRow]:
        """Return the bound guaranteed cells with their locations and jobs."""
        self._lifecycle.bind_adopted()
        return bound_cell_rows(self._pool_state, self._allocator.guarantees)

    def _build_cells(self) -> None:
        hosts = self._workers.workers()
        self._pool_state = PoolState(hosts)
        rows = self._workers.guarantees()
        guarantees = GuaranteedCells(
            self._pool_state.tree, self._pool_state.reclaimable, rows
        )
        self._allocator = Allocator(
            self._pool_state, guarantees, self._estimates, self._lifecycle.displace
        )
        self._lifecycle.allocator = self._allocator
        for host in hosts:
            self._workers.set_unusable(host.name, "removed", False)
            for reason in self._workers.unusable_reasons(host):
                self._pool_state.set_unusable(host.name, reason, True)
        self._apply_pool_row()

    def _apply_pool_row(self) -> None:
        hosts = self._workers.workers()
        cores = sum(host.cores for host in hosts)
        self._accelerators_per_core = (
            self._pool_state.tree.accelerators / cores if cores else 1.0
        )
        self._allocator.borrowing = self._pool.borrowing
        self._feasibility = Feasibility(hosts, self._pool, self._data_centre)

    def _rebuild_cells(self) -> None:
        """Build new cells for a changed set of workers and adopt the allocated jobs."""
        for job in list(self._lifecycle.awaiting_evictions.values()):
            self._lifecycle.release(job, 0.0)
            self._lifecycle.enqueue(job)
        allocated = [
            job for job in self._lifecycle.jobs.values() if job.stage != "queued"
        ]
        for job in allocated:
            self._lifecycle.shares.count_usage(job, -1)
        self._build_cells()
        for job in allocated:
            placement = job.placement
            job.bound_cell = None
            self._allocator.adopt(job, placement, not job.protected)
            self._lifecycle.shares.count_usage(job, 1)
        self._lifecycle.capacity_freed = True

    def _try_start(self, entry: QueueEntry[Job], now: float) -> list[Decision]:
        job = entry.item
        account = job.spec.client_account
        may_preempt = job.urgent and self._lifecycle.allows_urgent(
            account, job.charged_accelerators
        )
        victims = self._allocator.allocate(job, may_preempt, now)
        if victims is None:
            self._lifecycle.queue.park(entry)
            self._reserve(job, now)
            return []
        self._lifecycle.queue.take(entry, now)
        job.entry = None
        self._lifecycle.record_allocation(job)
        job.pending_evictions = set(victims)
        job.stage = "clearing"
        self._lifecycle.awaiting_evictions[job.job_id] = job
        if not victims:
            return [self._lifecycle.decide_start(job, now)]
        return self._lifecycle.decide_evictions(job)

    def _reserve(self, job: Job, now: float) -> None:
        """Reserve workers for a large gang that may borrow but does not fit now."""
        reservations = self._allocator.reservations
        large = (
            job.shape.total_accelerators > self._pool_state.tree.max_worker_accelerators
        )
        if not large or job.job_id in reservations or reservations.full:
            return
        if not self._allocator.requires_protection(job):
            reservations.reserve(job, now)

    def _set_unusable(self, host: str, reason: str, value: bool) -> None:
        if self._workers.set_unusable(host, reason, value):
            self._lifecycle.capacity_freed = True
            self._pool_state.set_unusable(host, reason, value)
        if value:
            self._lifecycle.requeue_unusable()

    def _charged_accelerators(self, job: QueuedJob) -> float:
        """Return the accelerators that a job is charged for.

        A job without accelerators is charged for its part of the pool's cores.
        """
        if job.shape.accelerators:
            return float(job.shape.total_accelerators)
        return job.shape.tasks * job.shape.cores * self._accelerators_per_core
