"""The planner of one pool while it holds the planner lease."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from bilberryhitch_model import (
    Explanation,
    GuaranteeShortfall,
    Host,
    JobRecord,
    OutcomeStatus,
    Pool,
    Start,
)
from bilberryhitch_model.errors import StoreUnavailable
from bilberryhitch_telemetry import events, log, metrics

from .context import PlannerContext
from .gang import EndReason
from .gang_run import launch
from .job_rows import JobRow, scan_jobs
from .lease_renewal import LeaseRenewer
from .reconcile import queued_job, reconcile

JOB_POLL_INTERVAL_S = 1.0
DECISION_INTERVAL_S = 0.25
# Lets the events of a burst arrive before the next decision, and limits the rate
# of retries of a start that fails immediately.
DECISION_DELAY_S = 0.05
RAISE_EPOCH_INTERVAL_S = 5.0
QUIESCE_TIMEOUT_S = 5.0


class PoolView(NamedTuple):
    """A pool's configuration and the workers that the membership lists for it.

    :param hosts: every known worker of the pool in the data centre
    :param usable: names of the workers that may get new work
    """

    pool: Pool
    hosts: tuple[Host, ...]
    usable: frozenset[str]


class ActivePlanner:
    """Plans the jobs of one pool from the acquisition of the lease to its loss.

    :param view: returns the pool as it is now
    :param initial_view: the pool with which the scheduler was made
    :ivar ready: whether reconciliation is complete
    :ivar poll_now: set to read the job rows before the next poll is due
    """

    def __init__(
        self,
        context: PlannerContext,
        view: Callable[[], PoolView],
        initial_view: PoolView,
    ) -> None:
        self._context = context
        self._view = view
        self._pool = initial_view.pool
        self._placeable = {host.name for host in initial_view.hosts}
        self._renewers: dict[str, LeaseRenewer] = {}
        self._renewer_tasks: dict[str, asyncio.Task[None]] = {}
        self._scanned_revision = 0
        self._reported_pool: Pool | None = None
        self._shortfall: tuple[GuaranteeShortfall, ...] = ()
        self._quiescing = False
        self.ready = False
        self.poll_now = asyncio.Event()

    def has_job(self, job_id: str) -> bool:
        """Whether the job is known and unfinished."""
        return job_id in self._context.rows

    def explain(self, job_id: str) -> Explanation:
        """Return the scheduler's explanation of the job's state."""
        return self._context.scheduler.explain(job_id)

    async def run(self) -> None:
        """Reconcile, then make scheduling decisions until cancelled."""
        self._context.spawn(self._raise_stale_epoch())
        self._update_hosts(self._view())
        self._scanned_revision = await reconcile(self._context, _loop_time())
        self._sync_renewers()
        for row in sorted(self._context.rows.values(), key=_accepted_at):
            self._apply_row(row, initial=True)
        self.ready = True
        self._context.spawn(self._poll())
        while True:
            self._sync_pool()
            if self._context.lease.store_up and not self._quiescing:
                self._decide()
            self._context.decision_due.clear()
            await _wait_for_event(self._context.decision_due, DECISION_INTERVAL_S)
            await asyncio.sleep(DECISION_DELAY_S)

    async def quiesce(self) -> None:
        """Start no more gangs, and wait for the starts in progress."""
        self._quiescing = True
        deadline = _loop_time() + QUIESCE_TIMEOUT_S
        while _loop_time() < deadline:
            gangs = self._context.gangs.values()
            if all(gang.running and not gang.end.done() for gang in gangs):
                return
            await asyncio.sleep(DECISION_DELAY_S)

    def _decide(self) -> None:
        pool = self._pool.name
        for decision in self._context.scheduler.decide(_loop_time()):
            kind = "start" if isinstance(decision, Start) else "evict"
            metrics.DECISIONS.add(1, {"pool": pool, "decision": kind})
            if isinstance(decision, Start):
                self._context.spawn(launch(self._context, decision))
                continue
            gang = self._context.gangs.get(decision.job_id)
            if gang is not None:
                gang.finish(EndReason("evict"))

    async def _poll(self) -> None:
        while True:
            self.poll_now.clear()
            await _wait_for_event(self.poll_now, JOB_POLL_INTERVAL_S)
            try:
                rows, self._scanned_revision = await scan_jobs(
                    self._context.tables,
                    self._context.row_prefix,
                    self._scanned_revision,
                )
            except StoreUnavailable:
                continue
            for row in rows:
                self._apply_row(row)

    def _apply_row(self, row: JobRow, *, initial: bool = False) -> None:
        """Act on a row that another process wrote.

        :param initial: act on the row even if this revision is already known
        """
        job_id = row.record.job_id
        known = self._context.rows.get(job_id)
        if known is None and row.record.state == "finished":
            return
        if not initial and known is not None and row.revision <= known.revision:
            return
        self._context.update_row(row)
        gang = self._context.gangs.get(job_id)
        if gang is not None:
            if row.record.cancel:
                gang.finish(EndReason("cancel"))
        elif row.record.state == "finished":
            self._context.scheduler.cancel(job_id)
            self._context.forget_job(job_id)
        elif row.record.state == "queued" and (initial or known is None):
            self._submit(row)
        self._context.decision_due.set()

    def _submit(self, row: JobRow) -> None:
        at = _loop_time()
        result = self._context.scheduler.submit(queued_job(row.record, at), at)
        if result.is_error():
            self._context.spawn(self._reject(row, str(result.error)))
        for dropped in self._context.scheduler.take_dropped():
            self._reject_dropped(dropped.item.job_id)

    def _reject_dropped(self, job_id: str) -> None:
        """Finish a job that a full queue dropped in favour of another."""
        row = self._context.rows.get(job_id)
        if row is not None:
            self._context.spawn(self._reject(row, "the queue of the pool is full"))

    async def _reject(self, row: JobRow, reason: str) -> None:
        """Finish a job that the scheduler does not accept."""

        def change(record: JobRecord) -> JobRecord:
            status: OutcomeStatus = "failed" if record.attempt else "not_run"
            return record._replace(
                state="finished",
                status=status,
                detail=reason,
                finished_at=self._context.now(),
            )

        await self._context.change_row(row, change)
        self._context.forget_job(row.record.job_id)

    def _report_shortfall(self) -> None:
        """Log guarantees that the remaining hosts cannot satisfy, once per change."""
        shortfall = tuple(self._context.scheduler.shortfall())
        if shortfall == self._shortfall:
            return
        self._shortfall = shortfall
        pool = self._pool.name
        for missing in shortfall:
            log(events.GUARANTEE_SHORTFALL, pool=pool, **missing._asdict())
        if not shortfall:
            log(events.GUARANTEE_RESTORED, pool=pool)

    def _sync_pool(self) -> None:
        """Pass changes of the pool and its workers to the scheduler."""
        view = self._view()
        if view.pool != self._pool:
            self._pool = view.pool
            self._context.scheduler.set_pool(view.pool)
        self._update_hosts(view)
        self._sync_renewers()
        placeable = {name for name in view.usable if self._renewers[name].usable}
        for name in sorted(self._placeable - placeable):
            self._context.scheduler.host_lost(name)
        for name in sorted(placeable - self._placeable):
            self._context.scheduler.host_back(self._context.hosts[name])
        if placeable != self._placeable or view.pool != self._reported_pool:
            self._placeable, self._reported_pool = placeable, view.pool
            self._report_shortfall()

    def _update_hosts(self, view: PoolView) -> None:
        for host in view.hosts:
            self._context.hosts[host.name] = host

    def _sync_renewers(self) -> None:
        """Renew leases on each worker that is in the pool or runs a gang."""
        wanted = {host.name for host in self._view().hosts}
        wanted |= {
            name for gang in self._context.gangs.values() for name in gang.members
        }
        for name in wanted - set(self._renewers):
            renewer = LeaseRenewer(self._context, self._context.hosts[name])
            self._renewers[name] = renewer
            self._renewer_tasks[name] = self._context.spawn(renewer.run())
        for name in set(self._renewers) - wanted:
            del self._renewers[name]
            self._renewer_tasks.pop(name).cancel()

    async def _raise_stale_epoch(self) -> None:
        """Acquire a higher epoch whenever a worker of this pool has seen one."""
        while True:
            await self._context.epoch_stale.wait()
            with suppress(StoreUnavailable):
                await self._context.lease.raise_epoch()
            self._context.epoch_stale.clear()
            await asyncio.sleep(RAISE_EPOCH_INTERVAL_S)


async def _wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()


def _accepted_at(row: JobRow) -> tuple[float, str]:
    return row.record.accepted_at, row.record.job_id


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
