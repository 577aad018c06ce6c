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
from bilberryhitch_planner import EndKind
from bilberryhitch_planner.reservations import MAX_RESERVED_S
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    configuration,
    ended,
    entry,
    queue,
    request,
    running,
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


def busy_harness(filler, count=4):
    """Return a planner of ``count`` workers, each of which runs ``filler`` GPUs."""
    harness = harness_of(count)
    fill = step(count, gpu=filler, max_tasks_per_worker=1)
    harness.add(request("filler", fill, route=BATCH))
    assert "filler" in starts_within(harness, 1.0)
    return harness


def test_a_gang_that_cannot_start_beside_long_running_tasks_reserves_no_worker():
    """Guards against a pool that is kept for ever for a gang for which the workers
    never become free, as long-running tasks are expected to end.
    """
    harness = harness_of(8)
    harness.add(request("lasting", step(8, long_running=True, max_tasks_per_worker=1)))
    lasting = harness.start_all()
    wide = step(2, gpu=7, long_running=True, max_tasks_per_worker=1)
    harness.add(request("wide", wide))
    lasting += harness.start_all()
    gang = step(6, gpu=8, gang=True)
    harness.add(request("gang", gang, route=queue("long", 1)))
    harness.add(request("other", step(), route=BATCH))
    harness.now = 2.0
    for name in harness.planner.workers:
        runs = [running(order, 100.0) for order in lasting if order.worker == name]
        harness.send_heartbeat(name, runs)
    assert [order.task.job for order in harness.plan_starts()] == ["other"]


def test_a_reservation_for_a_gang_that_does_not_start_lapses():
    """Guards against workers that are kept for a gang without a limit in time, as the
    runs on them last far longer than estimated.
    """
    harness = busy_harness(5)
    harness.add(request("fourth", step(gpu=3), route=BATCH))
    assert "fourth" in starts_within(harness, 1.0)
    gang = step(3, gpu=8, gang=True)
    harness.add(request("gang", gang, route=queue("long", 1)))
    slow = step(gpu=1)._replace(estimate_s=1_000.0)
    harness.add(request("other", slow, route=BATCH))
    assert starts_within(harness, 10.0) == {}
    assert "other" in starts_within(harness, MAX_RESERVED_S)


@pytest.mark.parametrize("long_running", [False, True], ids=["other", "lasting"])
def test_a_reservation_does_not_keep_a_unit_off_an_underused_service(long_running):
    """Guards against a job without a run for seconds, while there is room for it and
    less than half of the service is in use.
    """
    harness = busy_harness(2)
    gang = step(3, gpu=8, gang=True)
    harness.add(request("gang", gang, route=queue("long", 1)))
    wide = step(gpu=6)
    harness.add(request("wide", wide, route=BATCH))
    starts_within(harness, 0.5)
    waiting = step(gpu=1, long_running=long_running)._replace(estimate_s=1_000.0)
    harness.add(request("waiting", waiting, route=BATCH))
    assert starts_within(harness, 1.5) == {}
    assert "waiting" in starts_within(harness, 1.5)


def test_a_long_running_task_is_no_backfill_for_reserved_workers():
    """Guards against a gang that never starts, as a task that does not end is let in
    on the workers that are emptied for it.
    """
    harness = busy_harness(6)
    gang = step(3, gpu=8, gang=True)
    harness.add(request("gang", gang, route=queue("long", 1)))
    harness.add(request("fourth", step(gpu=2), route=BATCH))
    assert "fourth" in starts_within(harness, ROUND_S)
    harness.add(request("lasting", step(long_running=True), route=BATCH))
    assert "lasting" not in starts_within(harness, 1.0)
    assert "lasting" in starts_within(harness, 2.0)


def test_headroom_for_urgent_work_does_not_keep_a_long_running_task_down():
    """Guards against a long-running task that does not run, while the workers with
    room for it are set aside for urgent work.
    """
    harness = harness_of(8)
    fill = step(7, gpu=8, long_running=True)
    harness.add(request("filler", fill, route=BATCH))
    assert "filler" in starts_within(harness, 1.0)
    harness.add(request("lasting", LASTING, route=BATCH))
    assert "lasting" not in starts_within(harness, 1.0)
    assert "lasting" in starts_within(harness, 2.0)


