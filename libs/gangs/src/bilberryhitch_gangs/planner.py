"""A candidate for the planner lease of one pool, and its planner."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from bilberryhitch_model import Explanation, Identity, JobRecord
from bilberryhitch_platform import TableService
from bilberryhitch_telemetry import events, log

from .context import PlannerContext
from .planner_lease import PlannerLease, PlannerLost
from .pool_scheduler import SchedulerFactory
from .tenure import PoolView, Tenure
from .worker_client import WorkerClient


class Planner:
    """A candidate for the planner lease, and the planner once it holds it.

    :param view: returns the pool as it is now
    :param own_rank: returns this host's rank among the candidates, from 0
    :param make_scheduler: makes the scheduler at each acquisition
    :param on_change: called after this planner wrote a job's row
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
        self._tenure: Tenure | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def planning(self) -> bool:
        """Whether this process holds the lease and has reconciled."""
        return self._tenure is not None and self._tenure.ready

    @property
    def task(self) -> "asyncio.Task[None] | None":
        """The task of the planner, for callers that watch for its failure."""
        return self._task

    async def start(self) -> None:
        """Become a candidate."""
        self._task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Finish starts under way, then offer the lease to the next candidate."""
        if self._tenure is not None:
            await self._tenure.leave()
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
            self._task = None
        if self._lease.held:
            await self._lease.release()
            log(events.PLANNER_RELEASED, pool=self._pool, epoch=self._lease.epoch)

    def wake(self) -> None:
        """Look at the job rows now instead of at the next poll."""
        if self._tenure is not None:
            self._tenure.poll_now.set()

    def explain(self, job_id: str) -> Explanation | None:
        """Tell why a job is where it is, or ``None`` when it is not known here."""
        if self._tenure is None or not self._tenure.knows(job_id):
            return None
        return self._tenure.explain(job_id)

    async def run(self) -> None:
        """Acquire, reconcile, plan until the lease is lost, and begin again."""
        while True:
            await self._lease.acquire(self._own_rank)
            log(events.PLANNER_ACQUIRED, pool=self._pool, epoch=self._lease.epoch)
            try:
                await self._hold()
            except PlannerLost as lost:
                log(events.PLANNER_LOST, pool=lost.pool, epoch=lost.epoch)
            # A task group that fails while it is cancelled raises only the
            # failure, so the cancellation has to be looked for.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise asyncio.CancelledError

    async def _hold(self) -> None:
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
                self._tenure = Tenure(context, self._view, view)
                group.create_task(self._lease.keep())
                await self._tenure.run()
        except* PlannerLost as lost:
            raise _first(lost) from None
        finally:
            self._tenure = None


def _first(group: BaseExceptionGroup[PlannerLost]) -> PlannerLost:
    error = group.exceptions[0]
    return _first(error) if isinstance(error, BaseExceptionGroup) else error
