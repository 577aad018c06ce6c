"""Requests that run at another entry host, which owns free executor slots.

The owner asks the first entry host for a grant right before it runs a forwarded
request, and each forward is granted once. So a forward that was not granted can
be called back with certainty, and a message that arrives late or twice, even at a
new incarnation of the owner, runs nothing. Grants travel as
``RequestStatusAsk``/``RequestStatusReply`` about a run id.
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

from .handles import run_id
from .outcomes import RequestRecord
from .places import Place
from .ports import MembershipView, PeerCalls
from .slots import SLOTS_PER_EXECUTOR, ExecutorSlots

# A peer's counts are renewed by each heartbeat (0.5 s) and go stale after the time
# in which it is counted as silent.
CREDIT_TERM_S = 2.0
# A peer that refused is asked again after its next heartbeat.
AVOID_S = 0.5
# A host that owns no executor of a pool keeps this many requests of each caller
# per slot at an owner: one runs, one waits there in fair order with the requests
# of other hosts. The rest waits here, so that a flood does not fill the owner.
FORWARDS_PER_SLOT = 2
WATCH_S = 0.25
GRANT_TIMEOUT_S = 1.0
REPLY_MARGIN_S = 1.0
GRANTED = "granted"


class Failed(Enum):
    """Why an attempt has no answer."""

    NOT_RUN = "not run"
    LOST = "lost"


class _Credit(NamedTuple):
    """Free slots of a peer, less what was sent to it since it told them."""

    free: int
    until_s: float


class PeerSlots:
    """Free slots at other entry hosts of this data centre."""

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
        self._avoided_until_s: dict[tuple[str, str], float] = {}
        self._open: Counter[tuple[str, str, Place]] = Counter()

    def hear(self, host: str, free_slots: dict[str, int]) -> None:
        """Take over the counts of a heartbeat."""
        until_s = asyncio.get_running_loop().time() + CREDIT_TERM_S
        for pool, free in free_slots.items():
            self._credits[pool, host] = _Credit(free, until_s)
            if free > 0:
                self._avoided_until_s.pop((pool, host), None)

    def pick(self, pool: str, place: Place) -> str | None:
        """Return a peer to which one request can go now, and count it as open.

        That is a peer with a free slot. A host that owns no executor of the pool
        also picks owners without one, up to a limit of open requests; they wait
        in the owner's fair queue.
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
            best = self._pick_owner(pool, place, peers, now)
        if best is not None:
            self._open[pool, best, place] += 1
        return best

    def ended(self, pool: str, host: str, place: Place) -> None:
        """A request that :meth:`pick` sent to a peer has ended."""
        self._open[pool, host, place] -= 1
        if not self._open[pool, host, place]:
            del self._open[pool, host, place]

    def refused(self, pool: str, host: str) -> None:
        """A peer did not run a request; prefer others until its next heartbeat."""
        now = asyncio.get_running_loop().time()
        self._credits[pool, host] = _Credit(0, now + CREDIT_TERM_S)
        self._avoided_until_s[pool, host] = now + AVOID_S

    def _free(self, pool: str, host: str, now: float) -> int:
        credit = self._credits.get((pool, host))
        return credit.free if credit is not None and credit.until_s > now else 0

    def _pick_owner(
        self, pool: str, place: Place, peers: list[str], now: float
    ) -> str | None:
        owners = self._slots.owners(pool)
        per_executor = FORWARDS_PER_SLOT * SLOTS_PER_EXECUTOR
        open_to = [
            host
            for host in peers
            if host in owners
            and self._avoided_until_s.get((pool, host), 0.0) <= now
            and self._open[pool, host, place] < per_executor * owners[host]
        ]
        if not open_to:
            return None
        counts = [owners[host] for host in open_to]
        return self._rng.choices(open_to, counts)[0]


class Forwarder:
    """Sends requests to owners and answers their questions for grants."""

    def __init__(
        self, data_centre: str, peers: PeerCalls, membership: MembershipView
    ) -> None:
        self._data_centre = data_centre
        self._peers = peers
        self._membership = membership

    async def run_at(
        self,
        host: str,
        call: RequestCall,
        record: RequestRecord,
        wait_s: float,
        timeout_s: float,
        *,
        idempotent: bool,
    ) -> Outcome | Failed:
        """Run a request at its owner.

        :param wait_s: how long it may wait there for a slot
        :param timeout_s: how long it may run there
        :param idempotent: whether to give up early on an owner that vanished
        """
        forward = record.open_forward(host)
        message = ForwardRequest(call, forward, wait_s)
        reply_s = wait_s + timeout_s + REPLY_MARGIN_S
        task = asyncio.ensure_future(self._call(host, message, reply_s))
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=WATCH_S)
                if not record.run and self._hopeless(host, record):
                    break
                if record.run and idempotent and self._vanished(host):
                    break
        finally:
            record.end_forward()
        reply = task.result() if task.done() else None
        task.cancel()
        return _judge(record, host, reply)

    async def ask_grant(self, host: str, run: str, client_account: str) -> bool:
        """Ask the first entry host whether the copy ``run`` may run now."""
        ask = RequestStatusAsk(run, client_account)
        reply = await self._call(host, ask, GRANT_TIMEOUT_S)
        return (
            isinstance(reply, RequestStatusReply)
            and reply.handle == run
            and reply.outcome is not None
            and reply.outcome.detail == GRANTED
        )

    async def ask_status(
        self, host: str, handle: str, client_account: str
    ) -> Outcome | None:
        """Return what another entry host knows about a handle or run id."""
        ask = RequestStatusAsk(handle, client_account)
        reply = await self._call(host, ask, GRANT_TIMEOUT_S)
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

    def _hopeless(self, host: str, record: RequestRecord) -> bool:
        live = self._membership.entry_hosts(self._data_centre)
        return record.closed or host not in live

    def _vanished(self, host: str) -> bool:
        live = self._membership.entry_hosts(self._data_centre)
        return host not in live and not self._membership.is_leaving(host)


def answer_grant(record: RequestRecord, forward: str, run: str, host: str) -> Outcome:
    """Return the answer to an owner that asks for a grant."""
    if record.grant_forward(forward, run, host):
        return Outcome("unknown", detail=GRANTED)
    return Outcome("not_run", detail="no longer to be run")


def new_run(forward: str, new_id: Callable[[], str]) -> str:
    """Return the id of a new copy of a forward."""
    return run_id(forward, new_id())


def _judge(record: RequestRecord, host: str, reply: Message | None) -> Outcome | Failed:
    """Return what is certain after a forward ended.

    Only the copy that holds the grant can tell anything; without a grant nothing
    ran, whatever the reply says.
    """
    run = record.run
    if not run:
        return Failed.NOT_RUN
    if not isinstance(reply, ForwardReply) or reply.handle != run:
        record.lose(run, host)
        return Failed.LOST
    if reply.outcome.status == "not_run":
        record.take_back(run)
        return Failed.NOT_RUN
    if reply.outcome.status == "unknown":
        record.lose(run, host)
        return Failed.LOST
    return reply.outcome
