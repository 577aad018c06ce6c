"""Steps for configuration changes; the oracle of point 8 checks each one."""

from behave import given, then, when
from bilberryhitch_config import ConfigService

from tests.machines.world_point8_config import CENTRES, World


@given("a fleet of entry hosts with the configuration of one operator")
def fleet(context):
    context.world = World(ConfigService, seed=1)
    context.add_cleanup(context.world.close)
    commit(context, "a1")
    context.world.advance(1.5)


def commit(context, name):
    context.world.commit(name, context.world.change("rows"), None)


@when("two operators change the configuration at the same time")
def race(context):
    commit(context, "a1")
    commit(context, "b1")
    context.world.advance(0.5)


@when("an entry host restarts while its store is down")
def restart(context):
    context.world.processes["b2"].tables.down = True
    context.world.restart("b2")


@when("the configuration changes while a data centre is cut off")
def change_while_cut_off(context):
    world = context.world
    for name, centre in CENTRES.items():
        world.processes[name].tables.down = centre == "b"
        for other, others_centre in CENTRES.items():
            if others_centre != centre:
                world.cut.add(frozenset((name, other)))
    commit(context, "a1")
    world.advance(20.0)
    assert world.processes["b1"].service.tables_view.revision == 1
    world.cut.clear()


@when("the configuration changes and a peer offers the old configuration")
def old_offer(context):
    commit(context, "a1")
    context.world.advance(1.5)
    context.world.send("b1", ["a1", "a2"], context.world.old_offers[0])


@then("one change of the configuration is accepted and the other learns the winner")
def one_accepted(context):
    answers = list(context.world.oracle.answers.values())[-2:]
    assert sorted(status for status, _ in answers) == ["accepted", "refused"]


@then("every entry host shows the accepted configuration after 8 s")
def adopted_everywhere(context):
    context.world.advance(8.0)
    accepted = len(context.world.oracle.changes)
    for process in context.world.processes.values():
        assert process.service.tables_view.revision == accepted
