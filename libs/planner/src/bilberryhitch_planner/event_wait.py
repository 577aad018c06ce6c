"""Waits for events with a timeout without losing a cancellation."""

import asyncio


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait until an event is set, and return False on a timeout.

    ``asyncio.wait_for`` of CPython 3.11 drops a cancellation that arrives in the same
    loop iteration as the event, and the cancelled task never ends.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
