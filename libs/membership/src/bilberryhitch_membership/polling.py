"""Periodic polling that a slow answer does not delay."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from bilberryhitch_model.errors import StoreError

POLL_TIMEOUT_S = 4.0


class Poller:
    """Starts a poll at every interval, even while earlier ones are in progress.

    If each poll waited for the one before, a recovered store would not be read until
    the slowest answer had come. The timeout bounds the number of concurrent polls.

    :param interval_s: time between the starts of two polls
    :param poll: makes one poll; a :class:`StoreError` that it raises is ignored
    """

    def __init__(self, interval_s: float, poll: Callable[[], Awaitable[None]]) -> None:
        self._interval_s = interval_s
        self._poll = poll
        self._polls: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start polling; the first poll starts immediately."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop polling and cancel the polls in progress."""
        tasks = [task for task in (self._task, *self._polls) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def poll_now(self) -> None:
        """Start an additional poll immediately."""
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
