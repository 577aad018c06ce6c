"""An event loop whose time advances only when every task is waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _AdvancingSelector(selectors.SelectSelector):
    """Selector that moves the clock forward instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        self.time_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop for tests that own time; sleeping costs no real time."""

    def __init__(self) -> None:
        self._advancing = _AdvancingSelector()
        super().__init__(self._advancing)

    def time(self) -> float:
        """Return virtual seconds since the loop was made."""
        return self._advancing.time_s

    def advance(self, seconds: float) -> None:
        """Run everything that is due within the next ``seconds``."""
        self.run_until_complete(asyncio.sleep(seconds))


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` to its end on a new virtual-time loop."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
