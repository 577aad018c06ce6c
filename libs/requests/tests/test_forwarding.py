import random

from bilberryhitch_requests.forwarding import MAX_FORWARDS_PER_SLOT, PeerSlots
from bilberryhitch_requests.queue_key import QueueKey
from bilberryhitch_requests.slots import SLOTS_PER_EXECUTOR
from bilberryhitch_testing import VirtualTimeLoop

LARGE, SMALL = QueueKey("a", "k", "large"), QueueKey("a", "k", "small")


class View:
    """Membership and slots with three entry hosts; e2 owns the only executor."""

    def __init__(self, owns=False):
        self.owns = owns

    def entry_hosts(self, data_centre):
        return ["e1", "e2", "e3"]

    def owns_any(self, pool):
        return self.owns

    def executor_counts(self, pool):
        return {"e2": 1}


def selections(view, work):
    peers = PeerSlots("ruwi", "e1", view, view, random.Random(1))
    loop = VirtualTimeLoop()

    async def main():
        return work(peers)

    try:
        return loop.run_until_complete(main())
    finally:
        loop.close()


def test_each_reported_slot_is_used_once():
    def work(peers):
        peers.update("e3", {"p": 2})
        return [peers.select("p", LARGE) for _ in range(3)]

    assert selections(View(owns=True), work) == ["e3", "e3", None]


def test_burst_at_a_host_without_executors_leaves_room_for_other_callers():
    # Guards against a caller with one request that waits seconds behind 512 forwards
    # of another caller.
    limit = MAX_FORWARDS_PER_SLOT * SLOTS_PER_EXECUTOR

    def work(peers):
        burst = [peers.select("p", LARGE) for _ in range(limit + 1)]
        assert burst == ["e2"] * limit + [None]
        assert peers.select("p", SMALL) == "e2"
        peers.record_end("p", "e2", LARGE)
        return peers.select("p", LARGE)

    assert selections(View(), work) == "e2"


def test_owner_that_refused_is_not_selected_until_it_reports_free_slots():
    def work(peers):
        peers.record_refusal("p", "e2")
        assert peers.select("p", LARGE) is None
        peers.update("e2", {"p": 1})
        return peers.select("p", LARGE)

    assert selections(View(), work) == "e2"
