"""Size of the transactions in which the planner stores its state.

Pattern: many large jobs change at the same time, as after an outage of the store. The
store refuses a transaction above its limit, and a slow link does not deliver one in
time; the lease is renewed in the same transactions.
"""

import asyncio

import pytest
from bilberryhitch_jobs import JobProgress, JobState, UnitProgress
from bilberryhitch_model import clock
from bilberryhitch_planner import LeaderElection, Planner
from bilberryhitch_planner.state_writer import StateWriter
from bilberryhitch_testing import run_virtual
from bilberryhitch_testing.memory_store import MemoryStore
from bilberryhitch_testing.planner_harness import request, step

MAX_TRANSACTION_BYTES = 256_000
TASKS = 1_000
JOBS = 30


@pytest.fixture(autouse=True)
def loop_clock(monkeypatch):
    monkeypatch.setattr(clock, "steady_s", lambda: asyncio.get_running_loop().time())


class MeasuringStore(MemoryStore):
    """A store that records the size of each transaction in bytes."""

    def __init__(self):
        super().__init__()
        self.sizes = []

    async def commit(self, expected, writes, removals=(), **options):
        self.sizes.append(sum(len(write.value) for write in writes))
        return await super().commit(expected, writes, removals, **options)


def add_changed_job(planner, name):
    units = {
        (0, 0, index): UnitProgress(False, 1, (), "c" * 16) for index in range(TASKS)
    }
    progress = JobProgress(JobState.RUNNING, "a", units)
    planner.add_job(request(name, step(TASKS)), progress, 1, now=0.0, unix_s=0.0)
    planner.dirty = planner.dirty | {name}


def test_a_transaction_has_a_limited_size():
    """Guards against a transaction that the store refuses for its size, or that a slow
    link cannot deliver: nothing more is stored then and the lease expires.
    """

    async def run_scenario():
        store = MeasuringStore()
        lease = await LeaderElection(store, "a/1").acquire()
        planner = Planner(inherited_revision=lease.token, inherited_until=0.0)
        writer = StateWriter(store, lease, planner, retention_s=60.0)
        for number in range(JOBS):
            add_changed_job(planner, f"{number:016x}")
        running = asyncio.create_task(writer.run())
        assert await writer.flush(5.0)
        running.cancel()
        assert not planner.dirty
        assert len([key for key in store.rows if key[0] == "progress"]) == JOBS
        assert max(store.sizes) < MAX_TRANSACTION_BYTES

    run_virtual(run_scenario())
