import pytest
from bilberryhitch_gangs import PlannerSet
from bilberryhitch_model import Identity, Pool, Tables

from tests.machines.first_fit_point2_gangs import FirstFitScheduler
from tests.machines.world_point2_gangs import CENTRE, POOL, World


class MembershipStub:
    def __init__(self, world, entry):
        self.entry = entry
        self.all = list(world.hosts)
        self.usable = list(world.hosts)

    def entry_hosts(self, data_centre):
        return self.entry

    def endpoints(self, kind, data_centre):
        return self.usable

    def hosts(self):
        return self.all


@pytest.fixture
def world():
    world = World(processes=1, workers=2)
    world.processes["a"].kill()
    world.advance(4)
    yield world
    world.close()


def make_set(world, members, host="a"):
    return PlannerSet(
        Identity(host, CENTRE, f"{host}-set"),
        world.processes["a"].tables,
        world.processes["a"],
        tables_view=lambda: world.config,
        members=members,
        make_scheduler=FirstFitScheduler,
        now=world.loop.time,
        new_id=world.new_id,
    )


@pytest.fixture
def idle_world(world):
    # Process a only provides the store and worker connections of the planner sets;
    # its own planner is cancelled.
    world.processes["a"].boot()
    world.processes["a"].task.cancel()
    return world


def test_only_the_highest_ranked_hosts_are_candidates(idle_world):
    # Guards against every entry host reading every lease row.
    entry = [f"e{i}" for i in range(8)]
    members = MembershipStub(idle_world, entry)
    sets = [make_set(idle_world, members, host) for host in entry]
    for each in sets:
        idle_world.run(each.start())
    idle_world.advance(8)
    assert sum(len(each.pools) for each in sets) == 3
    assert [each.planning for each in sets if each.planning] == [[POOL]]
    for each in sets:
        idle_world.run(each.close())
    assert not any(each.pools for each in sets)


def test_pools_without_jobs_or_workers_have_no_planner(idle_world):
    # Guards against planners for other data centres and for request pools.
    names = tuple(host.name for host in idle_world.hosts)
    pools = {
        POOL: Pool(POOL, "job", ("elsewhere",)),
        "checks": Pool("checks", "request", names),
    }
    idle_world.config = Tables(2, {}, pools)
    planners = make_set(idle_world, MembershipStub(idle_world, ["a"]))
    idle_world.run(planners.sync())
    assert planners.pools == []


def test_handover_keeps_the_running_gang(idle_world):
    # Guards against a gang that ends because its planner's host shuts down.
    members = MembershipStub(idle_world, ["a", "b"])
    first, second = (make_set(idle_world, members, host) for host in "ab")
    idle_world.run(first.start())
    idle_world.advance(5)
    record = idle_world.submit(
        idle_world.call(tasks=2, accelerators=4, seconds=20.0)
    ).ok
    idle_world.advance(4)
    idle_world.run(second.start())
    idle_world.advance(1)
    idle_world.run(first.close())
    idle_world.advance(3)
    assert second.planning == [POOL]
    idle_world.advance(25)
    done = idle_world.records()[record.job_id]
    starts = [event.host for event in idle_world.events() if event.kind == "start"]
    assert (done.status, done.attempt, sorted(starts)) == ("completed", 1, ["w0", "w1"])
    idle_world.run(second.close())


def test_draining_worker_gets_no_new_work(idle_world):
    # Guards against new gangs on a draining worker.
    members = MembershipStub(idle_world, ["a"])
    planners = make_set(idle_world, members)
    idle_world.run(planners.start())
    idle_world.advance(6)
    members.usable = [host for host in idle_world.hosts if host.name != "w0"]
    idle_world.advance(1)
    for _ in range(3):
        idle_world.submit(idle_world.call(seconds=60.0))
    idle_world.advance(2)
    used = {event.host for event in idle_world.events() if event.kind == "start"}
    assert used == {"w1"}
    members.usable = members.all
    idle_world.advance(2)
    used = {event.host for event in idle_world.events() if event.kind == "start"}
    assert used == {"w0", "w1"}
    idle_world.run(planners.close())
