"""Steps for requests that were not run."""

from behave import given, then, when

from tests.machines.oracle_point4_not_run import check_point4
from tests.machines.request_world import World


def new_world(context):
    context.world = World()
    context.add_cleanup(context.world.close)
    return context.world


@given("entry hosts whose executors are busy beyond the time-out")
def busy_executors(context):
    world = new_world(context)
    world.executors["x1"].faults = ["slow", "slow"]
    for _ in range(2):
        world.submit("e1", "once")
    world.advance(0.01)


@given("entry hosts that deliver a forwarded request late and twice")
def late_forward(context):
    world = new_world(context)
    assert not world.hosts["e1"].service.free_slots()["p"], "e1 must forward"
    world.link_faults = ["duplicate", "delay", "lose_reply", "duplicate"]


@given("entry hosts whose store loses a claim's answer and goes down")
def lost_claim(context):
    tables = new_world(context).hosts["e1"].tables
    tables.lose_answers = 1
    transact = tables.transact

    async def transact_once(*arguments):
        try:
            return await transact(*arguments)
        finally:
            tables.down = True

    tables.transact = transact_once


@when("a caller asks for a request to be run and waits")
def run_and_wait(context):
    context.call = context.world.submit("e1", "once", body=b"the request")
    context.world.advance(2.1)


@when("a caller asks for a keyed request to be run and waits")
def run_keyed_and_wait(context):
    context.call = context.world.submit("e1", "once", key="k", body=b"the request")
    context.world.advance(2.1)


@then("the request is reported as not run")
def reported_not_run(context):
    outcome = context.world.calls[context.call]
    assert outcome.status == "not_run", outcome


@then("that request never runs")
def never_runs(context):
    ran = [e["body"] for e in context.world.finish() if e["event"] == "ran"]
    assert b"the request" not in ran


@then("no request that was reported as not run ever runs")
def oracle_holds(context):
    check_point4(context.world.finish())
