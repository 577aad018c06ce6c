"""Competes for the planner lease of one pool and plans while holding it."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from bilberryhitch_model import Explanation, Identity, JobRecord
from bilberryhitch_platform import TableService
from bilberryhitch_telemetry import events, log

from .active_planner import ActivePlanner, PoolView
from .context import PlannerContext
from .planner_lease import PlannerLease, PlannerLost
from .pool_scheduler import SchedulerFactory
from .worker_client import WorkerClient


class Planner:
    """Candidate for the planner lease of one pool; its planner once elected.

    :param view: returns the pool as it is now
    :param own_rank: returns this host's rank among the candidates, from 0
    :param make_scheduler: makes a scheduler at each acquisition of the lease
    :param now: returns wall-clock time in seconds
    :param on_change: called after this planner has written a job's row
    """

    def __init__(
        self,
        identity: Identity,
        pool: str,
        tables: TableService,
        workers: WorkerClient,
        *,
        view: Callable[[], PoolView],
        own_rank: Callable[[], int],
        make_scheduler: SchedulerFactory,
        now: Callable[[], float],
        new_id: Callable[[], str],
        on_change: Callable[[JobRecord], None] | None = None,
    ) -> None:
        self._identity = identity
        self._pool = pool
        self._tables = tables
        self._workers = workers
        self._view = view
        self._own_rank = own_rank
        self._make_scheduler = make_scheduler
        self._now = now
        self._on_change = on_change
        self._lease = PlannerLease(identity, pool, tables, new_id=new_id)
        self._active_planner: ActivePlanner | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def planning(self) -> bool:
        """Whether this process holds the lease and has reconciled."""
        return self._active_planner is not None and self._active_planner.ready

    @property
    def task(self) -> "asyncio.Task[None] | None":
        """The task that runs the planner; it ends only by failure or ``close``."""
        return self._task

    async def start(self) -> None:
        """Become a candidate."""
        self._task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Complete the starts in progress, then release the lease."""
        if self._active_planner is not None:
            await self._active_planner.quiesce()
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
            self._task = None
        if self._lease.held:
            await self._lease.release()
            log(events.PLANNER_RELEASED, pool=self._pool, epoch=self._lease.epoch)

    def wake(self) -> None:
        """Read the job rows now instead of at the next poll."""
        if self._active_planner is not None:
            self._active_planner.poll_now.set()

    def explain(self, job_id: str) -> Explanation | None:
        """Explain a job's state; ``None`` if this process does not plan the job."""
        if self._active_planner is None or not self._active_planner.has_job(job_id):
            return None
        return self._active_planner.explain(job_id)

    async def run(self) -> None:
        """Acquire the lease, plan until it is lost, and repeat."""
        while True:
            await self._lease.acquire(self._own_rank)
            log(events.PLANNER_ACQUIRED, pool=self._pool, epoch=self._lease.epoch)
            try:
                await self._plan_until_lost()
            except PlannerLost as lost:
                log(events.PLANNER_LOST, pool=lost.pool, epoch=lost.epoch)
            # A task group that fails while it is being cancelled raises only the
            # failure, so the cancellation is checked for explicitly.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise asyncio.CancelledError

    async def _plan_until_lost(self) -> None:
        view = self._view()
        scheduler = self._make_scheduler(
            self._identity.data_centre, view.pool, view.hosts
        )
        try:
            async with asyncio.TaskGroup() as group:
                context = PlannerContext(
                    lease=self._lease,
                    tables=self._tables,
                    workers=self._workers,
                    scheduler=scheduler,
                    data_centre=self._identity.data_centre,
                    pool=self._pool,
                    now=self._now,
                    spawn=group.create_task,
                    on_change=self._on_change,
                )
                self._active_planner = ActivePlanner(context, self._view, view)
                group.create_task(self._lease.renew_until_lost())
                await self._active_planner.run()
        except* PlannerLost as lost:
            raise _first_leaf(lost) from None
        finally:
            self._active_planner = None


def _first_leaf(group: BaseExceptionGroup[PlannerLost]) -> PlannerLost:
    error = group.exceptions[0]
    return _first_leaf(error) if isinstance(error, BaseExceptionGroup) else error
