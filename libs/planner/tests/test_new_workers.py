"""Tests of empty workers that join a pool whose other workers are full.

Pattern: gangs and batch tasks wait in a full pool while workers are added one after the
other. Guards against work that goes on waiting, or that crowds the former workers,
while new ones are empty.
"""

import pytest
from bilberryhitch_planner import EndedTask, EndKind, RunningTask
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    entry,
    queue,
    request,
    step,
)

LONG = queue("long", 1)
BATCH = queue("batch", 2)


def full_pool(count=4):
    """Return a harness whose workers are all full of batch tasks."""
    harness = PlannerHarness(*(entry(f"w{number}") for number in range(count)))
    for name in harness.planner.workers:
        harness.send_heartbeat(name)
    harness.add(request("filler", step(8 * count), route=BATCH))
    assert len(harness.start_all()) == 8 * count
    return harness


def join(harness, name, rack="r2"):
    """Register a worker; it lists its runs, of which there are none."""
    harness.planner.add_worker(entry(name, rack), now=harness.now)
    harness.send_heartbeat(name)


@pytest.mark.parametrize(
    "waiting",
    [
        request("gang", step(2, gpu=4, gang=True, same_rack=True), route=LONG),
        request("batch", step(8), route=BATCH),
        request("urgent", step(1, gpu=8, gang=True)),
    ],
    ids=lambda each: each.job,
)
def test_waiting_work_starts_on_a_new_worker_at_once(waiting):
    harness = full_pool()
    # Too late for a preemption of the batch tasks, which costs more than it gains.
    harness.now = 1.9
    harness.send_all_heartbeats()
    harness.add(waiting)
    assert harness.start_all() == []
    harness.now = 2.0
    harness.send_all_heartbeats()
    join(harness, "new")
    started = harness.start_all()
    assert {order.task.job for order in started} == {waiting.job}
    assert {order.worker for order in started} == {"new"}


def test_a_reserved_gang_moves_to_new_workers_that_are_free_sooner():
    """Guards against a gang that waits for the workers reserved for it although new
    ones could run it.
    """
    harness = full_pool()
    harness.add(request("gang", step(2, gpu=8, gang=True, same_rack=True), route=LONG))
    assert harness.start_all() == []
    harness.now = 0.3
    harness.send_all_heartbeats()
    for name in ("new-1", "new-2"):
        join(harness, name)
    started = harness.start_all()
    assert {order.worker for order in started} == {"new-1", "new-2"}


def test_work_that_arrives_later_uses_new_workers_before_it_waits():
    """Guards against new workers that stay empty while tasks wait for old ones."""
    harness = full_pool()
    for number in range(3):
        harness.now += 0.2
        harness.send_all_heartbeats()
        join(harness, f"new-{number}")
        harness.add(request(f"job-{number}", step(8), route=BATCH))
        started = harness.start_all()
        assert len(started) == 8
        assert {order.worker for order in started} == {f"new-{number}"}


def test_a_new_worker_at_the_address_of_one_that_has_just_left_is_used_last():
    """A worker that starts again may be in a crash loop; other new ones come first."""
    harness = full_pool(2)
    worker = harness.planner.workers["w0"]
    harness.planner.remove_ended_worker("w0", now=0.5, unix_s=0.0)
    harness.now = 1.0
    harness.send_all_heartbeats()
    harness.planner.add_worker(
        entry("again")._replace(address=worker.entry.address), now=harness.now
    )
    harness.send_heartbeat("again")
    join(harness, "new")
    started = harness.start_all()
    assert {order.worker for order in started[:8]} == {"new"}


def test_a_task_that_ends_leaves_its_place_to_waiting_work_beside_new_workers():
    """Both the place that becomes free and the new worker are used in one round."""
    harness = full_pool(1)
    harness.add(request("more", step(9), route=BATCH))
    assert harness.start_all() == []
    harness.now = 0.4
    harness.send_all_heartbeats()
    (worker,) = harness.planner.workers.values()
    run, *others = worker.runs.values()
    harness.send_heartbeat(
        "w0",
        [RunningTask(each.task, each.number, "", harness.now) for each in others],
        [EndedTask(1, run.task, run.number, EndKind.DONE, "")],
    )
    join(harness, "new")
    started = harness.start_all()
    assert {order.worker for order in started} == {"w0", "new"}
    assert len(started) == 9
