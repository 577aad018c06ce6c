"""The planner's session with one worker: heartbeats and orders."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from bilberryhitch_model import clock
from bilberryhitch_telemetry import events, log

from .cluster_state import format_task
from .errors import WorkerFenced, WorkerGone, WorkerUnreachable
from .heartbeat_period import heartbeat_wait_s
from .leader_election import LeaderLease
from .planner import Planner
from .reports import (
    HeartbeatReply,
    Order,
    StartOrder,
    StartOutcome,
    StopOrder,
    StopOutcome,
    ThrottleOrder,
)
from .runs import RunState
from .state_writer import StateWriter
from .worker_calls import WorkerCalls
from .workers import HEARTBEAT_WAIT_S, MAX_LEASE_S, Worker

# No run is started with a shorter lease: it must cover the next heartbeats.
MIN_LEASE_S = 1.5
RETRY_PAUSE_S = 0.2
# How long to wait for ended runs to be stored, as only stored ones are acknowledged.
# After that time heartbeats go on without the acknowledgement.
FLUSH_TIMEOUT_S = 0.4
# Attempts of a start order that is not answered or cannot be sent in time.
MAX_START_ATTEMPTS = 3


class WorkerSession:
    """Sends heartbeats and orders to a worker.

    A heartbeat renews the lease of the worker's runs, acknowledges ended runs and
    returns the worker's active and ended runs.

    :param name: identifier of the worker's incarnation
    :param leader_lease: lease whose fencing token the calls carry
    :param on_change: called after the planner's state has changed
    :param first_calls: limits the sessions that make their first call at a time
    """

    def __init__(
        self,
        name: str,
        planner: Planner,
        state_writer: StateWriter,
        leader_lease: LeaderLease,
        calls: WorkerCalls,
        on_change: Callable[[], None],
        first_calls: asyncio.Semaphore | None = None,
    ) -> None:
        self._name = name
        self._planner = planner
        self._state_writer = state_writer
        self._token = leader_lease.token
        self._calls = calls
        self._on_change = on_change
        self._first_calls = first_calls
        self._called = False
        self._acknowledged = 0
        self._unreachable = False
        # The worker, as the planner knows it, that has answered a heartbeat.
        self._synced: Worker | None = None

    @property
    def unreachable(self) -> bool:
        """Whether the last heartbeat failed."""
        return self._unreachable

    async def run(self) -> None:
        """Send heartbeats until the worker's incarnation has ended.

        :raises WorkerFenced: if a later planner has called the worker
        """
        wait_s = 0.0
        while self._name in self._planner.workers:
            try:
                async with self._first_call():
                    sent_at = clock.steady_s()
                    reply = await self._send_heartbeat(sent_at, wait_s)
            except WorkerGone:
                self._remove_worker(known_at=sent_at)
                if self._name not in self._planner.workers:
                    return
                wait_s = 0.0
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            except WorkerUnreachable as error:
                self._note_unreachable(error)
                self._set_heartbeat_wait(HEARTBEAT_WAIT_S)
                self._acknowledged = 0
                wait_s = 0.0
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._note_reachable()
            before = self._usable_room()
            self._planner.apply_heartbeat(
                self._name,
                reply,
                sent_at=sent_at,
                now=clock.steady_s(),
                unix_s=clock.unix.now_s(),
            )
            if reply.ended or self._planner.has_news or self._usable_room() != before:
                self._on_change()
            worker = self._planner.workers.get(self._name)
            if worker is not None:
                wait_s = heartbeat_wait_s(worker, len(self._planner.workers))
                self._set_heartbeat_wait(wait_s)
            if reply.ended and not await self._acknowledge(reply):
                wait_s = 0.0
                await asyncio.sleep(RETRY_PAUSE_S)

    async def send(self, order: Order) -> None:
        """Send an order; retry until it is answered or no longer needed.

        :raises WorkerFenced: if a later planner has called the worker
        """
        if isinstance(order, StartOrder):
            await self._send_start(order)
        elif isinstance(order, ThrottleOrder):
            await self._send_throttle(order)
        else:
            await self._send_stop(order)
        self._on_change()

    @asynccontextmanager
    async def _first_call(self) -> AsyncIterator[None]:
        """Wait for a turn if this is the session's first call."""
        if self._called or self._first_calls is None:
            yield
            return
        async with self._first_calls:
            self._called = True
            yield

    def _set_heartbeat_wait(self, wait_s: float) -> None:
        """Set how long the worker may take to answer before it counts as silent."""
        worker = self._planner.workers.get(self._name)
        if worker is not None:
            worker.heartbeat_wait_s = wait_s

    def _usable_room(self) -> tuple[object, ...]:
        """Return what a scheduling round could make use of on the worker."""
        worker = self._planner.workers.get(self._name)
        if worker is None:
            return ()
        now = clock.steady_s()
        return worker.synced, worker.sound(now), worker.free, worker.exclusive

    async def _send_heartbeat(self, sent_at: float, wait_s: float) -> HeartbeatReply:
        worker = self._planner.workers[self._name]
        # The longest lease lets runs survive network partitions of several seconds.
        limit = min(sent_at + MAX_LEASE_S, self._state_writer.worker_lease_limit)
        lease = None
        # A renewal without a response may still have taken effect. An unreachable
        # worker gets no further renewal, so that its lease certainly expires.
        # Without an answer its clock is not known.
        synced = worker is self._synced
        if synced and not self._unreachable and limit > sent_at:
            lease = worker.lease_deadline(limit, sent_at)
        reply = await self._calls.hold(
            worker.entry,
            token=self._token,
            acknowledged=self._acknowledged,
            lease_until_s=lease,
            wait_s=wait_s,
        )
        self._synced = worker
        # A restarted worker numbers its ended runs from 1 again and would drop those
        # that it has not listed yet, so each number is acknowledged once.
        self._acknowledged = 0
        return reply

    async def _acknowledge(self, reply: HeartbeatReply) -> bool:
        """Store the ended runs of a reply.

        :returns: whether the next heartbeat may acknowledge them
        """
        if not await self._state_writer.flush(FLUSH_TIMEOUT_S):
            return False
        self._acknowledged = max(ended.sequence for ended in reply.ended)
        return True

    async def _send_start(self, order: StartOrder) -> None:
        certain = True
        outcome = StartOutcome.UNKNOWN
        for _ in range(MAX_START_ATTEMPTS):
            worker = self._planner.workers.get(self._name)
            run = worker.runs.get((order.task, order.run)) if worker else None
            if worker is None or run is None or run.state is not RunState.ORDERED:
                return
            now = clock.steady_s()
            limit = min(now + MAX_LEASE_S, self._state_writer.worker_lease_limit)
            if limit - now < MIN_LEASE_S:
                # Since the round that placed the run, the process may have been
                # paused or its lease not been renewed.
                outcome = StartOutcome.LATE
                break
            run.sent_at = now
            outcome = await self._calls.start_run(
                worker.entry,
                order,
                token=self._token,
                lease_until_s=worker.lease_deadline(limit, now),
            )
            if outcome is StartOutcome.FENCED:
                raise WorkerFenced(self._name)
            if outcome is StartOutcome.UNKNOWN:
                certain = False
            elif outcome is not StartOutcome.NOT_SENT or self._unreachable:
                break
        if outcome is StartOutcome.GONE:
            self._remove_worker(known_at=now)
        self._planner.apply_start_outcome(
            order,
            outcome,
            certain=certain,
            now=clock.steady_s(),
            unix_s=clock.unix.now_s(),
        )

    async def _send_stop(self, order: StopOrder) -> None:
        while True:
            worker = self._planner.workers.get(self._name)
            if worker is None or (order.task, order.run) not in worker.runs:
                return
            sent_at = clock.steady_s()
            outcome = await self._calls.stop_run(worker.entry, order, token=self._token)
            now = clock.steady_s()
            if outcome is StopOutcome.FENCED:
                raise WorkerFenced(self._name)
            if outcome is StopOutcome.GONE:
                self._remove_worker(known_at=sent_at)
            if outcome is StopOutcome.STOPPED:
                self._planner.apply_stop_outcome(order, outcome, now=now)
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _send_throttle(self, order: ThrottleOrder) -> None:
        """Send a throttle order once; the planner repeats it while it is needed."""
        worker = self._planner.workers.get(self._name)
        if worker is None or (order.task, order.run) not in worker.runs:
            return
        taken = await self._calls.throttle_run(worker.entry, order, token=self._token)
        log(
            events.RUN_PACED,
            request_id=order.task.job,
            task=format_task(order.task),
            worker=self._name,
            percent=order.percent,
            taken=taken,
        )

    def _remove_worker(self, known_at: float) -> None:
        """Remove the worker, at whose address another incarnation has answered.

        :param known_at: monotonic time at which the request for that was sent
        """
        self._planner.remove_ended_worker(
            self._name,
            now=clock.steady_s(),
            unix_s=clock.unix.now_s(),
            known_at=known_at,
            source="another incarnation at its address",
        )
        self._on_change()

    def _note_unreachable(self, error: WorkerUnreachable) -> None:
        if not self._unreachable:
            self._unreachable = True
            log(events.DEPENDENCY_LOST, dependency=f"worker {self._name}", error=error)

    def _note_reachable(self) -> None:
        if self._unreachable:
            self._unreachable = False
            log(events.DEPENDENCY_REGAINED, dependency=f"worker {self._name}")
