"""One tenure of the planner: follows jobs and workers, plans, sends orders."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

from bilberryhitch_jobs import (
    Configuration,
    JobProgress,
    JobState,
    RowWrite,
    Store,
    StoreRow,
    decode_request,
)
from bilberryhitch_jobs.acceptance import CANCEL_SUFFIX, JOB_PARTITIONS, JOBS_TABLE
from bilberryhitch_jobs.errors import STORE_ERRORS, RowUnreadable
from bilberryhitch_jobs.table_watcher import TableWatcher
from bilberryhitch_telemetry import events, log

from .errors import Deposed, Isolated, MachinesUnknown, WorkerFenced
from .event_wait import wait_for_event
from .leader_election import WORKER_LEASE_HORIZON_S, LeaderLease
from .planner import Planner
from .reports import Advice, AdviceRequest, WorkerEntry
from .state_writer import StateWriter, read_progress, read_roster
from .upkeep import UpkeepCalls, UpkeepController, Wave
from .worker_calls import WorkerCalls
from .worker_session import WorkerSession
from .workers import CLOCK_DRIFT, LEASE_SLACK_S

# Orders that become due by time alone wait at most this long.
PLAN_PERIOD_S = 0.1
# Changes within this time are planned together.
BATCH_DELAY_S = 0.004
# A planner that loses most of its workers for this long steps down.
ISOLATION_TIMEOUT_S = 2.0
ISOLATION_SHARE = 0.5
# A worker that has not answered for this long is looked for in the list of
# machines, this often; the list itself may be a second old.
MACHINE_CHECK_SILENCE_S = 1.8
MACHINE_CHECK_PERIOD_S = 0.5
# A planned handover must leave most of the shutdown's time to open requests.
RELEASE_TIMEOUT_S = 1.5
CANCEL_PERIOD_S = 0.2
# A run whose lease cannot outlast the next looks at its worker is not started.
MIN_LEASE_S = 1.5
# The least time after a takeover before the workers' silence is judged.
ISOLATION_GRACE_S = 3.0


class LeadingPlanner:
    """Everything that lives as long as one leader_lease.

    :param worker_table: table in which workers register themselves
    :param advise: asks the advice service; None if there is no usable answer
    :param waves: returns the upkeep that the operator asks for
    :param encode_wave: returns the row that tells the operator of a wave's state
    :param decode_worker: reads a registration; None for one that names no worker
    """

    def __init__(
        self,
        store: Store,
        leader_lease: LeaderLease,
        calls: WorkerCalls,
        *,
        worker_table: str,
        decode_worker: Callable[[StoreRow], WorkerEntry | None],
        configuration: Callable[[], Configuration | None],
        advise: Callable[[AdviceRequest], Awaitable[Advice | None]],
        machines: UpkeepCalls,
        waves: Callable[[], Iterable[Wave]],
        encode_wave: Callable[[int, bool], RowWrite],
        keep_s: float,
    ) -> None:
        horizon = WORKER_LEASE_HORIZON_S * (1 + CLOCK_DRIFT) + LEASE_SLACK_S
        self.planner = Planner(
            inherited_revision=leader_lease.token,
            inherited_until=leader_lease.renewed_at + horizon,
        )
        self._wake = asyncio.Event()
        self.state_writer = StateWriter(
            store, leader_lease, self.planner, keep_s=keep_s, on_stored=self._wake.set
        )
        self._store = store
        self._leader_lease = leader_lease
        self._calls = calls
        self._decode_worker = decode_worker
        self._configuration = configuration
        self._machines = machines
        self._advise = advise
        self._upkeep = UpkeepController(
            store,
            self.planner,
            self.state_writer,
            machines,
            token=leader_lease.token,
            waves=waves,
            encode_status=encode_wave,
            on_change=self._changed,
        )
        self._version = -1
        self._jobs = TableWatcher(
            store,
            JOBS_TABLE,
            self._load_jobs,
            self._apply_job_row,
            partitions=JOB_PARTITIONS,
        )
        self._worker_rows = TableWatcher(
            store, worker_table, self._load_workers, self._apply_worker_row
        )
        self._inherited: dict[str, JobProgress] = {}
        self._sessions: dict[str, WorkerSession] = {}
        self._group: asyncio.TaskGroup | None = None
        self._connected_at = time.monotonic() + ISOLATION_GRACE_S

    async def run(self) -> None:
        """Plan until another host has the lease or the workers are out of reach.

        :raises ExceptionGroup: with what ended the tenure
        """
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self.state_writer.run())
            await self._inherit()
            group.create_task(self._jobs.run())
            group.create_task(self._worker_rows.run())
            group.create_task(self._plan())
            group.create_task(self.state_writer.remove_expired())
            group.create_task(self._upkeep.run())
            group.create_task(self._look_for_gone())

    async def _inherit(self) -> None:
        """Read what the earlier planner left, as soon as the store answers."""
        while True:
            try:
                for name in await read_roster(self._store):
                    self.planner.add_unregistered_worker(name, now=time.monotonic())
                # Nobody else writes progress any more: the lease is held.
                self._inherited = await read_progress(self._store)
                await self._jobs.poll()
                self.state_writer.adopt_orphans(self._inherited)
                self.state_writer.enable_waiting_counts()
                return
            except STORE_ERRORS as error:
                log(events.DEPENDENCY_LOST, dependency="store", error=error)
            await asyncio.sleep(PLAN_PERIOD_S)

    async def _plan(self) -> None:
        while True:
            if await wait_for_event(self._wake, PLAN_PERIOD_S):
                await asyncio.sleep(BATCH_DELAY_S)
            self._wake.clear()
            now, unix_s = time.monotonic(), time.time()
            self._adopt_configuration()
            self.planner.tick(now=now, unix_s=unix_s)
            may_start = self.state_writer.worker_lease_limit - now > MIN_LEASE_S
            for order in self.planner.plan(now=now, unix_s=unix_s, may_start=may_start):
                session = self._sessions.get(order.worker)
                if session is not None:
                    self._spawn(session.send(order))
            questions, self.planner.advice_requests = self.planner.advice_requests, []
            for question in questions:
                self._spawn(self._ask(question))
            self.state_writer.notify()
            self._check_isolation(now)

    async def _ask(self, question: AdviceRequest) -> None:
        advice = await self._advise(question)
        self.planner.apply_advice(question, advice, now=time.monotonic())
        self._changed()

    async def _look_for_gone(self) -> None:
        """Ask the list of machines about workers that cannot be asked themselves.

        A worker whose machine is no longer up has ended, and its work can run
        elsewhere long before its lease has lapsed.
        """
        while True:
            await asyncio.sleep(MACHINE_CHECK_PERIOD_S)
            silent = self._silent_workers(time.monotonic())
            if not silent:
                continue
            try:
                machines = await self._machines.list_machines()
            except MachinesUnknown as error:
                log(events.MACHINES_UNKNOWN, error=error, silent=len(silent))
                continue
            present = {machine.worker for machine in machines if machine.up}
            for name in silent:
                if name not in present:
                    now = time.monotonic()
                    self.planner.worker_gone(name, now=now, unix_s=time.time())
                    self._changed()

    def _silent_workers(self, now: float) -> list[str]:
        """Return workers that may run something and do not answer."""
        return [
            name
            for name, worker in self.planner.workers.items()
            if (worker.runs or not worker.synced)
            and now - max(worker.answered_at, worker.discovered_at)
            > MACHINE_CHECK_SILENCE_S
        ]

    def _adopt_configuration(self) -> None:
        configuration = self._configuration()
        if configuration is not None and configuration.version != self._version:
            self._version = configuration.version
            self.planner.configure(configuration)

    def _check_isolation(self, now: float) -> None:
        listed = [
            name for name, worker in self.planner.workers.items() if worker.registered
        ]
        lost = [
            name
            for name in listed
            if name in self._sessions and self._sessions[name].unreachable
        ]
        if len(lost) <= max(1, len(listed) * ISOLATION_SHARE):
            self._connected_at = max(self._connected_at, now)
        elif now - self._connected_at > ISOLATION_TIMEOUT_S:
            log(events.PLANNER_ISOLATED, lost=len(lost), workers=len(listed))
            raise Isolated(len(lost), len(listed))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        assert self._group is not None
        self._group.create_task(work)

    def _changed(self) -> None:
        self._wake.set()
        self.state_writer.notify()

    # Rows of jobs.

    def _load_jobs(self, rows: tuple[StoreRow, ...], revision: int) -> None:
        for row in rows:
            self._apply_job_row(row)
        log(events.JOBS_LOADED, jobs=len(self.planner.jobs), revision=revision)

    def _apply_job_row(self, row: StoreRow) -> None:
        if row.removed:
            return
        name, _, suffix = row.key.partition(".")
        if suffix == CANCEL_SUFFIX[1:]:
            self.planner.cancel_job(name, unix_s=time.time())
        elif name not in self.planner.jobs:
            self._add_job(name, row)
        self._changed()

    def _add_job(self, name: str, row: StoreRow) -> None:
        try:
            request = decode_request(name, row.value)
        except RowUnreadable as error:
            log(events.ROW_UNREADABLE, key=error.key, error=error)
            return
        progress = self._inherited.pop(name, None)
        if progress is None:
            progress = JobProgress(JobState.PENDING, request.account, {})
        self._adopt_configuration()
        self.planner.add_job(
            request, progress, row.revision, now=time.monotonic(), unix_s=time.time()
        )

    # Rows of workers.

    def _load_workers(self, rows: tuple[StoreRow, ...], _revision: int) -> None:
        present = {row.key for row in rows}
        for name in list(self.planner.workers):
            if name not in present:
                self.planner.unlist_worker(name, now=time.monotonic())
        for row in rows:
            self._apply_worker_row(row)

    def _apply_worker_row(self, row: StoreRow) -> None:
        now = time.monotonic()
        if row.removed:
            log(events.WORKER_UNLISTED, worker=row.key, revision=row.revision)
            self.planner.unlist_worker(row.key, now=now)
            self._changed()
            return
        entry = self._decode_worker(row)
        if entry is None:
            log(events.ROW_UNREADABLE, key=row.key, error="not a worker's entry")
            return
        known = self.planner.workers.get(entry.worker)
        if known is None or known.entry != entry:
            log(
                events.WORKER_LISTED,
                worker=entry.worker,
                draining=entry.draining,
                revision=row.revision,
            )
        self.planner.add_worker(entry, now=now)
        if entry.worker not in self._sessions:
            session = WorkerSession(
                entry.worker,
                self.planner,
                self.state_writer,
                self._leader_lease,
                self._calls,
                self._changed,
            )
            self._sessions[entry.worker] = session
            self._spawn(self._attend(entry.worker, session))
        self._changed()

    async def _attend(self, name: str, session: WorkerSession) -> None:
        try:
            await session.run()
        finally:
            self._sessions.pop(name, None)


class Candidate:
    """Runs for the planner's lease on this host, tenure after leader_lease."""

    def __init__(
        self,
        acquire_lease: Callable[[], Coroutine[Any, Any, LeaderLease]],
        create_planner: Callable[[LeaderLease], LeadingPlanner],
    ) -> None:
        self._acquire_lease = acquire_lease
        self._create_planner = create_planner
        self._active: LeadingPlanner | None = None
        self._closing = False
        self._task: asyncio.Task[None] | None = None

    @property
    def leading(self) -> bool:
        """Whether this host plans."""
        return self._active is not None

    def start(self) -> None:
        """Begin to run for the lease."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop; a lease that is held is given up."""
        if self._task is None:
            return
        self._closing = True
        planner = self._active
        while not self._task.done():
            # A task group drops a cancellation that meets an error of a child.
            self._task.cancel()
            await asyncio.wait((self._task,), timeout=CANCEL_PERIOD_S)
        if planner is not None:
            await self._release(planner)

    async def _run(self) -> None:
        while not self._closing:
            leader_lease = await self._acquire_lease()
            planner = self._active = self._create_planner(leader_lease)
            log(events.PLANNER_STARTED, fencing_token=leader_lease.token)
            try:
                await planner.run()
            except* Deposed as group:
                _log_end(leader_lease, group)
            except* WorkerFenced as group:
                _log_end(leader_lease, group)
            except* Isolated as group:
                _log_end(leader_lease, group)
                await self._release(planner)
                await asyncio.sleep(ISOLATION_TIMEOUT_S)
            except* Exception as group:
                log(events.TASK_FAILED, error=group.exceptions[0])
            finally:
                self._active = None

    async def _release(self, planner: LeadingPlanner) -> None:
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await planner.state_writer.release()
        except (Deposed, TimeoutError) as error:
            log(events.PLANNER_RELEASE_FAILED, error=error)


def _log_end(
    leader_lease: LeaderLease, group: BaseExceptionGroup[BaseException]
) -> None:
    log(
        events.PLANNER_ENDED,
        fencing_token=leader_lease.token,
        reason=str(group.exceptions[0]) or type(group.exceptions[0]).__name__,
    )
