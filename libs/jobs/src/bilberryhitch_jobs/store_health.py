"""Detects that the store does not answer, long before a call's timeout.

A call that is sent to a silent store has an unknown outcome, and its caller can only be
kept waiting. Once the store is known to be silent, a call is not sent at all, so that
the caller can be told at once, and truthfully, that nothing was done.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from bilberryhitch_telemetry import events, log

from .errors import STORE_ERRORS

# A slow store answers within 0.3 s; a call without an answer for longer than this,
# while no other call is answered either, counts as lost.
SILENCE_S = 0.5
PROBE_PERIOD_S = 0.15


class StoreHealth:
    """Calls in flight and the time of the last response. Times are monotonic.

    :param now: monotonic clock in seconds
    :ivar last_response_at: time of the last response that was not a refusal
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.last_response_at = float("-inf")
        self._now = now
        self._due: dict[int, float] = {}
        self._calls = 0
        self._unanswered_since: float | None = None
        self._answered = asyncio.Event()

    @property
    def silent(self) -> bool:
        """Whether a call is overdue and nothing has been answered since it was due."""
        if self._unanswered_since is not None:
            return True
        oldest = min(self._due.values(), default=None)
        return oldest is not None and self._now() - oldest > SILENCE_S

    def begin_call(self, wait_s: float = 0.0) -> int:
        """Record that a call is sent.

        :param wait_s: how long the store may wait before it answers
        :returns: number of the call
        """
        self._calls += 1
        self._due[self._calls] = self._now() + wait_s
        return self._calls

    def end_call(self, number: int, *, answered: bool) -> None:
        """Record the end of a call.

        :param answered: False after a timeout or a broken connection
        """
        due = self._due.pop(number)
        now = self._now()
        if answered:
            self.note_arrival()
        elif now - due > SILENCE_S and self.last_response_at < due:
            self._unanswered_since = due

    def note_arrival(self) -> None:
        """Record that a response or a part of one has arrived."""
        now = self._now()
        self._unanswered_since = None
        self._answered.set()
        # Calls that are due already may be stuck on connections that were lost.
        self._due = {each: max(at, now) for each, at in self._due.items()}

    def note_response(self) -> None:
        """Record a response that was not a refusal."""
        self.last_response_at = self._now()

    async def wait_until_answering(self, limit_s: float) -> bool:
        """Wait while the store is silent, up to ``limit_s`` seconds.

        :returns: whether it answers
        """
        if self.silent:
            self._answered.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    await self._answered.wait()
        return not self.silent


async def probe_while_silent(
    health: StoreHealth, probe: Callable[[], Awaitable[object]]
) -> None:
    """Call a silent store until it answers; runs until cancelled.

    :param probe: makes one short call, whose response ends the silence
    """
    silent = False
    while True:
        await asyncio.sleep(PROBE_PERIOD_S)
        if health.silent != silent:
            silent = health.silent
            event = events.DEPENDENCY_LOST if silent else events.DEPENDENCY_REGAINED
            log(event, dependency="store", error="silent" if silent else "")
        if silent:
            try:
                await probe()
            except STORE_ERRORS:
                continue
