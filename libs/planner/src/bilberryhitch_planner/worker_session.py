"""The planner's conversation with one worker."""

import asyncio
import time
from collections.abc import Callable

from bilberryhitch_telemetry import events, log

from .cluster_state import format_task
from .errors import WorkerFenced, WorkerGone, WorkerUnreachable
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
from .throttling import shares_processor
from .worker_calls import WorkerCalls

# The lease of what runs on a worker: the longest that the platform grants, so
# that work outlives cuts of several seconds.
LEASE_S = 10.0
# How long a listing waits for an end; also how often the lease is extended,
# checkpoints are read and progress is seen. A run that stands still is noticed after
# three of them, and an urgent one has little more than a second of slack.
HEARTBEAT_WAIT_S = 0.6
# Tasks that serve must not be over their bound for seconds because of others.
SHARED_HEARTBEAT_WAIT_S = 0.4
RETRY_PAUSE_S = 0.2
# Ends that are not stored yet are not acknowledged; the listing goes on.
FLUSH_TIMEOUT_S = 0.4
# Copies of a start without an answer; the last failure is followed by a stop.
MAX_START_ATTEMPTS = 3


class WorkerSession:
    """Lists, extends and acknowledges what runs on a worker; sends its orders.

    :param on_change: called after the planner's state has changed
    """

    def __init__(
        self,
        name: str,
        planner: Planner,
        state_writer: StateWriter,
        leader_lease: LeaderLease,
        calls: WorkerCalls,
        on_change: Callable[[], None],
    ) -> None:
        self._name = name
        self._planner = planner
        self._state_writer = state_writer
        self._token = leader_lease.token
        self._calls = calls
        self._on_change = on_change
        self._acknowledged = 0
        self._unreachable = False
        self._synced = False

    @property
    def unreachable(self) -> bool:
        """Whether the last look at the worker failed."""
        return self._unreachable

    async def run(self) -> None:
        """Look at the worker until its incarnation is gone.

        :raises WorkerFenced: if a later planner has called the worker
        """
        wait_s = 0.0
        while self._name in self._planner.workers:
            sent_at = time.monotonic()
            try:
                report = await self._send_heartbeat(sent_at, wait_s)
            except WorkerGone:
                self._planner.worker_gone(
                    self._name, now=time.monotonic(), unix_s=time.time()
                )
                self._on_change()
                return
            except WorkerUnreachable as error:
                self._note_unreachable(error)
                # A worker that has started again counts its ends anew.
                self._acknowledged = 0
                wait_s = 0.0
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._note_reachable()
            self._planner.report(
                self._name,
                report,
                sent_at=sent_at,
                now=time.monotonic(),
                unix_s=time.time(),
            )
            self._on_change()
            worker = self._planner.workers.get(self._name)
            shared = worker is not None and shares_processor(worker)
            wait_s = SHARED_HEARTBEAT_WAIT_S if shared else HEARTBEAT_WAIT_S
            if report.ended and not await self._acknowledge(report):
                wait_s = 0.0
                await asyncio.sleep(RETRY_PAUSE_S)

    async def send(self, order: Order) -> None:
        """Send an order until it is answered or no longer wanted.

        :raises WorkerFenced: if a later planner has called the worker
        """
        if isinstance(order, StartOrder):
            await self._send_start(order)
        elif isinstance(order, ThrottleOrder):
            await self._send_throttle(order)
        else:
            await self._send_stop(order)
        self._on_change()

    async def _send_heartbeat(self, sent_at: float, wait_s: float) -> HeartbeatReply:
        worker = self._planner.workers[self._name]
        limit = min(sent_at + LEASE_S, self._state_writer.worker_lease_limit)
        lease = None
        # An unanswered extension may still count: a worker that stays silent
        # gets no further one, so that its lease can be known to have lapsed.
        if self._synced and not self._unreachable and limit > sent_at:
            lease = worker.lease_deadline(limit, sent_at)
        report = await self._calls.hold(
            worker.entry,
            token=self._token,
            acknowledged=self._acknowledged,
            lease_until_s=lease,
            wait_s=wait_s,
        )
        self._synced = True
        return report

    async def _acknowledge(self, report: HeartbeatReply) -> bool:
        """Return whether the ends may be acknowledged by the next look."""
        if not await self._state_writer.flush(FLUSH_TIMEOUT_S):
            return False
        self._acknowledged = max(ended.sequence for ended in report.ended)
        return True

    async def _send_start(self, order: StartOrder) -> None:
        certain = True
        outcome = StartOutcome.UNKNOWN
        for _ in range(MAX_START_ATTEMPTS):
            worker = self._planner.workers.get(self._name)
            run = worker.runs.get((order.task, order.run)) if worker else None
            if worker is None or run is None or run.state is not RunState.ORDERED:
                return
            now = time.monotonic()
            limit = min(now + LEASE_S, self._state_writer.worker_lease_limit)
            outcome = await self._calls.start_run(
                worker.entry,
                order,
                token=self._token,
                lease_until_s=worker.lease_deadline(limit, now),
            )
            if outcome is StartOutcome.FENCED:
                raise WorkerFenced(self._name)
            if outcome is not StartOutcome.UNKNOWN:
                break
            certain = False
        now = time.monotonic()
        if outcome is StartOutcome.GONE:
            self._planner.worker_gone(self._name, now=now, unix_s=time.time())
            return
        self._planner.apply_start_outcome(
            order, outcome, certain=certain, now=now, unix_s=time.time()
        )

    async def _send_stop(self, order: StopOrder) -> None:
        while True:
            worker = self._planner.workers.get(self._name)
            if worker is None or (order.task, order.run) not in worker.runs:
                return
            outcome = await self._calls.stop_run(worker.entry, order, token=self._token)
            now = time.monotonic()
            if outcome is StopOutcome.FENCED:
                raise WorkerFenced(self._name)
            if outcome is StopOutcome.GONE:
                self._planner.worker_gone(self._name, now=now, unix_s=time.time())
                return
            if outcome is StopOutcome.STOPPED:
                self._planner.apply_stop_outcome(order, outcome, now=now)
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _send_throttle(self, order: ThrottleOrder) -> None:
        """Send once; the pace is ordered again while it matters."""
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

    def _note_unreachable(self, error: WorkerUnreachable) -> None:
        if not self._unreachable:
            self._unreachable = True
            log(events.DEPENDENCY_LOST, dependency=f"worker {self._name}", error=error)

    def _note_reachable(self) -> None:
        if self._unreachable:
            self._unreachable = False
            log(events.DEPENDENCY_REGAINED, dependency=f"worker {self._name}")
