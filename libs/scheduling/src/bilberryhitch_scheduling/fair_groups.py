"""Tree of client accounts, kinds of work and callers used by the fair queue."""

from collections.abc import Hashable
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")

IDLE_CLEANUP_CHILDREN = 4096  # children of a group above which idle ones are removed
_EXTRA_HEAP_ROWS = 64  # beyond two per child, above which stale rows are removed


class QueueEntry(Generic[T]):
    """A queued item, returned by :meth:`FairQueue.push` and passed back to the queue.

    :ivar item: the item that was pushed
    :ivar number: increases with every push to the queue
    :ivar droppable: whether a full queue may drop it
    :ivar sub_queue: where it is queued, ``None`` once it was taken or removed
    """

    __slots__ = ("droppable", "item", "number", "sub_queue")

    def __init__(self, item: T, number: int, droppable: bool) -> None:
        self.item = item
        self.number = number
        self.droppable = droppable
        self.sub_queue: SubQueue[T] | None = None


class Group(Generic[T]):
    """One account, kind or caller; the root is the group of all accounts.

    :ivar order: number of creation, which breaks ties
    :ivar heap: children with ready entries as (rank, weighted service, order, heap
        version, child); rows with an old heap version are stale
    :ivar queued: number of entries below the group
    :ivar ready: sub-queues below the group that are not parked: urgent ones, others
    :ivar weighted_service: cost charged so far, divided by the weight
    :ivar virtual_time: service at which children that were idle start
    """

    __slots__ = (
        "children",
        "heap",
        "heap_version",
        "name",
        "order",
        "parent",
        "queued",
        "ready",
        "sub_queues",
        "virtual_time",
        "weight",
        "weighted_service",
    )

    def __init__(self, name: str, parent: "Group[T] | None", order: int) -> None:
        self.name = name
        self.parent = parent
        self.order = order
        self.children: dict[str, Group[T]] = {}
        self.sub_queues: dict[tuple[int, Hashable], SubQueue[T]] = {}
        self.heap: list[tuple[int, float, int, int, Group[T]]] = []
        self.queued = 0
        self.ready = [0, 0]
        self.weighted_service = 0.0
        self.virtual_time = 0.0
        self.weight = 1.0
        self.heap_version = 0

    def child(self, name: str, order: int) -> "Group[T]":
        """Return the named child; a new one starts at the group's virtual time."""
        child = self.children.get(name)
        if child is None:
            if len(self.children) >= IDLE_CLEANUP_CHILDREN:
                self._remove_idle_children()
            child = Group(name, self, order)
            child.weighted_service = self.virtual_time
            self.children[name] = child
        return child

    def first_ready(self) -> "Group[T] | None":
        """Return the first child in fair order that has ready entries, or ``None``."""
        while self.heap:
            child = self.heap[0][4]
            if self.heap[0][3] == child.heap_version:
                return child
            heappop(self.heap)
        return None

    def reorder(self, rank: int) -> None:
        """Update the position of this group among its siblings."""
        parent = self.parent
        if parent is None:
            return
        self.heap_version += 1
        if len(parent.heap) > 2 * len(parent.children) + _EXTRA_HEAP_ROWS:
            parent.heap = [row for row in parent.heap if row[3] == row[4].heap_version]
            heapify(parent.heap)
        if self.ready[0] or self.ready[1]:
            row = (rank, self.weighted_service, self.order, self.heap_version, self)
            heappush(parent.heap, row)

    def _remove_idle_children(self) -> None:
        """Remove the half of the idle children that received the least service."""
        idle = [name for name, group in self.children.items() if not group.queued]
        idle.sort(key=lambda name: self.children[name].weighted_service)
        for name in idle[: len(idle) // 2]:
            self.children.pop(name).heap_version += 1


class SubQueue(Generic[T]):
    """Entries of one caller with equal urgency and signature, oldest first."""

    __slots__ = ("entries", "group", "key", "parked")

    def __init__(self, group: Group[T], key: tuple[int, Hashable]) -> None:
        self.group = group
        self.key = key
        self.entries: dict[int, QueueEntry[T]] = {}
        self.parked = False

    def head(self) -> QueueEntry[T]:
        """Return the oldest entry."""
        return next(iter(self.entries.values()))


def by_queue_length(group: Group[T]) -> list[Group[T]]:
    """Return the children, longest queue first."""
    return sorted(group.children.values(), key=lambda g: (-g.queued, g.order))


def newest_droppable(caller: Group[T]) -> QueueEntry[T] | None:
    """Return the newest droppable entry of a caller, or ``None``."""
    newest: QueueEntry[T] | None = None
    for sub_queue in caller.sub_queues.values():
        for number in reversed(sub_queue.entries):
            entry = sub_queue.entries[number]
            if entry.droppable:
                if newest is None or newest.number < number:
                    newest = entry
                break
    return newest
