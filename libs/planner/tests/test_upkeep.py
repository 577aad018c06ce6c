"""Tests of maintenance waves: limits on machines down and unavailable tasks."""

import asyncio
from types import SimpleNamespace

import pytest
from bilberryhitch_jobs import RowSnapshot, RowWrite, StoreRow
from bilberryhitch_jobs.errors import StoreUnknown
from bilberryhitch_model import clock
from bilberryhitch_planner import (
    Machine,
    RunningTask,
    UpkeepOutcome,
    Wave,
    WorkerFenced,
)
from bilberryhitch_planner.takedown import takedown_cost
from bilberryhitch_planner.upkeep import RECORD_TABLE, UpkeepController, WaveState
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    entry,
    queue,
    request,
    step,
)


def machines_by_name(*names, down=()):
    return {name: Machine(name, f"i-{name}", name not in down) for name in names}


def no_cost(_machine):
    return 0.0


def wave(*machines, max_down=1, duration_s=60.0):
    return Wave(1, frozenset(machines), duration_s, max_down)


def test_no_more_machines_go_down_than_allowed():
    """Guards against too many machines down: one counts until it is certainly back."""
    wave_state = WaveState(wave("a", "b"), (), 0.0)
    assert wave_state.select(machines_by_name("a", "b"), no_cost, 0.0) == ["a"]
    wave_state.ordered["a"] = "i-a"
    assert wave_state.select(machines_by_name("a", "b"), no_cost, 1.0) == []
    wave_state.apply_outcome("a", UpkeepOutcome.BEGUN, 1.0)
    assert wave_state.select(machines_by_name("a", "b"), no_cost, 1.5) == []
    assert wave_state.select(machines_by_name("a", "b", down="a"), no_cost, 3.0) == []
    assert wave_state.select(machines_by_name("a", "b"), no_cost, 5.0) == ["b"]


def test_an_order_of_an_earlier_planner_counts_until_its_result_is_known():
    """Guards against too many machines down: unanswered orders may take effect late."""
    wave_state = WaveState(wave("a", "b"), ["a"], 0.0)
    assert wave_state.select(machines_by_name("a", "b"), no_cost, 0.0) == []
    assert wave_state.unanswered(machines_by_name("a", "b")) == ["a"]


def test_a_wave_is_complete_when_all_remaining_machines_have_begun():
    """Guards against a wave reported complete too early or, after the removal of a
    machine, never.
    """
    wave_state = WaveState(wave("a", "b"), (), 0.0)
    wave_state.apply_outcome("a", UpkeepOutcome.BEGUN, 0.0)
    assert not wave_state.complete(machines_by_name("a", "b"))
    assert wave_state.complete(machines_by_name("a"))


def test_busy_machines_are_retried():
    wave_state = WaveState(wave("a"), (), 0.0)
    wave_state.ordered["a"] = "i-a"
    wave_state.apply_outcome("a", UpkeepOutcome.BUSY, 0.0)
    assert wave_state.select(machines_by_name("a"), no_cost, 1.0) == ["a"]


@pytest.mark.parametrize("earlier", [True, False], ids=["earlier planner", "own"])
def test_a_busy_machine_does_not_disprove_an_order_without_an_answer(earlier):
    """Guards against too many machines down: the machine was busy when the order was
    repeated, and the first one is carried out after that.
    """
    wave_state = WaveState(wave("a", "b"), ["a"] if earlier else (), 0.0)
    wave_state.ordered["a"] = "i-a"
    if not earlier:
        wave_state.apply_outcome("a", UpkeepOutcome.UNKNOWN, 0.0)
    wave_state.apply_outcome("a", UpkeepOutcome.BUSY, 0.5)
    machines = machines_by_name("a", "b")
    assert wave_state.select(machines, no_cost, 1.0) == []
    assert wave_state.unanswered(machines) == ["a"]


def test_a_machine_drains_before_it_goes_down():
    wave_state = WaveState(wave("a", "b", duration_s=20.0), (), 0.0)
    cost = {"a": 50.0, "b": 80.0}
    machines = machines_by_name("a", "b")

    def machine_cost(machine):
        return cost[machine.name]

    assert wave_state.select(machines, machine_cost, 0.0) == []
    assert set(wave_state.draining) == {"a"}
    assert wave_state.select(machines, machine_cost, wave_state.drain_s + 0.1) == ["a"]
    cost["a"] = 0.0
    assert wave_state.select(machines, machine_cost, 0.5) == ["a"]


