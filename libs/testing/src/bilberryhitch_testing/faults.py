"""Fault injection around the platform's interfaces."""

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
    """One client's view of a table service, with switchable faults.

    :ivar down: every call fails without effect
    :ivar slow_s: seconds added before every call
    :ivar lose_answers: how many transactions apply and then lose their answer
    :ivar paused: while set, calls wait before they reach the store, as those
        of a stopped process do
    """

    def __init__(self, inner: TableService) -> None:
        self._inner = inner
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0
        self._running = asyncio.Event()
        self._running.set()

    @property
    def paused(self) -> bool:
        """Whether calls are held back."""
        return not self._running.is_set()

    def pause(self) -> None:
        """Hold every call back until :meth:`resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Let held calls go on."""
        self._running.set()

    async def get(self, key: str) -> Row | None:
        """Return the row or ``None``."""
        await self._before("get")
        self.reads += 1
        return await self._inner.get(key)

    async def scan(
        self, prefix: str, since: int = 0, after: str = "", limit: int = 1000
    ) -> Page:
        """Return one page of rows."""
        await self._before("scan")
        self.reads += 1
        return await self._inner.scan(prefix, since, after, limit)

    async def transact(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        """Apply all writes or none; may lose the answer."""
        await self._before("transact")
        self.writes += 1
        result = await self._inner.transact(expects, writes)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreAnswerLost("transact")
        return result

    async def _before(self, call: str) -> None:
        await self._running.wait()
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.down:
            raise StoreUnavailable(call)
