"""What a term of a planner may take for impossible when it follows another one.

Pattern: a term ends without a release, or a transaction is answered late or not at
all, and the next term starts work beside runs that go on.
"""

import asyncio
from types import SimpleNamespace

import pytest
from bilberryhitch_jobs import JobProgress, JobState
from bilberryhitch_jobs.errors import CommitConflict
from bilberryhitch_jobs.progress import encode_request
from bilberryhitch_jobs.rows import ExpectedRevision, RowWrite
from bilberryhitch_model import clock
from bilberryhitch_planner import LeaderElection, LeadingPlanner, Planner
from bilberryhitch_planner.state_writer import (
    COMMIT_MARK,
    StateWriter,
    read_last_commit,
    read_roster,
)
from bilberryhitch_standins.simulated_fleet import TaskProfile
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.faulty_store import StoreOutage
from bilberryhitch_testing.memory_store import MemoryStore
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    configuration,
    entry,
    request,
    step,
)
from bilberryhitch_testing.term_plays import Play, run_play

JOB = "00000000000000a1"


@pytest.fixture(autouse=True)
def loop_clock(monkeypatch):
    """Replace the clock of the tested modules by that of the event loop."""
    monkeypatch.setattr(clock, "steady_s", lambda: asyncio.get_running_loop().time())


def state_writer(store, lease, planner=None):
    planner = planner or Planner(inherited_revision=lease.token, inherited_until=0.0)
    return StateWriter(store, lease, planner, retention_s=60.0)


async def accept_job(store, name=JOB):
    return await store.commit(
        (ExpectedRevision("jobs", name, 0),),
        (RowWrite("jobs", name, encode_request(request(name, step()))),),
        timeout_s=1.0,
    )


async def next_term(store, election, renewals):
    """End a term without a release and return it, the job it started and the next."""
    first = await election.acquire()
    former = state_writer(store, first)
    for _ in range(renewals):
        await former.write()
    accepted = await accept_job(store)
    await former.write()
    return first, accepted, await election.acquire()


@pytest.mark.parametrize("renewals", [1, 2])
def test_a_job_that_a_former_term_of_the_process_confirmed_is_inherited(renewals):
    """Guards against a second run of a task: the process finds the lease row with its
    own name, since its former term ended without a release, and takes a job that this
    term has started for new.
    """

    async def run_scenario():
        store = MemoryStore()
        election = LeaderElection(store, "a/1")
        _, accepted, second = await next_term(store, election, renewals)
        assert accepted <= await read_last_commit(store, second)

    run_virtual(run_scenario())


@pytest.mark.parametrize("renewals", [1, 2])
def test_a_task_of_a_former_term_waits_for_workers_that_have_not_answered(renewals):
    """Guards against a second run of a task on another worker while the worker that
    runs it cannot be reached by the next term of the same process.
    """

    async def run_scenario():
        store = MemoryStore()
        election = LeaderElection(store, "a/1")
        _, accepted, second = await next_term(store, election, renewals)
        harness = PlannerHarness(
            entry("w1"),
            entry("w2"),
            inherited_revision=second.token,
            inherited_until=second.renewed_at + 12.0,
        )
        harness.planner.limit_inheritance(await read_last_commit(store, second))
        harness.add(request(JOB, step()), revision=accepted)
        harness.send_heartbeat("w2")
        assert harness.plan_starts() == []

    run_virtual(run_scenario())


@pytest.mark.parametrize("renewals", [0, 1])
def test_the_next_term_of_a_process_has_a_higher_token(renewals):
    """Guards against late orders of the former term that workers carry out after the
    next term has read their lists of runs, as both terms have the same token.
    """

    async def run_scenario():
        store = MemoryStore()
        election = LeaderElection(store, "a/1")
        first = await election.acquire()
        former = state_writer(store, first)
        for _ in range(renewals):
            await former.write()
        second = await election.acquire()
        assert second.token > first.token

    run_virtual(run_scenario())


