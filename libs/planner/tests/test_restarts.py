"""Workers that restart under their identifier while answers of theirs are under way.

Pattern: a worker crashes and is back within a second. Its answers to heartbeats and to
orders travel on different connections and overtake each other.
"""

import asyncio
from types import SimpleNamespace

import pytest
from bilberryhitch_jobs import CrashCount
from bilberryhitch_planner import (
    EndKind,
    HeartbeatReply,
    LeaderLease,
    StartOutcome,
    StopOrder,
)
from bilberryhitch_planner.worker_session import WorkerSession
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.planner_harness import (
    LEASE_S,
    START_UNIX_S,
    PlannerHarness,
    ended,
    entry,
    request,
    running,
    step,
)

FORMER, NEW = 1, 2


def harness_with_former_life():
    """Return a planner whose worker ``w0`` runs a task of its former life."""
    harness = PlannerHarness(entry("w0"), entry("w1"))
    for name in ("w0", "w1"):
        harness.send_heartbeat(name, born_ms=FORMER)
    harness.add(request("old", step(gpu=4)))
    (order,) = harness.start_all()
    harness.now = 5.0
    harness.send_heartbeat("w0", [running(order)], born_ms=FORMER)
    harness.send_heartbeat("w1", born_ms=FORMER)
    return harness, order


def starts_within(harness, seconds):
    """Return the start orders of some time in which all workers answer."""
    orders = []
    for _ in range(int(seconds / 0.5)):
        harness.now += 0.5
        harness.send_all_heartbeats()
        orders += harness.start_all()
    return orders


def start_in_new_life(harness):
    """Start a task in the new life, of which a list is still under way.

    :returns: the start order, and the time at which the list was requested
    """
    harness.now = requested_at = 5.2
    harness.add(request("new", step()))
    (order,) = harness.plan_starts()
    harness.now = 5.4
    harness.answer_start(order)
    harness.now = 5.7
    harness.send_heartbeat("w0", born_ms=NEW, sent_at=requested_at)
    return order


def test_a_run_of_the_new_life_is_not_started_elsewhere_after_an_older_list():
    """Guards against two runs of a task at the same time, as a list of runs that was
    made before its start is taken for proof that it has ended.
    """
    harness, old = harness_with_former_life()
    new = start_in_new_life(harness)
    assert [order.task for order in harness.plan_starts()] == [old.task]
    harness.now = 5.8
    harness.send_heartbeat("w0", [running(new)], born_ms=NEW)
    (unit,) = harness.planner.jobs["new"].units
    assert not unit.crashes
    assert not harness.plan_starts()


def test_a_run_that_neither_list_shows_was_lost_with_the_former_life():
    """Guards against a task that is never started again, or whose crash is not counted,
    as its start was answered after the list was requested.
    """
    harness, _ = harness_with_former_life()
    new = start_in_new_life(harness)
    harness.plan()
    harness.now = 5.8
    harness.send_heartbeat("w0", born_ms=NEW)
    (unit,) = harness.planner.jobs["new"].units
    assert unit.crashes == {0: CrashCount(1, 1, 0)}
    orders = starts_within(harness, 4.0)
    assert [order.run for order in orders if order.task == new.task] == [2]


def test_a_run_that_ended_in_the_new_life_before_its_list_is_done():
    """Guards against a short task that is done again after a restart."""
    harness, _ = harness_with_former_life()
    harness.add(request("new", step()))
    (order,) = harness.start_all()
    harness.now = 6.0
    harness.send_heartbeat("w0", ended=[ended(order)], born_ms=NEW)
    (unit,) = harness.planner.jobs["new"].units
    assert unit.done
    assert not unit.crashes


