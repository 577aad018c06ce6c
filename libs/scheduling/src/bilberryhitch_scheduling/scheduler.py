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

from .estimates import Estimates
from .explaining import BoundRow, bound_rows, explain
from .fair_groups import Entry
from .fair_queue import Dropped
from .feasibility import Feasibility
from .fleet import Fleet
from .guarantees import Guarantees
from .jobs import Job
from .lifecycle import Lifecycle
from .roster import Roster
from .starting import Starter


class PoolScheduler:
    """Decides which queued jobs start where and which borrowers are evicted.

    It does no I/O and reads no clock. Time is passed in as loop time in seconds. The
    caller carries the decisions out and reports what happened. A job that was evicted
    or whose start failed returns to the queue by itself.

    :param hosts: rows of the workers; those outside the pool are ignored
    """

    def __init__(self, data_centre: str, pool: Pool, hosts: Sequence[Host]) -> None:
        self._data_centre = data_centre
        self._pool = pool
        self._roster = Roster(data_centre, pool, hosts)
        self._estimates = Estimates()
        self._dropped: list[Dropped[QueuedJob]] = []
        self._life = Lifecycle(pool.max_queued)
        self._life.shares.set_rows(pool.shares)
        self._build()

    def submit(
        self, job: QueuedJob, now: float
    ) -> Result[None, ShapeImpossible | QueueFull]:
        """Queue a job; a job id that is known already changes nothing.

        Another job may be dropped for it, see :meth:`take_dropped`.
        """
        if job.job_id in self._life.jobs:
            return Ok(None)
        record = Job(job, self._size(job))
        rule = self._feasibility.refusal(record)
        if rule:
            return Error(ShapeImpossible(job.shape, rule))
        self._life.jobs[job.job_id] = record
        self._life.shares.count_job(job.client_account, 1)
        dropped = self._life.enqueue(record)
        if dropped is None:
            return Ok(None)
        self._life.forget(dropped.item)
        if dropped.item is record:
            limit = self._life.queue.limit
            return Error(QueueFull(self._pool.name, limit, dropped.retry_after_s))
        told = Dropped(
            dropped.item.queued, dropped.client_account, dropped.retry_after_s
        )
        self._dropped.append(told)
        return Ok(None)

    def take_dropped(self) -> list[Dropped[QueuedJob]]:
        """Return, once, the jobs that a full queue dropped; they were never run."""
        dropped, self._dropped = self._dropped, []
        return dropped

    def cancel(self, job_id: str) -> bool:
        """Remove a job for which no start was decided.

        :returns: ``False`` if it is unknown, starting or running: the caller stops
            it and reports :meth:`finished`
        """
        job = self._life.jobs.get(job_id)
        if job is None or job.stage not in ("queued", "clearing"):
            return False
        if job.stage == "clearing":
            self._life.release(job, 0.0)
        self._life.forget(job)
        return True

    def decide(self, now: float) -> list[Decision]:
        """Return what to do now: starts, and evictions of borrowers.

        A job that needs evictions is started by a later call, once they all were
        reported; until then its place is kept.
        """
        self._life.settle()
        decisions: list[Decision] = [
            self._life.start(job, now)
            for job in list(self._life.clearing.values())
            if not job.waiting
        ]
        self._starter.reservations.refresh(now)
        while True:
            if self._life.freed:
                self._life.freed = False
                self._starter.forget_failures()
                self._life.queue.unpark()
            entry = self._life.queue.select()
            if entry is not None:
                decisions.extend(self._try(entry, now))
            elif not self._life.freed:
                return decisions

    def adopt(
        self, job: QueuedJob, placement: Placement, borrowed: bool, now: float
    ) -> None:
        """Take over a job that runs already, as after a change of the planner."""
        if job.job_id in self._life.jobs:
            return
        record = self._life.jobs[job.job_id] = Job(job, self._size(job))
        self._life.shares.count_job(job.client_account, 1)
        self._starter.adopt(record, placement, borrowed)
        record.stage = "running"
        record.ran = True
        record.started_at = now
        self._life.place(record)

    def started(self, job_id: str, now: float) -> None:
        """Report that all tasks of a gang run."""
        job = self._life.jobs.get(job_id)
        if job is not None and job.stage == "starting":
            job.stage = "running"
            job.started_at = now

    def start_failed(self, job_id: str, host: str, now: float) -> None:
        """Report that a start was undone; the job is queued again.

        :param host: the worker that refused
        """
        self._life.put_back(job_id, now)

    def finished(self, job_id: str, now: float, completed: bool = True) -> None:
        """Report the end of a job; only completed runs count for estimates."""
        job = self._life.jobs.get(job_id)
        if job is None:
            return
        if job.stage == "running" and completed:
            row, run_s = job.queued, max(0.0, now - job.started_at)
            self._estimates.observe(row.client_account, row.kind, run_s)
        if job.stage != "queued":
            self._life.release(job, now)
        self._life.forget(job)

    def evicted(self, job_id: str, now: float) -> None:
        """Report that a borrower was stopped; it is queued again."""
        self._life.put_back(job_id, now)

    def host_lost(self, host: str) -> None:
        """Report a lost worker; the ends of its jobs are reported separately."""
        self._mark(host, "lost", True)

    def host_back(self, host: Host) -> None:
        """Report a worker that is back, changed, or new."""
        same_place = self._roster.put(host)
        if not same_place or host.name not in self._fleet.hosts:
            self._roster.mark(host.name, "lost", False)
            self._rebuild()
            return
        self._fleet.hosts[host.name].host = host
        self._mark(host.name, "lost", False)
        self._mark(host.name, "leaving", host.state == "leaving")

    def quarantine(self, host: str) -> None:
        """Give a worker no new work; what runs there goes on."""
        self._mark(host, "quarantined", True)

    def release(self, host: str) -> None:
        """Give a quarantined worker work again."""
        self._mark(host, "quarantined", False)

    def set_pool(self, pool: Pool) -> None:
        """Adopt a new row of the pools table."""
        self._pool = pool
        self._life.shares.set_rows(pool.shares)
        self._life.queue.limit = pool.max_queued
        self._roster.pool = pool
        members = self._roster.members()
        if any(host.name not in self._fleet.hosts for host in members):
            self._rebuild()
            return
        names = {host.name for host in members}
        for name in self._fleet.hosts:
            self._mark(name, "removed", name not in names)
        self._starter.guarantees.set_rows(self._roster.guarantees())
        self._adopt_rules()
        for account in {job.queued.client_account for job in self._life.jobs.values()}:
            self._life.queue.refresh(account)
        self._life.freed = True

    def explain(self, job_id: str) -> Explanation:
        """Say why a job is where it is."""
        job = self._life.jobs.get(job_id)
        ahead = (
            self._life.queue.ahead(job.entry) if job is not None and job.entry else 0
        )
        return explain(job_id, job, self._starter, self._life.shares, ahead)

    def shortfall(self) -> list[GuaranteeShortfall]:
        """Return the guaranteed cells that cannot be held at present."""
        self._life.settle()
        return self._starter.guarantees.shortfall(self._data_centre)

    def bound_cells(self) -> list[BoundRow]:
        """Return where guarantees are bound, with their jobs."""
        self._life.settle()
        return bound_rows(self._fleet, self._starter.guarantees)

    def _build(self) -> None:
        hosts = self._roster.members()
        self._fleet = Fleet(hosts)
        rows = self._roster.guarantees()
        guarantees = Guarantees(self._fleet.tree, self._fleet.clear, rows)
        self._starter = Starter(
            self._fleet, guarantees, self._estimates, self._life.displace
        )
        self._life.starter = self._starter
        for host in hosts:
            self._roster.mark(host.name, "removed", False)
            for reason in self._roster.marks(host):
                self._fleet.set_unusable(host.name, reason, True)
        self._adopt_rules()

    def _adopt_rules(self) -> None:
        hosts = self._roster.members()
        cores = sum(host.cores for host in hosts)
        self._per_core = self._fleet.tree.accelerators / cores if cores else 1.0
        self._starter.borrowing = self._pool.borrowing
        self._feasibility = Feasibility(hosts, self._pool, self._data_centre)

    def _rebuild(self) -> None:
        """Build new cells for a changed set of workers and adopt what runs."""
        for job in list(self._life.clearing.values()):
            self._life.release(job, 0.0)
            self._life.enqueue(job)
        placed = [job for job in self._life.jobs.values() if job.stage != "queued"]
        for job in placed:
            self._life.shares.count_use(job, -1)
        self._build()
        for job in placed:
            placement = job.placement
            job.cell = None
            self._starter.adopt(job, placement, not job.firm)
            self._life.shares.count_use(job, 1)
        self._life.freed = True

    def _try(self, entry: Entry[Job], now: float) -> list[Decision]:
        job = entry.item
        account = job.queued.client_account
        may_preempt = job.urgent and self._life.allows_urgent(account, job.size)
        victims = self._starter.start(job, may_preempt, now)
        if victims is None:
            self._life.queue.park(entry)
            self._reserve(job, now)
            return []
        self._life.queue.take(entry, now)
        job.entry = None
        self._life.place(job)
        job.waiting = set(victims)
        job.stage = "clearing"
        self._life.clearing[job.job_id] = job
        if not victims:
            return [self._life.start(job, now)]
        return self._life.evict(job)

    def _reserve(self, job: Job, now: float) -> None:
        """Keep workers for a large gang that could borrow but does not fit."""
        reservations = self._starter.reservations
        large = job.shape.total_accelerators > self._fleet.tree.worker_size
        if not large or job.job_id in reservations or reservations.full:
            return
        if not self._starter.must_be_firm(job):
            reservations.reserve(job, now)

    def _mark(self, host: str, reason: str, value: bool) -> None:
        if self._roster.mark(host, reason, value):
            self._life.freed = True
            self._fleet.set_unusable(host, reason, value)
        if value:
            self._life.requeue_broken()

    def _size(self, job: QueuedJob) -> float:
        """Return the accelerators a job stands for when it is charged."""
        if job.shape.accelerators:
            return float(job.shape.total_accelerators)
        return job.shape.tasks * job.shape.cores * self._per_core