def test_a_hold_for_a_unit_that_no_longer_fits_ends():
    """Guards against workers that are held for good for an urgent unit whose account
    lost its guarantee, and the workers the room for it, before they were free.
    """
    harness = harness_of(2, guaranteed=16)
    batch = request("batch", step(2, gpu=8), route=BATCH, account="b")
    harness.add(batch)
    orders = harness.start_all()
    harness.now = 1.0
    harness.send_all_heartbeats()
    harness.add(request("urgent", step(2, gpu=8)))
    for _ in range(4):
        harness.now += 0.1
        harness.plan()
    small = Resources(32_000, 64_000, 4)
    for order in orders:
        name = order.worker
        harness.planner.add_worker(entry(name, capacity=small), now=harness.now)
        harness.send_heartbeat(name, ended=[ended(order, EndKind.STOPPED)])
    harness.planner.configure(configuration())
    harness.planner.cancel_job("batch", unix_s=0.0)
    starts_within(harness, 2.0)
    harness.add(request("other", step(8), route=BATCH))
    harness.now += ROUND_S
    harness.send_all_heartbeats()
    assert len(harness.start_all()) == 8


def racks_with_full_first(gpu):
    """Return a planner whose first rack is full of long-running tasks.

    :param gpu: GPUs that such tasks use on each worker of the other three racks
    """
    harness = PlannerHarness(
        *(entry(f"w{rack}{n}", f"r{rack}") for rack in range(1, 5) for n in range(2))
    )
    for name in harness.planner.workers:
        harness.send_heartbeat(name)
    full = step(2, gpu=8, long_running=True, required_label="r1")
    harness.add(request("full", full))
    assert "full" in starts_within(harness, 1.0)
    if gpu:
        others = step(6, gpu=gpu, long_running=True, max_tasks_per_worker=1)
        others = others._replace(demand=Resources(28_000, 1_000, gpu))
        harness.add(request("others", others))
        assert "others" in starts_within(harness, 1.0)
    return harness


def test_a_long_running_task_leaves_the_rack_of_its_data_in_a_busy_pool():
    """Guards against a long-running task that stays down, as the rack with its data is
    full for good.
    """
    harness = racks_with_full_first(gpu=6)
    task = step(long_running=True, data_rack="r1")
    harness.add(request("lasting", task, route=BATCH))
    assert "lasting" in starts_within(harness, 3.0)


@pytest.mark.parametrize(
    ("long_running", "limit_s"), [(True, 3.0), (False, 11.0)], ids=["lasting", "other"]
)
def test_a_gang_leaves_the_rack_of_its_data_in_an_underused_service(
    long_running, limit_s
):
    """Guards against a gang that never starts, as the rack with its data is full for
    good, while most of the other racks is free.
    """
    harness = racks_with_full_first(gpu=0)
    gang = step(2, gpu=4, gang=True, data_rack="r1", long_running=long_running)
    harness.add(request("gang", gang, route=BATCH))
    assert "gang" in starts_within(harness, limit_s)


def test_a_gang_that_starts_again_does_not_wait_for_its_rack_as_long_as_before():
    """Guards against a gang without a run for 10 s after each of its ends, while there
    is room for it in other racks of an underused service.
    """
    harness = racks_with_full_first(gpu=0)
    gang = step(2, gpu=4, gang=True, data_rack="r2")._replace(estimate_s=300.0)
    harness.add(request("gang", gang, route=BATCH))
    harness.now += ROUND_S
    harness.send_all_heartbeats()
    orders = [each for each in harness.start_all() if each.task.job == "gang"]
    starts_within(harness, 12.0)
    for sequence, order in enumerate(orders, 1):
        end = ended(order, EndKind.LAPSED, sequence)
        harness.send_heartbeat(order.worker, ended=[end])
    full = step(2, gpu=8, long_running=True, required_label="r2")
    harness.add(request("full2", full))
    assert starts_within(harness, 3.0).keys() == {"full2", "gang"}


def test_a_worker_of_long_running_tasks_is_not_quarantined_for_old_failures():
    """Guards against a worker that is closed for longer with each failure of a task
    that lasts, however long it worked before: nothing ends well there.
    """
    harness = harness_of(1)
    harness.add(request("lasting", LASTING))
    (order,) = harness.start_all()
    for number in range(1, 5):
        harness.now += 100.0
        failed = ended(order, EndKind.FAILED, sequence=number)
        harness.send_heartbeat("w0", ended=[failed])
        (order,) = harness.start_all()
