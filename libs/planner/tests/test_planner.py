"""Tests of the planner against model workers, without a network."""

from bilberryhitch_jobs import (
    GANG_INDEX,
    AdvicePolicy,
    JobProgress,
    JobState,
    Placement,
    Schedule,
    TaskName,
    UnitProgress,
)
from bilberryhitch_planner import (
    Advice,
    EndedTask,
    EndKind,
    RunningTask,
    StartOutcome,
    StopOrder,
    StopOutcome,
)
from bilberryhitch_testing.planner_harness import (
    START_UNIX_S,
    PlannerHarness,
    ended,
    entry,
    queue,
    request,
    running,
    step,
)


def test_a_job_is_started_and_completed():
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("j", step(2), step(1, depends_on=(0,))))
    first = harness.plan_starts()
    assert [order.task.step for order in first] == [0, 0]
    for order in first:
        harness.answer_start(order)
    harness.send_heartbeat("w1", ended=[ended(first[0]), ended(first[1], sequence=2)])
    (last,) = harness.plan_starts()
    assert last.task == TaskName("j", 0, 1, 0)
    harness.send_heartbeat(
        "w1",
        ended=[ended(first[0]), ended(first[1], sequence=2), ended(last, sequence=3)],
    )
    assert harness.state("j") is JobState.COMPLETED


def test_nothing_starts_on_a_worker_that_has_not_listed_its_runs():
    """Guards against a second run of a task that an earlier planner has started."""
    harness = PlannerHarness(entry("w1"))
    harness.add(request("j", step()))
    assert harness.plan_starts() == []


def test_an_inherited_task_waits_for_unreachable_workers():
    """Guards against a second run of a task that still runs on an unreachable worker
    after a takeover.
    """
    harness = PlannerHarness(
        entry("w1"), entry("w2"), inherited_revision=200, inherited_until=12.0
    )
    harness.send_heartbeat("w1")
    harness.add(request("j", step()))
    assert harness.plan_starts() == []
    harness.now = 12.5
    harness.send_heartbeat("w1")
    assert len(harness.plan_starts()) == 1


def test_a_new_job_does_not_wait_for_unreachable_workers():
    harness = PlannerHarness(
        entry("w1"), entry("w2"), inherited_revision=50, inherited_until=12.0
    )
    harness.send_heartbeat("w1")
    harness.add(request("j", step()))
    assert len(harness.plan_starts()) == 1


def test_a_job_accepted_after_the_lease_was_last_confirmed_is_not_started():
    """Guards against a second run: a deposed planner still read new jobs from the
    store and started one that its successor treated as never started.
    """
    harness = PlannerHarness(entry("w1"), inherited_revision=50)
    harness.send_heartbeat("w1")
    fresh = JobProgress(JobState.PENDING, "a", {})
    job = request("j", step())
    harness.planner.add_job(job, fresh, 60, now=0.0, unix_s=START_UNIX_S)
    assert harness.planner.has_unconfirmed_jobs
    assert harness.plan_starts() == []
    harness.planner.confirm_lease(59)
    assert harness.plan_starts() == []
    harness.planner.confirm_lease(61)
    assert not harness.planner.has_unconfirmed_jobs
    assert len(harness.plan_starts()) == 1


def test_an_inherited_gang_waits_for_a_member_on_an_unreachable_worker():
    """Guards against a second run: all known members of the gang had ended, while
    another one was running on an unreachable worker.
    """
    harness = PlannerHarness(
        entry("w1"), entry("w2"), inherited_revision=200, inherited_until=12.0
    )
    harness.add(request("j", step(2, gpu=8, gang=True)))
    seen = TaskName("j", 0, 0, 0)
    harness.send_heartbeat("w1", running=[RunningTask(seen, 1, "", 5.0)])
    harness.now = 1.0
    harness.send_heartbeat("w1", ended=[EndedTask(1, seen, 1, EndKind.BROKEN)])
    harness.send_heartbeat("w1")
    harness.planner.add_worker(entry("w3"), now=1.0)
    harness.send_heartbeat("w3")
    assert harness.plan_starts() == []
    harness.now = 12.5
    for name in ("w1", "w3"):
        harness.send_heartbeat(name)
    assert {order.run for order in harness.plan_starts()} == {2}


