"""Makes store calls through other hosts while the store refuses this one.

The store may turn some hosts away, or be unreachable for them alone, while it serves
the others. A call that certainly had no effect is made again through a host that
reached the store a short time ago.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from .errors import StoreRefused
from .rows import (
    ExpectedRevision,
    RowRemoval,
    RowSnapshot,
    RowWrite,
    Store,
)

# Relays tried for one call: in an outage of the whole store every one of them refuses.
MAX_RELAYS = 2


Result = TypeVar("Result")


class RelayingStore:
    """A store that is called directly or, after a refusal, through relays.

    :param direct: makes calls from this host
    :param relays: returns the relays to try, the preferred one first
    """

    def __init__(
        self, direct: Store, relays: Callable[[], Awaitable[Sequence[Store]]]
    ) -> None:
        self._direct = direct
        self._relays = relays

    async def read(
        self,
        table: str,
        first: str = "",
        last: str = "",
        *,
        partition: str = "",
        timeout_s: float,
    ) -> RowSnapshot:
        """Read rows; see ``Store.read``."""
        return await self._call(
            lambda store: store.read(
                table, first, last, partition=partition, timeout_s=timeout_s
            )
        )

    async def watch(self, table: str, after: int, wait_s: float) -> RowSnapshot:
        """Wait for changes of a table; see ``Store.watch``."""
        return await self._call(lambda store: store.watch(table, after, wait_s))

    async def commit(
        self,
        expected: Sequence[ExpectedRevision],
        writes: Sequence[RowWrite],
        removals: Sequence[RowRemoval] = (),
        *,
        partition: str = "",
        timeout_s: float,
    ) -> int:
        """Apply changes atomically; see ``Store.commit``."""
        return await self._call(
            lambda store: store.commit(
                expected, writes, removals, partition=partition, timeout_s=timeout_s
            )
        )

    async def _call(self, call: Callable[[Store], Awaitable[Result]]) -> Result:
        try:
            return await call(self._direct)
        except StoreRefused as error:
            refusal = error
        for relay in (await self._relays())[:MAX_RELAYS]:
            try:
                return await call(relay)
            except StoreRefused:
                continue
        raise refusal
