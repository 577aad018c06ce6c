"""Answers and orders that outlast a restart of their worker.

Pattern: a worker is back under its identifier, and an answer of its former life, or an
order that was meant for that, is still under way.
"""

import asyncio
from types import SimpleNamespace

import pytest
from bilberryhitch_model import clock
from bilberryhitch_planner import (
    HeartbeatReply,
    LeaderLease,
    StartOutcome,
    StopOrder,
)
from bilberryhitch_planner.worker_session import WorkerSession
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    entry,
    request,
    step,
)

FORMER, NEW = 1, 2
# A worker's lease is at most this long, from the moment its call is carried out.
MAX_LEASE_S = 10.0


@pytest.fixture
def harness(monkeypatch):
    """A planner of two workers, of which ``w0`` is preferred, at 14.6 s."""
    harness = PlannerHarness(entry("w0"), entry("w1"))
    monkeypatch.setattr(clock, "steady_s", lambda: harness.now)
    harness.now = 14.6
    for name in ("w0", "w1"):
        apply_list(harness, name, FORMER)
        harness.planner.workers[name].lease_until = 15.0
    return harness


def apply_list(harness, name, started_ms, sent_at=None, clock_s=None):
    """Pass an empty list of runs to the planner, without a lease."""
    harness.planner.apply_heartbeat(
        name,
        HeartbeatReply(harness.now if clock_s is None else clock_s, started_ms, (), ()),
        sent_at=harness.now if sent_at is None else sent_at,
        now=harness.now,
        unix_s=0.0,
    )


def session_of(harness, calls, lease_limit, name="w0"):
    async def flush(_timeout_s):
        return True

    writer = SimpleNamespace(worker_lease_limit=lease_limit, flush=flush)
    lease = LeaderLease("a/1", 1, 0.0, 0.0)
    return WorkerSession(name, harness.planner, writer, lease, calls, lambda: None)


def ordered_start(harness, lease_until=25.5):
    """Return the start order of a new job at 15 s.

    :param lease_until: end of the worker's lease as the planner knows it
    """
    harness.now = 15.0
    harness.add(request("new", step()))
    (order,) = harness.plan_starts()
    harness.planner.workers[order.worker].lease_until = lease_until
    return order


def start_elsewhere(harness, order):
    """Return whether the task is started again while another worker answers."""
    other = "w1" if order.worker == "w0" else "w0"
    apply_list(harness, other, FORMER)
    harness.planner.workers[other].lease_until = harness.now + MAX_LEASE_S
    return [each for each in harness.plan_starts() if each.task == order.task]


@pytest.mark.parametrize(
    ("limit", "carried_out_at"),
    [(17.0, 15.2), (27.0, 15.5)],
    ids=["short grant", "full grant, half a second under way"],
)
def test_a_start_that_a_new_life_answers_is_held_until_the_lease_of_that_life_ends(
    harness, limit, carried_out_at
):
    """Guards against two runs of a task: the new life takes a deadline on the former
    life's clock for a lease of 10 s, and the planner counts on the shorter one.
    """
    order = ordered_start(harness, lease_until=15.0)

    async def start_run(worker, order, *, token, lease_until_s):
        harness.now = carried_out_at
        return StartOutcome.STARTED

    session = session_of(
        harness, SimpleNamespace(start_run=start_run), limit, order.worker
    )
    run_virtual(session.send(order))
    harness.now = carried_out_at + MAX_LEASE_S - 0.01
    if limit < harness.now:
        assert not start_elsewhere(harness, order)
    # The clock of the new life may be slow.
    lease_end = carried_out_at + MAX_LEASE_S / 0.98
    assert harness.planner.workers[order.worker].lease_until >= lease_end


def test_a_heartbeat_that_a_new_life_answers_renews_its_lease_for_the_longest_time(
    harness,
):
    """Guards against two runs of a task: a renewal on the former life's clock gives the
    new life a lease of 10 s, and the planner counts on the shorter one.
    """
    reached = []

    async def hold(worker, *, lease_until_s, **_fields):
        harness.now += 0.1
        await asyncio.sleep(0.01)
        if len(reached) < 1:
            reached.append(harness.now)
            return HeartbeatReply(harness.now, FORMER, (), ())
        if len(reached) > 1:
            await asyncio.Event().wait()
        assert lease_until_s is not None
        reached.append(harness.now)
        return HeartbeatReply(0.3, NEW, (), ())

    async def run_scenario():
        session = session_of(harness, SimpleNamespace(hold=hold), 17.0)
        task = asyncio.create_task(session.run())
        await asyncio.sleep(0.5)
        task.cancel()

    run_virtual(run_scenario())
    lease_end = reached[1] + MAX_LEASE_S / 0.98
    assert harness.planner.workers["w0"].lease_until >= lease_end