def test_an_inherited_gang_whose_members_are_all_known_restarts_at_once():
    harness = PlannerHarness(
        entry("w1"),
        entry("w2"),
        entry("w3"),
        inherited_revision=200,
        inherited_until=12.0,
    )
    harness.add(request("j", step(2, gpu=8, gang=True)))
    for ordinal, name in enumerate(("w1", "w2")):
        harness.send_heartbeat(
            name, running=[RunningTask(TaskName("j", 0, 0, ordinal), 1, "", 5.0)]
        )
    for ordinal, name in enumerate(("w1", "w2")):
        harness.send_heartbeat(
            name, ended=[EndedTask(1, TaskName("j", 0, 0, ordinal), 1, EndKind.BROKEN)]
        )
    assert [order.run for order in harness.plan_starts()] == [2, 2]


def test_a_run_that_may_exist_holds_its_resources():
    """Guards against overcommitted workers: unanswered starts may take effect late."""
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("j", step(gpu=8)))
    (order,) = harness.plan_starts()
    harness.answer_start(order, StartOutcome.UNKNOWN, certain=False)
    harness.add(request("k", step(gpu=8)))
    harness.now = 1.0
    stops = harness.plan()
    assert [type(each) for each in stops] == [StopOrder]
    harness.send_heartbeat("w1")
    assert harness.plan_starts() == []


def test_a_stopped_run_frees_its_resources_with_the_first_reply_without_it():
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("j", step(gpu=8)))
    (order,) = harness.plan_starts()
    harness.answer_start(order, StartOutcome.UNKNOWN, certain=False)
    (stop,) = harness.plan()
    harness.now = 0.5
    harness.planner.apply_stop_outcome(stop, StopOutcome.STOPPED, now=0.5)
    harness.now = 1.0
    harness.send_heartbeat("w1")
    (again,) = harness.plan_starts()
    assert again.run == 2


def test_runs_of_an_unreachable_worker_are_released_after_its_lease():
    harness = PlannerHarness(entry("w1"), entry("w2"))
    for name in ("w1", "w2"):
        harness.send_heartbeat(name)
    harness.add(request("j", step(gpu=8)))
    (order,) = harness.plan_starts()
    harness.answer_start(order)
    harness.now = 9.0
    other = "w2" if order.worker == "w1" else "w1"
    harness.send_heartbeat(other)
    assert harness.plan_starts() == []
    harness.now = 10.8
    harness.send_heartbeat(other)
    (again,) = harness.plan_starts()
    assert again.worker == other
    assert again.run == 2


def test_a_restarted_worker_has_lost_its_runs():
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1", born_ms=1)
    harness.add(request("j", step()))
    (order,) = harness.plan_starts()
    harness.answer_start(order)
    harness.now = 1.0
    harness.send_heartbeat("w1", born_ms=2)
    (again,) = harness.plan_starts()
    assert again.run == 2


def test_failed_attempts_are_counted_once_across_a_takeover():
    """Guards against wrong failure counts: an ended run may be listed again."""
    harness = PlannerHarness(entry("w1"), inherited_revision=200, inherited_until=0.0)
    progress = JobProgress(
        JobState.RUNNING, "a", {(0, 0, 0): UnitProgress(False, 1, (1,))}
    )
    harness.add(request("j", step()), progress)
    harness.send_heartbeat(
        "w1", ended=[EndedTask(7, TaskName("j", 0, 0, 0), 1, EndKind.FAILED)]
    )
    assert harness.state("j") is JobState.RUNNING
    harness.now = 5.0
    harness.send_heartbeat("w1")
    (order,) = harness.plan_starts()
    assert order.run == 2
    harness.answer_start(order)
    harness.send_heartbeat("w1", ended=[ended(order, EndKind.FAILED, 8)])
    assert harness.state("j") is JobState.FAILED


