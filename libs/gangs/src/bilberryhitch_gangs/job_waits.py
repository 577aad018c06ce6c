"""Callers that wait for a job to change."""

import asyncio
from contextlib import suppress


class JobWaits:
    """Events by job id, kept only while somebody waits."""

    def __init__(self) -> None:
        self._events: dict[str, set[asyncio.Event]] = {}

    async def wait(self, job_id: str, timeout_s: float) -> None:
        """Return when the job is woken, or after ``timeout_s``."""
        event = asyncio.Event()
        events = self._events.setdefault(job_id, set())
        events.add(event)
        try:
            with suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await event.wait()
        finally:
            events.discard(event)
            if not events and self._events.get(job_id) is events:
                del self._events[job_id]

    def wake(self, job_id: str) -> None:
        """Wake everybody who waits for the job."""
        for event in self._events.get(job_id, ()):
            event.set()

    def wake_all(self) -> None:
        """Wake everybody."""
        for job_id in list(self._events):
            self.wake(job_id)
