"""Whose fault a failure is: rules for workers and jobs, one by one."""

import pytest
from bilberryhitch_planner import EndKind
from bilberryhitch_planner.job_failures import JobFailures
from bilberryhitch_planner.worker_health import (
    FAILURE_MEMORY_S,
    QUARANTINE_MAX_S,
    WorkerHealth,
)
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    ended,
    entry,
    queue,
    request,
    running,
    step,
)

BATCH = queue("batch", 2)


def failing(*jobs, blamed_for=0):
    """Return the health of a worker on which jobs have failed at second 1."""
    health = WorkerHealth(0.0)
    for job in jobs:
        health.record_failure(job, 0.0, 1.0, blamed_for=blamed_for)
    return health


def test_a_worker_that_fails_twice_in_a_row_is_quarantined():
    assert not failing("a").quarantined(1.0)
    assert failing("a", "a").quarantined(1.0)
    health = failing("a")
    health.record_success()
    health.record_failure("a", 0.0, 1.5)
    assert not health.quarantined(1.5)


def test_a_quarantine_is_not_prolonged_by_runs_that_began_in_it():
    """Guards against a worker that is closed for good by those that are let in."""
    health = failing("a", "a")
    health.record_failure("a", 1.5, 2.5)
    assert not health.quarantined(3.1)
    health = failing("a", "a")
    health.record_failure("a", 0.5, 2.5)
    assert health.quarantined(3.1)


def test_crashes_prolong_a_quarantine():
    """Guards against a worker that flaps and gets work as soon as it is back."""
    health = failing("a", "a")
    health.record_crash(2.5)
    assert health.quarantined(3.1)
    assert not health.quarantined(2.5 + QUARANTINE_MAX_S)


def test_failures_of_a_job_at_fault_do_not_count_against_a_worker():
    health = failing("a", "a", "a")
    health.blame_job("a", 4)
    assert health.healthy(1.0)
    health.blame_job("a", 0)
    assert health.quarantined(1.0)
    assert failing("a", "a", blamed_for=4).healthy(1.0)


def test_a_worker_on_which_many_jobs_fail_is_not_excused():
    """Guards against a faulty worker that gets work again and again, as each job that
    it fails has failed on some others as well.
    """
    health = failing("a", "b", "c", blamed_for=4)
    assert health.healthy(1.0)
    health.record_failure("d", 0.0, 1.0, blamed_for=4)
    assert health.quarantined(1.0)


def test_failures_of_others_count_beside_those_of_a_job_at_fault():
    health = failing("a", "b", "b")
    health.blame_job("a", 4)
    assert health.quarantined(1.0)


def failed_on(*workers, at=1.0):
    failures = JobFailures()
    for worker in workers:
        failures.record(worker, at)
    return failures


def test_a_job_that_fails_on_most_of_its_workers_is_at_fault():
    """Guards against sound workers that are kept from others for what a job does."""
    assert failed_on("w1", "w2", "w3", "w4").count_if_at_fault({"w4", "w5"}, 1.0) == 4


@pytest.mark.parametrize(
    ("workers", "active"),
    [
        (["w1", "w2", "w3"], {"w1"}),
        (["w1", "w2", "w3", "w4"], {"w5", "w6"}),
        (["w1", "w1", "w1", "w1", "w1"], set()),
    ],
    ids=["few workers", "works elsewhere", "one worker"],
)
def test_a_job_is_not_at_fault_where_its_workers_may_be(workers, active):
    """Guards against faulty workers that are excused: a sound job met some of them."""
    assert failed_on(*workers).count_if_at_fault(active, 1.0) == 0


def test_failures_of_a_job_that_are_long_past_do_not_count():
    failures = failed_on("w1", "w2", "w3")
    later = 1.0 + FAILURE_MEMORY_S + 1.0
    failures.record("w4", later)
    assert failures.count_if_at_fault((), later) == 0
    assert failures.workers == ["w4"]


def harness_of(workers, job):
    harness = PlannerHarness(*(entry(f"w{n}") for n in range(workers)))
    for name in harness.planner.workers:
        harness.send_heartbeat(name)
    harness.add(job)
    return harness, harness.start_all()


def fail_all(harness, orders):
    for number, order in enumerate(orders, 1):
        failed = ended(order, EndKind.FAILED, sequence=number + int(harness.now * 100))
        harness.send_heartbeat(order.worker, ended=[failed])


def apart(count, **fields):
    return step(count, max_tasks_per_worker=1, **fields)


def healthy(harness):
    return {
        name
        for name, worker in harness.planner.workers.items()
        if worker.health.healthy(harness.now)
    }


def test_a_job_that_works_elsewhere_after_all_was_not_at_fault():
    """Guards against faulty workers that are let off for good: the only four of a
    job's workers are faulty, and its runs do well where they are started next.
    """
    harness, orders = harness_of(8, request("job", apart(4), route=BATCH))
    faulty = {order.worker for order in orders}
    harness.now = 1.0
    fail_all(harness, orders)
    again = harness.start_all()
    assert not faulty & {order.worker for order in again}
    harness.plan()
    assert not faulty & healthy(harness)


def test_a_run_that_is_done_takes_the_blame_from_its_job():
    """Guards against faulty workers that are let off for good, as the last verdict on
    a job holds although it has done well since.
    """
    job = request("job", apart(5), route=queue("batch", 2, 9))
    harness, orders = harness_of(5, job)
    harness.now = 1.0
    fail_all(harness, orders[:4])
    harness.plan()
    assert len(healthy(harness)) == 5
    harness.send_heartbeat(orders[4].worker, ended=[ended(orders[4])])
    assert healthy(harness) == {orders[4].worker}


def test_a_lasting_task_that_fails_after_long_work_speaks_against_no_worker():
    """Guards against sound workers in quarantine: tasks that last fail at any time,
    and many of them are on each worker.
    """
    lasting = step(8, long_running=True)
    harness, orders = harness_of(1, request("lasting", lasting, route=BATCH))
    while harness.now < FAILURE_MEMORY_S + 5.0:
        harness.now += 1.0
        listed = [running(order, harness.now) for order in orders]
        harness.send_heartbeat("w0", listed)
    fail_all(harness, orders)
    assert healthy(harness) == {"w0"}
