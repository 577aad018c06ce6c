"""What the parts of a planner share while it holds the lease."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from bilberryhitch_model import Host, JobRecord
from bilberryhitch_model.errors import (
    StaleToken,
    StoreUnavailable,
    WorkerRefused,
    WorkerUnreachable,
)
from bilberryhitch_platform import Expect, TableService

from .gang import Gang
from .job_rows import JobRow, get_job, job_key, job_of_attempt, pool_prefix, put_job
from .planner_lease import PlannerLease
from .pool_scheduler import PoolScheduler
from .settled_commit import STORE_RETRY_S
from .worker_client import WorkerClient
from .worker_health import WorkerHealth

COOLING_S = 2.0
WORKER_ERRORS = (StaleToken, WorkerRefused, WorkerUnreachable)


class PlannerContext:
    """Collaborators and state of one tenure.

    :ivar rows: latest known row of each unfinished job
    :ivar gangs: gangs being started, running or being ended, by job id
    :ivar hosts: every worker the planner has to do with
    :ivar prefix: key prefix of the pool's job rows
    :ivar job_prefix: how the ids of the pool's jobs begin
    :ivar stale: set when a worker has seen a higher token than the planner's
    :ivar wake: set when there may be something to decide
    """

    def __init__(
        self,
        *,
        lease: PlannerLease,
        tables: TableService,
        workers: WorkerClient,
        scheduler: PoolScheduler,
        data_centre: str,
        pool: str,
        now: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
        on_change: Callable[[JobRecord], None] | None = None,
    ) -> None:
        self.lease = lease
        self.tables = tables
        self.workers = workers
        self.scheduler = scheduler
        self.prefix = pool_prefix(data_centre, pool)
        self.job_prefix = f"{data_centre}.{pool}."
        self.now = now
        self.spawn = spawn
        self._on_change = on_change
        self.health = WorkerHealth()
        self.rows: dict[str, JobRow] = {}
        self.gangs: dict[str, Gang] = {}
        self.hosts: dict[str, Host] = {}
        self.stale = asyncio.Event()
        self.wake = asyncio.Event()
        self._by_host: dict[str, dict[str, Gang]] = {}
        self._gang_started: dict[str, asyncio.Event] = {}
        self._tries: dict[str, int] = {}
        self._cooling: dict[str, int] = {}

    def cool(self, host: str) -> None:
        """Place nothing on a worker for a moment after it failed a start.

        Otherwise the scheduler may choose it again at once, and every round
        costs writes to the store until the worker is quarantined.
        """
        if not host:
            return
        self._cooling[host] = self._cooling.get(host, 0) + 1
        self.scheduler.quarantine(host)
        self.spawn(self._end_cooling(host))

    def place_again(self, host: str) -> None:
        """Let the scheduler use a worker that neither cools nor is quarantined."""
        if host not in self._cooling and host not in self.health.quarantined:
            self.scheduler.release(host)
            self.wake.set()

    async def _end_cooling(self, host: str) -> None:
        await asyncio.sleep(COOLING_S)
        self._cooling[host] -= 1
        if not self._cooling[host]:
            del self._cooling[host]
        self.place_again(host)

    def next_attempt(self, record: JobRecord) -> int:
        """Return an attempt number that no lease of this planner has carried.

        Numbers also advance for reservations that got no start mark. A delayed
        release of such a reservation then cannot hit a later attempt.
        """
        number = max(record.attempt, self._tries.get(record.job_id, 0)) + 1
        self._tries[record.job_id] = number
        return number

    def host(self, name: str) -> Host:
        """Return a worker, of unknown address when it is in no list any more."""
        if name not in self.hosts:
            self.hosts[name] = Host(name, "worker", "", "")
        return self.hosts[name]

    def add_gang(self, gang: Gang) -> None:
        """Register a gang before its first reservation is sent."""
        job_id = gang.record.job_id
        self.gangs[job_id] = gang
        for host in gang.members:
            self._by_host.setdefault(host, {})[job_id] = gang

    def remove_gang(self, gang: Gang) -> None:
        """Forget a gang whose end is written, or that got no start mark."""
        job_id = gang.record.job_id
        self.gangs.pop(job_id, None)
        for host in gang.members:
            self._by_host.get(host, {}).pop(job_id, None)

    def gang_started(self, host: str) -> asyncio.Event:
        """Return the event that is set whenever a gang starts on the worker."""
        return self._gang_started.setdefault(host, asyncio.Event())

    def gangs_on(self, host: str) -> list[Gang]:
        """Return the gangs with a member on the worker."""
        return list(self._by_host.get(host, {}).values())

    def owns_lease(self, host: str, attempt: str) -> bool:
        """Whether a lease on the worker belongs to a known gang."""
        gang = self._by_host.get(host, {}).get(job_of_attempt(attempt))
        return gang is not None and gang.attempt_id == attempt

    def forget_job(self, job_id: str) -> None:
        """Drop a finished job."""
        self.rows.pop(job_id, None)
        self._tries.pop(job_id, None)

    def note_row(self, row: JobRow) -> None:
        """Keep the row when it is newer than the one known."""
        known = self.rows.get(row.record.job_id)
        if known is None or row.revision > known.revision:
            self.rows[row.record.job_id] = row

    async def change_row(
        self, row: JobRow, change: Callable[[JobRecord], JobRecord]
    ) -> JobRow | None:
        """Write a change of the same attempt, however long the store is down.

        :returns: the row written, or ``None`` when the job is no longer in the
            attempt and state that ``row`` shows
        :raises PlannerLost: another planner has taken over
        """
        stage = _stage(row.record)
        while True:
            try:
                written = await self._try_change(row, change)
                if written is not None:
                    return written
                fresh = await get_job(self.tables, row.record.job_id)
            except StoreUnavailable:
                await asyncio.sleep(STORE_RETRY_S)
                continue
            if fresh is None or _stage(fresh.record) != stage:
                return None
            row = fresh

    async def _try_change(
        self, row: JobRow, change: Callable[[JobRecord], JobRecord]
    ) -> JobRow | None:
        record = change(row.record)
        expects = [Expect(job_key(record.job_id), row.revision)]
        result = await self.lease.transact(expects, [put_job(record)])
        if result.is_error():
            return None
        if self._on_change is not None:
            self._on_change(record)
        return JobRow(record, result.ok)


def _stage(record: JobRecord) -> tuple[str, int, int]:
    return record.state, record.attempt, record.epoch
