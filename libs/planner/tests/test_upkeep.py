"""Waves of upkeep: never too many machines down, never a lasting step too short."""

import asyncio
from types import SimpleNamespace

import pytest
from bilberryhitch_jobs import RowSnapshot, RowWrite
from bilberryhitch_jobs.errors import StoreUnknown
from bilberryhitch_planner import Machine, UpkeepOutcome, Wave, WorkerFenced
from bilberryhitch_planner.upkeep import UpkeepController, WaveState, takedown_cost
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    entry,
    queue,
    request,
    step,
)


def listed(*names, down=()):
    return {name: Machine(name, f"i-{name}", name not in down) for name in names}


def free(_machine):
    return 0.0


def wave(*machines, most_down=1, duration_s=60.0):
    return Wave(1, frozenset(machines), duration_s, most_down)


def test_no_more_machines_go_down_than_the_operator_allows():
    """Guards against LIMIT: a machine that may be down counts until it is back."""
    book = WaveState(wave("a", "b"), ())
    assert book.select(listed("a", "b"), free, 0.0) == ["a"]
    book.ordered["a"] = "i-a"
    assert book.select(listed("a", "b"), free, 1.0) == []
    book.apply_outcome("a", UpkeepOutcome.BEGUN, 1.0)
    assert book.select(listed("a", "b"), free, 1.5) == []
    assert book.select(listed("a", "b", down="a"), free, 3.0) == []
    assert book.select(listed("a", "b"), free, 5.0) == ["b"]


def test_an_order_of_an_earlier_planner_counts_until_it_is_answered():
    """Guards against LIMIT: an order without an answer may be carried out late."""
    book = WaveState(wave("a", "b"), ["a"])
    assert book.select(listed("a", "b"), free, 0.0) == []
    assert book.unanswered(listed("a", "b")) == ["a"]


def test_a_wave_is_complete_when_every_machine_that_stays_has_begun():
    """Guards against MIXED; a machine that was removed is not waited for."""
    book = WaveState(wave("a", "b"), ())
    book.apply_outcome("a", UpkeepOutcome.BEGUN, 0.0)
    assert not book.complete(listed("a", "b"))
    assert book.complete(listed("a"))


def test_busy_machines_are_tried_again():
    book = WaveState(wave("a"), ["a"])
    book.apply_outcome("a", UpkeepOutcome.BUSY, 0.0)
    assert book.select(listed("a"), free, 1.0) == ["a"]


def test_work_may_end_before_its_machine_goes_down():
    book = WaveState(wave("a", "b", duration_s=20.0), ())
    cost = {"a": 50.0, "b": 80.0}
    machines = listed("a", "b")

    def price(machine):
        return cost[machine.name]

    assert book.select(machines, price, 0.0) == []
    assert set(book.draining) == {"a"}
    assert book.select(machines, price, book.drain_s + 0.1) == ["a"]
    cost["a"] = 0.0
    assert book.select(machines, price, 0.5) == ["a"]


def test_a_lasting_step_keeps_the_tasks_that_it_may_not_miss():
    """Guards against AVAIL: two tasks of one step on machines of one wave."""
    world = PlannerHarness(entry("w1"), entry("w2"), entry("w3"))
    world.report_all()
    lasting = step(3, gpu=8, long_running=True, max_unavailable=1)
    world.add(request("serving", lasting, route=queue("batch", 2)))
    world.start_all()
    workers = world.planner.workers
    assert takedown_cost(workers["w1"], 1.0) is None
    for worker in workers.values():
        for run in worker.runs.values():
            run.percent = 100.0
    assert takedown_cost(workers["w1"], 1.0) is not None
    next(iter(workers["w2"].runs.values())).percent = 0.0
    assert takedown_cost(workers["w1"], 1.0) is None


class Calls:
    """Machines that take half a second for their upkeep; answers may be lost."""

    def __init__(self, names, lost=0):
        self.machines = {name: Machine(name, f"i-{name}", True) for name in names}
        self.had = set()
        self.lost = lost
        self.most_down = 0
        self.fenced = False

    async def list_machines(self):
        return tuple(self.machines.values())

    async def begin_upkeep(self, machine, wave, *, token):
        if self.fenced:
            return UpkeepOutcome.FENCED
        if machine not in self.had:
            self.had.add(machine)
            self.machines[machine] = self.machines[machine]._replace(up=False)
            asyncio.get_running_loop().call_later(0.5, self._back, machine)
        down = sum(not each.up for each in self.machines.values())
        self.most_down = max(self.most_down, down)
        if self.lost:
            self.lost -= 1
            return UpkeepOutcome.UNKNOWN
        return UpkeepOutcome.BEGUN

    def _back(self, machine):
        self.machines[machine] = Machine(machine, f"i-{machine}-2", True)


class Notes:
    """A journal that stores at once."""

    def __init__(self):
        self.rows = {}
        self.lease_is_fresh = True

    def put(self, write):
        self.rows[write.table, write.key] = write.value

    async def flush(self, timeout_s):
        return True


def upkeep(calls, notes, world, failures=0):
    left = iter([True] * failures)

    async def read(table, *, timeout_s):
        if next(left, False):
            raise StoreUnknown("rows", "lost")
        return RowSnapshot((), 1)

    return UpkeepController(
        SimpleNamespace(read=read),
        world.planner,
        notes,
        calls,
        token=7,
        waves=lambda: (wave("a", "b", "c"),),
        encode_status=lambda number, done: RowWrite(
            "status", str(number), b"%d" % done
        ),
        on_change=lambda: None,
    )


@pytest.fixture(autouse=True)
def loop_clock(monkeypatch):
    clock = SimpleNamespace(
        monotonic=lambda: asyncio.get_running_loop().time(), time=lambda: 0.0
    )
    monkeypatch.setattr("bilberryhitch_planner.upkeep.time", clock)


@pytest.mark.parametrize("lost", [0, 2])
def test_a_wave_is_carried_out_one_machine_at_a_time(lost):
    async def scene():
        world, notes = PlannerHarness(entry("i-a"), entry("i-b"), entry("i-c")), Notes()
        calls = Calls("abc", lost)
        running = asyncio.create_task(upkeep(calls, notes, world).run())
        await asyncio.sleep(1.2)
        assert notes.rows["status", "1"] == b"0"
        await asyncio.sleep(30)
        running.cancel()
        assert calls.had == set("abc")
        assert calls.most_down == 1
        assert notes.rows["status", "1"] == b"1"
        # What ran on the machines has ended with their workers.
        assert not world.planner.workers

    run_virtual(scene())


def test_a_wave_waits_for_the_store_to_answer():
    """Guards against a tenure that ends because one read failed."""

    async def scene():
        world, notes = PlannerHarness(entry("i-a")), Notes()
        calls = Calls("abc")
        running = asyncio.create_task(upkeep(calls, notes, world, failures=2).run())
        await asyncio.sleep(30)
        running.cancel()
        assert calls.had == set("abc")

    run_virtual(scene())


def test_a_deposed_planner_gives_no_orders():
    """Guards against ONE: two holders that order one machine in turn."""

    async def scene():
        world, notes = PlannerHarness(entry("i-a")), Notes()
        calls = Calls("abc")
        notes.lease_is_fresh = False
        running = asyncio.create_task(upkeep(calls, notes, world).run())
        await asyncio.sleep(5)
        assert not calls.had
        notes.lease_is_fresh = calls.fenced = True
        with pytest.raises(WorkerFenced):
            await asyncio.wait_for(running, 5)

    run_virtual(scene())