def test_a_long_running_step_keeps_its_required_tasks():
    """Guards against too many unavailable tasks: two tasks of one step run on machines
    of one wave.
    """
    harness = PlannerHarness(entry("w1"), entry("w2"), entry("w3"))
    harness.send_all_heartbeats()
    long_running_step = step(3, gpu=8, long_running=True, max_unavailable=1)
    harness.add(request("serving", long_running_step, route=queue("batch", 2)))
    harness.start_all()
    workers = harness.planner.workers
    assert takedown_cost(workers["w1"], workers, (), 1.0) is None
    for worker in workers.values():
        for run in worker.runs.values():
            run.percent = 100.0
    assert takedown_cost(workers["w1"], workers, (), 1.0) is not None
    next(iter(workers["w2"].runs.values())).percent = 0.0
    assert takedown_cost(workers["w1"], workers, (), 1.0) is None


class FakeMachines:
    """Fake machines whose maintenance takes some time; replies may be lost."""

    upkeep_s = 0.5

    def __init__(self, names, lost=0):
        self.machines = {name: Machine(name, f"i-{name}", True) for name in names}
        self.taken_down = set()
        self.lost = lost
        self.max_down = 0
        self.fenced = False

    async def list_machines(self):
        return tuple(self.machines.values())

    async def begin_upkeep(self, machine, wave, *, token):
        if self.fenced:
            return UpkeepOutcome.FENCED
        if machine not in self.taken_down:
            self.taken_down.add(machine)
            self.machines[machine] = self.machines[machine]._replace(up=False)
            asyncio.get_running_loop().call_later(self.upkeep_s, self._back, machine)
        down = sum(not each.up for each in self.machines.values())
        self.max_down = max(self.max_down, down)
        if self.lost:
            self.lost -= 1
            return UpkeepOutcome.UNKNOWN
        return UpkeepOutcome.BEGUN

    def _back(self, machine):
        self.machines[machine] = Machine(machine, f"i-{machine}-2", True)


class ImmediateStateWriter:
    """A state writer that stores rows at once."""

    def __init__(self):
        self.rows = {}
        self.lease_is_fresh = True

    def put(self, write):
        self.rows[write.table, write.key] = write.value

    async def flush(self, timeout_s):
        return True


def upkeep(calls, writer, harness, failures=0, waves=None, records=()):
    left = iter([True] * failures)

    async def read(table, *, timeout_s):
        if next(left, False):
            raise StoreUnknown("rows", "lost")
        return RowSnapshot(tuple(records), 1)

    return UpkeepController(
        SimpleNamespace(read=read),
        harness.planner,
        writer,
        calls,
        token=7,
        waves=waves or (lambda: (wave("a", "b", "c"),)),
        encode_status=lambda number, done: RowWrite(
            "status", str(number), b"%d" % done
        ),
        on_change=lambda: None,
    )


@pytest.fixture(autouse=True)
def loop_clock(monkeypatch):
    monkeypatch.setattr(clock, "steady_s", lambda: asyncio.get_running_loop().time())


@pytest.mark.parametrize("lost", [0, 2])
def test_a_wave_is_carried_out_one_machine_at_a_time(lost):
    async def run_scenario():
        harness, writer = (
            PlannerHarness(entry("i-a"), entry("i-b"), entry("i-c")),
            ImmediateStateWriter(),
        )
        calls = FakeMachines("abc", lost)
        running = asyncio.create_task(upkeep(calls, writer, harness).run())
        await asyncio.sleep(1.2)
        assert writer.rows["status", "1"] == b"0"
        await asyncio.sleep(30)
        running.cancel()
        assert calls.taken_down == set("abc")
        assert calls.max_down == 1
        assert writer.rows["status", "1"] == b"1"
        # The runs on the machines have ended with their workers.
        assert not harness.planner.workers

    run_virtual(run_scenario())


def test_a_wave_waits_until_the_store_is_available():
    """Guards against a lease term that ends because one read failed."""

    async def run_scenario():
        harness, writer = PlannerHarness(entry("i-a")), ImmediateStateWriter()
        calls = FakeMachines("abc")
        running = asyncio.create_task(upkeep(calls, writer, harness, failures=2).run())
        await asyncio.sleep(30)
        running.cancel()
        assert calls.taken_down == set("abc")

    run_virtual(run_scenario())


def test_a_deposed_planner_sends_no_orders():
    """Guards against two planners that send orders to the same machine."""

    async def run_scenario():
        harness, writer = PlannerHarness(entry("i-a")), ImmediateStateWriter()
        calls = FakeMachines("abc")
        writer.lease_is_fresh = False
        running = asyncio.create_task(upkeep(calls, writer, harness).run())
        await asyncio.sleep(5)
        assert not calls.taken_down
        writer.lease_is_fresh = calls.fenced = True
        with pytest.raises(WorkerFenced):
            await asyncio.wait_for(running, 5)

    run_virtual(run_scenario())


