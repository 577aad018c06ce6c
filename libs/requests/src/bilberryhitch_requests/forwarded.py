"""Requests that another entry host forwarded to this one."""

import asyncio
from collections.abc import Callable

from bilberryhitch_model import Outcome, Route
from bilberryhitch_peers import ForwardReply, ForwardRequest

from .dispatch import Dispatcher
from .forwarding import Failed, Forwarder, new_run
from .outcomes import Outcomes, RequestRecord
from .places import place_of
from .slots import Lease
from .waiting import Refusal, Ticket, WaitingRequests

# Half of what the peer link handles at once, so that forwards which wait for a
# slot leave room for grants, heartbeats and notices.
MAX_FORWARDED = 512
_REFUSED = Outcome("not_run", detail="refused by the executor")


class ForwardedRequests:
    """Runs copies of other hosts' requests under their grants.

    A second delivery of the same forward joins the first one.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        dispatcher: Dispatcher,
        copies: Outcomes,
        *,
        new_id: Callable[[], str],
    ) -> None:
        self._forwarder = forwarder
        self._dispatcher = dispatcher
        self._copies = copies
        self._new_id = new_id
        self._serving = 0

    async def serve(
        self,
        sender: str,
        message: ForwardRequest,
        route: Route,
        waiting: WaitingRequests,
    ) -> ForwardReply:
        """Return the outcome of a forwarded request, under the id of its run."""
        forward = message.handle
        copy = self._copies.get(forward)
        if copy is None and self._serving >= MAX_FORWARDED:
            return ForwardReply(forward, Outcome("not_run", detail="too many forwards"))
        if copy is None:
            copy = self._copies.open(forward, message.call.client_account)
            self._serving += 1
            try:
                copy.finish(await self._run(sender, message, route, waiting, copy))
            finally:
                self._serving -= 1
                copy.close("internal failure")
        await copy.done.wait()
        return ForwardReply(copy.run or forward, copy.answer())

    def status(self, run: str, forward: str, client_account: str) -> Outcome | None:
        """Return the outcome of a run, or ``None`` when it is not known."""
        copy = self._copies.get(forward)
        if copy is None or copy.run != run or copy.client_account != client_account:
            return None
        return copy.outcome

    async def _run(
        self,
        sender: str,
        message: ForwardRequest,
        route: Route,
        waiting: WaitingRequests,
        copy: RequestRecord,
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        place = place_of(message.call, route)
        ticket = Ticket(place, may_forward=False)
        timer = loop.call_later(message.wait_s, waiting.withdraw, ticket, "timed out")
        try:
            target = await waiting.wait(ticket)
        finally:
            timer.cancel()
        if not isinstance(target, Lease):
            return _not_run(target)
        if not await self._granted(sender, copy):
            waiting.unused(place)
            target.release()
            return Outcome("not_run", detail="no longer wanted")
        result = await self._dispatcher.attempt(
            target, message.call, route, copy, waiting
        )
        if result is Failed.LOST:
            return Outcome("unknown", detail="executor lost")
        # A refused copy goes back to the first entry host instead of waiting here:
        # while it holds the grant, that host could not call it back.
        return _REFUSED if result is Failed.NOT_RUN else result

    async def _granted(self, sender: str, copy: RequestRecord) -> bool:
        """Ask for the grant; the slot is held meanwhile."""
        run = new_run(copy.handle, self._new_id)
        copy.run = run
        return await self._forwarder.ask_grant(sender, run, copy.client_account)


def _not_run(target: object) -> Outcome:
    reason = target.reason if isinstance(target, Refusal) else "no free slot"
    return Outcome("not_run", detail=reason)
