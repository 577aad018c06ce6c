"""Tests of the leader lease and the state writer with a store in memory."""

import asyncio
import random

import pytest
from bilberryhitch_jobs import JobProgress, JobRequest, JobState, Queue
from bilberryhitch_jobs.rows import StoreRow
from bilberryhitch_model import clock
from bilberryhitch_planner import Deposed, LeaderElection, Planner
from bilberryhitch_planner.leader_election import (
    LEASE_EXPIRY_S,
    LEASE_KEY,
    LEASE_TABLE,
    decode_lease,
)
from bilberryhitch_planner.liveness import wait_for_process_end
from bilberryhitch_planner.state_writer import (
    MAX_ROWS_PER_COMMIT,
    REMOVAL_PERIOD_S,
    StateWriter,
)
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.memory_store import MemoryStore


@pytest.fixture(autouse=True)
def loop_clock(monkeypatch):
    """Replace the clock of the tested modules by that of the event loop."""
    monkeypatch.setattr(clock, "steady_s", lambda: asyncio.get_running_loop().time())


def state_writer(store, lease):
    planner = Planner(inherited_revision=lease.token, inherited_until=0.0)
    return planner, StateWriter(store, lease, planner, retention_s=60.0)


def test_a_holder_that_does_not_renew_is_replaced_and_deposed():
    async def run_scenario():
        store = MemoryStore()
        first = await LeaderElection(store, "a/1").acquire()
        _, old_writer = state_writer(store, first)
        await old_writer.write()
        second = await LeaderElection(store, "b/1").acquire()
        assert second.token > first.token
        with pytest.raises(Deposed):
            await old_writer.write()

    run_virtual(run_scenario())


def test_a_holder_that_renews_is_not_replaced():
    async def run_scenario():
        store = MemoryStore()
        lease = await LeaderElection(store, "a/1").acquire()
        _, writer = state_writer(store, lease)
        writing = asyncio.create_task(writer.run())
        candidate = asyncio.create_task(LeaderElection(store, "b/1").acquire())
        await asyncio.sleep(5 * LEASE_EXPIRY_S)
        assert not candidate.done()
        assert store.lease().holder == "a/1"
        for task in (writing, candidate):
            task.cancel()
        await asyncio.gather(writing, candidate, return_exceptions=True)

    run_virtual(run_scenario())


def test_a_released_lease_is_acquired_at_once():
    async def run_scenario():
        store = MemoryStore()
        lease = await LeaderElection(store, "a/1").acquire()
        _, writer = state_writer(store, lease)
        await writer.release()
        async with asyncio.timeout(LEASE_EXPIRY_S / 2):
            await LeaderElection(store, "b/1").acquire()

    run_virtual(run_scenario())


def test_a_host_takes_over_the_lease_of_its_earlier_process_at_once():
    """Guards against a delay after a power failure of all hosts: a restarted host would
    wait for the lease of its earlier process to expire, which no other host would take
    sooner.
    """

    async def run_scenario():
        store = MemoryStore()
        first = await LeaderElection(store, "a/1").acquire()
        async with asyncio.timeout(LEASE_EXPIRY_S / 2):
            second = await LeaderElection(store, "a/2").acquire()
        assert second.token > first.token

    run_virtual(run_scenario())


def test_an_acquisition_whose_reply_was_lost_is_recognised():
    async def run_scenario():
        store = MemoryStore()
        store.lose_replies = 1
        lease = await LeaderElection(store, "a/1").acquire()
        assert store.lease().holder == "a/1"
        assert lease.token == store.rows[LEASE_TABLE, LEASE_KEY].revision

    run_virtual(run_scenario())


def test_an_acquisition_whose_reply_was_lost_is_not_repeated():
    """Guards against a host that acquires the lease again and again while its replies
    are lost: each acquisition looks like a renewal to the others, and no host plans.
    """

    async def run_scenario():
        store = MemoryStore()
        store.lose_replies = 1
        lease = await LeaderElection(store, "a/1").acquire()
        assert lease.token == store.revision == 1

    run_virtual(run_scenario())


def test_after_a_lost_reply_the_lease_row_is_changed_first():
    """Guards against lost progress: a transaction whose reply was lost must not
    overwrite newer rows late.
    """

    async def run_scenario():
        store = MemoryStore()
        lease = await LeaderElection(store, "a/1").acquire()
        planner, writer = state_writer(store, lease)
        await writer.write()
        queue = Queue("q", "h", "/q/", "pool", 3.0, 0, 1, 1.0, 1.0, False, None)
        request = JobRequest("j", queue, "a", "s", (), 0.0)
        planner.add_job(
            request, JobProgress(JobState.PENDING, "a", {}), 1, now=0.0, unix_s=0.0
        )
        planner.dirty.add("j")
        before = store.rows[LEASE_TABLE, LEASE_KEY].revision
        store.lose_replies = 1
        await writer.write()
        assert "j" in planner.dirty
        await writer.write()
        await writer.write()
        assert store.rows[LEASE_TABLE, LEASE_KEY].revision > before
        assert not planner.dirty

    run_virtual(run_scenario())


