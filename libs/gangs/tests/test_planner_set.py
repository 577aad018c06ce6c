import pytest
from bilberryhitch_gangs import PlannerSet
from bilberryhitch_model import Identity, Pool, Tables

from tests.machines.first_fit_point2_gangs import FirstFit
from tests.machines.world_point2_gangs import CENTRE, POOL, World


class Members:
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
        make_scheduler=FirstFit,
        now=world.loop.time,
        new_id=world.new_id,
    )


@pytest.fixture
def alive(world):
    # The world's process stands for the connections of the set's process.
    world.processes["a"].boot()
    world.processes["a"].task.cancel()
    return world


def test_only_the_first_candidates_run_a_planner(alive):
    # Guards against every entry host reading every lease row.
    entry = [f"e{i}" for i in range(8)]
    members = Members(alive, entry)
    sets = [make_set(alive, members, host) for host in entry]
    for each in sets:
        alive.run(each.start())
    alive.advance(8)
    assert sum(len(each.pools) for each in sets) == 3
    assert [each.planning for each in sets if each.planning] == [[POOL]]
    for each in sets:
        alive.run(each.close())
    assert not any(each.pools for each in sets)


def test_pools_without_jobs_or_workers_have_no_planner(alive):
    # Guards against planners of other data centres and of request pools.
    names = tuple(host.name for host in alive.hosts)
    pools = {
        POOL: Pool(POOL, "job", ("elsewhere",)),
        "checks": Pool("checks", "request", names),
    }
    alive.config = Tables(2, {}, pools)
    planners = make_set(alive, Members(alive, ["a"]))
    alive.run(planners.sync())
    assert planners.pools == []


def test_hand_over_keeps_the_running_gang(alive):
    # Guards against a gang that ends because its planner's host leaves.
    members = Members(alive, ["a", "b"])
    first, second = (make_set(alive, members, host) for host in "ab")
    alive.run(first.start())
    alive.advance(5)
    record = alive.submit(alive.call(tasks=2, accelerators=4, seconds=20.0)).ok
    alive.advance(4)
    alive.run(second.start())
    alive.advance(1)
    alive.run(first.close())
    alive.advance(3)
    assert second.planning == [POOL]
    alive.advance(25)
    done = alive.records()[record.job_id]
    starts = [event.host for event in alive.events() if event.kind == "start"]
    assert (done.status, done.attempt, sorted(starts)) == ("completed", 1, ["w0", "w1"])
    alive.run(second.close())


def test_worker_that_leaves_gets_no_new_work(alive):
    # Guards against new gangs on a host that is being drained.
    members = Members(alive, ["a"])
    planners = make_set(alive, members)
    alive.run(planners.start())
    alive.advance(6)
    members.usable = [host for host in alive.hosts if host.name != "w0"]
    alive.advance(1)
    for _ in range(3):
        alive.submit(alive.call(seconds=60.0))
    alive.advance(2)
    used = {event.host for event in alive.events() if event.kind == "start"}
    assert used == {"w1"}
    members.usable = members.all
    alive.advance(2)
    used = {event.host for event in alive.events() if event.kind == "start"}
    assert used == {"w0", "w1"}
    alive.run(planners.close())
