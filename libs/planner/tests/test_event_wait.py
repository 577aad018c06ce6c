"""Tests of waits for events.

They guard against a hang: a planner that was cancelled in the loop iteration in which
its event was set went on planning, and its process never ended.
"""

import asyncio

import pytest
from bilberryhitch_planner.event_wait import wait_for_event


@pytest.mark.parametrize("turns", range(4))
@pytest.mark.parametrize("cancel_first", [False, True])
def test_a_cancellation_is_not_lost_when_the_event_is_set(turns, cancel_first):
    async def run_scenario():
        event = asyncio.Event()
        task = asyncio.create_task(wait_for_event(event, 10.0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        accepted = task.cancel() if cancel_first else False
        event.set()
        for _ in range(turns):
            await asyncio.sleep(0)
        if not cancel_first:
            accepted = task.cancel()
        await asyncio.wait((task,))
        assert task.cancelled() is accepted

    asyncio.run(run_scenario())


def test_a_wait_times_out():
    assert asyncio.run(wait_for_event(asyncio.Event(), 0.01)) is False
