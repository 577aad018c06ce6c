"""Hierarchical fair queue: client account, kind of work, caller.

At each level the child with the least weighted service goes first; a child that
was idle starts at its parent's virtual time, so that idle time earns no credit
(start-time fair queueing, Goyal et al., SIGCOMM 1996).
"""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, NamedTuple, TypeVar

from .fair_groups import Entry, Group, Lane, by_queued, newest_droppable

T = TypeVar("T")

RETRY_MIN_S = 1.0
RETRY_MAX_S = 60.0
_SMOOTHING = 0.1  # weight of the newest interval between two takes


class Dropped(NamedTuple, Generic[T]):
    """An item that a full queue gave up; its caller is told "not run".

    :ivar retry_after_s: when a new attempt may succeed, in seconds
    """

    item: T
    client_account: str
    retry_after_s: float


class FairQueue(Generic[T]):
    """A bounded queue that hands out the entry whose owner was served least.

    Usage: :meth:`push` an item; ask :meth:`select` for the next entry; then either
    :meth:`take` it (it runs) or :meth:`park` it (it cannot run now). A parked entry
    also parks the later entries of its caller with the same ``signature``, until
    :meth:`unpark` is called because capacity became free. :meth:`charge` adds the
    observed cost, in any unit, as long as all users of one queue use the same unit.

    An account is preferred over all others while ``first(account)`` holds (it is
    below its guarantee) or while it has urgent entries and ``urgent_first(account)``
    holds (its urgent work is within its share). Call :meth:`refresh` when the answer
    of either may have changed. Below the account, urgent entries precede others.

    All operations take time logarithmic in the number of accounts, kinds and
    callers; only dropping from a full queue looks at every account.

    :param limit: largest number of entries
    :param weight: share of an account in what is not guaranteed, above 0
    """

    def __init__(
        self,
        limit: int,
        *,
        weight: Callable[[str], float] = lambda account: 1.0,
        first: Callable[[str], bool] = lambda account: False,
        urgent_first: Callable[[str], bool] = lambda account: True,
    ) -> None:
        self.limit = limit
        self._weight = weight
        self._first = first
        self._urgent_first = urgent_first
        self._root: Group[T] = Group("", None, 0)
        self._parked: dict[Lane[T], None] = {}
        self._numbers = 0
        self._groups = 0
        self._taken_at: float | None = None
        self._interval_s = RETRY_MIN_S

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
    ) -> tuple[Entry[T], Dropped[T] | None]:
        """Queue an item.

        :param signature: entries of one caller with equal signatures are
            interchangeable for the question whether they can run now
        :param droppable: ``False`` for work that was started before and so can no
            longer be called "not run"; it may exceed the limit
        :returns: the entry, and what the queue dropped to stay within its limit:
            the newest entry of the account, kind and caller furthest above their
            share, which may be the item itself
        """
        self._numbers += 1
        entry = Entry(item, self._numbers, droppable)
        leaf = self._leaf(client_account, kind, caller)
        key = (0 if urgent else 1, signature)
        lane = leaf.lanes.get(key)
        if lane is None:
            lane = leaf.lanes[key] = Lane(leaf, key)
        self._append(lane, entry)
        if self._root.queued <= self.limit:
            return entry, None
        return entry, self._drop()

    def select(self) -> Entry[T] | None:
        """Return the entry that is next in fair order and not parked."""
        group = self._root
        while group.children:
            child = group.top()
            if child is None:
                return None
            group = child
        ready = [
            (lane.key[0], lane.head().number, lane)
            for lane in group.lanes.values()
            if not lane.parked
        ]
        if not ready:
            return None
        return min(ready, key=lambda found: found[:2])[2].head()

    def take(self, entry: Entry[T], now: float) -> T:
        """Remove an entry because it runs; advances virtual time.

        :param now: loop time in seconds, used for the retry advice
        """
        group = entry.lane.group if entry.lane else None
        while group is not None and group.parent is not None:
            group.parent.virtual = max(group.parent.virtual, group.served)
            group = group.parent
        if self._taken_at is not None:
            interval = max(0.0, now - self._taken_at)
            self._interval_s += _SMOOTHING * (interval - self._interval_s)
        self._taken_at = now
        self.remove(entry)
        return entry.item

    def remove(self, entry: Entry[T]) -> None:
        """Remove an entry that will not run; does nothing if it is gone."""
        lane = entry.lane
        if lane is None:
            return
        entry.lane = None
        del lane.entries[entry.number]
        if not lane.entries:
            if not lane.parked:
                self._count_ready(lane, -1)
            self._parked.pop(lane, None)
            del lane.group.lanes[lane.key]
        self._count_queued(lane.group, -1)

    def park(self, entry: Entry[T]) -> None:
        """Skip the entry and its equals until :meth:`unpark`."""
        lane = entry.lane
        if lane is None or lane.parked:
            return
        self._count_ready(lane, -1)
        lane.parked = True
        self._parked[lane] = None

    def unpark(self) -> None:
        """Make every parked entry selectable again."""
        for lane in self._parked:
            lane.parked = False
            self._count_ready(lane, 1)
        self._parked.clear()

    def charge(
        self,
        client_account: str,
        cost: float,
        kind: str | None = None,
        caller: str | None = None,
    ) -> None:
        """Add observed cost; negative to correct an earlier charge.

        Without kind or caller only the levels above are charged.
        """
        account = self._child(self._root, client_account)
        account.weight = self._weight(client_account)
        self._serve(account, cost)
        self.charge_inside(client_account, cost, kind, caller)

    def charge_inside(
        self, client_account: str, cost: float, kind: str | None, caller: str | None
    ) -> None:
        """Charge kind and caller only: the account used its own guarantee."""
        if kind is None:
            return
        account = self._child(self._root, client_account)
        group = self._child(account, kind)
        self._serve(group, cost)
        if caller is not None:
            self._serve(self._child(group, caller), cost)

    def refresh(self, client_account: str) -> None:
        """Reconsider the order of an account after its use or share changed."""
        account = self._root.children.get(client_account)
        if account is not None:
            account.weight = self._weight(client_account)
            self._rekey(account)

    def ahead(self, entry: Entry[T]) -> int:
        """Entries of the same caller that were queued earlier."""
        if entry.lane is None:
            return 0
        lanes = entry.lane.group.lanes.values()
        return sum(number < entry.number for lane in lanes for number in lane.entries)

    def entries(self) -> Iterator[Entry[T]]:
        """Iterate over all entries, in no particular order."""
        for account in self._root.children.values():
            for kind in account.children.values():
                for caller in kind.children.values():
                    for lane in caller.lanes.values():
                        yield from lane.entries.values()

    def _leaf(self, client_account: str, kind: str, caller: str) -> Group[T]:
        account = self._child(self._root, client_account)
        account.weight = self._weight(client_account)
        return self._child(self._child(account, kind), caller)

    def _child(self, parent: Group[T], name: str) -> Group[T]:
        self._groups += 1
        return parent.child(name, self._groups)

    def _append(self, lane: Lane[T], entry: Entry[T]) -> None:
        entry.lane = lane
        lane.entries[entry.number] = entry
        self._count_queued(lane.group, 1)
        if len(lane.entries) == 1:
            self._count_ready(lane, 1)

    def _count_queued(self, leaf: Group[T], step: int) -> None:
        group: Group[T] | None = leaf
        while group is not None:
            if group.parent is not None and group.queued == 0 and step > 0:
                group.served = max(group.served, group.parent.virtual)
            group.queued += step
            group = group.parent

    def _count_ready(self, lane: Lane[T], step: int) -> None:
        group: Group[T] | None = lane.group
        while group is not None:
            group.ready[lane.key[0]] += step
            self._rekey(group)
            group = group.parent

    def _serve(self, group: Group[T], cost: float) -> None:
        group.served += cost / group.weight
        self._rekey(group)

    def _rekey(self, group: Group[T]) -> None:
        if group.parent is not None:
            group.rekey(self._rank(group))

    def _rank(self, group: Group[T]) -> int:
        if group.parent is not self._root:
            return 0 if group.ready[0] else 1
        if self._first(group.name):
            return 0
        return 0 if group.ready[0] and self._urgent_first(group.name) else 1

    def _drop(self) -> Dropped[T] | None:
        """Drop the newest droppable entry of whoever is furthest above its share."""
        accounts = sorted(
            self._root.children.values(),
            key=lambda account: (-account.queued / account.weight, account.order),
        )
        for account in accounts:
            for kind in by_queued(account):
                for caller in by_queued(kind):
                    entry = newest_droppable(caller)
                    if entry is not None:
                        self.remove(entry)
                        wait = self._interval_s * (account.queued + 1)
                        retry = min(RETRY_MAX_S, max(RETRY_MIN_S, wait))
                        return Dropped(entry.item, account.name, retry)
        return None