def test_a_late_transaction_of_a_former_term_does_not_take_effect():
    """Guards against progress and roster that change after the next term of the same
    process has read them.
    """

    async def run_scenario():
        store = MemoryStore()
        election = LeaderElection(store, "a/1")
        first = await election.acquire()
        await state_writer(store, first).write()
        revision = store.lease_revision()
        second = await election.acquire()
        await read_last_commit(store, second)
        with pytest.raises(CommitConflict):
            await store.commit(
                (ExpectedRevision("planner", "lease", revision),),
                (RowWrite("roster", "workers", b'["w1"]'), COMMIT_MARK),
                timeout_s=1.0,
            )

    run_virtual(run_scenario())


class BusyStore(MemoryStore):
    """A store that answers a transaction with its newest revision.

    :ivar interleaved: called between the next transaction and its answer
    """

    def __init__(self):
        super().__init__()
        self.interleaved = None

    async def commit(self, expected, writes, removals=(), **options):
        await super().commit(expected, writes, removals, **options)
        interleaved, self.interleaved = self.interleaved, None
        if interleaved is not None:
            await interleaved()
        return self.revision


@pytest.mark.parametrize("renewed", [False, True])
def test_a_job_accepted_before_the_answer_is_confirmed_by_the_next_transaction(renewed):
    """Guards against a second run of a task: the answer of a transaction names a
    revision newer than its own, and a job accepted in between is started although a
    successor takes it for new.
    """

    async def run_scenario():
        store = BusyStore()
        lease = await LeaderElection(store, "a/1").acquire()
        planner = Planner(inherited_revision=lease.token, inherited_until=0.0)
        writer = state_writer(store, lease, planner)
        if not renewed:
            await writer.write()
        revisions = []

        async def accept():
            revisions.append(await accept_job(store))

        store.interleaved = accept
        await writer.write()
        planner.configure(configuration())
        planner.add_job(
            request(JOB, step()),
            JobProgress(JobState.PENDING, "a", {}),
            revisions[0],
            now=0.0,
            unix_s=0.0,
        )
        second = await LeaderElection(store, "a/2").acquire()
        inherited = revisions[0] <= await read_last_commit(store, second)
        assert inherited or planner.has_unconfirmed_jobs

    run_virtual(run_scenario())


def test_two_planners_never_have_one_token():
    """Guards against two planners with one token: the answer of an acquisition names
    the revision of the transaction that took the lease away again.
    """

    async def run_scenario():
        store = BusyStore()
        others = []

        async def take_away():
            others.append(await LeaderElection(store, "a/2").acquire())

        store.interleaved = take_away
        first = await LeaderElection(store, "a/1").acquire()
        assert others[0].token < first.token == store.lease_revision()

    run_virtual(run_scenario())


def leading_planner(store, lease, retention_s=60.0):
    async def list_machines():
        return ()

    return LeadingPlanner(
        store,
        lease,
        SimpleNamespace(),
        worker_table="servers",
        decode_worker=lambda row: None,
        configuration=configuration,
        advise=lambda request: None,
        machines=SimpleNamespace(list_machines=list_machines),
        evacuated=frozenset,
        waves=lambda: (),
        encode_wave=lambda number, done: None,
        retention_s=retention_s,
        store_time_s=lambda: None,
    )


class SlowReadStore(MemoryStore):
    """A store whose answers to reads of jobs arrive late.

    :ivar delay_s: seconds from the read to its answer
    """

    def __init__(self):
        super().__init__()
        self.delay_s = 0.0

    async def read(self, table, *args, **options):
        snapshot = await super().read(table, *args, **options)
        if table == "jobs":
            await asyncio.sleep(self.delay_s)
        return snapshot


