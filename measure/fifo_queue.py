"""A FIFO queue, the baseline for the fair queue."""

from collections.abc import Callable, Hashable, Iterator
from typing import Any


class FifoEntry:
    """A queued item."""

    def __init__(self, item: Any) -> None:
        self.item = item


class FifoQueue:
    """FIFO queue with the methods of ``FairQueue`` that the request queue calls.

    An entry that cannot run blocks all entries behind it.
    """

    def __init__(self, limit: int, **shares: Callable[[str], Any]) -> None:
        self.limit = limit
        self._entries: dict[FifoEntry, None] = {}
        self._blocked = False

    def __len__(self) -> int:
        return len(self._entries)

    def push(
        self, item: Any, *owner: str, signature: Hashable, urgent: bool
    ) -> tuple[FifoEntry, None]:
        """Append an item; no entry is dropped to make room for it."""
        entry = FifoEntry(item)
        self._entries[entry] = None
        return entry, None

    def select(self) -> FifoEntry | None:
        """Return the oldest entry, or None while the queue is blocked."""
        return None if self._blocked else next(iter(self._entries), None)

    def take(self, entry: FifoEntry, now: float) -> Any:
        """Remove an entry to run it and return its item."""
        self.remove(entry)
        return entry.item

    def remove(self, entry: FifoEntry) -> None:
        """Remove an entry."""
        self._entries.pop(entry, None)

    def park(self, entry: FifoEntry) -> None:
        """Block the queue until :meth:`unpark`."""
        self._blocked = True

    def unpark(self) -> None:
        """Unblock the queue."""
        self._blocked = False

    def entries(self) -> Iterator[FifoEntry]:
        """Iterate over all entries."""
        return iter(self._entries)

    def charge(self, *cost: object) -> None:
        """Do nothing: the order does not depend on cost."""

    def refresh(self, client_account: str) -> None:
        """Do nothing: the order does not depend on the client account."""
