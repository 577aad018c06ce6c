"""The time for which a planner holds its lease."""

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
from .gang import Ending
from .gang_run import launch
from .job_rows import JobRow, scan_jobs
from .reconcile import queued_job, reconcile
from .renewal import WorkerLink

POLL_S = 1.0
DECIDE_S = 0.25
# Gives a wave of wake-ups time to arrive, and bounds repeats of a start that
# is refused at once.
SETTLE_S = 0.05
RAISE_EPOCH_S = 5.0
LAUNCH_WAIT_S = 5.0


class PoolView(NamedTuple):
    """The pool as the configuration and the membership show it.

    :param hosts: every known worker of the pool in the data centre
    :param usable: names of those that may get new work
    """

    pool: Pool
    hosts: tuple[Host, ...]
    usable: frozenset[str]


class Tenure:
    """The time from one acquisition of the lease to its loss."""

    def __init__(
        self,
        context: PlannerContext,
        view: Callable[[], PoolView],
        first: PoolView,
    ) -> None:
        self._context = context
        self._view = view
        self._pool = first.pool
        self._placeable = {host.name for host in first.hosts}
        self._links: dict[str, WorkerLink] = {}
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._since = 0
        self._noted_pool: Pool | None = None
        self._shortfall: tuple[GuaranteeShortfall, ...] = ()
        self._leaving = False
        self.ready = False
        self.poll_now = asyncio.Event()

    def knows(self, job_id: str) -> bool:
        """Whether the job is queued or has a gang here."""
        return job_id in self._context.rows

    def explain(self, job_id: str) -> Explanation:
        """Return the scheduler's explanation."""
        return self._context.scheduler.explain(job_id)

    async def run(self) -> None:
        """Reconcile, then decide until cancelled."""
        self._context.spawn(self._guard_epoch())
        self._update_hosts(self._view())
        self._since = await reconcile(self._context, _loop_time())
        self._sync_links()
        for row in sorted(self._context.rows.values(), key=_accepted_at):
            self._take_in(row, new=True)
        self.ready = True
        self._context.spawn(self._poll())
        while True:
            self._sync_pool()
            if self._context.lease.store_up and not self._leaving:
                self._decide()
            self._context.wake.clear()
            await _wait(self._context.wake, DECIDE_S)
            await asyncio.sleep(SETTLE_S)

    async def leave(self) -> None:
        """Start nothing more, and wait for the starts under way."""
        self._leaving = True
        until = _loop_time() + LAUNCH_WAIT_S
        while _loop_time() < until:
            gangs = self._context.gangs.values()
            if all(gang.running and not gang.end.done() for gang in gangs):
                return
            await asyncio.sleep(SETTLE_S)

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
                gang.finish(Ending("evict"))

    async def _poll(self) -> None:
        while True:
            self.poll_now.clear()
            await _wait(self.poll_now, POLL_S)
            try:
                rows, self._since = await scan_jobs(
                    self._context.tables, self._context.prefix, self._since
                )
            except StoreUnavailable:
                continue
            for row in rows:
                self._take_in(row)

    def _take_in(self, row: JobRow, *, new: bool = False) -> None:
        """Act on a row that a caller wrote; this planner's own are known."""
        job_id = row.record.job_id
        known = self._context.rows.get(job_id)
        if known is None and row.record.state == "finished":
            return
        if not new and known is not None and row.revision <= known.revision:
            return
        self._context.note_row(row)
        gang = self._context.gangs.get(job_id)
        if gang is not None:
            if row.record.cancel:
                gang.finish(Ending("cancel"))
        elif row.record.state == "finished":
            self._context.scheduler.cancel(job_id)
            self._context.forget_job(job_id)
        elif row.record.state == "queued" and (new or known is None):
            self._submit(row)
        self._context.wake.set()

    def _submit(self, row: JobRow) -> None:
        at = _loop_time()
        result = self._context.scheduler.submit(queued_job(row.record, at), at)
        if result.is_error():
            self._context.spawn(self._refuse(row, str(result.error)))
        for dropped in self._context.scheduler.take_dropped():
            self._refuse_dropped(dropped.item.job_id)

    def _refuse_dropped(self, job_id: str) -> None:
        """End a job that a full queue gave up for one with a better claim."""
        row = self._context.rows.get(job_id)
        if row is not None:
            self._context.spawn(self._refuse(row, "the queue of the pool is full"))

    async def _refuse(self, row: JobRow, reason: str) -> None:
        """End a job that the scheduler does not take."""

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

    def _note_shortfall(self) -> None:
        """Report guarantees that the hosts left cannot hold, once per change."""
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
        self._sync_links()
        placeable = {name for name in view.usable if self._links[name].usable}
        for name in sorted(self._placeable - placeable):
            self._context.scheduler.host_lost(name)
        for name in sorted(placeable - self._placeable):
            self._context.scheduler.host_back(self._context.hosts[name])
        if placeable != self._placeable or view.pool != self._noted_pool:
            self._placeable, self._noted_pool = placeable, view.pool
            self._note_shortfall()

    def _update_hosts(self, view: PoolView) -> None:
        for host in view.hosts:
            self._context.hosts[host.name] = host

    def _sync_links(self) -> None:
        """Keep one link to each worker of the pool or with a gang."""
        wanted = {host.name for host in self._view().hosts}
        wanted |= {
            name for gang in self._context.gangs.values() for name in gang.members
        }
        for name in wanted - set(self._links):
            link = WorkerLink(self._context, self._context.hosts[name])
            self._links[name] = link
            self._link_tasks[name] = self._context.spawn(link.run())
        for name in set(self._links) - wanted:
            del self._links[name]
            self._link_tasks.pop(name).cancel()

    async def _guard_epoch(self) -> None:
        """Take a higher epoch when a worker of this pool has seen one."""
        while True:
            await self._context.stale.wait()
            with suppress(StoreUnavailable):
                await self._context.lease.raise_epoch()
            self._context.stale.clear()
            await asyncio.sleep(RAISE_EPOCH_S)


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()


def _accepted_at(row: JobRow) -> tuple[float, str]:
    return row.record.accepted_at, row.record.job_id


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
