"""Forwards requests to other entry hosts that own executors with free slots.

Immediately before the owner runs a forwarded request, it asks the originating entry
host for a grant, and each forward is granted at most once. A forward without a grant
can therefore be cancelled safely, and a message that is delayed or duplicated, even
to a new incarnation of the owner, runs nothing. A grant is requested with a
``RequestStatusAsk`` for the run id and given in the ``RequestStatusReply``.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from bilberryhitch_model import Outcome, RequestCall
from bilberryhitch_model.errors import PeerTimeout, PeerUnsent
from bilberryhitch_peers import (
    ForwardReply,
    ForwardRequest,
    Message,
    RequestStatusAsk,
    RequestStatusReply,
)

from .handles import make_run_id
from .interfaces import MembershipView, PeerCalls
from .queue_key import QueueKey
from .request_records import RequestRecord
from .slots import SLOTS_PER_EXECUTOR, ExecutorSlots

# Heartbeats renew a peer's counts every 0.5 s. The counts expire after the liveness
# timeout of membership.
CREDIT_TTL_S = 2.0
# One heartbeat interval: a peer that refused a request is used again once it has
# reported new counts.
REFUSAL_BACKOFF_S = 0.5
# Open forwards of one queue key per slot of an owner, from a host that owns no executor
# of the pool: one runs and one waits in the owner's fair queue. Further requests wait
# at the forwarding host, so that a burst of one caller does not fill the owner's queue.
MAX_FORWARDS_PER_SLOT = 2
LIVENESS_CHECK_INTERVAL_S = 0.25
PEER_QUERY_TIMEOUT_S = 1.0
REPLY_MARGIN_S = 1.0
GRANTED = "granted"


class AttemptFailure(Enum):
    """How an attempt failed: it certainly did not run, or its result is lost."""

    NOT_RUN = "not run"
    LOST = "lost"


class _Credit(NamedTuple):
    """Free slots that a peer reported, less the requests sent to it since.

    :param until_s: loop time at which the count expires
    """

    free: int
    until_s: float


class PeerSlots:
    """Selects peers of this data centre for forwards by their free slots."""

    def __init__(
        self,
        data_centre: str,
        host: str,
        membership: MembershipView,
        slots: ExecutorSlots,
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._host = host
        self._membership = membership
        self._slots = slots
        self._rng = rng
        self._credits: dict[tuple[str, str], _Credit] = {}
        self._backoff_until_s: dict[tuple[str, str], float] = {}
        self._open_forwards: Counter[tuple[str, str, QueueKey]] = Counter()

    def update(self, host: str, free_slots: dict[str, int]) -> None:
        """Store the free slots by pool that a peer's heartbeat reported."""
        until_s = asyncio.get_running_loop().time() + CREDIT_TTL_S
        for pool, free in free_slots.items():
            self._credits[pool, host] = _Credit(free, until_s)
            if free > 0:
                self._backoff_until_s.pop((pool, host), None)

    def select(self, pool: str, queue_key: QueueKey) -> str | None:
        """Return a peer for one request and count the request as open.

        The peer with the most free slots is preferred. A host that owns no executor
        of the pool also selects owners without a free slot, up to a limit of open
        forwards; these requests wait in the owner's fair queue.

        :returns: the peer's name, or ``None`` if no peer can take the request
        """
        now = asyncio.get_running_loop().time()
        live = self._membership.entry_hosts(self._data_centre)
        peers = [host for host in live if host != self._host]
        free = {host: self._free(pool, host, now) for host in peers}
        best = max(peers, key=lambda host: free[host], default=None)
        if best is not None and free[best] > 0:
            credit = self._credits[pool, best]
            self._credits[pool, best] = credit._replace(free=credit.free - 1)
        elif self._slots.owns_any(pool):
            return None
        else:
            best = self._select_owner(pool, queue_key, peers, now)
        if best is not None:
            self._open_forwards[pool, best, queue_key] += 1
        return best

    def record_end(self, pool: str, host: str, queue_key: QueueKey) -> None:
        """Record that a request for which :meth:`select` chose the peer has ended."""
        self._open_forwards[pool, host, queue_key] -= 1
        if not self._open_forwards[pool, host, queue_key]:
            del self._open_forwards[pool, host, queue_key]

    def record_refusal(self, pool: str, host: str) -> None:
        """Record that a peer did not run a request.

        Other peers are preferred until its next heartbeat.
        """
        now = asyncio.get_running_loop().time()
        self._credits[pool, host] = _Credit(0, now + CREDIT_TTL_S)
        self._backoff_until_s[pool, host] = now + REFUSAL_BACKOFF_S

    def _free(self, pool: str, host: str, now: float) -> int:
        credit = self._credits.get((pool, host))
        return credit.free if credit is not None and credit.until_s > now else 0

    def _select_owner(
        self, pool: str, queue_key: QueueKey, peers: list[str], now: float
    ) -> str | None:
        owners = self._slots.executor_counts(pool)
        per_executor = MAX_FORWARDS_PER_SLOT * SLOTS_PER_EXECUTOR
        candidates = [
            host
            for host in peers
            if host in owners
            and self._backoff_until_s.get((pool, host), 0.0) <= now
            and self._open_forwards[pool, host, queue_key] < per_executor * owners[host]
        ]
        if not candidates:
            return None
        counts = [owners[host] for host in candidates]
        return self._rng.choices(candidates, counts)[0]