def test_flush_waits_until_all_changes_are_stored():
    """Guards against lost progress and second runs: after an outage more jobs had
    changed than one transaction holds, and the ended runs of the others were
    acknowledged before they were stored.
    """

    async def run_scenario():
        store = MemoryStore()
        lease = await LeaderElection(store, "a/1").acquire()
        planner, writer = state_writer(store, lease)
        queue = Queue("q", "h", "/q/", "pool", 3.0, 0, 1, 1.0, 1.0, False, None)
        for number in range(2 * MAX_ROWS_PER_COMMIT + 1):
            request = JobRequest(f"j{number}", queue, "a", "s", (), 0.0)
            progress = JobProgress(JobState.PENDING, "a", {})
            planner.add_job(request, progress, 1, now=0.0, unix_s=0.0)
            planner.dirty.add(request.job)
        flushing = asyncio.create_task(writer.flush(5.0))
        await asyncio.sleep(0)
        for stored in (False, False, True):
            await writer.write()
            await asyncio.sleep(0.01)
            assert flushing.done() is stored
        assert flushing.result()

    run_virtual(run_scenario())


def test_an_expired_job_loses_its_request_before_its_progress():
    """Guards against second runs: a job with a request and without progress looks new
    to a later planner.
    """

    async def run_scenario():
        store = MemoryStore()
        lease = await LeaderElection(store, "a/1").acquire()
        planner, writer = state_writer(store, lease)
        queue = Queue("q", "h", "/q/", "pool", 3.0, 0, 1, 1.0, 1.0, False, None)
        request = JobRequest("0" * 16, queue, "a", "s", (), 0.0)
        done = JobProgress(JobState.COMPLETED, "a", {}, finished_s=1.0)
        planner.add_job(request, done, 1, now=0.0, unix_s=0.0)
        store.rows["jobs", request.job] = StoreRow("jobs", request.job, b"", 1)
        store.rows["progress", request.job] = StoreRow("progress", request.job, b"", 1)
        removing = asyncio.create_task(writer.remove_expired())
        await asyncio.sleep(REMOVAL_PERIOD_S * 1.5)
        assert ("jobs", request.job) not in store.rows
        assert ("progress", request.job) in store.rows
        await writer.write()
        assert ("progress", request.job) not in store.rows
        assert request.job not in planner.jobs
        removing.cancel()

    run_virtual(run_scenario())


def test_a_removal_begun_by_an_earlier_planner_is_completed():
    """Guards against progress rows that are never removed after a takeover."""

    async def run_scenario():
        store = MemoryStore()
        lease = await LeaderElection(store, "a/1").acquire()
        _, writer = state_writer(store, lease)
        done = JobProgress(JobState.COMPLETED, "a", {}, finished_s=1.0)
        begun = JobProgress(JobState.RUNNING, "a", {})
        for name in ("done", "begun"):
            store.rows["progress", name] = StoreRow("progress", name, b"", 1)
        writer.adopt_orphans({"done": done, "begun": begun})
        await writer.write()
        assert ("progress", "done") not in store.rows
        assert ("progress", "begun") in store.rows

    run_virtual(run_scenario())


def test_a_holder_whose_process_has_ended_is_replaced_without_waiting():
    """Load: the planner is killed during a burst of urgent jobs, which have little more
    slack than the time after which the lease expires.
    """

    async def run_scenario():
        store, killed = MemoryStore(), asyncio.Event()

        async def ended(address):
            await (killed if address == "ip:1" else asyncio.Event()).wait()

        first = await LeaderElection(store, "a/1", "ip:1").acquire()
        _, writer = state_writer(store, first)
        writing = asyncio.create_task(writer.run())
        candidates = [
            asyncio.create_task(
                LeaderElection(store, f"{name}/1", "ip:2", ended).acquire()
            )
            for name in "bc"
        ]
        await asyncio.sleep(3 * LEASE_EXPIRY_S)
        assert not any(candidate.done() for candidate in candidates)
        writing.cancel()
        killed.set()
        await asyncio.sleep(0.4)
        assert sum(candidate.done() for candidate in candidates) == 1
        for candidate in candidates:
            candidate.cancel()
        await asyncio.gather(writing, *candidates, return_exceptions=True)

    run_virtual(run_scenario())


class CountingStore(MemoryStore):
    """A store that counts the calls of candidates.

    :ivar calls: watches, reads and transactions, except those of the holder
    """

    def __init__(self, holder):
        super().__init__()
        self.calls = 0
        self._holder = holder

    async def watch(self, table, after, wait_s):
        self.calls += 1
        return await super().watch(table, after, wait_s)

    async def commit(self, expected, writes, removals=(), **options):
        leases = [decode_lease(each) for each in writes if each.key == LEASE_KEY]
        self.calls += any(lease.holder != self._holder for lease in leases)
        return await super().commit(expected, writes, removals, **options)


