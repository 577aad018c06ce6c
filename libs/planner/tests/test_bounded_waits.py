"""Whatever keeps a worker from waiting work ends: isolation, reservations, holds.

Pattern: long-running tasks are on every worker, so workers never become idle by
themselves.
"""

import pytest
from bilberryhitch_jobs import (
    CrashCount,
    JobProgress,
    JobState,
    Resources,
    UnitProgress,
)
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    entry,
    queue,
    request,
    step,
)

BATCH = queue("batch", 2)
ROUND_S = 0.25
LASTING = step(long_running=True)


def harness_of(workers, **options):
    harness = PlannerHarness(*(entry(f"w{n}") for n in range(workers)), **options)
    for name in harness.planner.workers:
        harness.send_heartbeat(name)
    return harness


def starts_within(harness, seconds):
    """Return the jobs of the start orders of some time, by name, with their times."""
    began, starts = harness.now, {}
    while harness.now < began + seconds:
        harness.now += ROUND_S
        harness.send_all_heartbeats()
        for order in harness.start_all():
            starts.setdefault(order.task.job, harness.now - began)
    return starts


def after_crashes(job, crashes):
    """Return the stored progress of a job whose only unit has had crashes."""
    unit = UnitProgress(False, 2, crashes={0: crashes})
    return JobProgress(JobState.RUNNING, job.account, {(0, 0, 0): unit})


def test_long_running_tasks_that_were_on_crashed_workers_let_others_in():
    """Guards against a pool that is closed for ever, as each worker runs a long-running
    task that has seen two crashes.
    """
    harness = harness_of(3)
    for number in range(3):
        job = request(f"lasting{number}", LASTING)
        harness.add(job, after_crashes(job, CrashCount(2)))
    assert len(starts_within(harness, 1.0)) == 3
    harness.add(request("other", step(), route=BATCH))
    assert starts_within(harness, 3.0) == {"other": pytest.approx(2.0, abs=1.0)}


def test_a_suspect_that_has_worked_for_long_enough_lets_others_in():
    """Guards against a worker that a long run keeps from others, as its task may have
    crashed a worker by its start.
    """
    harness = harness_of(1)
    job = request("suspect", step()._replace(estimate_s=1_000.0), route=BATCH)
    harness.add(job, after_crashes(job, CrashCount(1, 1)))
    assert "suspect" in starts_within(harness, 1.0)
    harness.add(request("other", step(), route=BATCH))
    assert "other" in starts_within(harness, 3.0)


@pytest.mark.parametrize(
    ("long_running", "limit_s"), [(True, 3.0), (False, 7.0)], ids=["lasting", "other"]
)
def test_a_suspect_starts_in_a_busy_pool_without_idle_workers(long_running, limit_s):
    """Guards against a task with two crashes that is kept down for ever, as work that
    never ends is on every worker and more than half of the cores are in use.
    """
    harness = harness_of(2)
    wide = step(2, long_running=True, max_tasks_per_worker=1)
    wide = wide._replace(demand=Resources(18_000, 1_000, 1))
    harness.add(request("wide", wide, route=BATCH))
    assert "wide" in starts_within(harness, 1.0)
    job = request("suspect", step(long_running=long_running), route=BATCH)
    harness.add(job, after_crashes(job, CrashCount(2)))
    assert "suspect" in starts_within(harness, limit_s)


def test_suspects_avoid_each_other_where_no_worker_is_idle():
    """Guards against a sound task that is given up, as it is put beside a task that
    crashes its workers again and again.
    """
    harness = harness_of(2)
    lasting = step(2, long_running=True, max_tasks_per_worker=1)
    harness.add(request("lasting", lasting))
    starts_within(harness, 1.0)
    for name in ("first", "second"):
        job = request(name, step())
        harness.add(job, after_crashes(job, CrashCount(2)))
        assert name in starts_within(harness, 3.0)
        starts_within(harness, 3.0)
    runs = [
        run
        for name in ("first", "second")
        for run in harness.planner.jobs[name].steps[0, 0].units[0].runs.values()
    ]
    assert len({run.worker for run in runs}) == 2
