import pytest
from bilberryhitch_gangs.job_checks import check_fits, fitting_tasks
from bilberryhitch_gangs.job_rows import attempt_id, job_of_attempt, parse_job_id
from bilberryhitch_model import Host, Shape
from bilberryhitch_model.errors import (
    BadInput,
    NotFound,
    NotRun,
    OutcomeUnknown,
    ShapeImpossible,
    StoreUnavailable,
)
from bilberryhitch_peers import CancelJob, CancelReply, ExplainAsk, JobNotice

from tests.machines.world_point2_gangs import World


@pytest.fixture
def world():
    world = World(processes=2, workers=2)
    world.advance(3)
    yield world
    world.close()


def jobs(world, name="a"):
    return world.processes[name].jobs


@pytest.mark.parametrize(
    ("fields", "field"),
    [
        ({"route": "nowhere"}, "route"),
        ({"tasks": 0}, "shape.tasks"),
        ({"accelerators": 9}, "shape.accelerators"),
        ({"key": "a/b"}, "key"),
        ({"key": "k" * 129}, "key"),
    ],
)
def test_bad_calls_are_refused_with_the_field(world, fields, field):
    # Guards against rows that no later reader expects.
    result = world.submit(world.call(**fields))
    assert isinstance(result.error, BadInput) and result.error.field == field
    assert world.records() == {}


def test_route_of_another_account_is_refused(world):
    # Guards against work that is charged to another account.
    call = world.call()._replace(client_account="other")
    assert isinstance(world.submit(call).error, BadInput)


def test_shape_that_never_fits_is_refused(world):
    # Guards against a job that waits for ever.
    result = world.submit(world.call(tasks=3, accelerators=4))
    assert isinstance(result.error, ShapeImpossible)
    assert world.records() == {}


def test_fit_counts_every_resource():
    # Guards against a shape that is accepted by its accelerators alone.
    host = Host("w0", "worker", "ruwi", "", accelerators=8, cores=10, memory_gb=64)
    assert fitting_tasks(Shape(1, 2, 3, 1), host) == 3
    assert check_fits(Shape(6, 2, 3, 1), [host, host]).is_ok()
    assert check_fits(Shape(7, 2, 3, 1), [host, host]).is_error()


def test_retry_with_the_same_key_finds_the_first_job(world):
    # Guards against a second job from a caller that repeats its call.
    call = world.call(key="k")
    first = world.submit(call, "a")
    assert world.submit(call, "b").ok.job_id == first.ok.job_id
    other = world.submit(call._replace(run="other"), "b")
    assert isinstance(other.error, BadInput) and other.error.field == "key"


def test_store_faults_at_acceptance(world):
    # Guards against "not run" for a job that may have been accepted.
    tables = world.processes["b"].tables
    tables.down = True
    assert isinstance(world.submit(world.call(), "b").error, NotRun)
    assert world.records() == {}
    tables.down = False
    tables.lose_answers = 1
    assert world.submit(world.call(), "b").is_ok()
    tables.lose_answers = 1000
    lost = world.submit(world.call(), "b")
    assert isinstance(lost.error, OutcomeUnknown)
    assert lost.error.handle in world.records()


def test_unknown_ids_are_not_found(world):
    # Guards against an id that is read as another row's key.
    for job_id in ("ruwi.gpu.none", "x", "a.b.c/d", "../a.b"):
        assert isinstance(world.run(jobs(world).get(job_id)).error, NotFound)
        assert isinstance(world.run(jobs(world).cancel(job_id)).error, NotFound)


def test_wait_returns_the_outcome_when_it_is_there(world):
    # Guards against waiting to the time-out for a job that is finished.
    job_id = world.submit(world.call(seconds=1.0)).ok.job_id
    record = world.run(jobs(world, "b").wait(job_id, 30.0)).ok
    assert record.status == "completed"
    assert world.loop.time() < 12


def test_cancel_of_a_started_job_says_that_it_ran(world):
    # Guards against "before any task started" for a job that did.
    job_id = world.submit(world.call(seconds=60.0)).ok.job_id
    world.advance(2)
    record = world.run(jobs(world, "b").cancel(job_id)).ok
    assert record.status == "cancelled" and "after" in record.detail
    assert [event.kind for event in world.events()][-2:] == ["stop", "release"]


def test_cancel_after_the_end_returns_the_end(world):
    # Guards against a finished job that is reported as cancelled.
    job_id = world.submit(world.call(seconds=1.0)).ok.job_id
    world.advance(8)
    assert world.run(jobs(world).cancel(job_id)).ok.status == "completed"


def test_cancel_without_a_planner_is_unknown(world):
    # Guards against a cancellation that is confirmed by nobody.
    job_id = world.submit(world.call(seconds=60.0)).ok.job_id
    world.advance(2)
    service = jobs(world, "b")
    for process in world.processes.values():
        process.task.cancel()
    result = world.run(service.cancel(job_id))
    assert isinstance(result.error, OutcomeUnknown) and result.error.handle == job_id


def test_store_errors_are_passed_on(world):
    # Guards against "not found" while the store is down.
    job_id = world.submit(world.call()).ok.job_id
    world.processes["b"].tables.down = True
    error = world.run(jobs(world, "b").get(job_id)).error
    assert isinstance(error, StoreUnavailable)


def test_explain_and_peer_messages(world):
    # Guards against a host without the planner that explains nothing.
    job_id = world.submit(world.call(seconds=60.0)).ok.job_id
    world.advance(1)
    (holder,) = world.holders()
    service = jobs(world, holder)
    assert world.run(service.explain(job_id)).ok.rule == "first-fit"
    reply = world.run(service.handle("x", ExplainAsk(job_id)))
    assert reply.explanation.job_id == job_id
    answer = world.run(service.handle("x", CancelJob(job_id)))
    assert isinstance(answer, CancelReply) and answer.record
    assert world.run(service.handle("x", JobNotice(job_id, "queued"))) is None
    world.run(service.cancel(job_id))
    assert world.run(service.explain(job_id)).ok.rule == "finished"


def test_closed_service_accepts_nothing(world):
    # Guards against new work on a host that is leaving.
    world.run(jobs(world).close())
    assert isinstance(world.submit(world.call()).error, NotRun)


def test_lease_names_lead_back_to_the_job(world):
    # Guards against stray leases that cannot be told from others.
    record = world.submit(world.call()).ok
    assert job_of_attempt(attempt_id(record)) == record.job_id
    assert parse_job_id(record.job_id).pool == "gpu"
