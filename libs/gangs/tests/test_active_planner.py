import pytest
from bilberryhitch_gangs.planner_lease import PlannerLease
from bilberryhitch_model import Identity
from bilberryhitch_model.errors import QueueFull
from expression import Error

from tests.machines.first_fit_point2_gangs import FirstFitScheduler
from tests.machines.world_point2_gangs import CENTRE, World


@pytest.fixture
def world():
    world = World(processes=1, workers=2)
    yield world
    world.close()


def started_attempts(world, host, since=0.0):
    return [
        event.attempt_id
        for event in world.events()
        if event.kind == "start" and event.host == host and event.at >= since
    ]


def test_higher_token_on_a_worker_raises_the_epoch(world):
    # Guards against a worker moved from another pool that refuses every call because
    # it has seen a higher token.
    world.advance(3)
    for pool in ("p1", "p2", "p3"):
        identity = Identity("x", CENTRE, "x-1")
        lease = PlannerLease(identity, pool, world.store, new_id=world.new_id)
        world.run(lease.acquire(lambda: 0))
    world.workers["w0"].model.renew(lease.epoch, [], 0.0)
    world.advance(15)
    job = world.submit(world.call(tasks=2, accelerators=4, seconds=2.0)).ok.job_id
    world.advance(10)
    record = world.records()[job]
    assert record.status == "completed" and record.epoch > lease.epoch


def test_worker_with_a_task_of_another_pool_is_not_fenced(world):
    # Guards against fencing off the planner of a running task.
    model = world.workers["w0"].model
    other = "ruwi.other.j/1/1"
    model.reserve(other, 1, accelerators=(0,), cores=1, memory_gb=1, term_s=40.0)
    model.start(other, 1, '{"seconds": 20}')
    world.advance(3)
    world.submit(world.call(accelerators=4, seconds=1.0))
    world.submit(world.call(accelerators=4, seconds=1.0))
    world.advance(15)
    assert started_attempts(world, "w0") == [other]
    assert len(started_attempts(world, "w1")) == 2
    world.advance(10)
    world.submit(world.call(tasks=2, accelerators=4, seconds=1.0))
    world.advance(8)
    assert len(started_attempts(world, "w0")) == 2


def test_worker_that_fails_everything_is_quarantined_and_probed(world):
    # Guards against jobs that fail because of a faulty worker, and a worker that
    # stays in quarantine after its repair.
    world.advance(3)
    model = world.workers["w0"].model
    model.fail_everything = True
    for _ in range(4):
        world.submit(world.call(accelerators=4, seconds=1.0))
        world.advance(10)
    failed = [
        attempt for attempt in started_attempts(world, "w0") if "probe" not in attempt
    ]
    assert len(failed) == 2
    statuses = [record.status for record in world.records().values()]
    assert statuses == ["completed"] * 4
    model.fail_everything = False
    world.advance(40)
    since = world.loop.time()
    world.submit(world.call(tasks=2, accelerators=4, seconds=1.0))
    world.advance(8)
    assert len(started_attempts(world, "w0", since)) == 1


@pytest.mark.parametrize(
    ("route", "attempts", "workers"), [("any", 2, 2), ("once", 1, 1)]
)
def test_failing_job_is_finished_without_quarantine(world, route, attempts, workers):
    # Guards against a faulty job that is retried without limit, or run twice
    # although it is not idempotent.
    world.advance(3)
    job = world.submit(world.call(route, seconds=1.0, fail=True)).ok.job_id
    world.advance(30)
    record = world.records()[job]
    assert (record.status, record.state) == ("failed", "finished")
    assert len(record.failed_on) == attempts
    assert len(set(record.failed_on)) == workers
    again = world.submit(world.call(tasks=2, accelerators=4, seconds=1.0)).ok.job_id
    world.advance(10)
    assert world.records()[again].status == "completed"


def test_job_refused_by_the_scheduler_is_not_run(world, monkeypatch):
    # Guards against an accepted job that is in no queue.
    full = Error(QueueFull("gpu", 1, 5.0))
    monkeypatch.setattr(FirstFitScheduler, "submit", lambda *_: full)
    world.advance(3)
    job = world.submit(world.call()).ok.job_id
    world.advance(3)
    assert world.records()[job].status == "not_run"
    assert world.events() == []


def test_job_is_retried_after_a_worker_restart(world):
    # Guards against waiting for a gang that was lost with its worker.
    world.advance(3)
    job = world.submit(world.call(accelerators=4, seconds=4.0)).ok.job_id
    world.advance(2)
    world.workers["w0"].model.restart()
    world.advance(15)
    record = world.records()[job]
    assert (record.status, record.attempt) == ("completed", 2)


def test_store_outage_keeps_gangs_and_delays_outcomes(world):
    # Guards against gangs that end when the store fails, and lost outcomes.
    world.advance(3)
    process = world.processes["a"]
    short = world.submit(world.call(accelerators=4, seconds=5.0)).ok.job_id
    long = world.submit(world.call(accelerators=4, seconds=60.0)).ok.job_id
    world.advance(2)
    process.tables.down = True
    world.advance(45)
    assert world.records()[short].state == "started"
    process.tables.down = False
    world.advance(5)
    assert world.records()[short].status == "completed"
    world.advance(30)
    assert world.records()[long].attempt == 1
    assert world.records()[long].status == "completed"
