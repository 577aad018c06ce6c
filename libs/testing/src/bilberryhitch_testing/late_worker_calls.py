"""Calls to simulated workers that are delayed, overtaken, cut off and carried out late.

They stand in for the HTTP client of workers, and time out as that does.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

from bilberryhitch_planner import (
    HeartbeatReply,
    StartOrder,
    StartOutcome,
    StopOrder,
    StopOutcome,
    ThrottleOrder,
    WorkerEntry,
    WorkerFenced,
    WorkerGone,
    WorkerUnreachable,
)

from .worker_lives import HOLD_PERIOD_S, Life, RunKey, WorkerLives

ORDER_TIMEOUT_S = 0.6
HOLD_MARGIN_S = 0.8
CONNECT_TIMEOUT_S = 0.5
# A call that is held back for longer is lost.
MAX_LATE_S = 4.0

T = TypeVar("T")


class Fate(NamedTuple):
    """What happens to a call on the network.

    :param request_s: seconds until it reaches the worker's address
    :param response_s: seconds until its response is back
    :param response_lost: it is carried out and not answered
    :param connects: the client reaches the network; the call is not sent otherwise
    """

    request_s: float = 0.005
    response_s: float = 0.005
    response_lost: bool = False
    connects: bool = True


class CarriedOutStart(NamedTuple):
    """A start order that has begun a run.

    :param life: the life that carried it out
    :param crossed: it was sent before that life began
    :param at: simulated time in seconds
    """

    worker: str
    key: RunKey
    life: int
    crossed: bool
    at: float


class LateWorkerCalls:
    """Worker calls with a fate each.

    :param fate: returns the fate of the next call of a kind to a worker
    :param cut_until: returns the time until which a worker is cut off
    :param on_start: called after a start has begun a run
    :param on_acknowledged: called with each done run whose end was acknowledged
    """

    def __init__(
        self,
        lives: WorkerLives,
        fate: Callable[[str, str], Fate],
        cut_until: Callable[[str], float],
        on_start: Callable[[CarriedOutStart], None],
        on_acknowledged: Callable[[RunKey], None],
    ) -> None:
        self._lives = lives
        self._fate = fate
        self._cut_until = cut_until
        self._on_start = on_start
        self._on_acknowledged = on_acknowledged
        self._under_way: set[asyncio.Task[object]] = set()

    async def start_run(
        self,
        worker: WorkerEntry,
        order: StartOrder,
        *,
        token: int,
        lease_until_s: float,
    ) -> StartOutcome:
        """Start a run."""
        sent_to = self._lives.of(worker.worker)

        async def carry_out(life: Life) -> StartOutcome:
            now = self._lives.advance()
            outcome, begun = life.start(
                order, token=token, lease_until_s=lease_until_s, now=now
            )
            if begun:
                key = RunKey(order.task, order.run)
                crossed = life is not sent_to
                self._on_start(
                    CarriedOutStart(worker.worker, key, life.number, crossed, now)
                )
            return outcome

        try:
            return await self._call("start", worker, carry_out, ORDER_TIMEOUT_S)
        except _NotConnected as error:
            return error.outcome
        except WorkerUnreachable:
            return StartOutcome.UNKNOWN
        except WorkerGone:
            return StartOutcome.GONE

    async def stop_run(
        self, worker: WorkerEntry, order: StopOrder, *, token: int
    ) -> StopOutcome:
        """Stop a run."""

        async def carry_out(life: Life) -> StopOutcome:
            return life.stop(order, token=token, now=self._lives.advance())

        try:
            return await self._call("stop", worker, carry_out, ORDER_TIMEOUT_S)
        except WorkerGone:
            return StopOutcome.GONE
        except WorkerUnreachable:
            return StopOutcome.UNKNOWN

    async def throttle_run(
        self, worker: WorkerEntry, order: ThrottleOrder, *, token: int
    ) -> bool:
        """Decline to limit the CPU time of a run."""
        return False

    async def hold(
        self,
        worker: WorkerEntry,
        *,
        token: int,
        acknowledged: int,
        lease_until_s: float | None,
        wait_s: float,
    ) -> HeartbeatReply:
        """Send a heartbeat."""

        async def carry_out(life: Life) -> HeartbeatReply:
            now = self._lives.advance()
            for key in life.ends_up_to(acknowledged):
                self._on_acknowledged(key)
            reply = life.hold(
                token=token,
                acknowledged=acknowledged,
                lease_until_s=lease_until_s,
                now=now,
            )
            if reply is not None and not reply.ended and wait_s:
                await self._wait_for_end(life, now + wait_s)
                reply = life.hold(token=token, now=self._lives.advance())
            if reply is None:
                raise WorkerFenced(worker.worker)
            return reply

        return await self._call("hold", worker, carry_out, wait_s + HOLD_MARGIN_S)

    async def _call(
        self,
        kind: str,
        worker: WorkerEntry,
        carry_out: Callable[[Life], Awaitable[T]],
        timeout_s: float,
    ) -> T:
        """Send a call and wait for its response; it goes on after the time-out."""
        fate = self._fate(kind, worker.worker)
        if not fate.connects:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise _NotConnected(worker.worker, StartOutcome.NOT_SENT)
        delivery = asyncio.create_task(self._deliver(worker, fate, carry_out))
        self._under_way.add(delivery)
        delivery.add_done_callback(self._forget)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(delivery)
        except TimeoutError as error:
            raise WorkerUnreachable(worker.worker, "timeout") from error

    async def _deliver(
        self,
        worker: WorkerEntry,
        fate: Fate,
        carry_out: Callable[[Life], Awaitable[T]],
    ) -> T:
        await asyncio.sleep(fate.request_s)
        loop = asyncio.get_running_loop()
        cut_s = self._cut_until(worker.worker) - loop.time()
        if cut_s > MAX_LATE_S:
            await asyncio.sleep(MAX_LATE_S)
            raise WorkerUnreachable(worker.worker, "cut off")
        await asyncio.sleep(max(0.0, cut_s))
        life = self._lives.at(worker.address)
        if life is None and fate.request_s <= CONNECT_TIMEOUT_S:
            raise _NotConnected(worker.worker, StartOutcome.REFUSED)
        if life is None:
            raise WorkerUnreachable(worker.worker, "connection lost")
        if life.entry.worker != worker.worker:
            await asyncio.sleep(fate.response_s)
            raise WorkerGone(worker.worker)
        result = await carry_out(life)
        await asyncio.sleep(fate.response_s)
        if fate.response_lost or self._cut_until(worker.worker) > loop.time():
            await asyncio.sleep(HOLD_MARGIN_S * 4)
        return result

    async def _wait_for_end(self, life: Life, until: float) -> None:
        loop = asyncio.get_running_loop()
        while not life.has_ends and loop.time() < until:
            await asyncio.sleep(HOLD_PERIOD_S)
            if not life.up:
                raise WorkerUnreachable(life.entry.worker, "connection lost")

    def _forget(self, delivery: asyncio.Task[object]) -> None:
        self._under_way.discard(delivery)
        if not delivery.cancelled():
            delivery.exception()


class _NotConnected(WorkerUnreachable):
    """The call was certainly not sent.

    :ivar outcome: what the client of workers makes of it
    """

    def __init__(self, worker: str, outcome: StartOutcome) -> None:
        super().__init__(worker, str(outcome))
        self.outcome = outcome
