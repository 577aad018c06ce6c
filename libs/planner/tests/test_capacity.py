"""Workers whose capacity shrinks and grows again while they run tasks."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from bilberryhitch_jobs import Resources, RowWrite, encode_request
from bilberryhitch_jobs.errors import StoreUnknown
from bilberryhitch_model import clock
from bilberryhitch_planner import (
    HeartbeatReply,
    LeaderElection,
    LeadingPlanner,
    RunningTask,
    StartOutcome,
)
from bilberryhitch_planner.leading_planner import REGISTRATIONS_MAX_AGE_S
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.memory_store import MemoryStore
from bilberryhitch_testing.planner_harness import (
    CAPACITY,
    PlannerHarness,
    configuration,
    entry,
    request,
    step,
)


@pytest.mark.parametrize(
    "shrunk",
    [
        Resources(1_500, CAPACITY.memory, CAPACITY.gpu),
        Resources(CAPACITY.cpu, 1_500, CAPACITY.gpu),
        Resources(CAPACITY.cpu, CAPACITY.memory, 1),
    ],
    ids=["cpu", "memory", "gpu"],
)
@pytest.mark.parametrize(
    "waiting", [step(), step(gpu=0), step(gpu=0, uses_idle_cpu=True)]
)
def test_a_worker_whose_capacity_has_shrunk_gets_nothing_until_it_fits(shrunk, waiting):
    """Guards against starts that bring a worker over a capacity that it has lost, in
    whatever resource.
    """
    harness = PlannerHarness(entry("w0"))
    harness.send_heartbeat("w0")
    harness.add(request("first", step(2)))
    assert len(harness.start_all()) == 2
    harness.planner.add_worker(entry("w0", capacity=shrunk), now=harness.now)
    harness.add(request("second", waiting))
    harness.now = 0.1
    assert harness.plan_starts() == []
    harness.planner.add_worker(entry("w0"), now=harness.now)
    assert [order.task.job for order in harness.plan_starts()] == ["second"]


class PartlySilentStore(MemoryStore):
    """A store of which single tables can be unavailable."""

    def __init__(self):
        super().__init__()
        self.silent_tables = set()

    async def watch(self, table, after, wait_s):
        if table in self.silent_tables:
            await asyncio.sleep(wait_s)
            raise StoreUnknown("watch", "no answer")
        return await super().watch(table, after, wait_s)

    async def put(self, table, key, value):
        await self.commit((), (RowWrite(table, key, value),), timeout_s=1.0)


class ObedientWorker:
    """A worker that starts what it is told."""

    def __init__(self):
        self.started = {}

    async def hold(self, worker, *, token, acknowledged, lease_until_s, wait_s):
        await asyncio.sleep(max(wait_s, 0.01))
        listed = [RunningTask(task, run) for task, run in self.started.values()]
        return HeartbeatReply(clock.steady_s(), 1, tuple(listed), ())

    async def start_run(self, worker, order, *, token, lease_until_s):
        self.started[order.task.job] = order.task, order.run
        return StartOutcome.STARTED


def leading_planner(store, lease, worker):
    async def list_machines():
        return ()

    def decode(row):
        return entry("w1", capacity=Resources(*msgspec.json.decode(row.value)))

    return LeadingPlanner(
        store,
        lease,
        worker,
        worker_table="servers",
        decode_worker=decode,
        configuration=configuration,
        advise=None,
        machines=SimpleNamespace(list_machines=list_machines),
        evacuated=frozenset,
        waves=lambda: (),
        encode_wave=None,
        retention_s=60.0,
        store_time_s=lambda: None,
    )


def test_nothing_is_started_on_registrations_that_may_be_out_of_date(monkeypatch):
    """Guards against starts that bring a worker over its capacity while the table of
    workers cannot be read and the rest of the store can.
    """
    monkeypatch.setattr(clock, "steady_s", lambda: asyncio.get_running_loop().time())

    async def submit(store, job):
        row = encode_request(request(job, step()))
        await store.put("jobs", job, row)
        await asyncio.sleep(1.0)

    async def scenario():
        store, worker = PartlySilentStore(), ObedientWorker()
        lease = await LeaderElection(store, "a/1").acquire()
        await store.put("servers", "w1", msgspec.json.encode(CAPACITY))
        leading = asyncio.create_task(leading_planner(store, lease, worker).run())
        await asyncio.sleep(1.0)
        await submit(store, "fresh")
        store.silent_tables.add("servers")
        await submit(store, "outage begins")
        await store.put("servers", "w1", msgspec.json.encode(Resources(1, 1, 1)))
        await asyncio.sleep(REGISTRATIONS_MAX_AGE_S)
        await submit(store, "out of date")
        assert sorted(worker.started) == ["fresh", "outage begins"]
        store.silent_tables.clear()
        await asyncio.sleep(2.0)
        assert "out of date" not in worker.started
        await store.put("servers", "w1", msgspec.json.encode(CAPACITY))
        await asyncio.sleep(1.0)
        assert "out of date" in worker.started
        leading.cancel()
        await asyncio.gather(leading, return_exceptions=True)

    run_virtual(scenario())
