"""Data centres that the operator evacuates."""

from types import SimpleNamespace

import pytest
from bilberryhitch_planner import LeaderLease, LeadingPlanner
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    configuration,
    entry,
    request,
    step,
)


def evacuate(harness, *data_centres):
    harness.planner.evacuated = frozenset(data_centres)


def two_data_centres():
    harness = PlannerHarness(entry("w1"), entry("w2", data_centre="other"))
    harness.send_heartbeat("w1")
    harness.send_heartbeat("w2")
    return harness


def test_nothing_is_started_in_an_evacuated_data_centre():
    """Guards against new work for workers that the operator wants to empty."""
    harness = two_data_centres()
    evacuate(harness, "dc")
    harness.add(request("j", step(4, gpu=4)))
    assert {order.worker for order in harness.plan_starts()} == {"w2"}


def test_work_goes_on_in_an_evacuated_data_centre_and_starts_there_afterwards():
    """Guards against work that is stopped, or a data centre that stays empty."""
    harness = two_data_centres()
    harness.add(request("j", step(2, gpu=8)))
    assert len(harness.start_all()) == 2
    evacuate(harness, "dc", "other")
    harness.now = 0.5
    harness.send_all_heartbeats()
    assert harness.plan() == []
    harness.planner.remove_ended_worker("w1", now=0.5, unix_s=0.0)
    harness.planner.add_worker(entry("w3"), now=0.5)
    harness.send_heartbeat("w3")
    harness.now = 6.0
    harness.send_all_heartbeats()
    assert harness.plan_starts() == []
    evacuate(harness)
    assert [order.worker for order in harness.plan_starts()] == ["w3"]


def test_a_guarantee_takes_no_capacity_in_an_evacuated_data_centre():
    harness = PlannerHarness(entry("w1"), guaranteed=8)
    harness.send_heartbeat("w1")
    harness.add(request("patient", step(gpu=8), account="b"))
    harness.start_all()
    evacuate(harness, "dc")
    harness.add(request("urgent", step(gpu=8)))
    for now in (0.1, 0.2, 0.3):
        harness.now = now
        harness.send_all_heartbeats()
        assert harness.plan() == []


@pytest.mark.parametrize("known", [False, True])
def test_nothing_is_started_before_the_evacuations_are_known(known):
    """Guards against starts by a planner whose host has not read the operator's table,
    which holds the configuration and the evacuations.
    """
    leading = LeadingPlanner(
        SimpleNamespace(),
        LeaderLease("a/1", 1, 0.0, 0.0),
        SimpleNamespace(),
        worker_table="servers",
        decode_worker=lambda row: None,
        configuration=lambda: configuration() if known else None,
        advise=None,
        machines=SimpleNamespace(),
        evacuated=frozenset,
        waves=lambda: (),
        encode_wave=None,
        retention_s=60.0,
        store_time_s=lambda: None,
    )
    leading._worker_rows.last_response_at = 0.5
    assert leading._may_start(1.0) is known
