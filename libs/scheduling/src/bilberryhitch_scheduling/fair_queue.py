"""Hierarchical fair queue with the levels client account, kind of work and caller.

At each level the child with the least weighted service goes first. A child that was
idle starts at its parent's virtual time, so that idle time earns no credit
(start-time fair queueing; Goyal et al., SIGCOMM 1996).
"""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, NamedTuple, TypeVar

from .fair_groups import Group, QueueEntry, SubQueue, by_queue_length, newest_droppable

T = TypeVar("T")

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
_INTERVAL_SMOOTHING = 0.1  # weight of the newest interval in the moving average


class Dropped(NamedTuple, Generic[T]):
    """An item that a full queue dropped; its caller is told that it was not run.

    :ivar retry_after_s: advised delay before a retry, in seconds
    """

    item: T
    client_account: str
    retry_after_s: float


class FairQueue(Generic[T]):
    """A bounded queue that selects the entry whose owner received the least service.

    Usage: :meth:`push` an item, and call :meth:`select` for the next entry. Then
    either :meth:`take` the entry, if it can run, or :meth:`park` it, if it cannot run
    now. Parking also parks the other entries of the caller with the same urgency and
    ``signature``, until :meth:`unpark` is called because capacity became free.
    :meth:`charge` adds the observed cost, in a unit that is the same for all entries
    of a queue.

    An account goes before all others while ``below_guarantee(account)`` holds, or
    while it has urgent entries and ``urgent_first(account)`` holds. Call
    :meth:`refresh` when the result of either may have changed. Within an account,
    urgent entries go before others.

    Operations take time logarithmic in the number of accounts, kinds and callers,
    except that dropping from a full queue scans all accounts.

    :param limit: largest number of entries
    :param weight: fair-share weight of an account, above 0
    :param below_guarantee: whether an account uses less than its guarantee
    :param urgent_first: whether the urgent work of an account is within its fair
        share
    """

    def __init__(
        self,
        limit: int,
        *,
        weight: Callable[[str], float] = lambda account: 1.0,
        below_guarantee: Callable[[str], bool] = lambda account: False,
        urgent_first: Callable[[str], bool] = lambda account: True,
    ) -> None:
        self.limit = limit
        self._weight = weight
        self._below_guarantee = below_guarantee
        self._urgent_first = urgent_first
        self._root: Group[T] = Group("", None, 0)
        self._parked: dict[SubQueue[T], None] = {}
        self._last_entry_number = 0
        self._groups_created = 0
        self._last_taken_at: float | None = None
        self._take_interval_s = MIN_RETRY_AFTER_S

    def __len__(self) -> int:
        return self._root.queued

    def push(
        self,
        item: T,
        client_account: str,
        kind: str,
        caller: str,
        *,
        signature: Hashable = None,
        urgent: bool = False,
        droppable: bool = True,
    ) -> tuple[QueueEntry[T], Dropped[T] | None]:
        """Queue an item.

        :param signature: entries of one caller with equal signatures either all can
            run now or none can
        :param droppable: ``False`` for work that was started before, which can no
            longer be reported as not run; such entries may exceed the limit
        :returns: the entry, and what the queue dropped to stay within its limit, if
            anything: an entry of the account furthest above its share, of the kind and
            caller with most entries, the newest one that is droppable. It may be the
            new entry itself.
        """
        self._last_entry_number += 1
        entry = QueueEntry(item, self._last_entry_number, droppable)
        caller_group = self._caller_group(client_account, kind, caller)
        key = (0 if urgent else 1, signature)
        sub_queue = caller_group.sub_queues.get(key)
        if sub_queue is None:
            sub_queue = caller_group.sub_queues[key] = SubQueue(caller_group, key)
        self._append(sub_queue, entry)
        if self._root.queued <= self.limit:
            return entry, None
        return entry, self._drop()

    def select(self) -> QueueEntry[T] | None:
        """Return the next entry in fair order that is not parked, or ``None``."""
        group = self._root
        while group.children:
            child = group.first_ready()
            if child is None:
                return None
            group = child
        ready = [
            (sub_queue.key[0], sub_queue.head().number, sub_queue)
            for sub_queue in group.sub_queues.values()
            if not sub_queue.parked
        ]
        if not ready:
            return None
        return min(ready, key=lambda found: found[:2])[2].head()

    def take(self, entry: QueueEntry[T], now: float) -> T:
        """Remove an entry that starts to run, and advance the virtual time.

        :param now: loop time in seconds, used for ``retry_after_s``
        :returns: the item of the entry
        """
        group = entry.sub_queue.group if entry.sub_queue else None
        while group is not None and group.parent is not None:
            group.parent.virtual_time = max(
                group.parent.virtual_time, group.weighted_service
            )
            group = group.parent
        if self._last_taken_at is not None:
            interval = max(0.0, now - self._last_taken_at)
            self._take_interval_s += _INTERVAL_SMOOTHING * (
                interval - self._take_interval_s
            )
        self._last_taken_at = now
        self.remove(entry)
        return entry.item

    def remove(self, entry: QueueEntry[T]) -> None:
        """Remove an entry; does nothing if it was removed already."""
        sub_queue = entry.sub_queue
        if sub_queue is None:
            return
        entry.sub_queue = None
        del sub_queue.entries[entry.number]
        if not sub_queue.entries:
            if not sub_queue.parked:
                self._count_ready(sub_queue, -1)
            self._parked.pop(sub_queue, None)
            del sub_queue.group.sub_queues[sub_queue.key]
        self._count_queued(sub_queue.group, -1)

    def park(self, entry: QueueEntry[T]) -> None:
        """Skip the entry and those equal to it until :meth:`unpark`."""
        sub_queue = entry.sub_queue
        if sub_queue is None or sub_queue.parked:
            return
        self._count_ready(sub_queue, -1)
        sub_queue.parked = True
        self._parked[sub_queue] = None

    def unpark(self) -> None:
        """Make every parked entry selectable again."""
        for sub_queue in self._parked:
            sub_queue.parked = False
            self._count_ready(sub_queue, 1)
        self._parked.clear()

    def charge(
        self,
        client_account: str,
        cost: float,
        kind: str | None = None,
        caller: str | None = None,
    ) -> None:
        """Add observed cost; a negative cost corrects an earlier charge.

        Without a kind only the account is charged, without a caller only the account
        and the kind.
        """
        account = self._child(self._root, client_account)
        account.weight = self._weight(client_account)
        self._add_service(account, cost)
        self.charge_below_account(client_account, cost, kind, caller)

    def charge_below_account(
        self, client_account: str, cost: float, kind: str | None, caller: str | None
    ) -> None:
        """Charge the kind and the caller, but not the account.

        For usage inside the account's own guarantee.
        """
        if kind is None:
            return
        account = self._child(self._root, client_account)
        group = self._child(account, kind)
        self._add_service(group, cost)
        if caller is not None:
            self._add_service(self._child(group, caller), cost)

    def refresh(self, client_account: str) -> None:
        """Update the position of an account after its usage or weight changed."""
        account = self._root.children.get(client_account)
        if account is not None:
            account.weight = self._weight(client_account)
            self._reorder(account)

    def count_ahead(self, entry: QueueEntry[T]) -> int:
        """Return the number of earlier entries of the same caller."""
        if entry.sub_queue is None:
            return 0
        sub_queues = entry.sub_queue.group.sub_queues.values()
        return sum(
            number < entry.number
            for sub_queue in sub_queues
            for number in sub_queue.entries
        )

    def entries(self) -> Iterator[QueueEntry[T]]:
        """Yield all entries, in no particular order."""
        for account in self._root.children.values():
            for kind in account.children.values():
                for caller in kind.children.values():
                    for sub_queue in caller.sub_queues.values():
                        yield from sub_queue.entries.values()

    def _caller_group(self, client_account: str, kind: str, caller: str) -> Group[T]:
        account = self._child(self._root, client_account)
        account.weight = self._weight(client_account)
        return self._child(self._child(account, kind), caller)

    def _child(self, parent: Group[T], name: str) -> Group[T]:
        self._groups_created += 1
        return parent.child(name, self._groups_created)

    def _append(self, sub_queue: SubQueue[T], entry: QueueEntry[T]) -> None:
        entry.sub_queue = sub_queue
        sub_queue.entries[entry.number] = entry
        self._count_queued(sub_queue.group, 1)
        if len(sub_queue.entries) == 1:
            self._count_ready(sub_queue, 1)

    def _count_queued(self, caller_group: Group[T], step: int) -> None:
        group: Group[T] | None = caller_group
        while group is not None:
            if group.parent is not None and group.queued == 0 and step > 0:
                group.weighted_service = max(
                    group.weighted_service, group.parent.virtual_time
                )
            group.queued += step
            group = group.parent

    def _count_ready(self, sub_queue: SubQueue[T], step: int) -> None:
        group: Group[T] | None = sub_queue.group
        while group is not None:
            group.ready[sub_queue.key[0]] += step
            self._reorder(group)
            group = group.parent

    def _add_service(self, group: Group[T], cost: float) -> None:
        group.weighted_service += cost / group.weight
        self._reorder(group)

    def _reorder(self, group: Group[T]) -> None:
        if group.parent is not None:
            group.reorder(self._rank(group))

    def _rank(self, group: Group[T]) -> int:
        if group.parent is not self._root:
            return 0 if group.ready[0] else 1
        if self._below_guarantee(group.name):
            return 0
        return 0 if group.ready[0] and self._urgent_first(group.name) else 1

    def _drop(self) -> Dropped[T] | None:
        """Drop the newest droppable entry of the account furthest above its share."""
        accounts = sorted(
            self._root.children.values(),
            key=lambda account: (-account.queued / account.weight, account.order),
        )
        for account in accounts:
            for kind in by_queue_length(account):
                for caller in by_queue_length(kind):
                    entry = newest_droppable(caller)
                    if entry is not None:
                        self.remove(entry)
                        wait_s = self._take_interval_s * (account.queued + 1)
                        retry_after_s = min(
                            MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)
                        )
                        return Dropped(entry.item, account.name, retry_after_s)
        return None
