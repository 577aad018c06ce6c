"""Steps for hosts that are leaving."""

from behave import given, then, when

from tests.machines.world_point6_leaving import ENTRIES, World

WORKER = "w1"
CUT_OFF = "ruwi2"
OTHER = "ruwi1"


def new_world(context):
    context.world = World()
    context.add_cleanup(context.world.close)
    return context.world


@given("entry hosts in two data centres, one of them cut off from its peers")
def one_cut_from_peers(context):
    world = new_world(context)
    for other in ENTRIES:
        world.set_path(CUT_OFF, other, False)


@given("entry hosts in two data centres, one of them cut off from the store")
def one_cut_from_store(context):
    new_world(context).set_store(CUT_OFF, down=True)


@given("entry hosts in two data centres that know a worker is leaving")
def all_informed(context):
    world = new_world(context)
    world.advance(45.0)
    world.set_listed(WORKER, "leaving")
    world.advance(5.0)
    assert hosts_that_offer(world, WORKER) == set()


@when("an operator drains a worker at another entry host")
def drain(context):
    assert hosts_that_offer(context.world, WORKER) == set(ENTRIES)
    context.world.write_drain(OTHER, WORKER, True)


@when("{seconds:g} seconds pass for the leaving host")
def wait(context, seconds):
    context.world.advance(seconds)


@when("the platform lists the leaving worker as live with the same boot")
def list_live(context):
    context.world.set_listed(WORKER, "live")


@when("the leaving worker is listed live with a new boot")
def list_rebooted(context):
    context.world.reboot(WORKER)


@when("the entry host that is cut off announces that it is leaving")
def announce(context):
    context.world.leave(CUT_OFF)


@then("no entry host offers the leaving worker")
def worker_not_offered(context):
    assert hosts_that_offer(context.world, WORKER) == set()


@then("every entry host offers the worker that had left")
def worker_offered(context):
    assert hosts_that_offer(context.world, WORKER) == set(ENTRIES)


@then("no entry host offers the leaving entry host")
def entry_host_not_offered(context):
    assert hosts_that_offer(context.world, CUT_OFF) == set()


def hosts_that_offer(world, host):
    return {name for name in ENTRIES if host in world.offers(name)}