def test_a_removed_job_does_not_return_with_a_snapshot_read_before():
    """Guards against a finished job that is run again: the store's history was lost,
    and the job's rows were removed between the read of its partition and the
    application of the rows.
    """

    async def run_scenario():
        store = SlowReadStore()
        await accept_job(store)
        lease = await LeaderElection(store, "a/1").acquire()
        leading = leading_planner(store, lease, retention_s=0.1)
        await leading._jobs.poll()
        leading.planner.cancel_job(JOB, unix_s=clock.unix.now_s())
        writing = asyncio.create_task(leading.state_writer.run())
        removing = asyncio.create_task(leading.state_writer.remove_expired())
        await asyncio.sleep(0.5)
        store.delay_s = 1.4
        leading._jobs._revision = None
        await leading._jobs.poll()
        writing.cancel()
        removing.cancel()
        await asyncio.gather(writing, removing, return_exceptions=True)
        assert ("jobs", JOB) not in store.rows
        assert all(job.finished for job in leading.planner.jobs.values())

    run_virtual(run_scenario())


def test_a_worker_that_returns_after_an_unanswered_removal_is_in_the_roster():
    """Guards against a second run of a task: the roster without a worker was stored
    and its answer lost, the worker is back, and the planner takes the roster that it
    knows for the stored one. Its successor does not wait for the worker.
    """

    async def run_scenario():
        store = MemoryStore()
        lease = await LeaderElection(store, "a/1").acquire()
        planner = Planner(inherited_revision=lease.token, inherited_until=0.0)
        writer = state_writer(store, lease, planner)
        for name in ("w1", "w2"):
            planner.add_worker(entry(name), now=0.0).synced = True
        await writer.write()
        planner.mark_unregistered("w1", now=0.0)
        store.lose_replies = 1
        await writer.write()
        planner.add_worker(entry("w1"), now=0.0)
        for _ in range(3):
            await writer.write()
        assert not planner.roster_outdated
        assert "w1" in await read_roster(store)

    run_virtual(run_scenario())


class HeldStore(MemoryStore):
    """A store that calls back between a transaction and its answer.

    :ivar before_answer: called once the next transaction has taken effect
    """

    def __init__(self):
        super().__init__()
        self.before_answer = None

    async def commit(self, expected, writes, removals=(), **options):
        revision = await super().commit(expected, writes, removals, **options)
        before_answer, self.before_answer = self.before_answer, None
        if before_answer is not None:
            before_answer()
        return revision


def test_a_worker_that_is_just_dropped_from_the_roster_gets_no_run():
    """Guards against a run on a worker for which a successor would not wait: the
    roster without it is under way while the worker is back.
    """

    async def run_scenario():
        store = HeldStore()
        lease = await LeaderElection(store, "a/1").acquire()
        harness = PlannerHarness(entry("w1"))
        planner = harness.planner
        writer = state_writer(store, lease, planner)
        harness.send_heartbeat("w1")
        await writer.write()
        harness.add(request(JOB, step()))
        planner.mark_unregistered("w1", now=0.0)
        orders = []

        def place():
            planner.add_worker(entry("w1"), now=0.0)
            harness.send_heartbeat("w1")
            orders.extend(planner.plan(now=0.0, unix_s=clock.unix.now_s()))

        store.before_answer = place
        await writer.write()
        stored = await read_roster(store)
        assert all(order.worker in stored for order in orders)

    run_virtual(run_scenario())


def test_a_lease_that_a_successor_renews_has_not_expired():
    """Guards against a second run of a task: a planner whose writes are refused does
    not know its successor, holds the lease of a worker that only the successor
    reaches for expired, and starts the task on a worker that only it reaches itself.
    """
    play = Play(1, 2, 2, 60.0, (), single_faults=False)

    def script(world):
        world.loop.spawn_outside(_cut_planners_from_each_other(world))

    assert run_play(play, on_world=script, jobs=False) == []


async def _cut_planners_from_each_other(world):
    await asyncio.sleep(2.0)
    job = request("00000000000000a1", step())
    job = job._replace(accepted_s=clock.unix.now_s())
    world.submit(job, TaskProfile(25.0, job.steps[0].reserved_resources))
    await asyncio.sleep(2.0)
    former = world.leader()
    successor = next(host for host in world.hosts if host != former)
    runs_at = world.starts[0].worker
    idle = "w1" if runs_at == "w0" else "w0"
    world.cut |= {(former, runs_at), (successor, idle)}
    await asyncio.sleep(3.0)
    world.store.outages.append(StoreOutage(former, silent=False, writes_only=True))
