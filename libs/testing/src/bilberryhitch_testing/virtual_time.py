"""Event loop with virtual time, which advances only when every task is waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances the clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks are waiting and no timer is set")
        self.time_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on which sleeping advances the clock and takes no real time."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self._time_selector.time_s

    def advance(self, seconds: float) -> None:
        """Run everything that is due within the next ``seconds``."""
        self.run_until_complete(asyncio.sleep(seconds))


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new virtual-time loop and return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        cancel_tasks(loop)
        loop.close()


def cancel_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel all tasks of a loop and wait for their ends."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