@pytest.mark.parametrize("outcome", [StartOutcome.UNKNOWN, None])
def test_an_unanswered_start_holds_its_task_after_a_restart(outcome):
    """Guards against two runs of a task, as a start that was not answered may be
    carried out by the new life.
    """
    harness, _ = harness_with_former_life()
    harness.add(request("new", step()))
    (order,) = harness.plan_starts()
    if outcome is not None:
        harness.answer_start(order, outcome, certain=False)
    harness.now = 6.0
    harness.send_heartbeat("w0", born_ms=NEW)
    assert order.task not in [each.task for each in harness.plan_starts()]
    if outcome is None:
        harness.answer_start(order, StartOutcome.UNKNOWN, certain=False)
    orders = harness.plan()
    assert order.task not in [each.task for each in orders if each.run > order.run]
    harness.now = 6.1
    harness.answer_stop(StopOrder("w0", order.task, order.run))
    harness.now = 6.2
    harness.send_heartbeat("w0", born_ms=NEW)
    orders = starts_within(harness, 4.0)
    assert [each.run for each in orders if each.task == order.task] == [2]


def test_a_stop_that_the_former_life_answered_is_repeated():
    """Guards against two runs of a task, as the new life does not know of a stop that
    the former one answered, and carries out the start that came before it.
    """
    harness, _ = harness_with_former_life()
    harness.add(request("new", step()))
    (order,) = harness.plan_starts()
    harness.answer_start(order, StartOutcome.UNKNOWN, certain=False)
    stop = StopOrder("w0", order.task, order.run)
    assert stop in harness.plan()
    harness.answer_stop(stop)
    harness.now = 6.0
    harness.send_heartbeat("w0", born_ms=NEW)
    assert stop in harness.plan()
    (unit,) = harness.planner.jobs["new"].units
    assert unit.runs
    harness.answer_stop(stop)
    harness.now = 6.1
    harness.send_heartbeat("w0", born_ms=NEW)
    assert not unit.runs


def test_a_run_that_ended_in_the_former_life_is_not_listed_twice():
    """Guards against ends of a new life that are taken for those of the former one."""
    harness, old = harness_with_former_life()
    harness.now = 5.5
    harness.send_heartbeat(
        "w0", ended=[ended(old, EndKind.STOPPED, sequence=9)], born_ms=FORMER
    )
    (again,) = harness.start_all()
    harness.now = 6.0
    harness.send_heartbeat("w0", ended=[ended(again, sequence=1)], born_ms=NEW)
    (unit,) = harness.planner.jobs["old"].units
    assert unit.done


def started_run():
    """Return a planner, and the order of a start at 5.2 s, answered at 5.4 s."""
    harness, _ = harness_with_former_life()
    harness.now = 5.2
    harness.add(request("new", step()))
    (order,) = harness.plan_starts()
    harness.now = 5.4
    harness.answer_start(order)
    return harness, order


@pytest.mark.parametrize(
    ("known_at", "removed"), [(5.0, False), (5.3, False), (6, True)]
)
def test_proof_of_an_end_that_is_older_than_the_last_answer_removes_no_worker(
    known_at, removed
):
    """Guards against two runs of a task, as an answer of another incarnation or a list
    of machines from before the worker's restart arrives after a start there.
    """
    harness, order = started_run()
    harness.now = 7.0
    harness.planner.remove_ended_worker(
        order.worker, now=harness.now, unix_s=0.0, known_at=known_at
    )
    (unit,) = harness.planner.jobs["new"].units
    assert bool(unit.runs) is not removed


def test_an_order_without_an_answer_outlasts_older_proof_of_an_end():
    """Guards against two runs of a task whose start is repeated to a worker that is
    removed meanwhile, and carried out by its next life.
    """
    harness, _ = harness_with_former_life()
    harness.add(request("new", step()))
    (order,) = harness.plan_starts()
    run = harness.planner.workers["w0"].runs[order.task, order.run]
    run.sent_at = 6.0
    harness.now = 6.5
    for known_at, kept in ((5.5, True), (6.2, False)):
        harness.planner.remove_ended_worker(
            "w0", now=harness.now, unix_s=0.0, known_at=known_at
        )
        assert ("w0" in harness.planner.workers) is kept


class ScriptedCalls:
    """Worker calls whose heartbeats get the given replies, one after the other."""

    def __init__(self, *replies):
        self.acknowledged = []
        self._replies = list(replies)

    async def hold(self, worker, *, token, acknowledged, lease_until_s, wait_s):
        self.acknowledged.append(acknowledged)
        await asyncio.sleep(0.01)
        if not self._replies:
            await asyncio.Event().wait()
        return self._replies.pop(0)


