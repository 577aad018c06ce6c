"""State shared by the parts of a planner while it holds the lease."""

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

from .commit_resolution import STORE_RETRY_DELAY_S
from .gang import Gang
from .job_rows import JobRow, get_job, job_key, job_of_attempt, pool_prefix, put_job
from .planner_lease import PlannerLease
from .pool_scheduler import PoolScheduler
from .worker_client import WorkerClient
from .worker_health import WorkerHealth

COOLDOWN_S = 2.0
WORKER_ERRORS = (StaleToken, WorkerRefused, WorkerUnreachable)


class PlannerContext:
    """Dependencies and state of a planner from acquisition to loss of its lease.

    :param now: returns wall-clock time in seconds
    :param spawn: starts a task that ends with the lease
    :param on_change: called after this planner has written a job's row
    :ivar health: failures and quarantine of workers
    :ivar rows: latest known row of each unfinished job
    :ivar gangs: gangs that are starting, running or being stopped, by job id
    :ivar hosts: every worker of the pool or of one of its gangs, by name
    :ivar row_prefix: key prefix of the pool's job rows
    :ivar job_id_prefix: prefix of the ids of the pool's jobs
    :ivar epoch_stale: set when a worker has seen a higher token than the planner's
    :ivar decision_due: set when there may be a scheduling decision to make
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
        self.row_prefix = pool_prefix(data_centre, pool)
        self.job_id_prefix = f"{data_centre}.{pool}."
        self.now = now
        self.spawn = spawn
        self._on_change = on_change
        self.health = WorkerHealth()
        self.rows: dict[str, JobRow] = {}
        self.gangs: dict[str, Gang] = {}
        self.hosts: dict[str, Host] = {}
        self.epoch_stale = asyncio.Event()
        self.decision_due = asyncio.Event()
        self._gangs_by_host: dict[str, dict[str, Gang]] = {}
        self._started_events: dict[str, asyncio.Event] = {}
        self._last_attempts: dict[str, int] = {}
        self._cooldowns: dict[str, int] = {}

    def start_cooldown(self, host: str) -> None:
        """Place no jobs on a worker for a short time after it failed a start.

        Otherwise the scheduler may choose it again at once, and every attempt
        costs writes to the store until the worker is quarantined.

        :param host: the worker's name; nothing happens if it is empty
        """
        if not host:
            return
        self._cooldowns[host] = self._cooldowns.get(host, 0) + 1
        self.scheduler.quarantine(host)
        self.spawn(self._end_cooldown(host))

    def resume_placement(self, host: str) -> None:
        """Resume placement on a worker that is in neither cooldown nor quarantine."""
        if host not in self._cooldowns and host not in self.health.quarantined:
            self.scheduler.end_quarantine(host)
            self.decision_due.set()

    async def _end_cooldown(self, host: str) -> None:
        await asyncio.sleep(COOLDOWN_S)
        self._cooldowns[host] -= 1
        if not self._cooldowns[host]:
            del self._cooldowns[host]
        self.resume_placement(host)

    def next_attempt(self, record: JobRecord) -> int:
        """Return an attempt number that this planner has not used for the job.

        Reservations without a start mark also use up a number, so that a delayed
        release of such a reservation cannot affect a later attempt.
        """
        number = max(record.attempt, self._last_attempts.get(record.job_id, 0)) + 1
        self._last_attempts[record.job_id] = number
        return number

    def host(self, name: str) -> Host:
        """Return a worker; its address is empty if it is no longer listed."""
        if name not in self.hosts:
            self.hosts[name] = Host(name, "worker", "", "")
        return self.hosts[name]

    def add_gang(self, gang: Gang) -> None:
        """Register a gang; called before its first reservation is sent."""
        job_id = gang.record.job_id
        self.gangs[job_id] = gang
        for host in gang.members:
            self._gangs_by_host.setdefault(host, {})[job_id] = gang

    def remove_gang(self, gang: Gang) -> None:
        """Remove a gang whose end is written, or that got no start mark."""
        job_id = gang.record.job_id
        self.gangs.pop(job_id, None)
        for host in gang.members:
            self._gangs_by_host.get(host, {}).pop(job_id, None)

    def gang_started_event(self, host: str) -> asyncio.Event:
        """Return the event that is set whenever a gang starts on the worker."""
        return self._started_events.setdefault(host, asyncio.Event())

    def gangs_on(self, host: str) -> list[Gang]:
        """Return the gangs with a member on the worker."""
        return list(self._gangs_by_host.get(host, {}).values())

    def owns_lease(self, host: str, attempt: str) -> bool:
        """Whether a lease on the worker belongs to a known gang."""
        gang = self._gangs_by_host.get(host, {}).get(job_of_attempt(attempt))
        return gang is not None and gang.attempt_id == attempt

    def forget_job(self, job_id: str) -> None:
        """Remove a finished job."""
        self.rows.pop(job_id, None)
        self._last_attempts.pop(job_id, None)

    def update_row(self, row: JobRow) -> None:
        """Store the row if it is newer than the known one."""
        known = self.rows.get(row.record.job_id)
        if known is None or row.revision > known.revision:
            self.rows[row.record.job_id] = row

    async def change_row(
        self, row: JobRow, change: Callable[[JobRecord], JobRecord]
    ) -> JobRow | None:
        """Apply a change to a job row; retry while the store is unavailable.

        :param change: returns the new record for the current one
        :returns: the row written, or ``None`` if the job is no longer in the
            attempt and state of ``row``
        :raises PlannerLost: another planner has taken over
        """
        stage = _attempt_state(row.record)
        while True:
            try:
                written = await self._try_change(row, change)
                if written is not None:
                    return written
                fresh = await get_job(self.tables, row.record.job_id)
            except StoreUnavailable:
                await asyncio.sleep(STORE_RETRY_DELAY_S)
                continue
            if fresh is None or _attempt_state(fresh.record) != stage:
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


def _attempt_state(record: JobRecord) -> tuple[str, int, int]:
    return record.state, record.attempt, record.epoch
