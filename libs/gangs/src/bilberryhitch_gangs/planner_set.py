"""The planners that this entry host runs, one per pool."""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Protocol

from bilberryhitch_model import Explanation, Host, Identity, JobRecord, Pool, Tables
from bilberryhitch_platform import TableService

from .active_planner import PoolView
from .job_rows import parse_job_id
from .planner import Planner
from .planner_lease import rank
from .pool_scheduler import SchedulerFactory
from .worker_client import WorkerClient

SYNC_INTERVAL_S = 1.0
# With two standby candidates, the loss of two hosts at once leaves one. More
# candidates would only add reads of the lease row.
CANDIDATES_PER_POOL = 3


class PlannerMembership(Protocol):
    """Membership queries that the planners need."""

    def entry_hosts(self, data_centre: str) -> Sequence[str]:
        """Return the names of the live entry hosts that are not leaving."""

    def endpoints(self, kind: str, data_centre: str) -> Sequence[Host]:
        """Return the endpoint hosts usable for new work."""

    def hosts(self) -> Sequence[Host]:
        """Return every known host, in any state."""


class PlannerSet:
    """Starts and closes planners as configuration and membership change.

    :param tables_view: returns the configuration in force
    :param now: returns wall-clock time in seconds
    :param on_change: called after a planner has written a job's row
    """

    def __init__(
        self,
        identity: Identity,
        tables: TableService,
        workers: WorkerClient,
        *,
        tables_view: Callable[[], Tables],
        members: PlannerMembership,
        make_scheduler: SchedulerFactory,
        now: Callable[[], float],
        new_id: Callable[[], str],
        on_change: Callable[[JobRecord], None] | None = None,
    ) -> None:
        self._identity = identity
        self._tables = tables
        self._workers = workers
        self._tables_view = tables_view
        self._members = members
        self._make_scheduler = make_scheduler
        self._now = now
        self._new_id = new_id
        self._on_change = on_change
        self._planners: dict[str, Planner] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def pools(self) -> list[str]:
        """Pools for which this process is a candidate or the planner."""
        return sorted(self._planners)

    @property
    def planning(self) -> list[str]:
        """Pools for which this process is the planner."""
        return sorted(pool for pool, each in self._planners.items() if each.planning)

    async def start(self) -> None:
        """Become a candidate for every pool for which this host ranks high enough."""
        self._task = asyncio.create_task(self._sync_periodically())

    async def close(self) -> None:
        """Close every planner and release its lease."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
            self._task = None
        await asyncio.gather(*(each.close() for each in self._planners.values()))
        self._planners.clear()

    def wake(self, job_id: str) -> None:
        """Make the job's planner read the job rows now."""
        planner = self._planner_for(job_id)
        if planner is not None:
            planner.wake()

    def explain(self, job_id: str) -> Explanation | None:
        """Explain a job's state; ``None`` if this process does not plan the job."""
        planner = self._planner_for(job_id)
        return None if planner is None else planner.explain(job_id)

    async def sync(self) -> None:
        """Start and close planners to match the current configuration and members."""
        wanted = self._wanted_pools()
        for pool, planner in list(self._planners.items()):
            failed = planner.task is None or planner.task.done()
            if failed or (pool not in wanted and not planner.planning):
                del self._planners[pool]
                await planner.close()
        for pool in sorted(wanted - set(self._planners)):
            self._planners[pool] = self._make_planner(pool)
            await self._planners[pool].start()

    def pool_view(self, name: str) -> PoolView:
        """Return the pool and its workers in this data centre."""
        data_centre = self._identity.data_centre
        pool = self._tables_view().pools.get(name, Pool(name, "job"))
        named = set(pool.hosts)
        hosts = tuple(
            host
            for host in self._members.hosts()
            if host.name in named and host.data_centre == data_centre
        )
        usable = self._members.endpoints("worker", data_centre)
        names = frozenset(host.name for host in usable) & {host.name for host in hosts}
        return PoolView(pool, hosts, names)

    async def _sync_periodically(self) -> None:
        while True:
            await self.sync()
            await asyncio.sleep(SYNC_INTERVAL_S)

    def _wanted_pools(self) -> set[str]:
        pools = self._tables_view().pools.values()
        return {
            pool.name
            for pool in pools
            if pool.work == "job"
            and self.pool_view(pool.name).hosts
            and self._rank(pool.name) < CANDIDATES_PER_POOL
        }

    def _rank(self, pool: str) -> int:
        data_centre = self._identity.data_centre
        hosts = self._members.entry_hosts(data_centre)
        return rank(hosts, data_centre, pool, self._identity.host)

    def _planner_for(self, job_id: str) -> Planner | None:
        parts = parse_job_id(job_id)
        if parts is None or parts.data_centre != self._identity.data_centre:
            return None
        return self._planners.get(parts.pool)

    def _make_planner(self, pool: str) -> Planner:
        return Planner(
            self._identity,
            pool,
            self._tables,
            self._workers,
            view=lambda: self.pool_view(pool),
            own_rank=lambda: self._rank(pool),
            make_scheduler=self._make_scheduler,
            now=self._now,
            new_id=self._new_id,
            on_change=self._on_change,
        )
