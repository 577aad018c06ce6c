import random

from bilberryhitch_requests.forwarding import FORWARDS_PER_SLOT, PeerSlots
from bilberryhitch_requests.places import Place
from bilberryhitch_requests.slots import SLOTS_PER_EXECUTOR
from bilberryhitch_testing import VirtualTimeLoop

LARGE, SMALL = Place("a", "k", "large"), Place("a", "k", "small")


class View:
    """Three entry hosts; e2 owns the only executor."""

    def __init__(self, owns=False):
        self.owns = owns

    def entry_hosts(self, data_centre):
        return ["e1", "e2", "e3"]

    def owns_any(self, pool):
        return self.owns

    def owners(self, pool):
        return {"e2": 1}


def picks(view, work):
    peers = PeerSlots("ruwi", "e1", view, view, random.Random(1))
    loop = VirtualTimeLoop()

    async def main():
        return work(peers)

    try:
        return loop.run_until_complete(main())
    finally:
        loop.close()


def test_each_heard_slot_is_used_once():
    def work(peers):
        peers.hear("e3", {"p": 2})
        return [peers.pick("p", LARGE) for _ in range(3)]

    assert picks(View(owns=True), work) == ["e3", "e3", None]


def test_flood_at_a_host_without_executors_leaves_room_for_other_callers():
    # Guards against a small caller's wait of seconds behind 512 forwards.
    limit = FORWARDS_PER_SLOT * SLOTS_PER_EXECUTOR

    def work(peers):
        flood = [peers.pick("p", LARGE) for _ in range(limit + 1)]
        assert flood == ["e2"] * limit + [None]
        assert peers.pick("p", SMALL) == "e2"
        peers.ended("p", "e2", LARGE)
        return peers.pick("p", LARGE)

    assert picks(View(), work) == "e2"


def test_refusing_owner_is_avoided_until_it_has_free_slots():
    def work(peers):
        peers.refused("p", "e2")
        assert peers.pick("p", LARGE) is None
        peers.hear("e2", {"p": 1})
        return peers.pick("p", LARGE)

    assert picks(View(), work) == "e2"
