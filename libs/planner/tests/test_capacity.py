"""Workers whose capacity shrinks and grows again while they run tasks."""

import pytest
from bilberryhitch_jobs import Resources
from bilberryhitch_testing.planner_harness import (
    CAPACITY,
    PlannerHarness,
    entry,
    request,
    step,
)


@pytest.mark.parametrize(
    "shrunk",
    [
        Resources(1_500, CAPACITY.memory, CAPACITY.gpu),
        Resources(CAPACITY.cpu, 1_500, CAPACITY.gpu),
        Resources(CAPACITY.cpu, CAPACITY.memory, 1),
    ],
    ids=["cpu", "memory", "gpu"],
)
@pytest.mark.parametrize(
    "waiting", [step(), step(gpu=0), step(gpu=0, uses_idle_cpu=True)]
)
def test_a_worker_whose_capacity_has_shrunk_gets_nothing_until_it_fits(shrunk, waiting):
    """Guards against starts that bring a worker over a capacity that it has lost, in
    whatever resource.
    """
    harness = PlannerHarness(entry("w0"))
    harness.send_heartbeat("w0")
    harness.add(request("first", step(2)))
    assert len(harness.start_all()) == 2
    harness.planner.add_worker(entry("w0", capacity=shrunk), now=harness.now)
    harness.add(request("second", waiting))
    harness.now = 0.1
    assert harness.plan_starts() == []
    harness.planner.add_worker(entry("w0"), now=harness.now)
    assert [order.task.job for order in harness.plan_starts()] == ["second"]