def test_a_reply_to_a_heartbeat_from_before_a_removal_says_nothing_of_the_next_life(
    harness,
):
    """Guards against starts with deadlines on an unknown clock: a worker that was
    removed and is back counts as synced by a list of its former life.
    """

    async def run_scenario():
        answered = asyncio.Event()

        async def hold(worker, **_fields):
            await answered.wait()
            answered.clear()
            return HeartbeatReply(60.0, FORMER, (), ())

        session = session_of(harness, SimpleNamespace(hold=hold), 27.0)
        task = asyncio.create_task(session.run())
        await asyncio.sleep(0.1)
        harness.now = 15.0
        harness.planner.remove_ended_worker("w0", now=15.0, unix_s=0.0)
        harness.planner.add_worker(entry("w0"), now=15.0)
        harness.now = 15.1
        answered.set()
        await asyncio.sleep(0.1)
        task.cancel()

    run_virtual(run_scenario())
    assert not harness.planner.workers["w0"].synced


def test_an_attempt_under_way_outlasts_proof_that_is_older_than_its_sending(harness):
    """Guards against two runs of a task: a start is sent again to a worker that has
    restarted, and before it is answered the worker is removed on knowledge from before.
    """
    order = ordered_start(harness)
    attempts = []

    async def start_run(worker, order, *, token, lease_until_s):
        attempts.append(harness.now)
        if len(attempts) == 1:
            harness.now = 15.6
            return StartOutcome.UNKNOWN
        # The new life carries this attempt out at once, and answers late.
        harness.now = 16.0
        harness.planner.remove_ended_worker(
            order.worker, now=16.0, unix_s=0.0, known_at=15.4
        )
        return StartOutcome.STARTED

    session = session_of(
        harness, SimpleNamespace(start_run=start_run), 27.0, order.worker
    )
    run_virtual(session.send(order))
    assert attempts == [15.0, 15.6]
    harness.now = 16.5
    assert not start_elsewhere(harness, order)


def test_a_stop_that_was_sent_before_the_new_life_was_known_is_repeated(harness):
    """Guards against two runs of a task: the former life's answer to a stop arrives
    after the first list of the new life, which the start reaches later.
    """
    order = ordered_start(harness)
    harness.answer_start(order, StartOutcome.UNKNOWN, certain=False)
    stop = StopOrder(order.worker, order.task, order.run)
    assert stop in harness.plan()
    harness.now = 15.5
    apply_list(harness, order.worker, NEW, sent_at=15.3)
    # The former life carried the stop out at 15.1 s.
    harness.now = 15.6
    harness.answer_stop(stop)
    harness.now = 15.8
    apply_list(harness, order.worker, NEW, sent_at=15.7)
    assert not start_elsewhere(harness, order)


def test_an_earlier_attempt_without_an_answer_is_barred_in_the_new_life(harness):
    """Guards against two runs of a task: the former life answered the second attempt of
    a start, and the first one reaches the new life.
    """
    order = ordered_start(harness)
    harness.now = 15.7
    harness.answer_start(order, StartOutcome.STARTED, certain=False)
    harness.now = 16.0
    apply_list(harness, order.worker, NEW)
    assert not start_elsewhere(harness, order)


def test_a_run_whose_end_was_dropped_unheard_is_started_again_once(harness):
    """Guards against a task that waits for ever, or runs twice at once: an
    acknowledgement that was meant for the former life drops an end of the new one.
    """
    order = ordered_start(harness)
    harness.now = 15.2
    harness.answer_start(order)
    # The heartbeat that carries the acknowledgement was sent before the start.
    harness.now = 16.0
    apply_list(harness, order.worker, NEW, sent_at=14.9)
    assert not start_elsewhere(harness, order)
    harness.now = 16.7
    apply_list(harness, order.worker, NEW, sent_at=16.1)
    assert [each.run for each in start_elsewhere(harness, order)] == [2]
    harness.now = 17.0
    apply_list(harness, order.worker, NEW)
    assert not start_elsewhere(harness, order)


def test_an_order_to_a_worker_without_a_session_holds_its_task_until_the_lease_ends(
    harness,
):
    """Guards against a task that waits for ever, or is started while an order for it
    may be carried out: the order was placed, and there was no session to send it.
    """
    order = ordered_start(harness, lease_until=16.0)
    worker = harness.planner.workers[order.worker]
    harness.now = 15.9
    assert not start_elsewhere(harness, order)
    harness.now = 16.1
    assert [each.run for each in start_elsewhere(harness, order)] == [2]
    assert not worker.runs
