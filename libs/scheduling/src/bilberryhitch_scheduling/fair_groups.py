"""The tree of accounts, kinds and callers behind the fair queue."""

from collections.abc import Hashable
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")

IDLE_MAX = 4096  # children of one group, beyond which idle ones are forgotten
_HEAP_SLACK = 64  # outdated heap rows tolerated before the heap is rebuilt


class Entry(Generic[T]):
    """A queued item; returned by :meth:`FairQueue.push`, needed to take it.

    :ivar item: what the user of the queue pushed
    :ivar droppable: whether a full queue may drop it
    """

    __slots__ = ("droppable", "item", "lane", "number")

    def __init__(self, item: T, number: int, droppable: bool) -> None:
        self.item = item
        self.number = number
        self.droppable = droppable
        self.lane: Lane[T] | None = None


class Group(Generic[T]):
    """One account, kind or caller; the root is the group of all accounts."""

    __slots__ = (
        "children",
        "heap",
        "lanes",
        "name",
        "order",
        "parent",
        "queued",
        "ready",
        "served",
        "stamp",
        "virtual",
        "weight",
    )

    def __init__(self, name: str, parent: "Group[T] | None", order: int) -> None:
        self.name = name
        self.parent = parent
        self.order = order
        self.children: dict[str, Group[T]] = {}
        self.lanes: dict[tuple[int, Hashable], Lane[T]] = {}
        self.heap: list[tuple[int, float, int, int, Group[T]]] = []
        self.queued = 0
        self.ready = [0, 0]
        self.served = 0.0
        self.virtual = 0.0
        self.weight = 1.0
        self.stamp = 0

    def child(self, name: str, order: int) -> "Group[T]":
        """Return the named child; a new one starts at the virtual time."""
        child = self.children.get(name)
        if child is None:
            if len(self.children) >= IDLE_MAX:
                self._forget_idle()
            child = Group(name, self, order)
            child.served = self.virtual
            self.children[name] = child
        return child

    def top(self) -> "Group[T] | None":
        """Return the child that goes first among those with ready entries."""
        while self.heap:
            child = self.heap[0][4]
            if self.heap[0][3] == child.stamp:
                return child
            heappop(self.heap)
        return None

    def rekey(self, rank: int) -> None:
        """Sort this group anew among its siblings."""
        parent = self.parent
        if parent is None:
            return
        self.stamp += 1
        if len(parent.heap) > 2 * len(parent.children) + _HEAP_SLACK:
            parent.heap = [row for row in parent.heap if row[3] == row[4].stamp]
            heapify(parent.heap)
        if self.ready[0] or self.ready[1]:
            row = (rank, self.served, self.order, self.stamp, self)
            heappush(parent.heap, row)

    def _forget_idle(self) -> None:
        """Forget the least served half of the children that have no entries."""
        idle = [name for name, group in self.children.items() if not group.queued]
        idle.sort(key=lambda name: self.children[name].served)
        for name in idle[: len(idle) // 2]:
            self.children.pop(name).stamp += 1


class Lane(Generic[T]):
    """Entries of one caller that are equal for placement, oldest first."""

    __slots__ = ("entries", "group", "key", "parked")

    def __init__(self, group: Group[T], key: tuple[int, Hashable]) -> None:
        self.group = group
        self.key = key
        self.entries: dict[int, Entry[T]] = {}
        self.parked = False

    def head(self) -> Entry[T]:
        """Return the oldest entry."""
        return next(iter(self.entries.values()))


def by_queued(group: Group[T]) -> list[Group[T]]:
    """Return the children, the one with the longest queue first."""
    return sorted(group.children.values(), key=lambda g: (-g.queued, g.order))


def newest_droppable(caller: Group[T]) -> Entry[T] | None:
    """Return the newest entry of a caller that a full queue may drop."""
    newest: Entry[T] | None = None
    for lane in caller.lanes.values():
        for number in reversed(lane.entries):
            entry = lane.entries[number]
            if entry.droppable:
                if newest is None or newest.number < number:
                    newest = entry
                break
    return newest