def test_a_failing_worker_is_used_for_a_gang_when_there_is_no_other():
    """Guards against a missed guarantee: one failure excluded a worker from gangs for
    good.
    """
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("j", step(gang=True), route=queue("batch", 2, attempts=5)))
    (order,) = harness.plan_starts()
    harness.answer_start(order)
    harness.send_heartbeat("w1", ended=[ended(order, EndKind.FAILED)])
    harness.now = 2.0
    harness.send_heartbeat("w1")
    assert len(harness.plan_starts()) == 1


def test_a_worker_that_fails_every_run_is_quarantined():
    harness = PlannerHarness(entry("w1"), entry("w2"))
    for name in ("w1", "w2"):
        harness.send_heartbeat(name)
    harness.add(request("j", step(), route=queue("batch", 2, attempts=9)))
    used = []
    for sequence in range(1, 4):
        harness.now += 0.2
        (order,) = harness.plan_starts()
        used.append(order.worker)
        harness.answer_start(order)
        how = EndKind.FAILED if order.worker == used[0] else EndKind.STOPPED
        harness.send_heartbeat(order.worker, ended=[ended(order, how, sequence)])
    assert used[1] == used[2] != used[0]


def test_an_urgent_job_within_its_guarantee_preempts_batch_work():
    """Guards against a missed guarantee: other accounts' work fills the pool."""
    harness = PlannerHarness(entry("w1"), guaranteed=8)
    harness.send_heartbeat("w1")
    harness.add(request("batch", step(gpu=8), route=queue("batch", 2), account="b"))
    (batch,) = harness.plan_starts()
    harness.answer_start(batch)
    harness.add(request("urgent", step(gpu=8, gang=True)))
    harness.now = 0.1
    harness.send_heartbeat("w1", running=[running(batch)])
    (stop,) = harness.plan()
    assert stop == StopOrder("w1", batch.task, 1)
    harness.add(request("late", step(gpu=1), account="b"))
    harness.now = 1.0
    harness.send_heartbeat("w1", ended=[ended(batch, EndKind.STOPPED)])
    (order, *_) = harness.plan_starts()
    assert order.task.job == "urgent"


def test_an_urgent_job_beyond_its_guarantee_preempts_nothing():
    harness = PlannerHarness(entry("w1"), guaranteed=4)
    harness.send_heartbeat("w1")
    harness.add(request("batch", step(gpu=8), route=queue("batch", 2), account="b"))
    (batch,) = harness.plan_starts()
    harness.answer_start(batch)
    harness.add(request("urgent", step(gpu=8, gang=True)))
    harness.now = 2.0
    harness.send_heartbeat("w1", running=[running(batch)])
    assert harness.plan() == []


def test_a_preemption_that_frees_no_capacity_is_replaced():
    """Guards against a missed guarantee: capacity was held for good on a worker that
    had left.
    """
    harness = PlannerHarness(entry("w1"), entry("w2"), guaranteed=8)
    for name in ("w1", "w2"):
        harness.send_heartbeat(name)
    for name in ("b1", "b2"):
        harness.add(request(name, step(gpu=8), route=queue("batch", 2), account="b"))
    batch = harness.plan_starts()
    for order in batch:
        harness.answer_start(order)
    harness.add(request("urgent", step(gpu=8, gang=True)))
    harness.now = 0.6
    (stop,) = harness.plan()
    harness.planner.add_worker(entry(stop.worker, draining=True), now=0.7)
    harness.now = 2.0
    for order in batch:
        harness.send_heartbeat(order.worker, running=[running(order, 20.0)])
    (other,) = harness.plan()
    assert other.worker != stop.worker


def test_a_scheduled_job_does_not_start_before_its_time():
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("j", step(), schedule=Schedule(2, START_UNIX_S + 5, 3.0)))
    harness.now = 4.9
    harness.send_heartbeat("w1")
    assert harness.plan_starts() == []
    harness.now = 5.0
    assert [order.task.occurrence for order in harness.plan_starts()] == [0]
    harness.now = 8.0
    harness.send_all_heartbeats()
    assert [order.task.occurrence for order in harness.plan_starts()] == [1]


