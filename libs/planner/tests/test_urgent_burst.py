"""Tests of urgent gangs that arrive in a burst at a pool full of patient work.

Urgent jobs have little slack. Without preemption all that exceed their account's
guarantee wait until patient work ends, and miss their objectives although what would
have to be stopped for them has hardly begun.
"""

from bilberryhitch_planner import (
    EndedTask,
    EndKind,
    RunningTask,
    StopOrder,
    scheduling_round,
)
from bilberryhitch_planner.preemption import plan_preemption
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    entry,
    queue,
    request,
    step,
)

BATCH = queue("batch", 2)


def full_pool(*steps, workers=4):
    """Return a harness whose workers are full of batch tasks, and their start orders.

    No account has a guarantee. The pool has no idle worker for urgent work.
    """
    harness = PlannerHarness(*(entry(f"w{number}") for number in range(workers)))
    for name in harness.planner.workers:
        harness.send_heartbeat(name)
    harness.add(request("batch", *steps, route=BATCH, account="b"))
    orders = harness.start_all()
    assert all(worker.free.gpu == 0 for worker in harness.planner.workers.values())
    return harness, orders


def advance(harness, now):
    """Set the time and let every worker list its runs."""
    harness.now = now
    harness.send_all_heartbeats()


def stopped_tasks(orders):
    return [order.task for order in orders if isinstance(order, StopOrder)]


def end_runs(harness, tasks, how, now):
    """Let the workers list the ends of the runs of some tasks."""
    harness.now = now
    for worker in list(harness.planner.workers.values()):
        ending = [run for run in worker.runs.values() if run.task in tasks]
        rest = [run for run in worker.runs.values() if run.task not in tasks]
        first = worker.last_end_sequence + 1
        harness.send_heartbeat(
            worker.entry.worker,
            [RunningTask(run.task, run.number, "", now) for run in rest],
            [
                EndedTask(sequence, run.task, run.number, how, "")
                for sequence, run in enumerate(ending, first)
            ],
        )


def test_urgent_work_beyond_its_guarantee_stops_work_that_has_hardly_begun():
    """Load: an urgent gang arrives just after batch tasks have filled the pool."""
    harness, batch = full_pool(step(4, gpu=8))
    advance(harness, 0.4)
    harness.add(request("urgent", step(gpu=8, gang=True)))
    advance(harness, 0.5)
    orders = harness.plan()
    (stopped,) = stopped_tasks(orders)
    assert stopped in [order.task for order in batch]
    end_runs(harness, [stopped], EndKind.STOPPED, 0.7)
    assert [order.task.job for order in harness.plan_starts()] == ["urgent"]


def test_urgent_work_stops_long_running_batch_tasks_that_save_their_progress():
    """Load: the pool is full of old batch tasks, of which one saves its progress."""
    harness, _ = full_pool(step(3, gpu=8), step(1, gpu=8, saves_progress=True))
    advance(harness, 30.0)
    harness.add(request("urgent", step(count=2, gpu=4, gang=True)))
    advance(harness, 30.1)
    (stopped,) = stopped_tasks(harness.plan())
    assert (stopped.step, stopped.ordinal) == (1, 0)


def test_urgent_work_beyond_its_guarantee_leaves_work_that_is_nearly_done():
    """Guards against more work being thrown away than the urgent job does."""
    harness, _ = full_pool(step(4, gpu=8))
    advance(harness, 1.5)
    harness.add(request("urgent", step(gpu=8, gang=True)))
    advance(harness, 1.6)
    assert stopped_tasks(harness.plan()) == []


def test_urgent_work_that_would_be_late_stops_nothing():
    """Guards against work stopped for a job that misses its objective anyway."""
    harness, _ = full_pool(step(4, gpu=8))
    # The objective is five seconds, three of them slack.
    harness.add(request("urgent", step(gpu=8, gang=True)))
    for worker in harness.planner.workers.values():
        for run in worker.runs.values():
            run.ordered_at = 2.7
    advance(harness, 2.8)
    assert stopped_tasks(harness.plan()) == []


def test_a_flood_of_urgent_work_stops_each_batch_task_once():
    """Load: urgent gangs arrive one after the other without end.

    Guards against batch tasks that are started and stopped for ever.
    """
    harness, _ = full_pool(step(2, gpu=8), workers=2)
    stopped, now = [], 0.0
    for number in range(12):
        harness.add(request(f"urgent-{number}", step(gpu=8, gang=True)))
        now += 0.1
        advance(harness, now)
        tasks = stopped_tasks(harness.plan())
        stopped += tasks
        end_runs(harness, tasks, EndKind.STOPPED, now + 0.1)
        urgent = [order.task for order in harness.start_all()]
        # The urgent gang ends soon, and the batch task starts again in its place.
        now += 0.2
        end_runs(harness, urgent, EndKind.DONE, now)
        harness.start_all()
    assert stopped
    assert len(stopped) == len(set(stopped)) <= 2


def test_too_costly_preemptions_do_not_lengthen_a_round(monkeypatch):
    """Load: many urgent gangs wait while all that could be stopped for them is old.

    Guards against rounds that take seconds in a large pool, as each of them compares
    every waiting gang with the runs of every worker.
    """
    harness, _ = full_pool(step(3, gpu=8), step(1, gpu=8, saves_progress=True))
    advance(harness, 30.0)
    for number in range(20):
        harness.add(request(f"urgent-{number}", step(2, gpu=8, gang=True)))
    planned = []

    def count_plans(unit, *rest):
        planned.append(unit.step.job.request.job)
        return plan_preemption(unit, *rest)

    monkeypatch.setattr(scheduling_round, "plan_preemption", count_plans)
    monkeypatch.setattr(scheduling_round, "MAX_WORKERS_IN_FAILED_PLANS", 8)
    rounds = 30
    for number in range(rounds):
        advance(harness, 30.1 + number * 0.01)
        assert stopped_tasks(harness.plan()) == []
    # At most two plans a round, each of four workers; two for each gang within 0.3 s.
    assert len(planned) <= 2 * rounds
    assert all(planned.count(job) <= 2 for job in planned)


def test_urgent_work_within_its_guarantee_may_stop_a_task_again():
    """A guarantee can be reclaimed from any borrower, however often."""
    harness = PlannerHarness(entry("w0"), guaranteed=8)
    harness.send_heartbeat("w0")
    harness.add(request("batch", step(gpu=8), route=BATCH, account="b"))
    harness.start_all()
    (worker,) = harness.planner.workers.values()
    for run in worker.runs.values():
        run.unit.preempted = True
    harness.add(request("urgent", step(gpu=8, gang=True)))
    advance(harness, 4.0)
    assert len(stopped_tasks(harness.plan())) == 1


def test_a_guarantee_is_reclaimed_from_patient_work_before_urgent_work():
    """Load: a burst of urgent gangs, of which some exceed their account's guarantee.

    Guards against urgent gangs that stop each other, so that more of them are late.
    """
    harness = PlannerHarness(entry("w0"), entry("w1"), guaranteed=8)
    for name in harness.planner.workers:
        harness.send_heartbeat(name)
    harness.add(request("batch", step(gpu=8), route=BATCH, account="b"))
    harness.start_all()
    advance(harness, 5.0)
    harness.add(request("borrower", step(gpu=8, gang=True), account="b"))
    harness.start_all()
    harness.add(request("urgent", step(gpu=8, gang=True)))
    advance(harness, 5.1)
    (stopped,) = stopped_tasks(harness.plan())
    assert stopped.job == "batch"
