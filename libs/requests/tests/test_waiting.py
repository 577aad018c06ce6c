import asyncio

import pytest
from bilberryhitch_model import Pool, Share
from bilberryhitch_requests.places import Place
from bilberryhitch_requests.slots import Lease
from bilberryhitch_requests.waiting import (
    USAGE_WINDOW_S,
    PeerTarget,
    Refusal,
    Ticket,
    WaitingRequests,
)
from bilberryhitch_testing import run_virtual


class Slot(Lease):
    """A slot without an executor."""

    def __init__(self):
        pass


class Slots:
    """Grants numbered slots while there are any."""

    def __init__(self):
        self.free = 0
        self.owned = True

    def take(self, pool):
        if not self.free:
            return None
        self.free -= 1
        return Slot()

    def owns_any(self, pool):
        return self.owned


class Desk:
    """A pool's waiting requests, and the order in which they were served."""

    def __init__(self, pick_peer=lambda *_: None, **pool):
        self.slots = Slots()
        self.waiting = WaitingRequests(
            Pool("p", "request", **pool), self.slots, pick_peer
        )
        self.served = []

    def add(self, account, caller="c", urgency="normal", *, may_forward=True):
        place = Place(account, "k", caller, urgency)
        ticket = Ticket(place, may_forward=may_forward)
        asyncio.ensure_future(self.waiting.wait(ticket)).add_done_callback(
            lambda done: self.served.append((account, caller, done.result()))
        )

    async def serve(self, slots):
        await asyncio.sleep(0)
        for _ in range(slots):
            self.slots.free += 1
            self.waiting.pump()
            await asyncio.sleep(0.001)
        return [account for account, _, _ in self.served]


def test_small_account_is_not_held_up_by_a_large_one():
    async def main():
        desk = Desk()
        for _ in range(50):
            desk.add("large")
        desk.add("small")
        assert "small" in await desk.serve(3)

    run_virtual(main())


def test_usage_at_other_hosts_counts_and_expires():
    # Guards against an account that gets one share per entry host.
    async def main(pause_s):
        desk = Desk()
        desk.waiting.charge_remote("spread", 5.0)
        await asyncio.sleep(pause_s)
        desk.waiting.expire_usage()
        for _ in range(10):
            desk.add("spread")
            desk.add("here")
        return (await desk.serve(8)).count("spread")

    assert run_virtual(main(0.0)) == 0
    assert run_virtual(main(USAGE_WINDOW_S + 0.1)) == 4


def test_weights_share_the_slots():
    async def main():
        desk = Desk(shares=(Share("double", 2.0),))
        for _ in range(20):
            desk.add("double")
            desk.add("single")
        assert (await desk.serve(12)).count("double") == pytest.approx(8, abs=1)

    run_virtual(main())


def test_urgent_flood_is_bounded_by_its_share():
    async def main():
        desk = Desk()
        for _ in range(40):
            desk.add("flood", urgency="urgent")
            desk.add("other")
        assert (await desk.serve(20)).count("other") >= 9

    run_virtual(main())


def test_full_queue_refuses_the_account_furthest_above_its_share():
    async def main():
        desk = Desk(max_queued=4)
        for _ in range(4):
            desk.add("large")
        await asyncio.sleep(0)
        desk.add("small")
        await asyncio.sleep(0.001)
        (account, _, target), *rest = desk.served
        assert (account, type(target), rest) == ("large", Refusal, [])
        assert target.retry_after_s >= 1.0

    run_virtual(main())


def test_only_own_requests_go_to_a_peer():
    # Guards against requests that are forwarded in a circle.
    async def main():
        desk = Desk(pick_peer=lambda *_: "e2")
        desk.add("a", may_forward=False)
        desk.add("b")
        await asyncio.sleep(0.001)
        assert desk.served == [("b", "c", PeerTarget("e2"))]
        desk.slots.owned = False
        desk.waiting.pump()
        await asyncio.sleep(0.001)
        assert isinstance(desk.served[1][2], Refusal)

    run_virtual(main())