def session_of(harness, calls):
    async def flush(_timeout_s):
        return True

    writer = SimpleNamespace(worker_lease_limit=float("inf"), flush=flush)
    lease = LeaderLease("a/1", 1, 0.0, 0.0)
    return WorkerSession("w0", harness.planner, writer, lease, calls, lambda: None)


def next_starts(harness, silent, until_s):
    """Return the first start orders before a time, while one worker is silent."""
    while harness.now < until_s:
        harness.now += 0.5
        for name in set(harness.planner.workers) - {silent}:
            harness.send_heartbeat(name, born_ms=FORMER)
        orders = harness.start_all()
        if orders:
            return orders
    return []


@pytest.mark.parametrize("listed", [False, True])
def test_a_lease_on_the_clock_of_a_former_life_counts_from_the_answer(listed):
    """Guards against two runs of a task: a new life takes the lease of its start on the
    former life's clock for a longer one and cuts it to the longest there is.
    """
    harness = PlannerHarness(entry("w0"), entry("w1", draining=True))
    for name in ("w0", "w1"):
        harness.send_heartbeat(name, born_ms=FORMER)
    worker = harness.planner.workers["w0"]
    # The planner's own lease is about to end, so it grants a short one.
    worker.lease_until = 0.0
    harness.add(request("j", step()))
    (order,) = harness.plan_starts()
    worker.lease_deadline(2.0, harness.now)
    harness.now = 0.3
    harness.answer_start(order)
    if listed:
        harness.now = 0.4
        reply = HeartbeatReply(0.1, NEW, (running(order),), ())
        harness.planner.apply_heartbeat(
            "w0", reply, sent_at=0.35, now=0.4, unix_s=START_UNIX_S
        )
    harness.planner.add_worker(entry("w1"), now=harness.now)
    assert next_starts(harness, "w0", until_s=LEASE_S - 0.2) == []
    (again,) = next_starts(harness, "w0", until_s=LEASE_S + 1.5)
    assert (again.worker, again.run) == ("w1", 2)


def test_a_new_life_gets_no_acknowledgement_of_the_former_one():
    """Guards against ends of a new life that it drops before it has listed them, as
    their numbers were acknowledged to the former life: done work is done again.
    """

    async def run_scenario():
        harness, old = harness_with_former_life()
        calls = ScriptedCalls(
            HeartbeatReply(6.0, FORMER, (), (ended(old, sequence=57),)),
            HeartbeatReply(6.1, FORMER, (), ()),
            HeartbeatReply(0.5, NEW, (), ()),
            HeartbeatReply(0.6, NEW, (), ()),
        )
        task = asyncio.create_task(session_of(harness, calls).run())
        await asyncio.sleep(1.0)
        task.cancel()
        assert calls.acknowledged == [0, 57, 0, 0, 0]

    run_virtual(run_scenario())


def test_a_worker_that_was_removed_and_is_back_gets_no_lease_on_an_unknown_clock():
    """Guards against runs that outlive their lease as the planner knows it: a session
    goes on with a worker that was removed and registered again.
    """

    async def run_scenario():
        harness, _ = harness_with_former_life()
        leases = []

        class Calls(ScriptedCalls):
            async def hold(self, worker, *, lease_until_s, **options):
                leases.append(lease_until_s)
                return await super().hold(
                    worker, lease_until_s=lease_until_s, **options
                )

        reply = HeartbeatReply(60.0, FORMER, (), ())
        calls = Calls(reply, reply, reply, reply)
        task = asyncio.create_task(session_of(harness, calls).run())
        await asyncio.sleep(0.025)
        del harness.planner.workers["w0"]
        harness.planner.add_worker(entry("w0"), now=harness.now)
        await asyncio.sleep(1.0)
        task.cancel()
        assert [lease is not None for lease in leases] == [
            False,
            True,
            True,
            False,
            True,
        ]

    run_virtual(run_scenario())
