"""Tests of throttling: idle-CPU tasks on a worker with a serving task."""

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


class SharedWorkerHarness(PlannerHarness):
    """One worker with a serving task and a task that uses idle CPU."""

    def __init__(self):
        super().__init__(entry("w1"))
        self.send_heartbeat("w1")
        serving = step(long_running=True)._replace(latency_target_s=TARGET_S)
        idle_cpu = step(gpu=0, uses_idle_cpu=True)._replace(estimate_s=60.0)
        self.add(request("serving", serving, route=queue("batch", 2)))
        self.add(request("idle_cpu", idle_cpu, route=queue("batch", 2)))
        started = {order.task.job: order for order in self.start_all()}
        self.serving, self.idle_cpu = started["serving"], started["idle_cpu"]

    def report_latency(self, tail_ms, idle_cpu=True):
        """Report the serving task's tail latency and return the ordered CPU shares."""
        self.now += 1.0
        tasks = [
            RunningTask(self.serving.task, self.serving.run, "", 100.0, tail_ms),
            RunningTask(self.idle_cpu.task, self.idle_cpu.run, "", self.now, 500.0),
        ]
        self.send_heartbeat("w1", tasks[: 2 if idle_cpu else 1])
        return [
            order.percent for order in self.plan() if isinstance(order, ThrottleOrder)
        ]


def test_idle_cpu_tasks_are_throttled_until_latency_is_below_its_target():
    """Guards against latency above the target for seconds due to idle-CPU tasks."""
    harness = SharedWorkerHarness()
    cpu_shares = [
        cpu_share for _ in range(6) for cpu_share in harness.report_latency(250.0)
    ]
    assert cpu_shares[:3] == [50, 25, 12]
    assert cpu_shares[-1] == 0


def test_throttled_tasks_speed_up_again_when_latency_is_low():
    """Guards against idle-CPU tasks that stay paused for good."""
    harness = SharedWorkerHarness()
    for _ in range(3):
        harness.report_latency(250.0)
    cpu_shares = [
        cpu_share for _ in range(12) for cpu_share in harness.report_latency(50.0)
    ]
    assert cpu_shares == sorted(cpu_shares)
    assert cpu_shares[-1] == 100


@pytest.mark.parametrize("tail_ms", [140.0, 160.0])
def test_cpu_shares_are_unchanged_between_the_thresholds(tail_ms):
    harness = SharedWorkerHarness()
    harness.report_latency(250.0)
    cpu_shares = [
        cpu_share for _ in range(7) for cpu_share in harness.report_latency(tail_ms)
    ]
    assert set(cpu_shares) == {50}
    assert len(cpu_shares) <= 2


def test_a_paused_idle_cpu_task_does_not_count_as_stalled():
    harness = SharedWorkerHarness()
    for _ in range(8):
        harness.report_latency(250.0)
    harness.now += 10.0
    assert not [
        order for order in harness.plan() if not isinstance(order, ThrottleOrder)
    ]
