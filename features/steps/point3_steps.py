"""Steps for whole answers to the right caller."""

from behave import given, then, when

from tests.machines.oracle_point3_answers import check_point3
from tests.machines.request_world import World


@given("entry hosts with executors for answers")
def answer_hosts(context):
    context.world = World()
    context.add_cleanup(context.world.close)


@given("the next answer of an executor is {fault}")
def break_next_answer(context, fault):
    context.world.executors["x1"].faults = [fault, ""]


@given("an executor that answers after the time-out of the caller")
def fill_slots(context):
    for _ in range(2):
        context.world.submit("e1", "once")
    context.world.advance(0.01)


@when("two callers send requests one after the other")
def two_requests(context):
    for host in ("e1", "e2"):
        context.calls = [context.world.submit(host, "once")]
        context.world.advance(0.5)


@when("a caller's answer is late")
def late_answer(context):
    context.world.executors["x1"].faults = ["late"]
    context.call = context.world.submit("e1", "once")
    context.world.advance(2.05)


@then("no caller receives an answer that is not its own")
def own_answers(context):
    check_point3(context.world.finish())


@then("the handle leads to the whole answer")
def handle_completes(context):
    first = context.world.calls[context.call]
    assert first.status == "unknown", first
    history = context.world.finish()
    check_point3(history)
    last = [event for event in history if event.get("call") == context.call][-1]
    assert last["status"] == "completed", last
