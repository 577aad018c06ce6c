"""Waits for events with a limit, in a way that never loses a cancellation."""

import asyncio


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Return whether an event is set within a time.

    ``asyncio.wait_for`` of CPython 3.11 drops a cancellation that meets the end of
    what it waits for, and the task that was to end goes on for ever.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