def test_a_cancelled_job_is_stopped_and_stays_cancelled():
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("j", step()))
    (order,) = harness.plan_starts()
    harness.answer_start(order)
    harness.planner.cancel_job("j", unix_s=START_UNIX_S)
    assert harness.plan() == [StopOrder("w1", order.task, 1)]
    harness.send_heartbeat("w1", ended=[ended(order)])
    assert harness.state("j") is JobState.CANCELLED


def test_a_run_that_is_not_needed_is_stopped():
    """Guards against runs of cancelled jobs, started by a delayed order."""
    harness = PlannerHarness(entry("w1"))
    task = TaskName("gone", 0, 0, 0)
    harness.send_heartbeat("w1", running=[RunningTask(task, 3, "", 1.0)])
    assert harness.plan() == [StopOrder("w1", task, 3)]


def test_a_stalled_run_is_stopped_and_restarted_elsewhere():
    harness = PlannerHarness(entry("w1"), entry("w2"))
    for name in ("w1", "w2"):
        harness.send_heartbeat(name)
    harness.add(request("j", step()))
    (order,) = harness.plan_starts()
    harness.answer_start(order)
    for tenth in range(1, 40):
        harness.now = tenth / 10
        harness.send_heartbeat(order.worker, running=[running(order, 10.0)])
    assert harness.plan() == [StopOrder(order.worker, order.task, 1)]
    harness.send_heartbeat(
        order.worker, ended=[ended(order, EndKind.STOPPED, saved="7")]
    )
    harness.send_all_heartbeats()
    (again,) = harness.plan_starts()
    assert again.worker != order.worker
    assert again.checkpoint == "7"


def test_an_urgent_gang_with_a_stalled_member_restarts_within_its_slack():
    """Load: workers that hang for six seconds while they run members of urgent gangs.
    Each gang waited until its worker had recovered.
    """
    harness = PlannerHarness(entry("w1"), entry("w2"), entry("w3"), entry("w4"))
    harness.send_all_heartbeats()
    harness.add(request("j", step(2, gpu=8, gang=True)))
    sound, hung = harness.start_all()
    for poll in range(1, 5):
        harness.now = poll * 0.4
        harness.send_heartbeat(sound.worker, running=[running(sound, poll * 16)])
        harness.send_heartbeat(hung.worker, running=[running(hung, 5)])
        for idle in {"w1", "w2", "w3", "w4"} - {sound.worker, hung.worker}:
            harness.send_heartbeat(idle)
        orders = harness.plan()
    assert {order.worker for order in orders} == {sound.worker, hung.worker}
    for order in (sound, hung):
        harness.send_heartbeat(order.worker, ended=[ended(order, EndKind.STOPPED)])
    again = harness.start_all()
    assert len(again) == 2
    assert hung.worker not in {order.worker for order in again}


def test_a_worker_in_a_crash_loop_is_used_last():
    """Load: workers that crash and restart every second. Each urgent gang with a
    member on such a worker had to restart.
    """
    flapping = entry("w1", address="ip:9")
    harness = PlannerHarness(flapping, entry("w2"))
    harness.send_all_heartbeats()
    harness.planner.remove_ended_worker("w1", now=0.0, unix_s=START_UNIX_S)
    harness.now = 1.0
    harness.planner.add_worker(flapping._replace(worker="w1b"), now=harness.now)
    harness.send_heartbeat("w1b")
    harness.send_heartbeat("w2")
    harness.add(request("j", step(gpu=1)))
    (order,) = harness.plan_starts()
    assert order.worker == "w2"
    # It restarts under the same identifier within seconds, so it is quarantined.
    harness.send_heartbeat("w1b", born_ms=7)
    harness.send_heartbeat("w1b", born_ms=8)
    harness.send_heartbeat("w2", running=[running(order)])
    harness.add(request("k", step(8, gpu=1)))
    assert {order.worker for order in harness.plan_starts()} == {"w2"}


