"""Tests of reservations for wide gangs in pools that are never idle as a whole."""

from bilberryhitch_planner import EndKind
from bilberryhitch_planner.reservations import MAX_RESERVED_POOL_SHARE
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    ended,
    entry,
    queue,
    request,
    running,
    step,
)

LONG = queue("long", 1)
BATCH = queue("batch", 2)


def harness_of_workers(count):
    harness = PlannerHarness(*(entry(f"w{number}") for number in range(count)))
    for name in harness.planner.workers:
        harness.send_heartbeat(name)
    return harness


def end_run(harness, order, others):
    """End one run while the others on its worker progress as estimated."""
    worker = harness.planner.workers[order.worker]
    percent = 50.0 * harness.now
    harness.send_heartbeat(
        order.worker,
        [running(each, percent) for each in others if each.worker == order.worker],
        [ended(order, EndKind.DONE, worker.last_end_sequence + 1)],
    )


def test_a_wide_gang_starts_when_its_reserved_workers_are_free():
    """Load: a steady stream of batch tasks and a gang that needs whole workers.

    Guards against starvation of gangs of a higher priority, as single tasks take each
    worker that becomes free.
    """
    harness = harness_of_workers(5)
    harness.add(request("filler", step(40), route=BATCH))
    active = harness.start_all()
    assert len(active) == 40
    harness.add(request("gang", step(2, gpu=8, gang=True, same_rack=True), route=LONG))
    harness.add(request("more", step(80), route=BATCH))
    assert harness.start_all() == []
    started = []
    for _ in range(40):
        harness.now += 0.05
        done = active.pop(0)
        end_run(harness, done, active)
        orders = harness.start_all()
        active += orders
        started += [order for order in orders if order.task.job == "gang"]
    assert len(started) == 2


def test_reserved_workers_are_backfilled_with_short_units():
    """Guards against reserved workers that stay idle while short units wait."""
    harness = harness_of_workers(3)
    slow = step(2, gpu=8)._replace(estimate_s=30.0)
    harness.add(request("slow", slow, route=BATCH))
    harness.start_all()
    harness.add(request("gang", step(2, gpu=8, gang=True, same_rack=True), route=LONG))
    harness.add(request("long", slow._replace(task_count=1), route=BATCH))
    harness.add(request("short", step(1, gpu=8), route=BATCH))
    assert [order.task.job for order in harness.start_all()] == ["short"]


def test_reservations_leave_a_share_of_the_pool_to_other_work():
    """Load: many wide gangs at once. Guards against a pool that is fully reserved."""
    harness = harness_of_workers(10)
    slow = step(10, gpu=8)._replace(estimate_s=30.0)
    harness.add(request("slow", slow, route=BATCH))
    active = harness.start_all()
    for number in range(5):
        gang = step(3, gpu=8, gang=True, same_rack=True)
        harness.add(request(f"gang-{number}", gang, route=LONG))
    harness.add(request("batch", slow, route=BATCH))
    assert harness.start_all() == []
    for order in active[:2]:
        end_run(harness, order, [])
    harness.start_all()
    batch = sum(
        run.task.job == "batch"
        for worker in harness.planner.workers.values()
        for run in worker.runs.values()
    )
    reserved = int(10 * MAX_RESERVED_POOL_SHARE)
    assert batch <= 2
    for order in active[2:]:
        end_run(harness, order, [])
    harness.start_all()
    assert (
        sum(len(each.runs) for each in harness.planner.workers.values())
        >= 10 - reserved
    )


def test_a_guaranteed_gang_takes_workers_reserved_for_another():
    """Guards against a missed guarantee: an urgent gang beyond its account's guarantee
    reserved the free capacity, and one within its guarantee waited for it.
    """
    harness = PlannerHarness(
        *(entry(f"w{number}") for number in range(4)), guaranteed=8
    )
    harness.send_all_heartbeats()
    harness.add(request("filler", step(4, gpu=8), route=queue(), account="b"))
    active = harness.start_all()
    harness.add(request("wide", step(3, gpu=8, gang=True), account="b"))
    assert harness.start_all() == []
    harness.now = 0.5
    harness.add(request("small", step(1, gpu=8, gang=True), account="a"))
    end_run(harness, active[0], [])
    assert [order.task.job for order in harness.start_all()] == ["small"]
