"""A plain queue to compare the fair queue with."""

from collections.abc import Callable, Hashable, Iterator
from typing import Any


class FifoEntry:
    """A queued item."""

    def __init__(self, item: Any) -> None:
        self.item = item


class FifoQueue:
    """First in, first out, with the interface of ``FairQueue`` that is used.

    An entry that cannot run now holds up all behind it.
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
        """Queue an item; nothing is dropped."""
        entry = FifoEntry(item)
        self._entries[entry] = None
        return entry, None

    def select(self) -> FifoEntry | None:
        """Return the oldest entry, unless it cannot run now."""
        return None if self._blocked else next(iter(self._entries), None)

    def take(self, entry: FifoEntry, now: float) -> Any:
        """Remove an entry because it runs."""
        self.remove(entry)
        return entry.item

    def remove(self, entry: FifoEntry) -> None:
        """Remove an entry."""
        self._entries.pop(entry, None)

    def park(self, entry: FifoEntry) -> None:
        """Hold the queue up until :meth:`unpark`."""
        self._blocked = True

    def unpark(self) -> None:
        """Try the oldest entry again."""
        self._blocked = False

    def entries(self) -> Iterator[FifoEntry]:
        """Iterate over all entries."""
        return iter(self._entries)

    def charge(self, *cost: object) -> None:
        """Do nothing: cost plays no part."""

    def refresh(self, client_account: str) -> None:
        """Do nothing: accounts play no part."""
