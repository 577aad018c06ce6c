"""Each way to hold a run for over leaves a line that tells it from the others."""

import pytest
from bilberryhitch_planner import StartOutcome
from bilberryhitch_planner import release_log as tested
from bilberryhitch_telemetry import events
from bilberryhitch_testing.planner_harness import (
    LEASE_S,
    START_UNIX_S,
    PlannerHarness,
    entry,
    request,
    step,
)


@pytest.fixture
def lines(monkeypatch):
    """Collect the fields of the logged releases."""
    logged = []

    def log(event, **fields):
        if event is events.RUN_RELEASED:
            logged.append(fields)

    monkeypatch.setattr(tested, "log", log)
    return logged


@pytest.fixture
def harness():
    """Return a harness with one worker and one job that waits."""
    harness = PlannerHarness(entry("w0"))
    harness.send_heartbeat("w0", born_ms=1)
    harness.add(request("j", step()))
    return harness


def refuse_start(harness):
    (order,) = harness.plan_starts()
    harness.answer_start(order, StartOutcome.NO_ROOM)


def list_without_run(harness):
    harness.start_all()
    harness.now = 1.0
    harness.send_heartbeat("w0", born_ms=1)


def restart_worker(harness):
    harness.start_all()
    harness.now = 1.0
    harness.send_heartbeat("w0", born_ms=2)


def let_lease_lapse(harness):
    harness.start_all()
    harness.now = 2 * LEASE_S
    harness.plan()


def end_worker(harness):
    harness.start_all()
    harness.now = 1.0
    harness.planner.remove_ended_worker("w0", now=1.0, unix_s=START_UNIX_S)


@pytest.mark.parametrize(
    ("release", "proof"),
    [
        (refuse_start, "not_started"),
        (list_without_run, "not_listed"),
        (restart_worker, "restarted"),
        (let_lease_lapse, "lapsed"),
        (end_worker, "worker_ended"),
    ],
)
def test_a_release_without_a_listed_end_names_its_proof(harness, lines, release, proof):
    """Guards against a record of two runs that does not tell why the planner held the
    first one for over.
    """
    release(harness)
    (line,) = lines
    assert line["proof"] == proof
    assert (line["task"], line["run"], line["worker"]) == ("j.0.0.0", 1, "w0")
