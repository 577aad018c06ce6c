"""A candidate ends when it is closed, whatever ends its tenure meanwhile."""

import asyncio
from types import SimpleNamespace

import pytest
from bilberryhitch_planner import Candidate, Deposed, LeaderLease
from bilberryhitch_planner.errors import Isolated


class EndingPlanner:
    """A tenure that ends by an error of its own while it is cancelled."""

    def __init__(self, error):
        self.released = 0
        self.started = asyncio.Event()
        self.state_writer = SimpleNamespace(release=self._release)
        self._error = error

    async def _release(self):
        self.released += 1

    async def run(self):
        self.started.set()
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            # A task group drops a cancellation that meets an error of a child.
            raise ExceptionGroup("tenure", [self._error]) from None


@pytest.mark.parametrize("error", [Isolated(4, 4), Deposed("other"), ValueError()])
def test_a_stop_that_meets_the_end_of_a_tenure_ends_the_candidate(error):
    """Guards against the hang of soak seed 2: a planner that was frozen woke up
    isolated and was told to stop in the same turn, and its process never ended.
    """

    async def scene():
        planner = EndingPlanner(error)

        async def acquire():
            return LeaderLease("a/1", 1, 0.0, 0.0)

        candidate = Candidate(acquire, lambda _lease: planner)
        candidate.start()
        await planner.started.wait()
        async with asyncio.timeout(3):
            await candidate.close()
        assert not candidate.leading

    asyncio.run(scene())


def test_a_closed_planner_gives_its_lease_up():
    async def scene():
        planner = EndingPlanner(asyncio.CancelledError())

        async def run():
            planner.started.set()
            await asyncio.sleep(3600)

        planner.run = run

        async def acquire():
            return LeaderLease("a/1", 1, 0.0, 0.0)

        candidate = Candidate(acquire, lambda _lease: planner)
        candidate.start()
        await planner.started.wait()
        await candidate.close()
        assert planner.released == 1

    asyncio.run(scene())
