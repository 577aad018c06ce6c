"""Steps for the reclaim of guaranteed cells."""

from behave import given, then, when
from bilberryhitch_model import Evict, Guarantee, Host, Pool, QueuedJob, Shape, Start
from bilberryhitch_scheduling import PoolScheduler


def job(job_id, account, tasks=1, may_borrow=True):
    shape = Shape(tasks, 8, 8, 8)
    return QueuedJob(job_id, account, "render", "c", shape, may_borrow=may_borrow)


def submit(context, *jobs):
    for row in jobs:
        assert context.scheduler.submit(row, context.now).is_ok()
    context.decisions = context.scheduler.decide(context.now)
    for decision in context.decisions:
        if isinstance(decision, Start):
            context.scheduler.started(decision.job_id, context.now)
            context.placements[decision.job_id] = decision.placement


def set_guarantee(context, account, size):
    row = Guarantee(account, "ruwi", size)
    context.pool = Pool("gpu", "job", guarantees=(row,))


@given(
    'a gpu pool of {count:d} workers where "{account}" is guaranteed '
    "{size:d} adjacent accelerators"
)
def gpu_pool(context, count, account, size):
    context.now = 0.0
    context.placements = {}
    context.hosts = [
        Host(f"w{n}", "worker", "ruwi", "", "live", "", "r", n, 8, 64, 64)
        for n in range(count)
    ]
    set_guarantee(context, account, size)
    context.scheduler = PoolScheduler("ruwi", context.pool, context.hosts)


@given('borrowers of "{account}" on every gpu worker')
def borrowers(context, account):
    submit(context, *[job(f"b{n}", account) for n in range(len(context.hosts))])
    assert all(decision.borrowed for decision in context.decisions)


@when('"{account}" submits a gang of 16 accelerators')
def submit_gang(context, account):
    submit(context, job("gang", account, tasks=2))


@when('"{account}" submits {count:d} simulations of 8 accelerators that may not borrow')
def submit_simulations(context, account, count):
    rows = [job(f"s{n}", account, may_borrow=False) for n in range(count)]
    submit(context, *rows)


@when("all gpu workers are lost")
def lose_workers(context):
    for host in context.hosts:
        context.scheduler.host_lost(host.name)


@when('the guarantee moves to "{account}"')
def move_guarantee(context, account):
    set_guarantee(context, account, 16)
    context.scheduler.set_pool(context.pool)


@then("only borrowers on {count:d} gpu workers are evicted")
def only_evictions(context, count):
    assert all(isinstance(decision, Evict) for decision in context.decisions)
    assert len(context.decisions) == count


@then("the gang starts once these evictions are confirmed")
def gang_starts(context):
    evicted = [decision.job_id for decision in context.decisions]
    hosts = {m.host for j in evicted for m in context.placements[j].members}
    for job_id in evicted:
        assert context.scheduler.decide(context.now) == []
        context.scheduler.evicted(job_id, context.now)
    (start,) = context.scheduler.decide(context.now)
    assert (start.job_id, start.borrowed) == ("gang", False)
    assert {member.host for member in start.placement.members} == hosts


@then("{count:d} simulations start")
def simulations_start(context, count):
    assert len(context.decisions) == count
    assert not any(decision.borrowed for decision in context.decisions)


@then('the gang of "{account}" starts without an eviction')
def gang_starts_at_once(context, account):
    submit(context, job("gang", account, tasks=2))
    (start,) = context.decisions
    assert start.job_id == "gang"


@then('"{account}" is told to lack {cells:d} cell of {size:d} accelerators')
def shortfall(context, account, cells, size):
    (row,) = context.scheduler.shortfall()
    found = (row.client_account, row.missing, row.accelerators)
    assert found == (account, cells, size)


@then("nothing is lacking once the gpu workers are back")
def no_shortfall(context):
    for host in context.hosts:
        context.scheduler.host_back(host)
    assert context.scheduler.shortfall() == []
