"""Waiting requests of one pool, served fairly from free slots here or at peers."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from bilberryhitch_model import Pool
from bilberryhitch_scheduling import FairQueue, QueueEntry

from .places import Place
from .slots import ExecutorSlots, Lease

# Usage older than this no longer counts against an account, so that it is not
# held back for slots that nobody else wanted.
USAGE_WINDOW_S = 10.0
FIRST_ESTIMATE_S = 0.1
SMOOTHING = 0.1
NO_USAGE_S = 1e-9  # absorbs rounding of sums


class PeerTarget(NamedTuple):
    """Send the request to this entry host."""

    host: str


class Refusal(NamedTuple):
    """The request gets no slot here."""

    reason: str
    retry_after_s: float = 1.0


Target = Lease | PeerTarget | Refusal


class Ticket:
    """One waiting request; ``target`` is set when its turn comes.

    :param may_forward: false for a request that came from another entry host
    """

    def __init__(self, place: Place, *, may_forward: bool) -> None:
        self.place = place
        self.may_forward = may_forward
        self.target: asyncio.Future[Target] = asyncio.Future()
        self.entry: QueueEntry[Ticket] | None = None


class _Used(NamedTuple):
    """Slot seconds of an account that count until ``until_s``."""

    until_s: float
    client_account: str
    cost_s: float
    remote: bool


class WaitingRequests:
    """The fair queue of a pool and its pump.

    :param pick_peer: returns a peer to which one request can go now
    """

    def __init__(
        self,
        pool: Pool,
        slots: ExecutorSlots,
        pick_peer: Callable[[str, Place], str | None],
    ) -> None:
        self._pool = pool
        self._slots = slots
        self._pick_peer = pick_peer
        self._weights: dict[str, float] = {}
        self._recent: defaultdict[str, float] = defaultdict(float)
        self._present: defaultdict[str, int] = defaultdict(int)
        self._used: deque[_Used] = deque()
        self._estimates: dict[tuple[str, str], float] = {}
        self._queue: FairQueue[Ticket] = FairQueue(
            pool.max_queued, weight=self._weight, urgent_first=self._within_share
        )
        self.set_pool(pool)

    def __len__(self) -> int:
        return len(self._queue)

    def set_pool(self, pool: Pool) -> None:
        """Take over the row now in force."""
        self._pool = pool
        self._queue.limit = pool.max_queued
        weights = {share.client_account: share.weight for share in pool.shares}
        changed, self._weights = weights != self._weights, weights
        if changed:
            for account in weights:
                self._queue.refresh(account)

    async def wait(self, ticket: Ticket) -> Target:
        """Wait for the request's turn.

        Cancellation or :meth:`withdraw` takes the request out. Whoever gets a
        lease must release it.
        """
        place = ticket.place
        account = place.client_account
        self._present[account] += 1
        ticket.entry, dropped = self._queue.push(
            ticket,
            place.client_account,
            place.kind,
            place.caller,
            signature=(place.urgency == "low", ticket.may_forward),
            urgent=place.urgency == "urgent",
        )
        if dropped is not None:
            _give(dropped.item, Refusal("queue is full", dropped.retry_after_s))
        self.pump()
        try:
            return await ticket.target
        except asyncio.CancelledError:
            self.withdraw(ticket, "caller left")
            self._give_back(ticket)
            raise
        finally:
            self._present[account] -= 1
            if not self._present[account]:
                del self._present[account]

    def withdraw(self, ticket: Ticket, reason: str) -> None:
        """Take a request out, unless its turn has come already."""
        if ticket.entry is not None:
            self._queue.remove(ticket.entry)
        if not ticket.target.done():
            ticket.target.set_result(Refusal(reason))

    def _give_back(self, ticket: Ticket) -> None:
        """Return the slot of a request that is no longer there to use it."""
        if ticket.target.cancelled():
            return
        target = ticket.target.result()
        if isinstance(target, Lease):
            self.unused(ticket.place)
            target.release()

    def pump(self) -> None:
        """Give free slots to the requests that are next."""
        if not len(self._queue):
            return
        self._queue.unpark()
        while (entry := self._queue.select()) is not None:
            target = self._target_for(entry.item)
            if target is None:
                if entry.item.may_forward and self._slots.owns_any(self._pool.name):
                    return
                # It waits for a slot here, or for its caller's forwards to end;
                # requests behind it may go to a peer.
                self._queue.park(entry)
                continue
            ticket = self._queue.take(entry, asyncio.get_running_loop().time())
            if isinstance(target, Lease):
                self.charge(ticket.place, self._estimate(ticket.place))
            _give(ticket, target)

    def refuse_forwarded(self, reason: str) -> None:
        """Send requests of other entry hosts back to them."""
        for entry in list(self._queue.entries()):
            if not entry.item.may_forward:
                self.withdraw(entry.item, reason)

    def finished(self, place: Place, cost_s: float) -> None:
        """Replace the estimate charged at the start by the observed cost."""
        key = (place.client_account, place.kind)
        estimate = self._estimate(place)
        self.charge(place, cost_s - estimate)
        self._estimates[key] = estimate + SMOOTHING * (cost_s - estimate)

    def unused(self, place: Place) -> None:
        """Take back the estimate of a request that was not sent after all."""
        self.charge(place, -self._estimate(place))

    def charge(self, place: Place, cost_s: float) -> None:
        """Count slot seconds that this host served."""
        account = place.client_account
        self._queue.charge(account, cost_s, place.kind, place.caller)
        self._note_used(account, cost_s, remote=False)

    def charge_remote(self, client_account: str, cost_s: float) -> None:
        """Count slot seconds that another entry host served."""
        self._queue.charge(client_account, cost_s)
        self._note_used(client_account, cost_s, remote=True)

    def expire_usage(self) -> None:
        """Forget usage older than the window.

        Usage of other hosts is taken back from the queue: its virtual time does
        not advance with service given elsewhere.
        """
        now = asyncio.get_running_loop().time()
        while self._used and self._used[0].until_s <= now:
            used = self._used.popleft()
            self._forget(used)
            if used.remote:
                self._queue.charge(used.client_account, -used.cost_s)

    def _forget(self, used: _Used) -> None:
        left_s = self._recent[used.client_account] - used.cost_s
        if abs(left_s) < NO_USAGE_S:
            del self._recent[used.client_account]
            return
        self._recent[used.client_account] = left_s

    def _target_for(self, ticket: Ticket) -> Target | None:
        lease = self._slots.take(self._pool.name)
        if lease is not None:
            return lease
        if ticket.may_forward:
            host = self._pick_peer(self._pool.name, ticket.place)
            return None if host is None else PeerTarget(host)
        if not self._slots.owns_any(self._pool.name):
            return Refusal("no executor of the pool here")
        return None

    def _note_used(self, account: str, cost_s: float, *, remote: bool) -> None:
        until_s = asyncio.get_running_loop().time() + USAGE_WINDOW_S
        self._used.append(_Used(until_s, account, cost_s, remote))
        self._recent[account] += cost_s
        self._queue.refresh(account)

    def _weight(self, account: str) -> float:
        return self._weights.get(account, 1.0)

    def _within_share(self, account: str) -> bool:
        """Return whether recent usage is within the share of active accounts.

        Active are accounts that used slots recently or wait for some.
        """
        used = self._recent
        active = {*self._present, account}
        active.update(name for name, used_s in used.items() if used_s > 0.0)
        total_s = sum(used[name] for name in active if name in used)
        weights = sum(self._weight(name) for name in active)
        return used.get(account, 0.0) * weights <= self._weight(account) * total_s

    def _estimate(self, place: Place) -> float:
        key = (place.client_account, place.kind)
        return self._estimates.get(key, FIRST_ESTIMATE_S)


def _give(ticket: Ticket, target: Target) -> None:
    if not ticket.target.done():
        ticket.target.set_result(target)
        return
    if isinstance(target, Lease):
        target.release()
