"""Unexpected errors, pauses and wrong lists cost as little as possible.

Guards against troubles that operators of similar systems have met: one error that takes
a whole process down, a paused process that acts on an expired permission, and the work
of a silent worker that is started again elsewhere although it still runs.
"""

import asyncio
import time
from types import SimpleNamespace

import pytest
from bilberryhitch_jobs import Resources, Step, TableWatcher
from bilberryhitch_jobs.rows import RowSnapshot, StoreRow
from bilberryhitch_model import clock
from bilberryhitch_planner import (
    LeaderLease,
    LeadingPlanner,
    Machine,
    Planner,
    StartOutcome,
    WorkerFenced,
)
from bilberryhitch_planner.leader_election import (
    LEASE_EXPIRY_S,
    WORKER_LEASE_HORIZON_S,
)
from bilberryhitch_planner.scheduling_round import SchedulingRound
from bilberryhitch_planner.state_writer import StateWriter
from bilberryhitch_planner.worker_session import WorkerSession
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    entry,
    request,
    running,
    step,
)


class SteadyClock:
    """The loop's clock, plus the time for which the process was suspended."""

    def __init__(self):
        self.suspended_s = 0.0

    def __call__(self):
        return asyncio.get_running_loop().time() + self.suspended_s


@pytest.fixture
def steady(monkeypatch):
    steady_clock = SteadyClock()
    monkeypatch.setattr(clock, "steady_s", steady_clock)
    return steady_clock


class RecordingCalls:
    """Worker calls that succeed and are recorded."""

    def __init__(self):
        self.starts = []

    async def start_run(self, worker, order, *, token, lease_until_s):
        self.starts.append(order)
        return StartOutcome.STARTED


def session_of(harness, calls, lease_limit):
    writer = SimpleNamespace(worker_lease_limit=lease_limit)
    lease = LeaderLease("a/1", 1, 0.0, 0.0)
    return WorkerSession("w1", harness.planner, writer, lease, calls, lambda: None)


def test_the_clock_of_permissions_counts_a_suspension(monkeypatch):
    read = []
    monkeypatch.setattr(time, "clock_gettime", lambda which: read.append(which) or 1.5)
    assert clock.steady_s() == 1.5
    assert read == [time.CLOCK_BOOTTIME]


def test_a_start_is_not_sent_once_its_lease_permission_has_run_out(steady):
    """Guards against a process that is suspended between the round that placed a run
    and the start: a successor may have waited the lease out and started it elsewhere.
    """

    async def run_scenario():
        harness = PlannerHarness(entry("w1"))
        harness.send_heartbeat("w1")
        harness.add(request("j", step()))
        (order,) = harness.plan_starts()
        calls = RecordingCalls()
        session = session_of(harness, calls, clock.steady_s() + WORKER_LEASE_HORIZON_S)
        steady.suspended_s = WORKER_LEASE_HORIZON_S
        await session.send(order)
        assert calls.starts == []
        # The run certainly does not exist, so its unit waits for another start.
        assert not harness.planner.workers["w1"].runs
        assert harness.planner.jobs["j"].steps[0, 0].waiting

    run_virtual(run_scenario())


def test_permissions_of_the_leader_lease_end_during_a_suspension(steady):
    """Guards against upkeep orders and worker leases of a planner that was suspended
    for longer than its lease, while another host acquired it.
    """

    async def run_scenario():
        lease = LeaderLease("a/1", 1, clock.steady_s(), 0.0)
        planner = Planner(inherited_revision=1, inherited_until=0.0)
        writer = StateWriter(SimpleNamespace(), lease, planner, retention_s=60.0)
        assert writer.lease_is_fresh
        steady.suspended_s = LEASE_EXPIRY_S
        assert not writer.lease_is_fresh
        steady.suspended_s = WORKER_LEASE_HORIZON_S
        assert writer.worker_lease_limit <= clock.steady_s()

    run_virtual(run_scenario())


def test_a_row_that_cannot_be_applied_costs_no_other_row():
    applied = []

    def apply(row):
        if row.key == "bad":
            raise ZeroDivisionError
        applied.append(row.key)

    class Store:
        async def watch(self, table, after, wait_s):
            if after >= 3:
                await asyncio.sleep(wait_s)
                return RowSnapshot((), after)
            rows = (StoreRow("t", "bad", b"", 2), StoreRow("t", "good", b"", 3))
            return RowSnapshot(rows, 3)

        async def read(self, table, first="", last="", *, partition="", timeout_s):
            return RowSnapshot((), 1)

    async def run_scenario():
        watcher = TableWatcher(Store(), "t", lambda rows, revision: None, apply)
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(0.5)
        assert not task.done()
        task.cancel()
        assert applied == ["good"]

    run_virtual(run_scenario())


def test_a_job_that_cannot_be_placed_costs_no_other_job(monkeypatch):
    """Guards against a crash loop: each planner in turn would fail at the same job."""
    place_step = SchedulingRound.place_step

    def fail_for_one_job(self, each):
        if each.job.request.job == "bad":
            raise ZeroDivisionError
        place_step(self, each)

    monkeypatch.setattr(SchedulingRound, "place_step", fail_for_one_job)
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("bad", step()))
    harness.add(request("good", step()))
    assert [order.task.job for order in harness.plan_starts()] == ["good"]


