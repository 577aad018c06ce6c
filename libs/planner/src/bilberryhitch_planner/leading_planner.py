"""Runs the planner while this host holds the leader lease.

Watches the rows of jobs and workers, runs scheduling rounds and sends orders.
"""

import asyncio
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
from bilberryhitch_jobs.errors import STORE_ERRORS, RowUnreadable
from bilberryhitch_jobs.job_operations import CANCEL_SUFFIX, JOB_PARTITIONS, JOBS_TABLE
from bilberryhitch_jobs.table_watcher import TableWatcher, apply_row
from bilberryhitch_model import clock
from bilberryhitch_telemetry import events, log, metrics

from .agreed_time import StoreTime, adopt_agreed_time
from .errors import Deposed, Isolated, MachinesUnknown, WorkerFenced
from .event_wait import wait_for_event
from .leader_election import (
    RENEWAL_PERIOD_S,
    WORKER_LEASE_HORIZON_S,
    LeaderLease,
)
from .planner import Planner
from .reports import (
    Advice,
    AdviceRequest,
    Order,
    StartOrder,
    StartOutcome,
    WorkerEntry,
)
from .speed_rows import SpeedRows, read_speeds
from .state_writer import (
    StateWriter,
    read_last_commit,
    read_progress,
    read_roster,
)
from .upkeep import UpkeepCalls, UpkeepController, Wave
from .worker_calls import WorkerCalls
from .worker_session import MIN_LEASE_S, WorkerSession
from .workers import CLOCK_DRIFT, LEASE_SLACK_S, Worker

# No run is started on registrations that are older: the capacity of a worker may have
# shrunk since, and counts 3 s and one heartbeat after that.
REGISTRATIONS_MAX_AGE_S = 2.5
# Longest time between two scheduling rounds; bounds the delay of time-driven orders.
PLAN_PERIOD_S = 0.1
# A planner that connects to thousands of workers at once answers none of them in time.
MAX_FIRST_CALLS = 256
# Changes that arrive within this time share one scheduling round.
BATCH_DELAY_S = 0.004
# A planner that cannot reach most of its workers for this long gives up the lease.
ISOLATION_TIMEOUT_S = 2.0
ISOLATION_SHARE = 0.5
# A worker that is silent for this much longer than one that gets no new runs is looked
# up in the list of machines, with this period. The list itself may be one second old.
MACHINE_CHECK_DELAY_S = 0.5
MACHINE_LIST_MAX_AGE_S = 1.0
MACHINE_CHECK_PERIOD_S = 0.5
MACHINE_CONFIRMATION_PAUSE_S = 0.1
# Releasing the lease must leave most of the shutdown time to open requests.
RELEASE_TIMEOUT_S = 1.5
CANCEL_PERIOD_S = 0.2
# Pauses before a session or a candidate continues after an unexpected error.
SESSION_RESTART_PAUSE_S = 0.2
CANDIDATE_RESTART_PAUSE_S = 0.5
# After a takeover, unreachable workers are ignored for this long.
ISOLATION_GRACE_S = 3.0


