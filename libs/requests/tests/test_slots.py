import asyncio

import pytest
from bilberryhitch_model import Host, Identity, Pool, Tables
from bilberryhitch_requests.slots import (
    MIN_PROBE_DELAY_S,
    SLOTS_PER_EXECUTOR,
    ExecutorSlots,
)
from bilberryhitch_testing import run_virtual


class View:
    """Configuration and membership of one data centre with two executors."""

    def __init__(self):
        self.tables_view = Tables(1, {}, {"p": Pool("p", "request", ("x1", "x2"))})
        self.live = ["e1", "e2"]
        self.leaving = set()

    def entry_hosts(self, data_centre):
        return self.live

    def endpoints(self, kind, data_centre):
        return [Host(name, "executor", "ruwi", name) for name in ("x1", "x2")]

    def is_leaving(self, host):
        return host in self.leaving


def make_slots(view, host="e1"):
    slots = ExecutorSlots(
        Identity(host, "ruwi", "i"),
        view,
        view,
        on_release=lambda: None,
        owner=lambda key, hosts: hosts[int(key[1]) % len(hosts)],
    )
    slots.refresh()
    return slots


def test_only_the_owner_of_an_executor_hands_out_its_slots():
    view = View()
    owner, other = make_slots(view, "e2"), make_slots(view, "e3")
    leases = [owner.acquire("p") for _ in range(SLOTS_PER_EXECUTOR)]
    assert all(lease.host.name == "x1" for lease in leases)
    assert owner.acquire("p") is None
    assert other.acquire("p") is None
    leases[0].release()
    leases[0].release()
    assert owner.free_slots() == {"p": 1}


def test_new_owner_takes_over_when_a_host_leaves():
    view = View()
    slots = make_slots(view)
    assert slots.free_slots() == {"p": 8}
    view.live = ["e1"]
    slots.refresh()
    assert slots.free_slots() == {"p": 16}


def test_leaving_executor_gets_no_new_work():
    view = View()
    slots = make_slots(view)
    view.leaving.add("x2")
    assert slots.acquire("p") is None


@pytest.mark.parametrize("answered", [True, False])
def test_failed_executor_is_excluded_until_a_probe_succeeds(answered):
    async def main():
        slots = make_slots(View())
        slots.record_failure("x2")
        assert slots.acquire("p") is None
        assert slots.take_due_probes() == []
        await asyncio.sleep(MIN_PROBE_DELAY_S)
        assert [host.name for host in slots.take_due_probes()] == ["x2"]
        assert slots.take_due_probes() == []
        slots.record_probe("x2", answered=answered)
        assert (slots.acquire("p") is not None) == answered

    run_virtual(main())
