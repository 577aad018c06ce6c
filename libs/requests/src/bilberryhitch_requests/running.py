"""Attempts of one request: wait for a slot, run here or at its owner, retry."""

import asyncio
import random
from collections.abc import Callable

from bilberryhitch_model import Outcome, Pool, RequestCall, Route

from .dispatch import Dispatcher
from .forwarding import Failed, Forwarder, PeerSlots
from .outcomes import RequestRecord
from .places import place_of
from .ports import ConfigView
from .reporting import report_retry
from .retries import RetryBudgets
from .slots import Lease
from .waiting import PeerTarget, Refusal, Target, Ticket, WaitingRequests

# Spreads requests that a full executor or peer sent back.
REQUEUE_S = 0.05


class RequestRunner:
    """Runs requests of this host's own callers.

    :param waiting_for: returns the waiting requests of a pool
    """

    def __init__(
        self,
        config: ConfigView,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        *,
        peer_slots: PeerSlots,
        waiting_for: Callable[[Pool], WaitingRequests],
        rng: random.Random,
    ) -> None:
        self._config = config
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._peer_slots = peer_slots
        self._waiting_for = waiting_for
        self._rng = rng
        self._budgets = RetryBudgets(rng)

    async def run(
        self, call: RequestCall, route: Route, record: RequestRecord
    ) -> Outcome:
        """Make attempts until there is an answer or no further one is allowed."""
        self._budgets.note_request(call.client_account)
        failures = 0
        until_s = asyncio.get_running_loop().time() + route.timeout_s
        while not record.closed:
            row = self._config.tables_view.pools.get(route.pool)
            if row is None:
                return record.without_answer("no such pool")
            waiting = self._waiting_for(row)
            target = await _place(call, route, record, waiting)
            if isinstance(target, Refusal):
                return record.without_answer(target.reason, target.retry_after_s)
            result = await self._attempt(
                target, call, route, record, waiting, until_s=until_s
            )
            if isinstance(result, Outcome):
                return result
            if result is Failed.NOT_RUN:
                await asyncio.sleep(self._rng.uniform(0.0, REQUEUE_S))
                continue
            failures += 1
            if not route.idempotent or not self._budgets.take(call.client_account):
                break
            report_retry(call, route, record.handle)
            await asyncio.sleep(self._budgets.delay_s(failures))
        return record.without_answer("no answer")

    async def _attempt(
        self,
        target: Lease | PeerTarget,
        call: RequestCall,
        route: Route,
        record: RequestRecord,
        waiting: WaitingRequests,
        *,
        until_s: float,
    ) -> Outcome | Failed:
        if isinstance(target, PeerTarget):
            wait_s = max(0.0, until_s - asyncio.get_running_loop().time())
            return await self._attempt_at_peer(
                target, call, route, record, waiting, wait_s=wait_s
            )
        result = await self._dispatcher.attempt(target, call, route, record, waiting)
        if result is Failed.NOT_RUN:
            record.take_back(record.run)
        return result

    async def _attempt_at_peer(
        self,
        target: PeerTarget,
        call: RequestCall,
        route: Route,
        record: RequestRecord,
        waiting: WaitingRequests,
        *,
        wait_s: float,
    ) -> Outcome | Failed:
        try:
            result = await self._forwarder.run_at(
                target.host,
                call,
                record,
                wait_s,
                route.timeout_s,
                idempotent=route.idempotent,
            )
        finally:
            self._peer_slots.ended(route.pool, target.host, place_of(call, route))
            waiting.pump()
        if result is Failed.NOT_RUN:
            self._peer_slots.refused(route.pool, target.host)
        return result


async def _place(
    call: RequestCall, route: Route, record: RequestRecord, waiting: WaitingRequests
) -> Target:
    """Wait for a target; closing the record ends the wait."""
    ticket = Ticket(place_of(call, route), may_forward=True)
    record.on_close = lambda: waiting.withdraw(ticket, "timed out")
    try:
        return await waiting.wait(ticket)
    finally:
        record.on_close = None
