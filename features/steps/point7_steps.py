"""Steps for graceful shutdown."""

import asyncio

from behave import given, then, when
from bilberryhitch_model import RequestCall

from tests.machines.request_world import World, answer_to


def _call(body):
    return RequestCall("acme", "c", "once", body, "")


@given("a shutdown test with one request in flight")
def one_request_in_flight(context):
    context.world = World()
    context.add_cleanup(context.world.close)
    context.service = context.world.hosts["e1"].service
    loop = context.world.loop
    context.call = loop.create_task(context.service.submit(_call(b"first")))
    loop.run_until_complete(asyncio.sleep(0))


@when("its entry host shuts down")
def shut_down(context):
    loop = context.world.loop
    context.order = []
    context.call.add_done_callback(lambda _: context.order.append("answer"))
    loop.run_until_complete(context.service.close())
    context.order.append("closed")


@when("its entry host shuts down and another request arrives")
def shut_down_and_submit(context):
    loop = context.world.loop
    closing = loop.create_task(context.service.close())
    loop.run_until_complete(asyncio.sleep(0))
    context.late = loop.run_until_complete(context.service.submit(_call(b"late")))
    loop.run_until_complete(closing)


@then("the request in flight completes with its whole answer")
def completes(context):
    outcome = context.world.loop.run_until_complete(context.call)
    assert outcome.status == "completed", outcome
    assert outcome.body == answer_to(b"first")


@then("the shutdown ends only after that")
def closed_last(context):
    assert context.order == ["answer", "closed"], context.order


@then("the late request is answered as not run")
def late_not_run(context):
    assert context.late.status == "not_run", context.late
