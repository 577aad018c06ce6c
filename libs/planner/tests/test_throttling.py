"""Pattern: filling tasks beside tasks that serve, whose tail rises and falls."""

import pytest
from bilberryhitch_planner import RunningTask
from bilberryhitch_planner.reports import ThrottleOrder
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    entry,
    queue,
    request,
    step,
)

TARGET_S = 0.2


class Shared(PlannerHarness):
    """One worker with a serving and a filling task."""

    def __init__(self):
        super().__init__(entry("w1"))
        self.report("w1")
        serving = step(long_running=True)._replace(latency_target_s=TARGET_S)
        filling = step(gpu=0, uses_idle_cpu=True)._replace(estimate_s=60.0)
        self.add(request("serving", serving, route=queue("batch", 2)))
        self.add(request("filling", filling, route=queue("batch", 2)))
        started = {order.task.job: order for order in self.start_all()}
        self.serving, self.filling = started["serving"], started["filling"]

    def look(self, tail_ms, filling=True):
        """Let the worker tell the tail of its serving task and return the paces."""
        self.now += 1.0
        lists = [
            RunningTask(self.serving.task, self.serving.run, "", 100.0, tail_ms),
            RunningTask(self.filling.task, self.filling.run, "", self.now, 500.0),
        ]
        self.report("w1", lists[: 2 if filling else 1])
        return [
            order.percent for order in self.plan() if isinstance(order, ThrottleOrder)
        ]


def test_filling_tasks_are_slowed_until_the_serving_task_is_below_its_bound():
    """Guards against HARM: over the bound for seconds because of what fills."""
    world = Shared()
    paces = [pace for _ in range(6) for pace in world.look(250.0)]
    assert paces[:3] == [50, 25, 12]
    assert paces[-1] == 0


def test_filling_tasks_get_their_pace_back_when_there_is_room():
    """Guards against filling tasks that stay paused for ever."""
    world = Shared()
    for _ in range(3):
        world.look(250.0)
    paces = [pace for _ in range(12) for pace in world.look(50.0)]
    assert paces == sorted(paces)
    assert paces[-1] == 100


@pytest.mark.parametrize("tail_ms", [140.0, 160.0])
def test_the_pace_is_kept_between_the_bounds(tail_ms):
    world = Shared()
    world.look(250.0)
    paces = [pace for _ in range(7) for pace in world.look(tail_ms)]
    assert set(paces) == {50}
    assert len(paces) <= 2


def test_a_filling_task_that_gets_nothing_is_not_taken_for_stalled():
    world = Shared()
    for _ in range(8):
        world.look(250.0)
    world.now += 10.0
    assert not [order for order in world.plan() if not isinstance(order, ThrottleOrder)]
