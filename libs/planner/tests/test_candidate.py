"""Tests that closing a candidate ends it, also while its lease term is ending."""

import asyncio
from types import SimpleNamespace

import pytest
from bilberryhitch_planner import Candidate, Deposed, LeaderLease
from bilberryhitch_planner.errors import Isolated


class FailingPlanner:
    """A planner that raises an error while it is cancelled."""

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
            # A task group drops a cancellation that coincides with a child's error.
            raise ExceptionGroup("lease term", [self._error]) from None


@pytest.mark.parametrize("error", [Isolated(4, 4), Deposed("other"), ValueError()])
def test_closing_ends_the_candidate_while_its_lease_term_ends(error):
    """Guards against a hang: a suspended planner resumed, found itself isolated and was
    closed in the same loop iteration, and its process never ended.
    """

    async def run_scenario():
        planner = FailingPlanner(error)

        async def acquire():
            return LeaderLease("a/1", 1, 0.0, 0.0)

        candidate = Candidate(acquire, lambda _lease: planner)
        candidate.start()
        await planner.started.wait()
        async with asyncio.timeout(3):
            await candidate.close()
        assert not candidate.leading

    asyncio.run(run_scenario())


def test_a_closed_planner_releases_its_lease():
    async def run_scenario():
        planner = FailingPlanner(asyncio.CancelledError())

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

    asyncio.run(run_scenario())
