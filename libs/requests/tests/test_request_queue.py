import asyncio

import pytest
from bilberryhitch_model import Pool, Share
from bilberryhitch_requests.queue_key import QueueKey
from bilberryhitch_requests.request_queue import (
    USAGE_WINDOW_S,
    NoSlot,
    PeerTarget,
    QueuedRequest,
    RequestQueue,
)
from bilberryhitch_requests.slots import SlotLease
from bilberryhitch_testing import run_virtual


class Slot(SlotLease):
    """A lease without an executor."""

    def __init__(self):
        pass


class Slots:
    """Stub of the executor slots with a settable number of free slots."""

    def __init__(self):
        self.free = 0
        self.owned = True

    def acquire(self, pool):
        if not self.free:
            return None
        self.free -= 1
        return Slot()

    def owns_any(self, pool):
        return self.owned


class QueueHarness:
    """The request queue of a pool; records assignments in their order."""

    def __init__(self, select_peer=lambda *_: None, **pool):
        self.slots = Slots()
        self.queue = RequestQueue(Pool("p", "request", **pool), self.slots, select_peer)
        self.served = []

    def add(self, account, caller="c", urgency="normal", *, may_forward=True):
        queue_key = QueueKey(account, "k", caller, urgency)
        queued = QueuedRequest(queue_key, may_forward=may_forward)
        asyncio.ensure_future(self.queue.wait(queued)).add_done_callback(
            lambda done: self.served.append((account, caller, done.result()))
        )

    async def serve(self, slots):
        await asyncio.sleep(0)
        for _ in range(slots):
            self.slots.free += 1
            self.queue.assign_slots()
            await asyncio.sleep(0.001)
        return [account for account, _, _ in self.served]


def test_large_account_does_not_delay_a_small_one():
    async def main():
        harness = QueueHarness()
        for _ in range(50):
            harness.add("large")
        harness.add("small")
        assert "small" in await harness.serve(3)

    run_virtual(main())


def test_usage_at_other_hosts_counts_until_it_expires():
    # Guards against an account that gets a full share at every entry host.
    async def main(pause_s):
        harness = QueueHarness()
        harness.queue.charge_remote("spread", 5.0)
        await asyncio.sleep(pause_s)
        harness.queue.expire_usage()
        for _ in range(10):
            harness.add("spread")
            harness.add("here")
        return (await harness.serve(8)).count("spread")

    assert run_virtual(main(0.0)) == 0
    assert run_virtual(main(USAGE_WINDOW_S + 0.1)) == 4


def test_slots_are_shared_by_weight():
    async def main():
        harness = QueueHarness(shares=(Share("double", 2.0),))
        for _ in range(20):
            harness.add("double")
            harness.add("single")
        assert (await harness.serve(12)).count("double") == pytest.approx(8, abs=1)

    run_virtual(main())


def test_urgent_requests_do_not_exceed_their_share():
    async def main():
        harness = QueueHarness()
        for _ in range(40):
            harness.add("flood", urgency="urgent")
            harness.add("other")
        assert (await harness.serve(20)).count("other") >= 9

    run_virtual(main())


def test_full_queue_rejects_the_account_furthest_above_its_share():
    async def main():
        harness = QueueHarness(max_queued=4)
        for _ in range(4):
            harness.add("large")
        await asyncio.sleep(0)
        harness.add("small")
        await asyncio.sleep(0.001)
        (account, _, assignment), *rest = harness.served
        assert (account, type(assignment), rest) == ("large", NoSlot, [])
        assert assignment.retry_after_s >= 1.0

    run_virtual(main())


def test_forwarded_requests_are_not_forwarded_again():
    # Guards against forwarding loops.
    async def main():
        harness = QueueHarness(select_peer=lambda *_: "e2")
        harness.add("a", may_forward=False)
        harness.add("b")
        await asyncio.sleep(0.001)
        assert harness.served == [("b", "c", PeerTarget("e2"))]
        harness.slots.owned = False
        harness.queue.assign_slots()
        await asyncio.sleep(0.001)
        assert isinstance(harness.served[1][2], NoSlot)

    run_virtual(main())
