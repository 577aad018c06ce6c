"""Knowledge that is older than it looks: answers, orders of upkeep, and listed ends."""

import asyncio
from contextlib import suppress

import pytest
from bilberryhitch_jobs import JobProgress, JobState, UnitProgress
from bilberryhitch_jobs.errors import CommitConflict
from bilberryhitch_jobs.rows import RowWrite
from bilberryhitch_model import clock
from bilberryhitch_planner import (
    Candidate,
    Deposed,
    LeaderElection,
    Machine,
    Planner,
    UpkeepOutcome,
    Wave,
)
from bilberryhitch_planner.errors import Isolated
from bilberryhitch_planner.leader_election import RENEWAL_PERIOD_S
from bilberryhitch_planner.state_writer import StateWriter
from bilberryhitch_planner.upkeep import UpkeepController
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.memory_store import MemoryStore
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    ended,
    entry,
    request,
    step,
)


@pytest.fixture(autouse=True)
def loop_clock(monkeypatch):
    """Replace the clock of the tested modules by that of the event loop."""
    monkeypatch.setattr(clock, "steady_s", lambda: asyncio.get_running_loop().time())


def state_writer(store, lease):
    planner = Planner(inherited_revision=lease.token, inherited_until=0.0)
    return StateWriter(store, lease, planner, retention_s=60.0)


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


@pytest.mark.parametrize("renewals", [0, 1])
def test_a_renewal_answered_after_a_takeover_gives_no_second_lease(renewals):
    """Guards against two planners that both hold the lease: the answer of a renewal
    names the revision of the successor's row, on which the next one is conditional.
    """

    async def run_scenario():
        store = BusyStore()
        former = state_writer(store, await LeaderElection(store, "a/1").acquire())

        async def take_over():
            lease = await LeaderElection(store, "a/2").acquire()
            for _ in range(renewals):
                await state_writer(store, lease).write()

        store.interleaved = take_over
        await former.write()
        with pytest.raises(Deposed):
            await former.write()

    run_virtual(run_scenario())


class BusyMachine:
    """A machine whose upkeep is begun by an order without an answer.

    Its upkeep takes 1.2 s. Orders are refused meanwhile, and answered as done later.
    """

    def __init__(self):
        self.machine = Machine("a", "i-a", True)
        self.orders = 0
        self.returned = asyncio.Event()

    async def list_machines(self):
        return (self.machine,)

    async def begin_upkeep(self, machine, wave, *, token):
        self.orders += 1
        if self.orders == 1:
            self.machine = Machine("a", "i-a", False)
            asyncio.get_running_loop().call_later(1.2, self._back)
            return UpkeepOutcome.UNKNOWN
        return UpkeepOutcome.BEGUN if self.machine.up else UpkeepOutcome.BUSY

    def _back(self):
        self.machine = Machine("a", "i-a-2", True)
        self.returned.set()


class ImmediateStateWriter:
    """A state writer that stores rows at once."""

    lease_is_fresh = True

    def put(self, write):
        """Store a row."""

    async def flush(self, timeout_s):
        return True


def test_an_order_of_upkeep_that_was_done_earlier_does_not_end_the_next_worker():
    """Guards against a second run of a task: an order without an answer took a machine
    down, the next ones were refused as it was down, and the one after its return is
    answered as done. The runs of the machine's next worker go on.
    """

    async def run_scenario():
        harness, machine = PlannerHarness(entry("i-a")), BusyMachine()
        controller = UpkeepController(
            MemoryStore(),
            harness.planner,
            ImmediateStateWriter(),
            machine,
            token=7,
            waves=lambda: (Wave(1, frozenset({"a"}), 60.0, 1),),
            encode_status=lambda number, done: RowWrite("status", str(number), b""),
            on_change=lambda: None,
        )
        running = asyncio.create_task(controller.run())
        await machine.returned.wait()
        harness.now = clock.steady_s()
        harness.planner.add_worker(entry("i-a-2"), now=harness.now)
        harness.send_heartbeat("i-a-2")
        harness.add(request("j", step()))
        assert [order.worker for order in harness.start_all()] == ["i-a-2"]
        await asyncio.sleep(12.0)
        running.cancel()
        assert "i-a-2" in harness.planner.workers

    run_virtual(run_scenario())


