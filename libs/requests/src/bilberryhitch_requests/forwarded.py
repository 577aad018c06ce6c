"""Runs requests that other entry hosts forwarded to this one."""

import asyncio
from collections.abc import Callable

from bilberryhitch_model import Outcome, Route
from bilberryhitch_peers import ForwardReply, ForwardRequest

from .dispatch import Dispatcher
from .forwarding import AttemptFailure, Forwarder, new_run_id
from .queue_key import queue_key_of
from .request_queue import NoSlot, QueuedRequest, RequestQueue
from .request_records import RequestRecord, RequestRecords
from .slots import SlotLease

# Half of the messages that the peer link handles at once: forwards that wait for a
# slot must not block grants, heartbeats and notices.
MAX_CONCURRENT_FORWARDS = 512
_EXECUTOR_REFUSED = Outcome("not_run", detail="refused by the executor")


class ForwardedRequests:
    """Runs forwarded requests under grants of their originating entry hosts.

    A duplicate of a forward waits for the outcome of the first delivery.

    :param copies: records of the forwarded requests, by forward id
    """

    def __init__(
        self,
        forwarder: Forwarder,
        dispatcher: Dispatcher,
        copies: RequestRecords,
        *,
        new_id: Callable[[], str],
    ) -> None:
        self._forwarder = forwarder
        self._dispatcher = dispatcher
        self._copies = copies
        self._new_id = new_id
        self._serving_count = 0

    async def serve(
        self,
        sender: str,
        message: ForwardRequest,
        route: Route,
        queue: RequestQueue,
    ) -> ForwardReply:
        """Run a forwarded request and return the reply.

        The reply carries the run id, or the forward id if no run was started.
        """
        forward_id = message.handle
        copy = self._copies.get(forward_id)
        if copy is None and self._serving_count >= MAX_CONCURRENT_FORWARDS:
            return ForwardReply(
                forward_id, Outcome("not_run", detail="too many forwards")
            )
        if copy is None:
            copy = self._copies.open(forward_id, message.call.client_account)
            self._serving_count += 1
            try:
                copy.finish(await self._run(sender, message, route, queue, copy))
            finally:
                self._serving_count -= 1
                copy.close("internal failure")
        await copy.done.wait()
        return ForwardReply(copy.run_id or forward_id, copy.current_outcome())

    def status(
        self, run_id: str, forward_id: str, client_account: str
    ) -> Outcome | None:
        """Return the outcome of a run, or ``None`` if it is not known."""
        copy = self._copies.get(forward_id)
        if (
            copy is None
            or copy.run_id != run_id
            or copy.client_account != client_account
        ):
            return None
        return copy.outcome

    async def _run(
        self,
        sender: str,
        message: ForwardRequest,
        route: Route,
        queue: RequestQueue,
        copy: RequestRecord,
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        queue_key = queue_key_of(message.call, route)
        queued = QueuedRequest(queue_key, may_forward=False)
        timer = loop.call_later(message.wait_s, queue.withdraw, queued, "timed out")
        try:
            assignment = await queue.wait(queued)
        finally:
            timer.cancel()
        if not isinstance(assignment, SlotLease):
            return _not_run(assignment)
        if not await self._request_grant(sender, copy):
            queue.refund_estimate(queue_key)
            assignment.release()
            return Outcome("not_run", detail="no longer wanted")
        result = await self._dispatcher.attempt(
            assignment, message.call, route, copy, queue
        )
        if result is AttemptFailure.LOST:
            return Outcome("unknown", detail="executor lost")
        # A refused request returns to its originating host instead of being queued
        # here again: while it holds the grant, that host cannot cancel it.
        return _EXECUTOR_REFUSED if result is AttemptFailure.NOT_RUN else result

    async def _request_grant(self, sender: str, copy: RequestRecord) -> bool:
        """Ask the originating host for the grant; the slot stays acquired meanwhile."""
        run_id = new_run_id(copy.handle, self._new_id)
        copy.run_id = run_id
        return await self._forwarder.request_grant(sender, run_id, copy.client_account)


def _not_run(assignment: object) -> Outcome:
    reason = assignment.reason if isinstance(assignment, NoSlot) else "no free slot"
    return Outcome("not_run", detail=reason)
