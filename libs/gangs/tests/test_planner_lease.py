import asyncio
import itertools

import pytest
from bilberryhitch_gangs.commit_resolution import commit_and_resolve
from bilberryhitch_gangs.planner_lease import (
    PlannerLease,
    PlannerLost,
    planner_key,
    rank,
)
from bilberryhitch_model import Identity
from bilberryhitch_model.errors import StoreAnswerLost, StoreUnavailable
from bilberryhitch_platform import Expect, MemoryTables, Put
from bilberryhitch_testing import FaultyTables, VirtualTimeLoop

KEY = planner_key("ruwi", "gpu")


@pytest.fixture
def loop():
    loop = VirtualTimeLoop()
    yield loop
    loop.close()


def make_lease(tables, host="a"):
    ids = (f"{host}-{number}" for number in itertools.count())
    identity = Identity(host, "ruwi", f"{host}-1")
    return PlannerLease(identity, "gpu", tables, new_id=lambda: next(ids))


def acquire_lease(loop, tables, host="b"):
    lease = make_lease(tables, host)
    loop.run_until_complete(lease.acquire(lambda: 0))
    return lease


def test_renews_every_second(loop):
    # Guards against skipped renewals, after which the lease may expire.
    tables = MemoryTables()
    lease = acquire_lease(loop, tables)
    task = loop.create_task(lease.renew_until_lost())
    before = tables.revision
    loop.advance(10.5)
    task.cancel()
    assert tables.revision - before == 10


def test_candidate_waits_for_expiry_and_its_rank_delay(loop):
    # Guards against a takeover from a holder that still renews.
    tables = MemoryTables()
    holder = acquire_lease(loop, tables, "a")
    task = loop.create_task(holder.renew_until_lost())
    other = make_lease(tables, "b")
    candidate = loop.create_task(other.acquire(lambda: 2))
    loop.advance(20)
    assert not other.held
    task.cancel()
    cancelled_at = loop.time()
    loop.run_until_complete(candidate)
    assert 3.0 <= loop.time() - cancelled_at <= 5.0
    assert other.epoch > holder.epoch


def test_replaced_holder_cannot_write(loop):
    # Guards against a start mark written by a replaced planner.
    tables = MemoryTables()
    old = acquire_lease(loop, tables, "a")
    acquire_lease(loop, tables, "b")
    with pytest.raises(PlannerLost):
        loop.run_until_complete(old.transact((), [Put("x", b"")]))
    assert loop.run_until_complete(tables.get("x")) is None
    assert not old.held


def test_lost_answer_of_a_renewal_does_not_lose_the_lease(loop):
    # Guards against mistaking an own write without an answer for another holder's.
    inner = MemoryTables()
    tables = FaultyTables(inner)
    lease = acquire_lease(loop, tables)
    tables.lose_answers = 5
    assert loop.run_until_complete(lease.transact((), [Put("x", b"1")])).is_ok()
    assert loop.run_until_complete(lease.transact((), [Put("y", b"1")])).is_ok()


def test_store_outage_neither_loses_nor_takes_the_lease(loop):
    # Guards against takeovers of all pools when the store recovers.
    inner = MemoryTables()
    views = {name: FaultyTables(inner) for name in "ab"}
    holder = acquire_lease(loop, views["a"], "a")
    task = loop.create_task(holder.renew_until_lost())
    other = make_lease(views["b"], "b")
    candidate = loop.create_task(other.acquire(lambda: 0))
    loop.advance(2)
    for view in views.values():
        view.down = True
    loop.advance(60)
    assert holder.held and not holder.store_up
    for view in views.values():
        view.down = False
    loop.advance(5)
    assert holder.held and holder.store_up and not other.held
    for each in (task, candidate):
        each.cancel()


def test_released_lease_is_acquired_without_waiting_for_expiry(loop):
    # Guards against waiting for the expiry after an orderly release.
    tables = MemoryTables()
    holder = acquire_lease(loop, tables, "a")
    loop.run_until_complete(holder.release())
    released_at = loop.time()
    assert acquire_lease(loop, tables, "b").epoch > holder.epoch
    assert loop.time() - released_at < 1.0


