"""Fair queue of the requests for one pool, with slots here or at peers."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from bilberryhitch_model import Pool
from bilberryhitch_scheduling import FairQueue, QueueEntry

from .queue_key import QueueKey
from .slots import ExecutorSlots, SlotLease

# Older usage is ignored, so that an account is not penalised for slots that it used
# while no other account needed them.
USAGE_WINDOW_S = 10.0
INITIAL_ESTIMATE_S = 0.1
ESTIMATE_SMOOTHING = 0.1
USAGE_EPSILON_S = 1e-9  # below this a sum of usage is a rounding error


class PeerTarget(NamedTuple):
    """The request is forwarded to this entry host."""

    host: str


class NoSlot(NamedTuple):
    """The request left the queue without a slot.

    :param retry_after_s: suggested wait before the caller retries
    """

    reason: str
    retry_after_s: float = 1.0


Assignment = SlotLease | PeerTarget | NoSlot


class QueuedRequest:
    """A request in the queue.

    :param may_forward: false for a request that another entry host forwarded
    :ivar assignment: set when the request leaves the queue
    :ivar entry: its entry in the fair queue, once it was queued
    """

    def __init__(self, queue_key: QueueKey, *, may_forward: bool) -> None:
        self.queue_key = queue_key
        self.may_forward = may_forward
        self.assignment: asyncio.Future[Assignment] = asyncio.Future()
        self.entry: QueueEntry[QueuedRequest] | None = None


class _UsageSample(NamedTuple):
    """Slot seconds of an account that count as recent usage until ``until_s``."""

    until_s: float
    client_account: str
    cost_s: float
    remote: bool


class RequestQueue:
    """Queues the requests for a pool and assigns slots to them in fair order.

    :param select_peer: takes a pool name and a queue key and returns a peer for one
        request, or ``None`` if no peer can take it
    """

    def __init__(
        self,
        pool: Pool,
        slots: ExecutorSlots,
        select_peer: Callable[[str, QueueKey], str | None],
    ) -> None:
        self._pool = pool
        self._slots = slots
        self._select_peer = select_peer
        self._weights: dict[str, float] = {}
        self._recent_usage_s: defaultdict[str, float] = defaultdict(float)
        self._waiting_counts: defaultdict[str, int] = defaultdict(int)
        self._usage_samples: deque[_UsageSample] = deque()
        self._estimates: dict[tuple[str, str], float] = {}
        self._queue: FairQueue[QueuedRequest] = FairQueue(
            pool.max_queued, weight=self._weight, urgent_first=self._within_share
        )
        self.update_pool(pool)

    def __len__(self) -> int:
        return len(self._queue)

    def update_pool(self, pool: Pool) -> None:
        """Apply the current configuration of the pool."""
        self._pool = pool
        self._queue.limit = pool.max_queued
        weights = {share.client_account: share.weight for share in pool.shares}
        changed, self._weights = weights != self._weights, weights
        if changed:
            for account in weights:
                self._queue.refresh(account)

    async def wait(self, queued: QueuedRequest) -> Assignment:
        """Queue a request and wait for its assignment.

        Cancellation and :meth:`withdraw` remove the request from the queue. The
        caller must release a lease that it receives.
        """
        queue_key = queued.queue_key
        account = queue_key.client_account
        self._waiting_counts[account] += 1
        queued.entry, dropped = self._queue.push(
            queued,
            queue_key.client_account,
            queue_key.kind,
            queue_key.caller,
            signature=(queue_key.urgency == "low", queued.may_forward),
            urgent=queue_key.urgency == "urgent",
        )
        if dropped is not None:
            _assign(dropped.item, NoSlot("queue is full", dropped.retry_after_s))
        self.assign_slots()
        try:
            return await queued.assignment
        except asyncio.CancelledError:
            self.withdraw(queued, "caller left")
            self._release_unused_slot(queued)
            raise
        finally:
            self._waiting_counts[account] -= 1
            if not self._waiting_counts[account]:
                del self._waiting_counts[account]

    def withdraw(self, queued: QueuedRequest, reason: str) -> None:
        """Remove a request from the queue unless it already has an assignment."""
        if queued.entry is not None:
            self._queue.remove(queued.entry)
        if not queued.assignment.done():
            queued.assignment.set_result(NoSlot(reason))

    def _release_unused_slot(self, queued: QueuedRequest) -> None:
        """Release the slot assigned to a request that was cancelled meanwhile."""
        if queued.assignment.cancelled():
            return
        assignment = queued.assignment.result()
        if isinstance(assignment, SlotLease):
            self.refund_estimate(queued.queue_key)
            assignment.release()

    def assign_slots(self) -> None:
        """Assign free slots here and at peers to requests in fair order."""
        if not len(self._queue):
            return
        self._queue.unpark()
        while (entry := self._queue.select()) is not None:
            assignment = self._assignment_for(entry.item)
            if assignment is None:
                if entry.item.may_forward and self._slots.owns_any(self._pool.name):
                    return
                # The request waits for a slot here or for the end of a forward with
                # its queue key. Requests behind it may still be forwarded.
                self._queue.park(entry)
                continue
            queued = self._queue.take(entry, asyncio.get_running_loop().time())
            if isinstance(assignment, SlotLease):
                self.charge(queued.queue_key, self._estimate(queued.queue_key))
            _assign(queued, assignment)

    def refuse_forwarded(self, reason: str) -> None:
        """Return the queued requests of other entry hosts to them as not run."""
        for entry in list(self._queue.entries()):
            if not entry.item.may_forward:
                self.withdraw(entry.item, reason)

    def charge_observed(self, queue_key: QueueKey, cost_s: float) -> None:
        """Replace the estimate charged at assignment by the observed cost."""
        key = (queue_key.client_account, queue_key.kind)
        estimate = self._estimate(queue_key)
        self.charge(queue_key, cost_s - estimate)
        self._estimates[key] = estimate + ESTIMATE_SMOOTHING * (cost_s - estimate)

    def refund_estimate(self, queue_key: QueueKey) -> None:
        """Refund the estimate of a request that was not sent to an executor."""
        self.charge(queue_key, -self._estimate(queue_key))

    def charge(self, queue_key: QueueKey, cost_s: float) -> None:
        """Charge slot seconds used at this host."""
        account = queue_key.client_account
        self._queue.charge(account, cost_s, queue_key.kind, queue_key.caller)
        self._record_usage(account, cost_s, remote=False)

    def charge_remote(self, client_account: str, cost_s: float) -> None:
        """Charge slot seconds used at another entry host."""
        self._queue.charge(client_account, cost_s)
        self._record_usage(client_account, cost_s, remote=True)

    def expire_usage(self) -> None:
        """Remove usage older than the window.

        Usage at other hosts is also refunded in the fair queue, whose virtual time
        does not advance with service at other hosts.
        """
        now = asyncio.get_running_loop().time()
        while self._usage_samples and self._usage_samples[0].until_s <= now:
            sample = self._usage_samples.popleft()
            self._remove_sample(sample)
            if sample.remote:
                self._queue.charge(sample.client_account, -sample.cost_s)

    def _remove_sample(self, sample: _UsageSample) -> None:
        left_s = self._recent_usage_s[sample.client_account] - sample.cost_s
        if abs(left_s) < USAGE_EPSILON_S:
            del self._recent_usage_s[sample.client_account]
            return
        self._recent_usage_s[sample.client_account] = left_s

    def _assignment_for(self, queued: QueuedRequest) -> Assignment | None:
        lease = self._slots.acquire(self._pool.name)
        if lease is not None:
            return lease
        if queued.may_forward:
            host = self._select_peer(self._pool.name, queued.queue_key)
            return None if host is None else PeerTarget(host)
        if not self._slots.owns_any(self._pool.name):
            return NoSlot("no executor of the pool here")
        return None

    def _record_usage(self, account: str, cost_s: float, *, remote: bool) -> None:
        until_s = asyncio.get_running_loop().time() + USAGE_WINDOW_S
        self._usage_samples.append(_UsageSample(until_s, account, cost_s, remote))
        self._recent_usage_s[account] += cost_s
        self._queue.refresh(account)

    def _weight(self, account: str) -> float:
        return self._weights.get(account, 1.0)

    def _within_share(self, account: str) -> bool:
        """Return whether an account's recent usage is within its weighted share.

        The share is taken among the active accounts: those with recent usage or
        waiting requests.
        """
        used = self._recent_usage_s
        active = {*self._waiting_counts, account}
        active.update(name for name, used_s in used.items() if used_s > 0.0)
        total_s = sum(used[name] for name in active if name in used)
        weights = sum(self._weight(name) for name in active)
        return used.get(account, 0.0) * weights <= self._weight(account) * total_s

    def _estimate(self, queue_key: QueueKey) -> float:
        key = (queue_key.client_account, queue_key.kind)
        return self._estimates.get(key, INITIAL_ESTIMATE_S)


def _assign(queued: QueuedRequest, assignment: Assignment) -> None:
    if not queued.assignment.done():
        queued.assignment.set_result(assignment)
        return
    if isinstance(assignment, SlotLease):
        assignment.release()