class LeadingPlanner:
    """The planner and its background tasks during one lease term.

    :param worker_table: table in which workers register themselves
    :param decode_worker: decodes a registration; returns None if it is invalid
    :param configuration: returns the current configuration, if there is one
    :param advise: calls the advice service; returns None without a usable reply
    :param evacuated: returns the data centres that the operator evacuates
    :param waves: returns the maintenance waves that the operator has requested
    :param encode_wave: returns the row that reports a wave's state to the operator
    :param retention_s: retention period of finished jobs, in seconds
    :param store_time_s: returns the time of the store's clock, None before it is known
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
        evacuated: Callable[[], frozenset[str]],
        waves: Callable[[], Iterable[Wave]],
        encode_wave: Callable[[int, bool], RowWrite],
        retention_s: float,
        store_time_s: StoreTime,
    ) -> None:
        horizon = WORKER_LEASE_HORIZON_S * (1 + CLOCK_DRIFT) + LEASE_SLACK_S
        self.planner = Planner(
            inherited_revision=leader_lease.token,
            inherited_until=leader_lease.renewed_at + horizon,
        )
        self._wake = asyncio.Event()
        self.state_writer = StateWriter(
            store,
            leader_lease,
            self.planner,
            retention_s=retention_s,
            on_stored=self._wake.set,
        )
        self._speed_rows = SpeedRows(self.planner.speeds, self.state_writer.put_later)
        self._store = store
        self._leader_lease = leader_lease
        self._calls = calls
        self._store_time_s = store_time_s
        self._decode_worker = decode_worker
        self._configuration = configuration
        self._machines = machines
        self._evacuated = evacuated
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
        self._inherited_workers: frozenset[str] = frozenset()
        self._sessions: dict[str, WorkerSession] = {}
        self._first_calls = asyncio.Semaphore(MAX_FIRST_CALLS)
        self._group: asyncio.TaskGroup | None = None
        self._connected_at = clock.steady_s() + ISOLATION_GRACE_S

    async def run(self) -> None:
        """Plan until another host holds the lease or most workers are unreachable.

        :raises ExceptionGroup: with the errors that ended the lease term
        """
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self.state_writer.run())
            await self._load_inherited_state()
            group.create_task(self._jobs.run())
            group.create_task(self._worker_rows.run())
            group.create_task(self._plan())
            group.create_task(self.state_writer.remove_expired())
            group.create_task(self._upkeep.run())
            group.create_task(self._check_silent_workers())

    async def _load_inherited_state(self) -> None:
        """Load the state stored by earlier planners; retry until the store answers."""
        last_commit: int | None = None
        speeds_loaded = False
        while True:
            try:
                await adopt_agreed_time(self._store, self._store_time_s)
                if last_commit is None:
                    last_commit = await read_last_commit(
                        self._store, self._leader_lease
                    )
                    self.planner.limit_inheritance(last_commit)
                self._inherited_workers = frozenset(await read_roster(self._store))
                for name in self._inherited_workers:
                    self.planner.add_unregistered_worker(name, now=clock.steady_s())
                if not speeds_loaded:
                    speed_rows = await read_speeds(self._store)
                    self._speed_rows.load(speed_rows, clock.unix.now_s())
                    speeds_loaded = True
                # No other host writes progress while this one holds the lease.
                self._inherited = await read_progress(self._store)
                await self._jobs.poll()
                self.state_writer.adopt_orphans(self._inherited)
                self.state_writer.enable_waiting_counts()
                return
            except STORE_ERRORS as error:
                log(events.DEPENDENCY_LOST, dependency="store", error=error)
            await asyncio.sleep(PLAN_PERIOD_S)

    async def _plan(self) -> None:
        round_s = 0.0
        while True:
            if await wait_for_event(self._wake, PLAN_PERIOD_S):
                # Long rounds leave as much time to heartbeats, orders and the lease.
                pause_s = min(max(BATCH_DELAY_S, round_s), PLAN_PERIOD_S)
                await asyncio.sleep(pause_s)
            self._wake.clear()
            now, unix_s = clock.steady_s(), clock.unix.now_s()
            self._adopt_configuration()
            self.planner.evacuated = self._evacuated()
            self.planner.tick(
                now=now,
                unix_s=unix_s,
                lease_confirmed_at=self.state_writer.confirmed_at,
            )
            may_start = self._may_start(now)
            for order in self.planner.plan(now=now, unix_s=unix_s, may_start=may_start):
                session = self._sessions.get(order.worker)
                if session is not None:
                    self._spawn(self._send(session, order))
            for service, workers in self.planner.headroom_sizes.items():
                metrics.HEADROOM_WORKERS.set(workers, {"service": service})
            requests, self.planner.advice_requests = self.planner.advice_requests, []
            for request in requests:
                self._spawn(self._request_advice(request))
            self._speed_rows.check(self.planner.workers.values(), now, unix_s)
            self.state_writer.notify()
            self._check_isolation(now)
            round_s = clock.steady_s() - now

    def _may_start(self, now: float) -> bool:
        """Return whether a run that is started now gets a lease and fits its worker.

        Evacuations are known once the configuration is, which is read with them.
        """
        if self._configuration() is None:
            return False
        lease_s = self.state_writer.worker_lease_limit - now
        registrations_age_s = now - self._worker_rows.last_response_at
        return lease_s > MIN_LEASE_S and registrations_age_s < REGISTRATIONS_MAX_AGE_S

    async def _request_advice(self, request: AdviceRequest) -> None:
        advice = await self._advise(request)
        self.planner.apply_advice(request, advice, now=clock.steady_s())
        self._changed()

    async def _check_silent_workers(self) -> None:
        """Look up unresponsive workers in the list of machines.

        A worker whose machine is no longer up has ended, so its tasks can be
        restarted elsewhere long before its lease expires.
        """
        while True:
            await asyncio.sleep(MACHINE_CHECK_PERIOD_S)
            read_at = clock.steady_s()
            absent = await self._absent(self._silent_workers(read_at))
            if absent:
                # A list is read page by page while it changes, so a machine can be
                # missing from one although it is up.
                await asyncio.sleep(MACHINE_CONFIRMATION_PAUSE_S)
                absent &= await self._absent(self._silent_workers(clock.steady_s()))
            for name in sorted(absent):
                self.planner.remove_ended_worker(
                    name,
                    now=clock.steady_s(),
                    unix_s=clock.unix.now_s(),
                    known_at=read_at - MACHINE_LIST_MAX_AGE_S,
                    source="list of machines",
                )
                self._changed()

    async def _absent(self, silent: list[str]) -> set[str]:
        """Return the silent workers whose machines are not listed as up."""
        if not silent:
            return set()
        try:
            machines = await self._machines.list_machines()
        except MachinesUnknown as error:
            log(events.MACHINES_UNKNOWN, error=error, silent=len(silent))
            return set()
        return set(silent) - {machine.worker for machine in machines if machine.up}

    def _silent_workers(self, now: float) -> list[str]:
        """Return unresponsive workers that may have runs."""
        return [
            name
            for name, worker in self.planner.workers.items()
            if self._missed_at_takeover(name, worker, now)
            or (
                (worker.runs or not worker.synced)
                and now - max(worker.answered_at, worker.discovered_at)
                > worker.max_silence_s + MACHINE_CHECK_DELAY_S
            )
        ]

    def _missed_at_takeover(self, name: str, worker: Worker, now: float) -> bool:
        """Return whether an inherited worker did not answer this planner's first call.

        Inherited work waits for it. The previous planner knew it before its lease was
        last renewed, so a later list of machines has it unless it has gone.
        """
        if worker.synced or name not in self._inherited_workers:
            return False
        list_covers_worker = (
            now - self._leader_lease.renewed_at
            > MACHINE_LIST_MAX_AGE_S + RENEWAL_PERIOD_S
        )
        session = self._sessions.get(name)
        return list_covers_worker and (session is None or session.unreachable)

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

    # Job rows.

    def _load_jobs(self, rows: tuple[StoreRow, ...], revision: int) -> None:
        for row in rows:
            # One that was reported before is known, or was removed after the read.
            if row.revision > self._jobs.reported_revision:
                apply_row(self._apply_job_row, row)
        log(
            events.JOBS_LOADED,
            jobs=len(self.planner.jobs),
            revision=revision,
            inherited_until_revision=self.planner.inherited_revision,
            inherited_workers=len(self._inherited_workers),
        )

    def _apply_job_row(self, row: StoreRow) -> None:
        if row.removed:
            return
        name, _, suffix = row.key.partition(".")
        if suffix == CANCEL_SUFFIX[1:]:
            self.planner.cancel_job(name, unix_s=clock.unix.now_s())
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
            request,
            progress,
            row.revision,
            now=clock.steady_s(),
            unix_s=clock.unix.now_s(),
        )

    # Worker rows.

    def _load_workers(self, rows: tuple[StoreRow, ...], _revision: int) -> None:
        present = {row.key for row in rows}
        for name in list(self.planner.workers):
            if name not in present:
                self.planner.mark_unregistered(name, now=clock.steady_s())
        for row in rows:
            apply_row(self._apply_worker_row, row)

    def _apply_worker_row(self, row: StoreRow) -> None:
        now = clock.steady_s()
        if row.removed:
            log(events.WORKER_UNLISTED, worker=row.key, revision=row.revision)
            self.planner.mark_unregistered(row.key, now=now)
            self._changed()
            return
        entry = self._decode_worker(row)
        if entry is None:
            # It names no worker to use until its next change.
            log(events.ROW_UNREADABLE, key=row.key, error="invalid worker registration")
            self.planner.mark_unregistered(row.key, now=now)
            self._changed()
            return
        known = self.planner.workers.get(entry.worker)
        if known is None or known.entry != entry:
            log(
                events.WORKER_LISTED,
                worker=entry.worker,
                machine=entry.machine,
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
                self._first_calls,
            )
            self._sessions[entry.worker] = session
            self._spawn(self._run_session(entry.worker, session))
        self._changed()

    async def _run_session(self, name: str, session: WorkerSession) -> None:
        """Run a session; an unexpected error restarts this session and no other."""
        try:
            while name in self.planner.workers:
                try:
                    await session.run()
                except WorkerFenced:
                    raise
                except Exception as error:
                    _log_unexpected("worker", name, error)
                    await asyncio.sleep(SESSION_RESTART_PAUSE_S)
        finally:
            self._sessions.pop(name, None)

    async def _send(self, session: WorkerSession, order: Order) -> None:
        """Send an order; after an unexpected error its outcome is unknown."""
        try:
            await session.send(order)
        except WorkerFenced:
            raise
        except Exception as error:
            _log_unexpected("order to worker", order.worker, error)
            if isinstance(order, StartOrder):
                self.planner.apply_start_outcome(
                    order,
                    StartOutcome.UNKNOWN,
                    certain=False,
                    now=clock.steady_s(),
                    unix_s=clock.unix.now_s(),
                )
                self._changed()


class Candidate:
    """Competes for the leader lease and plans while this host holds it.

    :param acquire_lease: returns once this host holds the lease
    :param create_planner: returns the planner for a lease term
    """

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
        """Whether this host is planning."""
        return self._active is not None

    def start(self) -> None:
        """Start to compete for the lease in the background."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop, and release the lease if it is held."""
        if self._task is None:
            return
        self._closing = True
        planner = self._active
        while not self._task.done():
            # A task group drops a cancellation that coincides with an error of a
            # child task, so the cancellation is repeated.
            self._task.cancel()
            await asyncio.wait((self._task,), timeout=CANCEL_PERIOD_S)
        if planner is not None:
            await self._release(planner)

    async def _run(self) -> None:
        while not self._closing:
            try:
                leader_lease = await self._acquire_lease()
            except Exception as error:
                log(events.TASK_FAILED, error=repr(error))
                await asyncio.sleep(CANDIDATE_RESTART_PAUSE_S)
                continue
            planner = self._active = self._create_planner(leader_lease)
            log(
                events.PLANNER_STARTED,
                fencing_token=leader_lease.token,
                replaced_revision=leader_lease.replaced_revision,
                former_renewed_s=round(clock.steady_s() - leader_lease.renewed_at, 3),
            )
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
                log(events.TASK_FAILED, error=repr(group.exceptions[0]))
            finally:
                self._active = None

    async def _release(self, planner: LeadingPlanner) -> None:
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await planner.state_writer.release()
        except (Deposed, TimeoutError) as error:
            log(events.PLANNER_RELEASE_FAILED, error=repr(error))


def _log_unexpected(scope: str, key: str, error: Exception) -> None:
    log(events.UNEXPECTED_ERROR, scope=scope, key=key, error=repr(error))


def _log_end(
    leader_lease: LeaderLease, group: BaseExceptionGroup[BaseException]
) -> None:
    log(
        events.PLANNER_ENDED,
        fencing_token=leader_lease.token,
        reason=str(group.exceptions[0]) or type(group.exceptions[0]).__name__,
    )