def test_nothing_starts_while_no_lease_could_be_granted():
    """Load: the store is unavailable for longer than worker leases last. Workers
    rejected each start as late, and it was retried without end.
    """
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("j", step()))
    harness.planner.stored_roster = frozenset({"w1"})
    assert harness.planner.plan(now=0.0, unix_s=START_UNIX_S, may_start=False) == []
    assert len(harness.plan_starts()) == 1


def test_members_that_wait_for_slower_ones_do_not_count_as_stalled():
    """Guards against false stall detection: gangs with uneven members on workers of
    different speed were stopped close to their end, up to four times in a row.
    """
    harness = PlannerHarness(entry("w1"), entry("w2"))
    for name in ("w1", "w2"):
        harness.send_heartbeat(name)
    harness.add(request("j", step(2, gpu=8, gang=True)))
    fast, slow = harness.plan_starts()
    for order in (fast, slow):
        harness.answer_start(order)
    for second in range(1, 12):
        harness.now = float(second)
        harness.send_heartbeat(
            fast.worker, running=[running(fast, min(100, second * 20))]
        )
        harness.send_heartbeat(slow.worker, running=[running(slow, second * 8)])
        assert harness.plan() == []


def test_a_long_running_task_restarts_however_it_ends():
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("j", step(long_running=True)))
    for sequence, how in enumerate([EndKind.DONE, EndKind.FAILED, EndKind.FAILED], 1):
        (order,) = harness.plan_starts()
        assert order.run == sequence
        harness.answer_start(order)
        harness.send_heartbeat("w1", ended=[ended(order, how, sequence)])
        harness.now += 9.0
        harness.send_heartbeat("w1")
    assert harness.state("j") is JobState.RUNNING


def test_members_of_a_single_rack_gang_share_a_rack():
    workers = [entry(f"w{number}", f"r{number % 2}") for number in range(4)]
    harness = PlannerHarness(*workers)
    for each in workers:
        harness.send_heartbeat(each.worker)
    harness.add(request("j", step(2, gpu=8, gang=True, same_rack=True)))
    racks = {
        harness.planner.workers[order.worker].entry.rack
        for order in harness.plan_starts()
    }
    assert len(racks) == 1


def test_tasks_per_worker_are_limited():
    harness = PlannerHarness(entry("w1"), entry("w2"))
    for name in ("w1", "w2"):
        harness.send_heartbeat(name)
    harness.add(request("j", step(4, max_tasks_per_worker=1)))
    assert sorted(order.worker for order in harness.plan_starts()) == ["w1", "w2"]


def test_progress_holds_one_record_per_gang():
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("j", step(2, gang=True)))
    for order in harness.plan_starts():
        harness.answer_start(order)
    progress = harness.planner.jobs["j"].progress()
    placements = {0: Placement("w1"), 1: Placement("w1")}
    gang = UnitProgress(False, 1, placements=placements)
    assert progress.units == {(0, 0, GANG_INDEX): gang}


def test_a_run_being_stopped_of_a_finished_job_holds_its_resources():
    """Guards against overcommitted workers: after a takeover the planner did not count
    the resources of a cancelled job's runs.
    """
    harness = PlannerHarness(entry("w1"), inherited_revision=200)
    harness.add(
        request("gone", step(gpu=8)),
        JobProgress(JobState.CANCELLED, "a", {}, START_UNIX_S),
    )
    harness.send_heartbeat(
        "w1", running=[RunningTask(TaskName("gone", 0, 0, 0), 1, "", 5.0)]
    )
    harness.add(request("j", step()))
    assert harness.plan_starts() == []


def test_a_run_of_an_unknown_job_counts_as_the_whole_worker():
    harness = PlannerHarness(entry("w1"), inherited_revision=200)
    harness.send_heartbeat(
        "w1", running=[RunningTask(TaskName("gone", 0, 0, 0), 1, "", 5.0)]
    )
    harness.add(request("j", step()))
    assert harness.plan_starts() == []