def test_nothing_is_started_on_a_worker_whose_upkeep_order_has_no_answer():
    """Guards against two runs of a task: the answer to the first order was lost, the
    worker is back under its identifier, and the second order is answered as done, which
    ends all that the planner knows there.
    """

    async def run_scenario():
        harness, writer = PlannerHarness(entry("i-a")), ImmediateStateWriter()
        harness.send_heartbeat("i-a", born_ms=1)
        starts = []

        class RestartingMachines(FakeMachines):
            async def begin_upkeep(self, machine, wave, *, token):
                if machine in self.taken_down:
                    harness.now += 3.0
                    harness.send_heartbeat("i-a", born_ms=2)
                    harness.add(request("j", step()))
                    starts.append(harness.start_all())
                return await super().begin_upkeep(machine, wave, token=token)

        calls = RestartingMachines("a", lost=1)
        controller = upkeep(calls, writer, harness, waves=lambda: (wave("a"),))
        running = asyncio.create_task(controller.run())
        await asyncio.sleep(10)
        running.cancel()
        assert writer.rows["status", "1"] == b"1"
        assert starts == [[]]

    run_virtual(run_scenario())


def test_a_repeated_order_ends_no_run_that_was_started_while_its_wave_was_withdrawn():
    """Guards against two runs of a task: the answer to an order was lost, its wave was
    withdrawn, and the worker, back under its identifier, got work before the wave
    returned. The order is answered as done, and the work counts as ended.
    """

    async def run_scenario():
        harness, writer = PlannerHarness(entry("i-a")), ImmediateStateWriter()
        harness.send_heartbeat("i-a", born_ms=1)
        requested = [(wave("a"),)]
        controller = upkeep(
            FakeMachines("a", lost=1), writer, harness, waves=lambda: requested[-1]
        )
        running = asyncio.create_task(controller.run())
        await asyncio.sleep(0.9)
        requested.append(())
        await asyncio.sleep(1.0)
        harness.now = clock.steady_s()
        harness.send_heartbeat("i-a", born_ms=2)
        harness.add(request("j", step()))
        (order,) = harness.start_all()
        requested.append((wave("a"),))
        await asyncio.sleep(1.0)
        running.cancel()
        (unit,) = harness.planner.jobs["j"].units
        assert unit.runs
        assert (order.task, order.run) in harness.planner.workers["i-a"].runs

    run_virtual(run_scenario())


class ServingMachines(FakeMachines):
    """Fake machines that note what each order leaves of a step that serves.

    :param lost: number of orders without an answer
    :param dropped: such orders have no effect
    :ivar left: tasks that are at work, after each machine that was taken down
    """

    def __init__(self, names, lost=0, dropped=False):
        super().__init__(names, lost)
        self.dropped = dropped
        self.left = []
        self.began_at = {}
        self.harness = PlannerHarness(*(entry(f"i-{name}") for name in names))

    async def begin_upkeep(self, machine, wave, *, token):
        if self.dropped and self.lost:
            await asyncio.sleep(0.8)
            self.lost -= 1
            return UpkeepOutcome.UNKNOWN
        if machine not in self.taken_down:
            self.left.append(self._at_work(but=self.machines[machine].worker))
        return await super().begin_upkeep(machine, wave, token=token)

    async def serve(self, job):
        """Let the workers start the tasks of a job and keep them at work."""
        harness = self.harness
        harness.send_all_heartbeats()
        harness.add(job)
        while True:
            harness.now = clock.steady_s()
            for each in self.machines.values():
                if each.up:
                    harness.planner.add_worker(entry(each.worker), now=harness.now)
                    self._beat(each.worker)
            for order in harness.start_all():
                self.began_at[order.worker, order.task] = harness.now
            await asyncio.sleep(0.2)

    def _beat(self, worker):
        listed = [
            RunningTask(run.task, run.number, "", self._percent(run))
            for run in self.harness.planner.workers[worker].runs.values()
        ]
        self.harness.send_heartbeat(worker, listed)

    def _percent(self, run):
        began_at = self.began_at.get((run.worker, run.task), clock.steady_s())
        return min(100.0, 100.0 * (clock.steady_s() - began_at))

    def _at_work(self, but):
        up = {each.worker for each in self.machines.values() if each.up} - {but}
        return sum(
            self._percent(run) == 100.0
            for name, worker in self.harness.planner.workers.items()
            for run in worker.runs.values()
            if name in up
        )


def test_a_worker_that_has_not_listed_its_runs_yet_is_not_taken_down():
    """Guards against a step without any task at work, right after a takeover: what an
    earlier planner has started is not known until the worker lists it.
    """
    harness = PlannerHarness(entry("w1"), inherited_until=12.0)
    workers = harness.planner.workers
    harness.planner.add_unregistered_worker("w2", now=0.0)
    assert takedown_cost(workers["w1"], workers, (), 1.0) is None
    assert takedown_cost(workers["w2"], workers, (), 1.0) is None
    # Its lease has expired, so nothing can run there.
    assert takedown_cost(workers["w2"], workers, (), 12.1) == 0.0
    harness.send_heartbeat("w1")
    assert takedown_cost(workers["w1"], workers, (), 1.0) == 0.0


