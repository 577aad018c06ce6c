"""Runs a request: waits for a slot, attempts it here or at a peer, retries."""

import asyncio
import random
from collections.abc import Callable

from bilberryhitch_model import Outcome, Pool, RequestCall, Route

from .dispatch import Dispatcher
from .forwarding import AttemptFailure, Forwarder, PeerSlots
from .interfaces import ConfigView
from .queue_key import queue_key_of
from .reporting import report_retry
from .request_queue import Assignment, NoSlot, PeerTarget, QueuedRequest, RequestQueue
from .request_records import RequestRecord
from .retries import RetryBudgets
from .slots import SlotLease

# Jitter before a request that a full executor or peer refused is queued again.
MAX_REQUEUE_DELAY_S = 0.05


class RequestRunner:
    """Runs the requests that callers submitted to this host.

    :param queue_for: returns the request queue of a pool
    """

    def __init__(
        self,
        config: ConfigView,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        *,
        peer_slots: PeerSlots,
        queue_for: Callable[[Pool], RequestQueue],
        rng: random.Random,
    ) -> None:
        self._config = config
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._peer_slots = peer_slots
        self._queue_for = queue_for
        self._rng = rng
        self._budgets = RetryBudgets(rng)

    async def run(
        self, call: RequestCall, route: Route, record: RequestRecord
    ) -> Outcome:
        """Make attempts until one has an outcome or no further one is allowed."""
        self._budgets.record_request(call.client_account)
        failures = 0
        until_s = asyncio.get_running_loop().time() + route.timeout_s
        while not record.closed:
            row = self._config.tables_view.pools.get(route.pool)
            if row is None:
                return record.outcome_without_answer("no such pool")
            queue = self._queue_for(row)
            assignment = await _wait_for_slot(call, route, record, queue)
            if isinstance(assignment, NoSlot):
                return record.outcome_without_answer(
                    assignment.reason, assignment.retry_after_s
                )
            result = await self._attempt(
                assignment, call, route, record, queue, until_s=until_s
            )
            if isinstance(result, Outcome):
                return result
            if result is AttemptFailure.NOT_RUN:
                await asyncio.sleep(self._rng.uniform(0.0, MAX_REQUEUE_DELAY_S))
                continue
            failures += 1
            if not route.idempotent or not self._budgets.try_spend(call.client_account):
                break
            report_retry(call, route, record.handle)
            await asyncio.sleep(self._budgets.backoff_s(failures))
        return record.outcome_without_answer("no answer")

    async def _attempt(
        self,
        assignment: SlotLease | PeerTarget,
        call: RequestCall,
        route: Route,
        record: RequestRecord,
        queue: RequestQueue,
        *,
        until_s: float,
    ) -> Outcome | AttemptFailure:
        if isinstance(assignment, PeerTarget):
            wait_s = max(0.0, until_s - asyncio.get_running_loop().time())
            return await self._attempt_at_peer(
                assignment, call, route, record, queue, wait_s=wait_s
            )
        result = await self._dispatcher.attempt(assignment, call, route, record, queue)
        if result is AttemptFailure.NOT_RUN:
            record.record_not_run(record.run_id)
        return result

    async def _attempt_at_peer(
        self,
        assignment: PeerTarget,
        call: RequestCall,
        route: Route,
        record: RequestRecord,
        queue: RequestQueue,
        *,
        wait_s: float,
    ) -> Outcome | AttemptFailure:
        try:
            result = await self._forwarder.forward(
                assignment.host,
                call,
                record,
                wait_s,
                route.timeout_s,
                idempotent=route.idempotent,
            )
        finally:
            self._peer_slots.record_end(
                route.pool, assignment.host, queue_key_of(call, route)
            )
            queue.assign_slots()
        if result is AttemptFailure.NOT_RUN:
            self._peer_slots.record_refusal(route.pool, assignment.host)
        return result


async def _wait_for_slot(
    call: RequestCall, route: Route, record: RequestRecord, queue: RequestQueue
) -> Assignment:
    """Queue the call and wait for its assignment; closing the record ends the wait."""
    queued = QueuedRequest(queue_key_of(call, route), may_forward=True)
    record.on_close = lambda: queue.withdraw(queued, "timed out")
    try:
        return await queue.wait(queued)
    finally:
        record.on_close = None
