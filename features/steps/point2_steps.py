"""Steps for gangs."""

from behave import given, then, when

from tests.machines.oracle_point2_gangs import check_gangs
from tests.machines.rules_point2_gangs import accelerators_by_job
from tests.machines.world_point2_gangs import World


@given("a planner and three gang workers")
def make_world(context):
    context.world = World(processes=2, workers=3)
    context.add_cleanup(context.world.close)
    context.world.advance(3)


@given('gang worker "{name}" refuses starts')
def refuse_starts(context, name):
    context.world.workers[name].model.refuse_starts = True


@given("the gang planner is killed after {steps:d} more steps")
def kill_planner(context, steps):
    (holder,) = context.world.holders()
    process = context.world.processes[holder]
    process.at_step(steps, process.kill)


@when("a simulation over three gang workers is accepted")
def accept_gang(context):
    call = context.world.call("any", tasks=3, accelerators=3, seconds=8.0)
    assert context.world.submit(call, "b").is_ok()


@when('gang worker "{name}" restarts')
def restart_worker(context, name):
    context.world.workers[name].model.restart()


@when("{seconds:d} seconds pass for the gangs")
def pass_time(context, seconds):
    context.world.advance(seconds)


@then("no gang ran partially beyond the bound")
def bound_holds(context):
    world = context.world
    assert any(event.kind == "start" for event in world.events())
    check_gangs(world.events(), accelerators_by_job(world), world.loop.time())


@then("every gang job is completed")
def all_completed(context):
    context.world.heal()
    assert not context.world.drain()
    statuses = {record.status for record in context.world.records().values()}
    assert statuses == {"completed"}, statuses