def leading_planner(calls, machines=()):
    async def list_machines():
        return machines.pop(0) if len(machines) > 1 else machines[0]

    async def advise(_request):
        return None

    return LeadingPlanner(
        SimpleNamespace(),
        LeaderLease("a/1", 1, 0.0, 0.0),
        calls,
        worker_table="servers",
        decode_worker=lambda row: None,
        configuration=lambda: None,
        advise=advise,
        machines=SimpleNamespace(list_machines=list_machines),
        evacuated=frozenset,
        waves=lambda: (),
        encode_wave=lambda number, done: None,
        retention_s=60.0,
        store_time_s=lambda: None,
    )


def test_an_error_in_a_session_restarts_this_session_only(steady):
    """Guards against a lease term that ends because of one worker."""
    heartbeats = []

    async def hold(worker, **_fields):
        heartbeats.append(worker)
        if len(heartbeats) > 3:
            raise WorkerFenced(worker.worker)
        raise ZeroDivisionError

    async def run_scenario():
        planner = leading_planner(SimpleNamespace(hold=hold))
        planner.planner.add_worker(entry("w1"), now=clock.steady_s())
        session = WorkerSession(
            "w1",
            planner.planner,
            planner.state_writer,
            LeaderLease("a/1", 1, 0.0, 0.0),
            SimpleNamespace(hold=hold),
            lambda: None,
        )
        with pytest.raises(WorkerFenced):
            await planner._run_session("w1", session)
        assert len(heartbeats) == 4

    run_virtual(run_scenario())


def test_a_start_with_an_unexpected_error_is_treated_as_unknown(steady):
    """Guards against a run that may exist and is neither stopped nor waited for."""

    async def start_run(worker, order, *, token, lease_until_s):
        raise ZeroDivisionError

    async def run_scenario():
        harness = PlannerHarness(entry("w1"))
        harness.send_heartbeat("w1")
        harness.add(request("j", step()))
        (order,) = harness.plan_starts()
        planner = leading_planner(SimpleNamespace())
        planner.planner = harness.planner
        session = session_of(
            harness, SimpleNamespace(start_run=start_run), clock.steady_s() + 12.0
        )
        await planner._send(session, order)
        (stop,) = harness.plan()
        assert (stop.task, stop.run) == (order.task, order.run)
        assert harness.planner.workers["w1"].runs

    run_virtual(run_scenario())


@pytest.mark.parametrize(("in_second_list", "kept"), [(True, True), (False, False)])
def test_a_silent_worker_is_given_up_only_if_two_lists_lack_it(
    steady, in_second_list, kept
):
    """Guards against running work that is started again elsewhere: the list is read
    page by page while machines come and go, so one list can lack a machine that is up.
    """
    up = (Machine("m-1", "w1", True),)

    async def run_scenario():
        planner = leading_planner(
            SimpleNamespace(), [(), up if in_second_list else (), up]
        )
        planner.planner.add_worker(entry("w1"), now=clock.steady_s())
        checks = asyncio.create_task(planner._check_silent_workers())
        await asyncio.sleep(2.8)
        checks.cancel()
        assert ("w1" in planner.planner.workers) is kept

    run_virtual(run_scenario())


def test_a_worker_that_is_silent_for_a_while_keeps_its_runs():
    """Guards against runs that are given up before their lease can have expired."""
    harness = PlannerHarness(entry("w1"), entry("w2"))
    harness.send_heartbeat("w1")
    harness.send_heartbeat("w2")
    harness.add(request("j", step()))
    (order,) = harness.start_all()
    other = {"w1": "w2", "w2": "w1"}[order.worker]
    for tick in range(1, 95):
        harness.now = tick / 10
        harness.send_heartbeat(other)
        assert harness.plan_starts() == []
    # Its first report after the silence shows the progress made meanwhile.
    harness.send_heartbeat(order.worker, [running(order, 90.0)])
    assert harness.plan() == []
    assert harness.planner.workers[order.worker].runs


@pytest.mark.parametrize("percent_s", [1.0, 8.0])
def test_a_long_run_on_a_slow_worker_is_not_taken_for_stalled(percent_s):
    """Guards against work that is given up although it advances: a run of minutes needs
    seconds for each percent, which is all that a worker reports.
    """
    harness = PlannerHarness(entry("w1"), entry("w2"))
    harness.send_heartbeat("w1")
    harness.send_heartbeat("w2")
    harness.add(request("j", Step(1, Resources(1_000, 1_000, 1), 100.0)))
    (order,) = harness.start_all()
    for tick in range(1, 100):
        harness.now = tick * 0.6
        done = running(order, float(harness.now // percent_s))
        for name in ("w1", "w2"):
            harness.send_heartbeat(name, [done] if name == order.worker else [])
        assert harness.plan() == []


def test_a_long_run_that_stands_still_is_stopped():
    """Guards against a limit that finds no stalled run any more."""
    harness = PlannerHarness(entry("w1"))
    harness.send_heartbeat("w1")
    harness.add(request("j", Step(1, Resources(1_000, 1_000, 1), 100.0)))
    (order,) = harness.start_all()
    for tick in range(1, 40):
        harness.now = tick * 0.6
        done = running(order, min(5.0, harness.now // 1.0))
        harness.send_heartbeat(order.worker, [done])
        if stops := harness.plan():
            break
    assert [stop.task for stop in stops] == [order.task]
    assert 5.0 < harness.now < 12.0
