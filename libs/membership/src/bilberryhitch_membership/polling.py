"""Polling that a slow answer does not hold up."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from bilberryhitch_model.errors import StoreError

POLL_TIMEOUT_S = 4.0


class Poller:
    """Starts a poll at every interval, even while earlier ones are waiting.

    Polls in sequence would stay blind for as long as the slowest answer after
    the store has recovered. The time-out bounds how many run at once.

    :param poll: one poll; its :class:`StoreError` is ignored
    """

    def __init__(self, interval_s: float, poll: Callable[[], Awaitable[None]]) -> None:
        self._interval_s = interval_s
        self._poll = poll
        self._polls: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Poll now and then at every interval."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop, ending the polls under way."""
        tasks = [task for task in (self._task, *self._polls) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def poll_now(self) -> None:
        """Start one poll besides the regular ones."""
        task = asyncio.create_task(self._poll_once())
        self._polls.add(task)
        task.add_done_callback(self._polls.discard)

    async def _run(self) -> None:
        while True:
            self.poll_now()
            await asyncio.sleep(self._interval_s)

    async def _poll_once(self) -> None:
        with contextlib.suppress(StoreError, TimeoutError):
            async with asyncio.timeout(POLL_TIMEOUT_S):
                await self._poll()
