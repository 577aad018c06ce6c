"""Tests of the store's clock as a host reads it from responses."""

import pytest
from bilberryhitch_adapter.store import StoreClient
from bilberryhitch_model import clock


@pytest.fixture
def steady(monkeypatch):
    """The host's steady clock in seconds, as a list that holds the present time."""
    now = [100.0]
    monkeypatch.setattr(clock, "steady_s", lambda: now[0])
    return now


def note(client, body):
    client._note_store_time(body)


def test_the_response_that_was_under_way_for_the_shortest_time_counts(steady):
    """Guards against a time that a slow store or network delays by seconds."""
    client = StoreClient(lambda: "")
    assert client.store_time_s() is None
    note(client, {"now-ms": 5_000})
    steady[0] = 102.0
    note(client, {"now-ms": 5_400})
    assert client.store_time_s() == pytest.approx(7.0)
    steady[0] = 103.0
    note(client, {"now-ms": 8_100})
    assert client.store_time_s() == pytest.approx(8.1)


@pytest.mark.parametrize("value", [None, True, "5000", 5.0, []])
def test_a_response_without_a_valid_time_is_ignored(steady, value):
    client = StoreClient(lambda: "")
    note(client, {"now-ms": value})
    note(client, {})
    assert client.store_time_s() is None
