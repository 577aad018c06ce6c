"""Rows of another writer in each table, on each path on which it is read.

Guards against a planner that ends, starts nothing or forgets what it knew because of
one row that is no document, is nested too deeply or holds a number too large.
"""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from bilberryhitch_adapter.decoding import decode_worker, encode_wave
from bilberryhitch_jobs import JobOperations, RowWrite, Schedule, encode_request
from bilberryhitch_jobs.job_operations import OperationResult
from bilberryhitch_model import clock
from bilberryhitch_planner import (
    HeartbeatReply,
    LeaderElection,
    LeaderLease,
    LeadingPlanner,
    Machine,
    RunningTask,
    StartOutcome,
    UpkeepOutcome,
    WorkerUnreachable,
)
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.memory_store import MemoryStore
from bilberryhitch_testing.planner_harness import configuration, request, step

ODD_VALUES = {
    "empty": b"",
    "no text": b"\xff\xfe",
    "nested json": b"[" * 100_000,
    "nested object": b'{"address":' * 100_000,
    "nested msgpack": b"\x91" * 100_000,
    "infinite": b'{"holder":"a","token":1e999,"renewal":0}',
    "large number": b"1" + b"0" * 400,
    "long number": b"9" * 5_000,
    "negative": b"-1",
    "wrong type": b'{"workers":7}',
    "list": b"[[],{}]",
}
TABLES = (
    "jobs",
    "progress",
    "planner",
    "commits",
    "roster",
    "summary",
    "clocks",
    "upkeep",
    "servers",
)
# Before, as and after the keys that are in use.
ODD_KEYS = ("!", "waiting.odd", "workers.odd", "²", "9" * 199, "~")
REGISTRATION = {
    "backend": "pool",
    "address": "10.0.0.9:8080",
    "zone": "dc",
    "state": "ready",
    "capacity": {"cpu": 32_000, "mem-mb": 64_000, "gpu": 8},
    "labels": ["a", "r1"],
}


@pytest.fixture(autouse=True)
def loop_clock(monkeypatch):
    monkeypatch.setattr(clock, "steady_s", lambda: asyncio.get_running_loop().time())


class Workers:
    """Calls to a sound worker ``w1``; at other addresses nobody answers."""

    def __init__(self):
        self.started = {}
        self.contacted = set()

    async def hold(self, worker, *, token, acknowledged, lease_until_s, wait_s):
        self.contacted.add((worker.worker, worker.address))
        await asyncio.sleep(max(wait_s, 0.01))
        if worker.worker != "w1":
            raise WorkerUnreachable(worker.worker, "not_connected")
        listed = tuple(RunningTask(task, run) for task, run in self.started.values())
        return HeartbeatReply(clock.steady_s(), 1, listed, ())

    async def start_run(self, worker, order, *, token, lease_until_s):
        if worker.worker != "w1":
            return StartOutcome.REFUSED
        self.started[order.task.job] = order.task, order.run
        return StartOutcome.STARTED


def planner(store, lease, workers):
    async def list_machines():
        return (Machine("m1", "w1", True),)

    async def begin_upkeep(machine, wave, *, token):
        return UpkeepOutcome.UNKNOWN

    return LeadingPlanner(
        store,
        lease,
        workers,
        worker_table="servers",
        decode_worker=decode_worker,
        configuration=configuration,
        advise=None,
        machines=SimpleNamespace(
            list_machines=list_machines, begin_upkeep=begin_upkeep
        ),
        evacuated=frozenset,
        waves=lambda: (),
        encode_wave=encode_wave,
        retention_s=60.0,
        store_time_s=lambda: 1_000.0,
    )