class Forwarder:
    """Sends forwards, grant requests and status queries to other entry hosts."""

    def __init__(
        self, data_centre: str, peers: PeerCalls, membership: MembershipView
    ) -> None:
        self._data_centre = data_centre
        self._peers = peers
        self._membership = membership

    async def forward(
        self,
        host: str,
        call: RequestCall,
        record: RequestRecord,
        wait_s: float,
        timeout_s: float,
        *,
        idempotent: bool,
    ) -> Outcome | AttemptFailure:
        """Run a request at an owner.

        :param wait_s: maximum wait for a slot at the owner
        :param timeout_s: maximum run time at the owner
        :param idempotent: whether a granted run may be abandoned as soon as its
            owner has failed, because the request may be retried
        :returns: the outcome, or how the attempt failed
        """
        forward_id = record.open_forward(host)
        message = ForwardRequest(call, forward_id, wait_s)
        reply_s = wait_s + timeout_s + REPLY_MARGIN_S
        task = asyncio.ensure_future(self._call(host, message, reply_s))
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=LIVENESS_CHECK_INTERVAL_S)
                if not record.run_id and self._should_cancel(host, record):
                    break
                if record.run_id and idempotent and self._has_failed(host):
                    break
        finally:
            record.end_forward()
        reply = task.result() if task.done() else None
        task.cancel()
        return _forward_result(record, host, reply)

    async def request_grant(self, host: str, run_id: str, client_account: str) -> bool:
        """Ask the originating entry host for a grant; return whether it was given."""
        ask = RequestStatusAsk(run_id, client_account)
        reply = await self._call(host, ask, PEER_QUERY_TIMEOUT_S)
        return (
            isinstance(reply, RequestStatusReply)
            and reply.handle == run_id
            and reply.outcome is not None
            and reply.outcome.detail == GRANTED
        )

    async def query_status(
        self, host: str, handle: str, client_account: str
    ) -> Outcome | None:
        """Return the outcome that another entry host knows for a handle or run id.

        :returns: the outcome, or ``None`` if the host does not answer or know it
        """
        ask = RequestStatusAsk(handle, client_account)
        reply = await self._call(host, ask, PEER_QUERY_TIMEOUT_S)
        if not isinstance(reply, RequestStatusReply) or reply.handle != handle:
            return None
        return reply.outcome

    async def _call(
        self, host: str, message: Message, timeout_s: float
    ) -> Message | None:
        try:
            return await self._peers.call(host, message, timeout_s)
        except (PeerUnsent, PeerTimeout):
            return None

    def _should_cancel(self, host: str, record: RequestRecord) -> bool:
        live = self._membership.entry_hosts(self._data_centre)
        return record.closed or host not in live

    def _has_failed(self, host: str) -> bool:
        live = self._membership.entry_hosts(self._data_centre)
        return host not in live and not self._membership.is_leaving(host)


def answer_grant_request(
    record: RequestRecord, forward_id: str, run_id: str, host: str
) -> Outcome:
    """Return the reply to an owner's grant request."""
    if record.grant_forward(forward_id, run_id, host):
        return Outcome("unknown", detail=GRANTED)
    return Outcome("not_run", detail="no longer to be run")


def new_run_id(forward_id: str, new_id: Callable[[], str]) -> str:
    """Return a new run id for a forward."""
    return make_run_id(forward_id, new_id())


def _forward_result(
    record: RequestRecord, host: str, reply: Message | None
) -> Outcome | AttemptFailure:
    """Return the result of a forward that has ended.

    Only the reply of the run that holds the grant counts. If no grant was given,
    nothing ran, whatever the reply says.
    """
    run_id = record.run_id
    if not run_id:
        return AttemptFailure.NOT_RUN
    if not isinstance(reply, ForwardReply) or reply.handle != run_id:
        record.record_lost(run_id, host)
        return AttemptFailure.LOST
    if reply.outcome.status == "not_run":
        record.record_not_run(run_id)
        return AttemptFailure.NOT_RUN
    if reply.outcome.status == "unknown":
        record.record_lost(run_id, host)
        return AttemptFailure.LOST
    return reply.outcome
