"""Tests of urgent gangs that arrive in a burst at a pool full of patient work."""

from bilberryhitch_planner import StopOrder
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    entry,
    queue,
    request,
    step,
)

BATCH = queue("batch", 2)


def test_a_guarantee_is_reclaimed_from_patient_work_before_urgent_work():
    """Load: a burst of urgent gangs, of which some exceed their account's guarantee.

    Guards against urgent gangs that stop each other, so that more of them are late.
    """
    harness = PlannerHarness(entry("w0"), entry("w1"), guaranteed=8)
    for name in harness.planner.workers:
        harness.send_heartbeat(name)
    harness.add(request("batch", step(gpu=8), route=BATCH, account="b"))
    harness.start_all()
    harness.now = 5.0
    harness.send_all_heartbeats()
    harness.add(request("borrower", step(gpu=8, gang=True), account="b"))
    harness.start_all()
    harness.add(request("urgent", step(gpu=8, gang=True)))
    harness.now = 5.1
    harness.send_all_heartbeats()
    stopped = {
        order.task.job for order in harness.plan() if isinstance(order, StopOrder)
    }
    assert stopped == {"batch"}