def test_raised_epoch_is_written_to_the_lease_row(loop):
    # Guards against a higher token that is missing in the lease row.
    tables = MemoryTables()
    lease = acquire_lease(loop, tables)
    before = lease.epoch
    loop.run_until_complete(lease.raise_epoch())
    assert lease.epoch == before + 1
    assert loop.run_until_complete(lease.transact((), ())).is_ok()


def test_unresolved_commit_raises_answer_lost(loop):
    # Guards against a lost answer that is reported as not applied.
    tables = FaultyTables(MemoryTables())
    tables.lose_answers = 100
    with pytest.raises(StoreAnswerLost):
        loop.run_until_complete(commit_and_resolve(tables, [], [], "op", 2.0))


def test_abandoned_commit_raises_unavailable(loop):
    # Guards against an unknown outcome where it can be resolved.
    class LosesRequests(FaultyTables):
        async def transact(self, expects, writes):
            if self.lose_answers:
                self.lose_answers -= 1
                raise StoreAnswerLost("request lost")
            return await super().transact(expects, writes)

    tables = LosesRequests(MemoryTables())
    tables.lose_answers = 3
    with pytest.raises(StoreUnavailable):
        loop.run_until_complete(commit_and_resolve(tables, [], [Put("x", b"")], "op"))


def test_ranks_are_a_permutation():
    # Guards against two candidates with the same rank.
    hosts = [f"e{i}" for i in range(7)]
    assert sorted(rank(hosts, "ruwi", "gpu", host) for host in hosts) == list(range(7))


def test_waiting_transactions_share_a_commit(loop):
    # Guards against reservations that expire during a burst of gang starts.
    tables = FaultyTables(MemoryTables())
    lease = acquire_lease(loop, tables)
    tables.slow_s, before = 0.1, tables.writes

    async def burst():
        writes = [lease.transact((), [Put(f"x{i}", b"")]) for i in range(40)]
        return await asyncio.gather(*writes)

    results = loop.run_until_complete(burst())
    assert all(result.is_ok() for result in results)
    assert tables.writes - before == 2


def test_conflict_of_one_transaction_does_not_affect_the_others(loop):
    # Guards against gang starts that fail because another job was cancelled.
    tables = FaultyTables(MemoryTables())
    lease = acquire_lease(loop, tables)
    tables.slow_s = 0.1

    async def burst():
        stale = [Expect("x2", 99)]
        writes = [
            lease.transact(stale if i == 2 else (), [Put(f"x{i}", b"")])
            for i in range(5)
        ]
        return await asyncio.gather(*writes)

    results = loop.run_until_complete(burst())
    assert [result.is_ok() for result in results] == [True, True, False, True, True]


def test_transactions_on_one_row_never_share_a_commit(loop):
    # Guards against applying two changes that expect the same revision.
    tables = FaultyTables(MemoryTables())
    lease = acquire_lease(loop, tables)
    tables.slow_s = 0.1

    async def burst():
        expects, writes = [Expect("x", 0)], [Put("x", b"")]
        return await asyncio.gather(
            *(lease.transact(expects, writes) for _ in range(4))
        )

    results = loop.run_until_complete(burst())
    assert sum(result.is_ok() for result in results) == 1


def test_batch_of_a_replaced_holder_writes_nothing(loop):
    # Guards against a shared commit that does not expect the lease row.
    inner = MemoryTables()
    tables = FaultyTables(inner)
    old = acquire_lease(loop, tables, "a")
    acquire_lease(loop, inner, "b")

    async def burst():
        writes = [old.transact((), [Put(f"x{i}", b"")]) for i in range(5)]
        return await asyncio.gather(*writes, return_exceptions=True)

    results = loop.run_until_complete(burst())
    assert all(isinstance(result, PlannerLost) for result in results)
    assert loop.run_until_complete(inner.scan("x")).rows == ()
