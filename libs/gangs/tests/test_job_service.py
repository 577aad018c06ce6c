import pytest
from bilberryhitch_gangs.job_rows import attempt_id, job_of_attempt, parse_job_id
from bilberryhitch_gangs.job_validation import check_capacity, task_capacity
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


def job_service(world, name="a"):
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
def test_invalid_call_is_refused_with_its_field(world, fields, field):
    # Guards against invalid values in job rows.
    result = world.submit(world.call(**fields))
    assert isinstance(result.error, BadInput) and result.error.field == field
    assert world.records() == {}


def test_route_of_another_client_account_is_refused(world):
    # Guards against a job that is charged to another client account.
    call = world.call()._replace(client_account="other")
    assert isinstance(world.submit(call).error, BadInput)


def test_shape_that_never_fits_is_refused(world):
    # Guards against a job that stays queued because it can never be placed.
    result = world.submit(world.call(tasks=3, accelerators=4))
    assert isinstance(result.error, ShapeImpossible)
    assert world.records() == {}


def test_capacity_counts_every_resource():
    # Guards against a check of the accelerators only.
    host = Host("w0", "worker", "ruwi", "", accelerators=8, cores=10, memory_gb=64)
    assert task_capacity(Shape(1, 2, 3, 1), host) == 3
    assert check_capacity(Shape(6, 2, 3, 1), [host, host]).is_ok()
    assert check_capacity(Shape(7, 2, 3, 1), [host, host]).is_error()


def test_retry_with_the_same_key_returns_the_first_job(world):
    # Guards against a second job from a caller that retries its call.
    call = world.call(key="k")
    first = world.submit(call, "a")
    assert world.submit(call, "b").ok.job_id == first.ok.job_id
    other = world.submit(call._replace(run="other"), "b")
    assert isinstance(other.error, BadInput) and other.error.field == "key"


def test_store_errors_during_acceptance(world):
    # Guards against a NotRun answer for a job that may have been accepted.
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
    # Guards against an id that resolves to the key of another row.
    for job_id in ("ruwi.gpu.none", "x", "a.b.c/d", "../a.b"):
        assert isinstance(world.run(job_service(world).get(job_id)).error, NotFound)
        assert isinstance(world.run(job_service(world).cancel(job_id)).error, NotFound)


def test_wait_returns_when_the_job_is_finished(world):
    # Guards against waiting until the timeout for a finished job.
    job_id = world.submit(world.call(seconds=1.0)).ok.job_id
    record = world.run(job_service(world, "b").wait(job_id, 30.0)).ok
    assert record.status == "completed"
    assert world.loop.time() < 12


def test_cancellation_of_a_started_job_reports_that_it_ran(world):
    # Guards against the detail "before any task started" for a job that started.
    job_id = world.submit(world.call(seconds=60.0)).ok.job_id
    world.advance(2)
    record = world.run(job_service(world, "b").cancel(job_id)).ok
    assert record.status == "cancelled" and "after" in record.detail
    assert [event.kind for event in world.events()][-2:] == ["stop", "release"]


def test_cancellation_of_a_finished_job_returns_its_outcome(world):
    # Guards against a finished job that is reported as cancelled.
    job_id = world.submit(world.call(seconds=1.0)).ok.job_id
    world.advance(8)
    assert world.run(job_service(world).cancel(job_id)).ok.status == "completed"


def test_cancellation_without_a_planner_is_unknown(world):
    # Guards against reporting a cancellation that no planner has confirmed.
    job_id = world.submit(world.call(seconds=60.0)).ok.job_id
    world.advance(2)
    service = job_service(world, "b")
    for process in world.processes.values():
        process.task.cancel()
    result = world.run(service.cancel(job_id))
    assert isinstance(result.error, OutcomeUnknown) and result.error.handle == job_id


def test_store_error_is_returned(world):
    # Guards against a NotFound answer while the store is down.
    job_id = world.submit(world.call()).ok.job_id
    world.processes["b"].tables.down = True
    error = world.run(job_service(world, "b").get(job_id)).error
    assert isinstance(error, StoreUnavailable)


def test_explain_and_peer_messages(world):
    # Guards against an entry host that cannot explain jobs of a remote planner.
    job_id = world.submit(world.call(seconds=60.0)).ok.job_id
    world.advance(1)
    (holder,) = world.holders()
    service = job_service(world, holder)
    assert world.run(service.explain(job_id)).ok.rule == "first-fit"
    reply = world.run(service.handle("x", ExplainAsk(job_id)))
    assert reply.explanation.job_id == job_id
    answer = world.run(service.handle("x", CancelJob(job_id)))
    assert isinstance(answer, CancelReply) and answer.record
    assert world.run(service.handle("x", JobNotice(job_id, "queued"))) is None
    world.run(service.cancel(job_id))
    assert world.run(service.explain(job_id)).ok.rule == "finished"


def test_closed_service_accepts_no_job(world):
    # Guards against new jobs on a host that is shutting down.
    world.run(job_service(world).close())
    assert isinstance(world.submit(world.call()).error, NotRun)


def test_lease_name_contains_the_job_id(world):
    # Guards against leases that cannot be matched to their job.
    record = world.submit(world.call()).ok
    assert job_of_attempt(attempt_id(record)) == record.job_id
    assert parse_job_id(record.job_id).pool == "gpu"
