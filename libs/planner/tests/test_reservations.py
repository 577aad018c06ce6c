"""Loads in which wide gangs wait for whole workers that never become idle together."""

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


def rack(count):
    world = PlannerHarness(*(entry(f"w{number}") for number in range(count)))
    for name in world.planner.workers:
        world.report(name)
    return world


def end(world, order, others):
    """Let one run end while the others on its worker go on as estimated."""
    worker = world.planner.workers[order.worker]
    percent = 50.0 * world.now
    world.report(
        order.worker,
        [running(each, percent) for each in others if each.worker == order.worker],
        [ended(order, EndKind.DONE, worker.last_end_sequence + 1)],
    )


def test_a_wide_gang_starts_when_its_reserved_workers_are_free():
    """Pattern: a steady stream of batch tasks beside gangs that need whole workers.

    Guards against gangs of a higher priority that wait for ever because each worker
    that becomes free is taken by single tasks.
    """
    world = rack(5)
    world.add(request("filler", step(40), route=BATCH))
    at_work = world.start_all()
    assert len(at_work) == 40
    world.add(request("gang", step(2, gpu=8, gang=True, same_rack=True), route=LONG))
    world.add(request("more", step(80), route=BATCH))
    assert world.start_all() == []
    began = []
    for _ in range(40):
        world.now += 0.05
        done = at_work.pop(0)
        end(world, done, at_work)
        orders = world.start_all()
        at_work += orders
        began += [order for order in orders if order.task.job == "gang"]
    assert len(began) == 2


def test_work_that_ends_before_the_gang_can_start_uses_its_workers():
    """Guards against reserved workers that stand idle while short work waits."""
    world = rack(3)
    slow = step(2, gpu=8)._replace(estimate_s=30.0)
    world.add(request("slow", slow, route=BATCH))
    world.start_all()
    world.add(request("gang", step(2, gpu=8, gang=True, same_rack=True), route=LONG))
    world.add(request("long", slow._replace(task_count=1), route=BATCH))
    world.add(request("short", step(1, gpu=8), route=BATCH))
    assert [order.task.job for order in world.start_all()] == ["short"]


def test_reservations_leave_a_part_of_a_pool_to_others():
    """Pattern: many wide gangs at once. Guards against a pool that waits as a whole."""
    world = rack(10)
    slow = step(10, gpu=8)._replace(estimate_s=30.0)
    world.add(request("slow", slow, route=BATCH))
    at_work = world.start_all()
    for number in range(5):
        gang = step(3, gpu=8, gang=True, same_rack=True)
        world.add(request(f"gang-{number}", gang, route=LONG))
    world.add(request("batch", slow, route=BATCH))
    assert world.start_all() == []
    for order in at_work[:2]:
        end(world, order, [])
    world.start_all()
    batch = sum(
        run.task.job == "batch"
        for worker in world.planner.workers.values()
        for run in worker.runs.values()
    )
    reserved = int(10 * MAX_RESERVED_POOL_SHARE)
    assert batch <= 2
    for order in at_work[2:]:
        end(world, order, [])
    world.start_all()
    assert (
        sum(len(each.runs) for each in world.planner.workers.values()) >= 10 - reserved
    )


def test_a_guaranteed_gang_takes_workers_that_another_waits_for():
    """Guards against RECLAIM: an urgent gang beyond its account's guarantee reserved
    what became free, and one within its guarantee waited behind it.
    """
    world = PlannerHarness(*(entry(f"w{number}") for number in range(4)), guaranteed=8)
    world.report_all()
    world.add(request("filler", step(4, gpu=8), route=queue(), account="b"))
    at_work = world.start_all()
    world.add(request("wide", step(3, gpu=8, gang=True), account="b"))
    assert world.start_all() == []
    world.now = 0.5
    world.add(request("small", step(1, gpu=8, gang=True), account="a"))
    end(world, at_work[0], [])
    assert [order.task.job for order in world.start_all()] == ["small"]
