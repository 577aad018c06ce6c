"""Steps for points 4 and 5 of jobs: one run at most, and truthful answers."""

from behave import given, then, when
from bilberryhitch_model.errors import NotRun

from tests.machines.oracle_point5_jobs import check_jobs
from tests.machines.rules_point2_gangs import job_facts, not_run_callers
from tests.machines.world_point2_gangs import World


@given("two entry hosts with planned jobs")
def make_world(context):
    context.world = World(processes=2, workers=2)
    context.add_cleanup(context.world.close)
    context.world.advance(3)


@given("no worker of the jobs can be reached")
def cut_workers(context):
    for process in context.world.processes.values():
        process.cut |= set(context.world.workers)


@given("the table service of the jobs is down")
def store_down(context):
    for process in context.world.processes.values():
        process.tables.down = True


@when('a billed job is sent with key "{key}"')
def send(context, key):
    context.call = context.world.call("once", seconds=4.0, key=key)
    context.first = context.world.submit(context.call, "a")


@when('a billed job is accepted with key "{key}"')
def accept(context, key):
    send(context, key)
    assert context.first.is_ok()


@when("the same billed job is sent through the other entry host")
def send_again(context):
    context.second = context.world.submit(context.call, "b")


@when("the planner of the jobs is killed {seconds:d} seconds later")
def kill(context, seconds):
    context.world.advance(seconds)
    for name in context.world.holders():
        context.world.processes[name].kill()


@when("the billed job is cancelled")
def cancel(context):
    world = context.world
    world.run(world.cancel(context.first.ok.job_id, "b"))


@when("the accepted jobs come to an end")
@then("the accepted jobs come to an end")
def finish(context):
    context.world.heal()
    assert not context.world.drain()


@then("both callers of the billed job have the same job id")
def same_job(context):
    assert context.first.ok.job_id == context.second.ok.job_id


@then("each billed job started at most once")
def at_most_once(context):
    world = context.world
    assert any(event.kind == "start" for event in world.events())
    check_jobs(job_facts(world), world.events(), not_run_callers(world), {})


@then("the billed job is reported as cancelled before any task started")
def cancelled(context):
    (record,) = context.world.cancelled.values()
    assert (record.status, record.detail) == (
        "cancelled",
        "cancelled before any task started",
    )


@then("the caller of the billed job is told that it was not run")
def not_run(context):
    assert isinstance(context.first.error, NotRun)


@then("no worker ever started the billed job")
def never_started(context):
    context.world.heal()
    context.world.advance(30)
    assert not [event for event in context.world.events() if event.kind == "start"]