async def start_many_candidates(store, count, wait_for_end):
    """Start a holder that renews its lease and many candidates."""
    first = await LeaderElection(store, "a/1", "ip:1").acquire()
    _, writer = state_writer(store, first)
    writing = asyncio.create_task(writer.run())
    candidates = [
        asyncio.create_task(
            LeaderElection(store, f"c{number}/1", "ip:2", wait_for_end).acquire()
        )
        for number in range(count)
    ]
    await asyncio.sleep(2 * LEASE_EXPIRY_S)
    return writing, candidates


async def never(_address):
    await asyncio.Event().wait()


def test_waiting_candidates_do_not_call_the_store_for_every_renewal():
    """Guards against idle hosts that cost the store several calls a second each."""

    async def run_scenario():
        store = CountingStore("a/1")
        writing, candidates = await start_many_candidates(store, 20, never)
        store.calls = 0
        await asyncio.sleep(10.0)
        assert store.calls / 20 / 10.0 < 1.3
        for task in (writing, *candidates):
            task.cancel()
        await asyncio.gather(writing, *candidates, return_exceptions=True)

    run_virtual(run_scenario())


def test_a_silent_holder_of_many_candidates_is_replaced_within_two_seconds():
    async def run_scenario():
        store = CountingStore("a/1")
        writing, candidates = await start_many_candidates(store, 20, never)
        writing.cancel()
        await asyncio.sleep(2.0)
        assert store.lease().holder != "a/1"
        for task in candidates:
            task.cancel()
        await asyncio.gather(writing, *candidates, return_exceptions=True)

    run_virtual(run_scenario())


@pytest.mark.parametrize("seed", range(1, 11))
def test_few_candidates_try_to_acquire_the_lease_of_a_killed_holder(seed):
    """Guards against a rush of transactions that delays the new planner's first ones:
    all candidates notice the end of the process at the same moment.
    """
    random.seed(seed)

    async def run_scenario():
        store, killed = CountingStore("a/1"), asyncio.Event()

        async def ended(address):
            await (killed if address == "ip:1" else asyncio.Event()).wait()

        writing, candidates = await start_many_candidates(store, 60, ended)
        writing.cancel()
        revision, commits = store.revision, []
        commit = store.commit

        async def count(expected, writes, removals=(), **options):
            commits.append(writes)
            return await commit(expected, writes, removals, **options)

        store.commit = count
        killed.set()
        await asyncio.sleep(0.4)
        assert store.revision > revision
        # The store in memory reports a change up to 0.05 s late, a third of the jitter.
        assert len(commits) <= 60 / 2
        for task in candidates:
            task.cancel()
        await asyncio.gather(writing, *candidates, return_exceptions=True)

    run_virtual(run_scenario())


def test_a_process_has_ended_when_its_port_refuses_not_when_a_connection_breaks():
    """Guards against a takeover from a writing planner after a connection reset."""

    async def run_scenario():
        accepted = asyncio.Queue()

        async def accept(_reader, writer):
            await accepted.put(writer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        watching = asyncio.create_task(wait_for_process_end(f"127.0.0.1:{port}"))
        (await accepted.get()).transport.abort()
        connection = await accepted.get()
        assert not watching.done()
        server.close()
        connection.transport.abort()
        async with asyncio.timeout(5):
            await watching

    asyncio.run(run_scenario())


def test_waiting_jobs_are_counted_only_after_all_are_loaded():
    """Guards against wrong counts: a new planner stored a count of zero waiting jobs
    before it had read the jobs.
    """

    async def run_scenario():
        store = MemoryStore()
        store.rows["summary", "waiting"] = StoreRow("summary", "waiting", b'{"q":7}', 1)
        lease = await LeaderElection(store, "a/1").acquire()
        _, writer = state_writer(store, lease)
        await writer.write()
        assert store.rows["summary", "waiting"].value == b'{"q":7}'
        writer.enable_waiting_counts()
        await writer.write()
        assert store.rows["summary", "waiting"].value == b"{}"

    run_virtual(run_scenario())


def test_a_cancelled_acquisition_leaves_no_tasks():
    """Guards against store calls that outlive the store client."""

    async def run_scenario():
        store = MemoryStore()
        await LeaderElection(store, "a/1", "ip:1").acquire()

        async def ended(_address):
            await asyncio.Event().wait()

        candidate = asyncio.create_task(
            LeaderElection(store, "b/1", "ip:2", ended).acquire()
        )
        await asyncio.sleep(LEASE_EXPIRY_S / 4)
        candidate.cancel()
        await asyncio.wait((candidate,))
        await asyncio.sleep(0)
        assert asyncio.all_tasks() == {asyncio.current_task()}

    run_virtual(run_scenario())
