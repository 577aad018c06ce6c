"""Fault injection for the table service."""

import asyncio
from collections.abc import Sequence

from bilberryhitch_model.errors import (
    StoreAnswerLost,
    StoreConflict,
    StoreUnavailable,
)
from bilberryhitch_platform import Expect, Page, Row, TableService, Write
from expression import Result


class FaultyTables:
    """Wrapper of a table service that injects faults into the calls of one client.

    :ivar down: every call fails without effect
    :ivar slow_s: delay before every call, in seconds
    :ivar lose_answers: number of the next transactions that are applied and then fail
        as if their answer was lost
    :ivar reads: number of reads that reached the store
    :ivar writes: number of transactions that reached the store
    """

    def __init__(self, inner: TableService) -> None:
        self._inner = inner
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0
        self._unpaused = asyncio.Event()
        self._unpaused.set()

    @property
    def paused(self) -> bool:
        """Whether calls wait before they reach the store."""
        return not self._unpaused.is_set()

    def pause(self) -> None:
        """Let every call wait until :meth:`resume`, as if the process was stopped."""
        self._unpaused.clear()

    def resume(self) -> None:
        """Resume the waiting calls."""
        self._unpaused.set()

    async def get(self, key: str) -> Row | None:
        """Return the row or ``None``."""
        await self._inject_faults("get")
        self.reads += 1
        return await self._inner.get(key)

    async def scan(
        self, prefix: str, since: int = 0, after: str = "", limit: int = 1000
    ) -> Page:
        """Return one page of rows."""
        await self._inject_faults("scan")
        self.reads += 1
        return await self._inner.scan(prefix, since, after, limit)

    async def transact(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        """Apply all writes or none.

        :raises StoreAnswerLost: the transaction was applied; its answer is lost
        """
        await self._inject_faults("transact")
        self.writes += 1
        result = await self._inner.transact(expects, writes)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreAnswerLost("transact")
        return result

    async def _inject_faults(self, call: str) -> None:
        await self._unpaused.wait()
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.down:
            raise StoreUnavailable(call)