def test_a_failure_seen_after_another_member_of_the_gang_is_counted():
    """Guards against a missed failure: at a takeover one member was adopted as running
    before the failure of the other was listed.
    """
    harness = PlannerHarness(entry("w1"), entry("w2"), inherited_revision=200)
    progress = JobProgress(
        JobState.RUNNING, "a", {(0, 0, GANG_INDEX): UnitProgress(False, 1, (1,))}
    )
    harness.add(request("j", step(2, gpu=8, gang=True)), progress)
    harness.send_heartbeat(
        "w1", running=[RunningTask(TaskName("j", 0, 0, 1), 2, "", 5.0)]
    )
    harness.send_heartbeat(
        "w2", ended=[EndedTask(1, TaskName("j", 0, 0, 0), 2, EndKind.FAILED)]
    )
    assert harness.state("j") is JobState.FAILED


def test_a_worker_known_only_from_the_stored_roster_is_waited_for():
    """Guards against a second run: the registration of an unreachable worker had
    expired, and the earlier planner had lost its connection to the store.
    """
    harness = PlannerHarness(entry("w1"), inherited_revision=200, inherited_until=12.0)
    harness.planner.add_unregistered_worker("w2", now=0.0)
    harness.send_heartbeat("w1")
    harness.add(request("j", step()))
    assert harness.plan_starts() == []
    harness.planner.remove_ended_worker("w2", now=0.0, unix_s=START_UNIX_S)
    assert len(harness.plan_starts()) == 1


def test_a_worker_is_used_only_once_it_is_in_the_stored_roster():
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("j", step()))
    assert harness.planner.roster_outdated
    assert harness.planner.plan(now=0.0, unix_s=START_UNIX_S) == []


def test_a_job_that_can_meet_its_objective_is_placed_before_a_late_one():
    """Load: more urgent gangs than the pool holds. In order of arrival each of them
    was a little late, instead of only some of them.
    """
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("late", step(gpu=8, gang=True), route=queue("batch", 2)))
    harness.now = 60.0
    harness.send_heartbeat("w1")
    harness.add(request("fresh", step(gpu=8, gang=True), route=queue("batch", 2)))
    assert [order.task.job for order in harness.plan_starts()] == ["fresh"]


def test_the_least_slack_is_placed_first_within_a_priority():
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    long = step(gpu=8, gang=True)._replace(estimate_s=20.0)
    harness.add(request("long", long, route=queue("batch", 2)))
    harness.add(request("short", step(gpu=8, gang=True), route=queue("batch", 2)))
    assert [order.task.job for order in harness.plan_starts()] == ["short"]


def test_a_full_pool_sets_idle_workers_aside_for_urgent_gangs():
    """Load: batch work fills the pool between urgent gangs, and each of these preempts
    other work.
    """
    workers = [entry(f"w{number}") for number in range(8)]
    harness = PlannerHarness(*workers)
    for each in workers:
        harness.send_heartbeat(each.worker)
    batch = queue("batch", 2)
    harness.add(request("batch", step(7, gpu=8), route=batch))
    assert len(harness.plan_starts()) == 7
    harness.add(request("more", step(gpu=8), route=batch))
    assert harness.plan_starts() == []
    harness.add(request("urgent", step(gpu=8, gang=True)))
    assert [order.task.job for order in harness.plan_starts()] == ["urgent"]


def test_a_slow_worker_is_detected_by_comparison_and_used_last():
    """Load: one slow worker delays every gang that has a member on it."""
    workers = [entry(f"w{number}") for number in range(4)]
    harness = PlannerHarness(*workers)
    for each in workers:
        harness.send_heartbeat(each.worker)
    harness.add(request("j", step(4, gpu=8, gang=True)))
    members = harness.plan_starts()
    for order in members:
        harness.answer_start(order)
    slow = members[0].worker
    for tenth in range(1, 45):
        harness.now = tenth / 10
        for order in members:
            share = 2 if order.worker == slow else 20
            harness.send_heartbeat(order.worker, [running(order, share * harness.now)])
    speeds = {name: worker.speed for name, worker in harness.planner.workers.items()}
    assert min(speeds, key=speeds.get) == slow
    for order in members:
        harness.send_heartbeat(order.worker, ended=[ended(order)])
    harness.add(request("k", step(3, gpu=8, gang=True)))
    assert slow not in {order.worker for order in harness.plan_starts()}


