"""Steps for non-idempotent requests."""

from behave import given, then, when

from tests.machines.oracle_point5_requests import check_point5
from tests.machines.request_world import CENTRES, World


@given("entry hosts that share a table service for keyed requests")
def keyed_hosts(context):
    context.world = World()
    context.add_cleanup(context.world.close)


@when("a caller sends a keyed request to every entry host in turn")
def retry_everywhere(context):
    context.calls = []
    for host in CENTRES:
        context.calls.append(context.world.submit(host, "once", "k"))
        context.world.advance(1.0)


@when("the first entry host of a keyed request is replaced while it runs")
def replace_while_running(context):
    world = context.world
    world.submit("e1", "once", "k")
    world.advance(0.1)
    world.hosts["e1"].stop(for_good=True)
    world.start("e1")
    context.calls = [world.submit(host, "once", "k") for host in ("e1", "e2", "s1")]
    world.advance(3.0)


@when("the store is down and a keyed request arrives")
def keyed_without_store(context):
    context.world.hosts["e1"].tables.down = True
    context.calls = [context.world.submit("e1", "once", "k")]
    context.world.advance(2.1)


def runs(history):
    return sum(event["event"] == "ran" for event in history)


@then("the keyed request runs exactly once")
def exactly_once(context):
    check_point5(context.world.history)
    assert runs(context.world.history) == 1


@then("every host answers with the first outcome of the keyed request")
def first_outcome(context):
    outcomes = {context.world.calls[call] for call in context.calls}
    assert len(outcomes) == 1, outcomes
    assert outcomes.pop().status == "completed"


@then("a retry of the keyed request is unknown and runs nothing")
def retry_is_unknown(context):
    statuses = {context.world.calls[call].status for call in context.calls}
    assert statuses == {"unknown"}, statuses
    assert runs(context.world.finish()) == 1


@then("the keyed request is refused as not run")
def refused(context):
    assert context.world.calls[context.calls[0]].status == "not_run"
    assert runs(context.world.finish()) == 0
