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


def world_of_workers(count):
    world = PlannerHarness(*(entry(f"w{number}") for number in range(count)))
    for name in world.planner.workers:
        world.send_heartbeat(name)
    return world


def end_run(world, order, others):
    """End one run while the others on its worker progress as estimated."""
    worker = world.planner.workers[order.worker]
    percent = 50.0 * world.now
    world.send_heartbeat(
        order.worker,
        [running(each, percent) for each in others if each.worker == order.worker],
        [ended(order, EndKind.DONE, worker.last_end_sequence + 1)],
    )


def test_a_wide_gang_starts_when_its_reserved_workers_are_free():
    """Load: a steady stream of batch tasks and a gang that needs whole workers.

    Guards against starvation of gangs of a higher priority, as single tasks take each
    worker that becomes free.
    """
    world = world_of_workers(5)
    world.add(request("filler", step(40), route=BATCH))
    active = world.start_all()
    assert len(active) == 40
    world.add(request("gang", step(2, gpu=8, gang=True, same_rack=True), route=LONG))
    world.add(request("more", step(80), route=BATCH))
    assert world.start_all() == []
    started = []
    for _ in range(40):
        world.now += 0.05
        done = active.pop(0)
        end_run(world, done, active)
        orders = world.start_all()
        active += orders
        started += [order for order in orders if order.task.job == "gang"]
    assert len(started) == 2


def test_reserved_workers_are_backfilled_with_short_units():
    """Guards against reserved workers that stay idle while short units wait."""
    world = world_of_workers(3)
    slow = step(2, gpu=8)._replace(estimate_s=30.0)
    world.add(request("slow", slow, route=BATCH))
    world.start_all()
    world.add(request("gang", step(2, gpu=8, gang=True, same_rack=True), route=LONG))
    world.add(request("long", slow._replace(task_count=1), route=BATCH))
    world.add(request("short", step(1, gpu=8), route=BATCH))
    assert [order.task.job for order in world.start_all()] == ["short"]


def test_reservations_leave_a_share_of_the_pool_to_other_work():
    """Load: many wide gangs at once. Guards against a pool that is fully reserved."""
    world = world_of_workers(10)
    slow = step(10, gpu=8)._replace(estimate_s=30.0)
    world.add(request("slow", slow, route=BATCH))
    active = world.start_all()
    for number in range(5):
        gang = step(3, gpu=8, gang=True, same_rack=True)
        world.add(request(f"gang-{number}", gang, route=LONG))
    world.add(request("batch", slow, route=BATCH))
    assert world.start_all() == []
    for order in active[:2]:
        end_run(world, order, [])
    world.start_all()
    batch = sum(
        run.task.job == "batch"
        for worker in world.planner.workers.values()
        for run in worker.runs.values()
    )
    reserved = int(10 * MAX_RESERVED_POOL_SHARE)
    assert batch <= 2
    for order in active[2:]:
        end_run(world, order, [])
    world.start_all()
    assert (
        sum(len(each.runs) for each in world.planner.workers.values()) >= 10 - reserved
    )


def test_a_guaranteed_gang_takes_workers_reserved_for_another():
    """Guards against a missed guarantee: an urgent gang beyond its account's guarantee
    reserved the free capacity, and one within its guarantee waited for it.
    """
    world = PlannerHarness(*(entry(f"w{number}") for number in range(4)), guaranteed=8)
    world.send_all_heartbeats()
    world.add(request("filler", step(4, gpu=8), route=queue(), account="b"))
    active = world.start_all()
    world.add(request("wide", step(3, gpu=8, gang=True), account="b"))
    assert world.start_all() == []
    world.now = 0.5
    world.add(request("small", step(1, gpu=8, gang=True), account="a"))
    end_run(world, active[0], [])
    assert [order.task.job for order in world.start_all()] == ["small"]
