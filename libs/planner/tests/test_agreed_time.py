"""Tests of the Unix time on which the hosts agree.

Guards against timed work that starts early or late, and finished jobs that are removed
too soon, because the time of day of a host has jumped.
"""

import time

import pytest
from bilberryhitch_jobs.rows import RowWrite
from bilberryhitch_model import clock
from bilberryhitch_planner.agreed_time import (
    CLOCKS_TABLE,
    adopt_agreed_time,
    publish_time,
)
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.memory_store import MemoryStore

STORE_NOW_S = 500.0
UNIX_S = 1_000_000.0


@pytest.fixture(autouse=True)
def unix_clock(monkeypatch):
    """Replace the process's clock, so that other tests keep theirs."""
    replaced = clock.UnixClock()
    replaced.correct(UNIX_S)
    monkeypatch.setattr(clock, "unix", replaced)
    return replaced


def store_time_s():
    return STORE_NOW_S


def adopt(errors_s):
    """Let one host after the other store its view, then a planner take its time.

    :param errors_s: by how much the clocks of the hosts are wrong
    """

    async def scenario():
        store = MemoryStore()
        for number, error_s in enumerate(errors_s):
            clock.unix.correct(UNIX_S + error_s)
            await publish_time(store, f"host-{number}", store_time_s)
        await adopt_agreed_time(store, store_time_s)

    run_virtual(scenario())


@pytest.mark.parametrize("jump_s", [9.0, -9.0])
def test_a_jump_of_the_time_of_day_does_not_change_the_time(monkeypatch, jump_s):
    """Guards against timed work that starts when the planner's clock jumps."""
    before = clock.unix.now_s()
    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + jump_s)
    assert clock.unix.now_s() == pytest.approx(before, abs=1.0)


@pytest.mark.parametrize("jump_s", [9.0, -9.0])
def test_a_planner_that_started_during_a_jump_takes_the_time_of_the_others(jump_s):
    adopt([0.02, -0.01, 0.0, jump_s])
    assert clock.unix.now_s() == pytest.approx(UNIX_S, abs=0.2)


def test_a_third_of_wrong_clocks_does_not_change_the_time():
    adopt([9.0, 0.0, -9.0, 0.01, 9.0, -0.01, 0.0, 0.0, 0.02])
    assert clock.unix.now_s() == pytest.approx(UNIX_S, abs=0.2)


def test_a_view_of_an_earlier_moment_stays_valid():
    """Views are relative to the store's clock, so those of hosts that left count."""

    async def scenario():
        store = MemoryStore()
        await publish_time(store, "host-0", lambda: STORE_NOW_S)
        clock.unix.correct(UNIX_S + 70.0 + 9.0)
        await adopt_agreed_time(store, lambda: STORE_NOW_S + 70.0)

    run_virtual(scenario())
    assert clock.unix.now_s() == pytest.approx(UNIX_S + 70.0, abs=0.2)


def test_without_views_or_the_time_of_the_store_the_own_time_stays():
    async def scenario():
        store = MemoryStore()
        await adopt_agreed_time(store, store_time_s)
        await store.commit((), (RowWrite(CLOCKS_TABLE, "h", b"\xff"),), timeout_s=1.0)
        await adopt_agreed_time(store, store_time_s)
        await store.commit((), (RowWrite(CLOCKS_TABLE, "i", b"1"),), timeout_s=1.0)
        await adopt_agreed_time(store, lambda: None)

    run_virtual(scenario())
    assert clock.unix.now_s() == pytest.approx(UNIX_S, abs=0.2)


def test_a_view_is_stored_once_the_store_has_answered():
    answers = [None, None, STORE_NOW_S]

    async def scenario():
        store = MemoryStore()
        await publish_time(store, "host", lambda: answers.pop(0))
        return await store.read(CLOCKS_TABLE, timeout_s=1.0)

    (row,) = run_virtual(scenario()).rows
    assert int(row.value) == pytest.approx((UNIX_S - STORE_NOW_S) * 1000, abs=200)
