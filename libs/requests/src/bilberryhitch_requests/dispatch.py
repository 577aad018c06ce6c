"""Runs one attempt of a request in an acquired executor slot."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from bilberryhitch_model import Outcome, RequestCall, Route
from bilberryhitch_model.errors import ExecutorLost, ExecutorNotAccepted

from .executor_client import ExecutorAnswer, ExecutorClient, check_answer
from .forwarding import AttemptFailure
from .queue_key import queue_key_of
from .request_queue import RequestQueue
from .request_records import RequestRecord
from .slots import ExecutorSlots, SlotLease

HTTP_OK = 200


class Dispatcher:
    """Runs attempts at the executors owned by this host.

    :ivar usage: slot seconds used since the start, by ``<pool>/<client account>``
    """

    def __init__(
        self,
        executors: ExecutorClient,
        slots: ExecutorSlots,
        *,
        new_id: Callable[[], str],
    ) -> None:
        self._executors = executors
        self._slots = slots
        self._new_id = new_id
        self.usage: defaultdict[str, float] = defaultdict(float)

    async def attempt(
        self,
        lease: SlotLease,
        call: RequestCall,
        route: Route,
        record: RequestRecord,
        queue: RequestQueue,
    ) -> Outcome | AttemptFailure:
        """Run one attempt, if :meth:`RequestRecord.grant` allows it.

        The slot is released in any case.

        :returns: the outcome, or how the attempt failed
        """
        attempt_id = self._new_id()
        if not record.grant(record.run_id or attempt_id):
            queue.refund_estimate(queue_key_of(call, route))
            lease.release()
            return AttemptFailure.NOT_RUN
        run_id = record.run_id
        name = lease.host.name
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            answer = await self._call(lease, attempt_id, call, route)
        except ExecutorNotAccepted:
            self._slots.record_failure(name)
            return AttemptFailure.NOT_RUN
        except ExecutorLost:
            self._slots.record_failure(name)
            record.record_lost(run_id)
            return AttemptFailure.LOST
        finally:
            self._charge(call, route, queue, loop.time() - started_s)
            lease.release()
        self._slots.record_success(name)
        return _outcome_of(answer)

    async def _call(
        self, lease: SlotLease, attempt_id: str, call: RequestCall, route: Route
    ) -> ExecutorAnswer:
        host = lease.host
        try:
            async with asyncio.timeout(route.timeout_s):
                answer = await self._executors.call(
                    host,
                    attempt_id,
                    route.name,
                    call.body,
                    call.content_type,
                    route.timeout_s,
                    route.max_body_bytes,
                )
        except TimeoutError as error:
            raise ExecutorLost(host.name, "timed out") from error
        return check_answer(answer, host.name, attempt_id, route.max_body_bytes)

    def _charge(
        self,
        call: RequestCall,
        route: Route,
        queue: RequestQueue,
        cost_s: float,
    ) -> None:
        queue.charge_observed(queue_key_of(call, route), cost_s)
        self.usage[f"{route.pool}/{call.client_account}"] += cost_s


def _outcome_of(answer: ExecutorAnswer) -> Outcome:
    if answer.status == HTTP_OK:
        return Outcome("completed", answer.body, answer.content_type)
    detail = f"executor answered {answer.status}"
    return Outcome("failed", answer.body, answer.content_type, detail)
