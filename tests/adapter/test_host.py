"""Tests of what an entry host believes after it has read the operator's rows anew."""

import json
from pathlib import Path

import pytest
from bilberryhitch_adapter.host import PlatformHost
from bilberryhitch_adapter.settings import HostSettings
from bilberryhitch_jobs import StoreRow


@pytest.fixture
def host():
    settings = HostSettings(
        host="h1",
        data_centre="dc",
        ip="127.0.0.1",
        caller_address="127.0.0.1:1",
        readiness_address="127.0.0.1:1",
        relay_address="",
        metrics_port=0,
        store_address="127.0.0.1:1",
        machine_api_address="",
        advice_address="",
        termination_grace_s=6.0,
        retention_s=120.0,
        max_row_bytes=65536,
        cores=1.0,
    )
    return PlatformHost(Path("unused"), settings)


def wave_row(number, revision=1):
    wave = {"wave": number, "machines": ["m1"], "duration-s": 9.0, "max-count": 1}
    return StoreRow("op", f"wave/{number}", json.dumps(wave).encode(), revision)


def test_a_wave_withdrawn_while_the_history_was_lost_is_not_carried_out(host):
    """Guards against machines that are taken down for a wave that no longer exists,
    as its removal is missing from the changes that the store still has.
    """
    host._apply_rows((wave_row(1), wave_row(2)), 1)
    assert sorted(host._waves) == ["wave/1", "wave/2"]
    host._apply_rows((wave_row(2),), 9)
    assert sorted(host._waves) == ["wave/2"]


def evacuation_row(zone, revision=1, *, removed=False):
    return StoreRow("op", f"evacuate/{zone}", b"", revision, removed)


def test_an_evacuation_holds_until_its_row_is_removed(host):
    """Guards against starts in a data centre that is being emptied."""
    host._apply_row(evacuation_row("a"))
    host._apply_row(evacuation_row("b", 2))
    assert host._evacuated == {"a", "b"}
    host._apply_row(evacuation_row("a", 3, removed=True))
    assert host._evacuated == {"b"}


def test_an_evacuation_taken_back_while_the_history_was_lost_is_over(host):
    """Guards against a data centre that stays empty for ever."""
    host._apply_rows((evacuation_row("a"), evacuation_row("b")), 1)
    assert host._evacuated == {"a", "b"}
    host._apply_rows((evacuation_row("b"),), 9)
    assert host._evacuated == {"b"}