def test_a_machine_is_not_back_by_a_list_that_is_older_than_its_order():
    """Guards against too many machines down: the list was read before a machine went
    down, and orders without an answer took seconds since.
    """

    class SlowMachines(FakeMachines):
        upkeep_s = 5.0

        async def begin_upkeep(self, machine, wave, *, token):
            outcome = await super().begin_upkeep(machine, wave, token=token)
            if machine == "a":
                return outcome
            await asyncio.sleep(0.8)
            return UpkeepOutcome.UNKNOWN

    async def run_scenario():
        calls = SlowMachines("abcd")
        four = wave("a", "b", "c", "d", max_down=3)
        records = [StoreRow(RECORD_TABLE, "1", b'["a","b","c"]', 1)]
        controller = upkeep(
            calls,
            ImmediateStateWriter(),
            PlannerHarness(),
            waves=lambda: (four,),
            records=records,
        )
        running = asyncio.create_task(controller.run())
        await asyncio.sleep(20.0)
        running.cancel()
        assert calls.taken_down == set("abcd")
        assert calls.max_down == 3

    run_virtual(run_scenario())


ONE_WAVE = (wave("a", "b", max_down=2, duration_s=0.0),)
TWO_WAVES = (
    wave("a", duration_s=0.0),
    wave("b", duration_s=0.0)._replace(number=2),
)


@pytest.mark.parametrize("waves", [ONE_WAVE, TWO_WAVES], ids=["one wave", "two waves"])
@pytest.mark.parametrize("lost", [0, 1, 3])
def test_machines_with_tasks_of_one_step_go_down_one_after_the_other(waves, lost):
    """Guards against a step without any task at work, of which one may be missing: each
    of two orders would leave enough by itself.
    """

    async def run_scenario():
        calls, writer = ServingMachines("abcd", lost), ImmediateStateWriter()
        serving = step(2, long_running=True, max_unavailable=1, max_tasks_per_worker=1)
        job = request("serving", serving, route=queue("batch", 2))
        serves = asyncio.create_task(calls.serve(job))
        await asyncio.sleep(3.0)
        controller = upkeep(calls, writer, calls.harness, waves=lambda: waves)
        running = asyncio.create_task(controller.run())
        await asyncio.sleep(30.0)
        running.cancel()
        serves.cancel()
        assert calls.taken_down == {"a", "b"}
        assert calls.left == [1, 1]

    run_virtual(run_scenario())


def test_an_order_without_an_answer_counts_as_an_unavailable_task():
    """Guards against a step without any task at work: an order that seemed to have no
    effect is carried out late.
    """

    async def run_scenario():
        calls = ServingMachines("abcd", lost=1_000, dropped=True)
        serving = step(2, long_running=True, max_unavailable=1, max_tasks_per_worker=1)
        job = request("serving", serving, route=queue("batch", 2))
        serves = asyncio.create_task(calls.serve(job))
        await asyncio.sleep(3.0)
        ordered = set()
        begin_upkeep = calls.begin_upkeep

        async def note(machine, wave, *, token):
            ordered.add(machine)
            return await begin_upkeep(machine, wave, token=token)

        calls.begin_upkeep = note
        controller = upkeep(
            calls, ImmediateStateWriter(), calls.harness, waves=lambda: ONE_WAVE
        )
        running = asyncio.create_task(controller.run())
        await asyncio.sleep(30.0)
        running.cancel()
        serves.cancel()
        assert len(ordered) == 1

    run_virtual(run_scenario())


@pytest.mark.parametrize("changed", [(), (wave("b"),)], ids=["withdrawn", "reduced"])
def test_a_machine_that_is_no_longer_to_go_down_gets_work_again(changed):
    """Guards against workers that get no work for as long as the planner leads, as the
    wave for which they drained was withdrawn or no longer has their machine.
    """

    async def run_scenario():
        harness, writer = PlannerHarness(entry("i-a")), ImmediateStateWriter()
        harness.send_heartbeat("i-a")
        harness.add(request("j", step()))
        harness.start_all()
        requested = [(wave("a"),)]
        controller = upkeep(
            FakeMachines("ab"), writer, harness, waves=lambda: requested[-1]
        )
        running = asyncio.create_task(controller.run())
        await asyncio.sleep(1.5)
        assert harness.planner.cordoned == {"i-a"}
        requested.append(changed)
        await asyncio.sleep(1.5)
        running.cancel()
        assert "i-a" not in harness.planner.cordoned

    run_virtual(run_scenario())
