"""Processes that share one virtual-time loop and can be frozen or killed.

A process is the context of its tasks. What it has sent goes on without it, as its
tasks are only kept from running.
"""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from typing import Any

from .virtual_time import VirtualTimeLoop

_current: contextvars.ContextVar["SimulatedProcess | None"] = contextvars.ContextVar(
    "process", default=None
)


def current_process() -> "SimulatedProcess | None":
    """Return the process whose task is running; None outside of all processes."""
    return _current.get()


class SimulatedProcess:
    """A process whose tasks run on a ``ProcessLoop``.

    :ivar name: ``host/process``
    :ivar killed: none of its tasks runs again
    :ivar ended: set once it has been killed
    """

    def __init__(self, loop: "ProcessLoop", name: str) -> None:
        self.name = name
        self.killed = False
        self.ended = asyncio.Event()
        self._loop = loop
        self._frozen = False
        self._backlog: list[_Step] = []

    @property
    def halted(self) -> bool:
        """Whether its tasks do not run now."""
        return self.killed or self._frozen

    def spawn(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run a coroutine, and every task that it creates, in this process."""
        context = contextvars.Context()
        context.run(_current.set, self)
        return self._loop.create_task(work, context=context)

    def freeze(self) -> None:
        """Keep all tasks from running until ``thaw``."""
        self._frozen = True

    def thaw(self) -> None:
        """Let the tasks run again; what became due meanwhile runs first."""
        self._frozen = False
        if not self.killed:
            self._resume()

    def kill(self) -> None:
        """End the process: its tasks are dropped without any cleaning up."""
        self.killed = True
        self.ended.set()

    def hold_back(self, step: "_Step") -> None:
        """Keep a step for the time after a freeze."""
        self._backlog.append(step)

    def bury(self) -> None:
        """Let the tasks run again, to be cancelled after the end of a test."""
        self.killed = self._frozen = False
        self._resume()

    def _resume(self) -> None:
        steps, self._backlog = self._backlog, []
        for step in steps:
            step.repeat()


class _Step:
    """A callback of the loop that waits while its process is halted."""

    def __init__(
        self, loop: "ProcessLoop", callback: Callable[..., object], args: Any
    ) -> None:
        self.handle: asyncio.Handle | None = None
        self._loop = loop
        self._callback = callback
        self._args = args
        self._context: contextvars.Context | None = None

    def __call__(self) -> None:
        if self.handle is not None and self.handle.cancelled():
            return
        process = _current.get()
        if process is not None and process.halted:
            self._context = contextvars.copy_context()
            process.hold_back(self)
            return
        self._callback(*self._args)

    def repeat(self) -> None:
        """Run as soon as possible unless it was cancelled meanwhile."""
        self._loop.call_step(self, self._context)


class ProcessLoop(VirtualTimeLoop):
    """Event loop with virtual time whose tasks belong to processes."""

    def call_step(self, step: _Step, context: contextvars.Context | None) -> None:
        """Run a step that was held back, in its own context."""
        super().call_soon(step, context=context)

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Run a callback soon, or once its process is no longer halted."""
        step = _Step(self, callback, args)
        step.handle = super().call_soon(step, context=context)
        return step.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback at a time, or later if its process is halted then."""
        step = _Step(self, callback, args)
        handle = super().call_at(when, step, context=context)
        step.handle = handle
        return handle

    def call_outside(
        self, delay_s: float, callback: Callable[..., object], *args: Any
    ) -> asyncio.TimerHandle:
        """Run a callback after a delay, in no process."""
        return self.call_at(
            self.time() + delay_s, callback, *args, context=contextvars.Context()
        )

    def spawn_outside(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run a coroutine in no process."""
        return self.create_task(work, context=contextvars.Context())