def test_a_task_that_has_ended_done_is_not_started_again():
    """Guards against a further run of a task: an earlier run, which this planner did
    not know of, has ended done beside the present one, which is lost with its worker.
    The listed end is acknowledged.
    """
    harness = PlannerHarness(entry("w1"), entry("w2"), entry("w3"))
    for name in ("w2", "w3"):
        harness.send_heartbeat(name)
    units = {(0, 0, 0): UnitProgress(last_run=1)}
    harness.add(request("j", step()), JobProgress(JobState.RUNNING, "a", units))
    (second,) = harness.start_all()
    assert second.run == 2
    harness.send_heartbeat("w1", ended=[ended(second._replace(run=1))])
    harness.now += 1.0
    harness.planner.remove_ended_worker(second.worker, now=harness.now, unix_s=0.0)
    harness.now += 5.0
    harness.send_all_heartbeats()
    assert harness.plan_starts() == []


class SlowStore(MemoryStore):
    """A store whose answers to transactions take 50 ms."""

    async def commit(self, *args, **options):
        revision = await super().commit(*args, **options)
        await asyncio.sleep(0.05)
        return revision


class EndingTerm:
    """A term that ends while its renewal is under way."""

    def __init__(self, store, lease):
        self.state_writer = state_writer(store, lease)

    async def run(self):
        async with asyncio.TaskGroup() as group:
            group.create_task(self.state_writer.run())
            await asyncio.sleep(0.05 + RENEWAL_PERIOD_S + 0.02)
            raise Isolated(3, 5)


def test_a_term_that_ends_during_a_renewal_releases_its_lease():
    """Guards against a lease that stays held by nobody although the store answers: the
    renewal under way was given up, so the release is conditional on an old revision.
    """

    async def run_scenario():
        store = SlowStore()
        election = LeaderElection(store, "a/1")
        candidate = Candidate(election.acquire, lambda lease: EndingTerm(store, lease))
        candidate.start()
        await asyncio.sleep(2.0)
        assert store.lease().holder == ""
        await candidate.close()

    run_virtual(run_scenario())


def test_a_change_under_way_at_the_end_of_a_term_is_stored_by_the_release():
    """Guards against progress that is lost with a transaction that was given up and
    not carried out, although the release is stored.
    """

    async def run_scenario():
        store = MemoryStore()
        writer = state_writer(store, await LeaderElection(store, "a/1").acquire())
        await writer.write()
        writer.put(RowWrite("status", "1", b"1"))
        held = asyncio.Event()

        async def hold(*args, **options):
            await held.wait()

        commit, store.commit = store.commit, hold
        writing = asyncio.create_task(writer.write())
        await asyncio.sleep(0.01)
        writing.cancel()
        await asyncio.gather(writing, return_exceptions=True)
        store.commit = commit
        with suppress(CommitConflict):
            assert await writer.release()
        assert ("status", "1") in store.rows

    run_virtual(run_scenario())


def test_a_machine_that_is_not_of_the_wave_gets_work_after_it():
    """Guards against a worker that gets no work any more: the order for the last
    machine of a wave was refused for good, and its drain never ends.
    """

    class OtherMachine(BusyMachine):
        async def begin_upkeep(self, machine, wave, *, token):
            return UpkeepOutcome.NOT_OF_WAVE

    async def run_scenario():
        harness = PlannerHarness(entry("i-a"))
        controller = UpkeepController(
            MemoryStore(),
            harness.planner,
            ImmediateStateWriter(),
            OtherMachine(),
            token=7,
            waves=lambda: (Wave(1, frozenset({"a"}), 60.0, 1),),
            encode_status=lambda number, done: RowWrite("status", str(number), b""),
            on_change=lambda: None,
        )
        running = asyncio.create_task(controller.run())
        await asyncio.sleep(20.0)
        running.cancel()
        assert not harness.planner.cordoned

    run_virtual(run_scenario())


def test_a_job_whose_end_is_just_being_stored_is_not_removed():
    """Guards against a job that is removed by a planner that has lost its lease: its
    end is in a transaction under way, which may not take effect.
    """

    async def run_scenario():
        store = SlowStore()
        lease = await LeaderElection(store, "a/1").acquire()
        planner = Planner(inherited_revision=lease.token, inherited_until=0.0)
        unix_s = clock.unix.now_s()
        writer = StateWriter(store, lease, planner, retention_s=60.0)
        progress = JobProgress(JobState.PENDING, "a", {})
        planner.add_job(request("j", step()), progress, 1, now=0.0, unix_s=unix_s)
        planner.cancel_job("j", unix_s=unix_s - 61.0)
        assert writer._expired() == []
        writing = asyncio.create_task(writer.write())
        await asyncio.sleep(0.01)
        assert writer._expired() == []
        await writing

    run_virtual(run_scenario())
