"""Notification of callers that wait for a job to change."""

import asyncio
from contextlib import suppress


class JobWaiters:
    """Waiting callers by job id; an entry exists only while a caller waits."""

    def __init__(self) -> None:
        self._events: dict[str, set[asyncio.Event]] = {}

    async def wait(self, job_id: str, timeout_s: float) -> None:
        """Wait until :meth:`wake` is called for the job, or for ``timeout_s``."""
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
        """Wake every caller that waits for the job."""
        for event in self._events.get(job_id, ()):
            event.set()

    def wake_all(self) -> None:
        """Wake every waiting caller."""
        for job_id in list(self._events):
            self.wake(job_id)