def test_a_step_that_needs_permission_starts_with_its_ticket():
    """Guards against starts without a ticket, which workers of such a queue reject."""
    harness = PlannerHarness(entry("w1"), entry("w2"))
    for name in ("w1", "w2"):
        harness.send_heartbeat(name)
    advised = queue("advised", 1)._replace(advice=AdvicePolicy(0.05, 0.01, 3.0))
    harness.add(request("j", step(2, gpu=8), route=advised))
    assert harness.plan_starts() == []
    (advice_request,) = harness.planner.advice_requests
    assert sorted(advice_request.workers) == ["w1", "w2"]
    assert harness.plan_starts() == []
    assert len(harness.planner.advice_requests) == 1
    harness.planner.apply_advice(advice_request, Advice({"w2": "t-2"}, 3.0), now=0.1)
    (order,) = harness.plan_starts()
    assert (order.worker, order.ticket) == ("w2", "t-2")
    harness.answer_start(order, StartOutcome.NO_TICKET)
    harness.now = 0.5
    assert harness.plan_starts() == []
    assert harness.planner.advice_requests[-1].workers == ("w2",)


def test_a_single_rack_gang_waits_while_idle_workers_are_set_aside():
    """Load: a wide gang in a busy pool. With the workers set aside for urgent work no
    rack seemed large enough, so it ran across racks at a third of its speed.
    """
    workers = [entry(f"w{number}", f"r{number // 4}") for number in range(16)]
    harness = PlannerHarness(*workers)
    for each in workers:
        harness.send_heartbeat(each.worker)
    batch = queue("batch", 2)
    harness.add(request("fill", step(12, gpu=8), route=batch))
    for order in harness.plan_starts():
        harness.answer_start(order)
    harness.add(request("wide", step(4, gpu=8, gang=True, same_rack=True), route=batch))
    assert harness.plan_starts() == []


def test_a_single_rack_gang_waits_while_idle_capacity_is_fragmented():
    """Load: gangs that need one rack in a pool whose free capacity is fragmented.
    Across racks each runs three times as long, which cost one queue a tenth of its
    score.
    """
    workers = [entry(f"w{number}", f"r{number // 4}") for number in range(16)]
    harness = PlannerHarness(*workers)
    for each in workers:
        harness.send_heartbeat(each.worker)
    pinned = [step(gpu=1)._replace(data_rack=f"r{rack}") for rack in range(4)]
    harness.add(request("small", *pinned))
    for order in harness.plan_starts():
        harness.answer_start(order)
    harness.add(request("wide", step(4, gpu=8, gang=True, same_rack=True)))
    assert harness.plan_starts() == []
    harness.now = 1.6
    harness.send_all_heartbeats()
    assert harness.plan_starts() == []


def test_a_guaranteed_gang_uses_two_racks_when_none_can_be_cleared():
    """Guards against a missed guarantee: capacity freed across racks was never used."""
    workers = [entry(f"w{number}", f"r{number // 2}") for number in range(4)]
    harness = PlannerHarness(*workers, guaranteed=16)
    for each in workers:
        harness.send_heartbeat(each.worker)
    long_running = [
        step(gpu=8, long_running=True)._replace(data_rack=f"r{rack}") for rack in (0, 1)
    ]
    harness.add(
        request("long-running", *long_running, route=queue("batch", 2), account="b")
    )
    harness.add(request("batch", step(2, gpu=8), route=queue("batch", 2), account="b"))
    orders = harness.plan_starts()
    assert len(orders) == 4
    for order in orders:
        harness.answer_start(order)
    harness.add(request("urgent", step(2, gpu=8, gang=True, same_rack=True)))
    harness.now = 0.1
    stops = harness.plan()
    assert {stop.task.job for stop in stops} == {"batch"}
    for sequence, stop in enumerate(stops, 1):
        end = EndedTask(sequence, stop.task, stop.run, EndKind.STOPPED)
        harness.send_heartbeat(stop.worker, ended=[end])
    assert [order.task.job for order in harness.plan_starts()][:2] == [
        "urgent",
        "urgent",
    ]