class Site:
    """A store with a sound worker and the planners that take over one another."""

    def __init__(self):
        self.store = MemoryStore()
        self.workers = Workers()
        self._task = None
        self._terms = 0

    async def put(self, table, key, value):
        await self.store.commit((), (RowWrite(table, key, value),), timeout_s=1.0)

    async def register(self, key="w1", **changes):
        await self.put("servers", key, msgspec.json.encode(REGISTRATION | changes))

    async def take_over(self):
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._terms += 1
        election = LeaderElection(self.store, f"{self._terms}/1")
        lease = await election.acquire()
        self._task = asyncio.create_task(planner(self.store, lease, self.workers).run())

    async def assert_serves(self, job):
        await self.put("jobs", job, encode_request(request(job, step())))
        for _ in range(100):
            if job in self.workers.started:
                return
            assert not self._task.done(), self._task.exception()
            await asyncio.sleep(0.1)
        pytest.fail(f"{job} was not started")

    async def close(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


def run_site(scenario):
    async def run():
        site = Site()
        await site.register()
        await scenario(site)
        await site.close()

    run_virtual(run())


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
@pytest.mark.parametrize("table", TABLES)
def test_an_odd_row_leaves_the_planner_working(table, value):
    """Covers the snapshot at the start, the watch and two takeovers."""

    async def scenario(site):
        for key in ODD_KEYS[:3]:
            await site.put(table, key, value)
        await site.take_over()
        await site.assert_serves("a" * 16)
        for key in ODD_KEYS[3:]:
            await site.put(table, key, value)
        await site.assert_serves("b" * 16)
        await site.take_over()
        await site.assert_serves("c" * 16)

    run_site(scenario)


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
@pytest.mark.parametrize(
    ("table", "key"),
    [("planner", "lease"), ("roster", "workers"), ("summary", "waiting")],
)
def test_an_odd_value_of_a_known_row_leaves_the_next_planner_working(table, key, value):
    """Guards against a row that no planner can read, so that none ever plans again."""

    async def scenario(site):
        await site.take_over()
        await site.assert_serves("a" * 16)
        await site.put(table, key, value)
        await site.take_over()
        await site.assert_serves("b" * 16)

    run_site(scenario)


ODD_ADDRESSES = [
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:99999",
    "10.0.0.9:" + "9" * 5_000,
    "10.0.0.9:8080/x",
    "x/y?:80",
    "@h:80",
    "u@h:80",
    "a b:80",
    "a#b:80",
    "a%20b:80",
    "http://h:80",
    "h\r\nX: y:80",
    "::1:80",
    "[::1:80",
    "[fe80::1%eth0]:80",
    "999.0.0.1:80",
    "1.2.3:80",
    "h..x:80",
    "-h:80",
    ":80",
    "h:",
    "h",
    "h:８0",
    "",
]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_an_address_that_names_no_target_names_no_worker(address):
    """Guards against calls to another target than the one that an entry names."""

    async def scenario(site):
        await site.register("odd-snapshot", address=address)
        await site.take_over()
        await site.assert_serves("a" * 16)
        await site.register("odd-watch", address=address)
        await site.assert_serves("b" * 16)
        await site.take_over()
        await site.assert_serves("c" * 16)
        assert {worker for worker, _ in site.workers.contacted} == {"w1"}

    run_site(scenario)


@pytest.mark.parametrize(
    "address", ["10.0.0.9:1", "10.0.0.9:65535", "[::1]:80", "h-1.x:80"]
)
def test_an_address_that_names_a_target_is_taken(address):
    row = SimpleNamespace(
        key="w", value=msgspec.json.encode(REGISTRATION | {"address": address})
    )
    assert decode_worker(row).address == address


@pytest.mark.parametrize("key", ["a b", "a\r\nb", "", "é", "\x00"])
def test_an_entry_whose_identifier_no_call_can_carry_names_no_worker(key):
    """Guards against a session that fails for ever on the header of its calls."""
    row = SimpleNamespace(key=key, value=msgspec.json.encode(REGISTRATION))
    assert decode_worker(row) is None


@pytest.mark.parametrize("value", [*ODD_VALUES.values(), b'{"state":"lost"}'])
def test_a_worker_whose_entry_becomes_odd_gets_no_new_work_until_it_is_sound(value):
    """Guards against paths that disagree: an odd entry names no worker to use, whether
    it was read at the start or as a change.
    """

    async def scenario(site):
        await site.take_over()
        await site.assert_serves("a" * 16)
        await site.put("servers", "w1", value)
        await asyncio.sleep(1.0)
        await site.put("jobs", "b" * 16, encode_request(request("b" * 16, step())))
        await asyncio.sleep(1.0)
        assert "b" * 16 not in site.workers.started
        await site.register()
        await site.assert_serves("c" * 16)
        assert "b" * 16 in site.workers.started

    run_site(scenario)


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_callers_are_answered_beside_odd_rows(value):
    """Guards against a call that fails because of a row of another job or queue."""

    async def scenario(site):
        loop = asyncio.get_running_loop()
        operations = JobOperations(site.store, now=loop.time)
        for table, key in (
            ("summary", "waiting"),
            ("progress", "a" * 16),
            ("jobs", "b" * 16),
        ):
            await site.put(table, key, value)
        counted = await operations.count_waiting("q", loop.time() + 1.0)
        assert counted is None or counted == 0
        for job in ("a" * 16, "b" * 16):
            result, _ = await operations.get_state(job, "a", loop.time() + 1.0)
            assert result in (OperationResult.REFUSED, OperationResult.ABSENT)
        await site.take_over()

    run_site(scenario)


def test_a_job_that_no_caller_could_have_submitted_is_ignored():
    """Guards against a planner that runs out of memory on a number too large."""
    odd = [
        request("f" * 16, step(10**12)),
        request("e" * 16, step(depends_on=(0,))),
        request("d" * 16, step(0)),
        request("c" * 16, step(gpu=-8)),
        request("b" * 16, step(), schedule=Schedule(10**12, 0.0, 1.0)),
    ]

    async def scenario(site):
        for job in odd:
            await site.put("jobs", job.job, encode_request(job))
        await site.take_over()
        await site.assert_serves("a" * 16)

    run_site(scenario)


def test_an_odd_record_of_upkeep_leaves_the_others():
    """Guards against machines that were ordered down and are no longer counted."""

    async def scenario(site):
        await site.put("upkeep", "!", b"[" * 100_000)
        await site.put("upkeep", "3", msgspec.json.encode(["m1"]))
        await site.put("upkeep", "9" * 199, b"\xff")
        await site.take_over()
        lease = LeaderLease("b/1", 1, 0.0, 0.0)
        controller = planner(site.store, lease, site.workers)._upkeep
        assert await controller._read_records() == {3: ["m1"]}

    run_site(scenario)
