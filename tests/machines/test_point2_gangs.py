"""Point 2: no gang runs partially."""

import pytest
from bilberryhitch_gangs import gang_start
from bilberryhitch_gangs.gang import LEASE_TERM_S, Gang
from bilberryhitch_gangs.lease_renewal import LeaseRenewer
from bilberryhitch_standins import WorkerEvent

from .harness import Counts, Point, run_point
from .oracle_point2_gangs import BOUND_S, check_gangs
from .rules_point2_gangs import GangRules, accelerators_by_job


class GangMachine(GangRules):
    """Checks that no gang ran partially, from the events at the workers."""

    counts = Counts()

    def check(self):
        world = self.world
        check_gangs(world.events(), accelerators_by_job(world), world.loop.time())


POINT = Point(2, GangMachine, GangMachine.counts)


def test_point_holds():
    """Guards against a gang that keeps running after it has lost a member."""
    run_point(POINT, seed_number=1, histories=15)


def planner_killed_before_it_sees_a_loss(machine):
    """Worker w1 restarts while cut off; 3 s later both entry hosts are killed."""
    machine.submit_one("any", 40.0, tasks=3, settle_s=4.0)
    (holder,) = machine.world.holders()
    for process in machine.world.processes.values():
        process.cut.add("w1")
    machine.world.workers["w1"].model.restart()
    machine.advance(3.0)
    machine.world.processes["a"].kill()
    machine.world.processes["b"].kill()
    machine.advance(12.0)


def planner_cannot_stop_the_rest(machine):
    """Worker w1 refuses its start; w0 is cut off after the first start of a task."""
    machine.submit_one("any", 40.0, tasks=3)
    machine.advance_to("reserve")
    machine.refuse_or_fail("w1", True)
    machine.advance_to("start")
    for process in machine.world.processes.values():
        process.cut.add("w0")
    machine.advance(12.0)
    machine.advance(3.0)


def start_refused(machine):
    """Worker w1 refuses its start; all connections work."""
    machine.submit_one("any", 40.0, tasks=3)
    machine.advance_to("reserve")
    machine.refuse_or_fail("w1", True)
    machine.advance(12.0)
    machine.advance(3.0)


def full_term_while_running(gang, now):
    return LEASE_TERM_S if gang.running else 0.0


def renew_all_gangs(link, now):
    gangs = link._context.gangs_on(link._host.name)
    return [(gang, LEASE_TERM_S) for gang in gangs]


async def start_ignoring_errors(context, gang):
    for state in gang.members.values():
        try:
            await gang_start._start(context, gang, state)
        except gang_start.WORKER_ERRORS:
            continue


ABLATIONS = {
    "lease term counted from the last contact": (
        [(Gang, "term_s", full_term_while_running)],
        planner_killed_before_it_sees_a_loss,
    ),
    "stop of the gang after a refused start": (
        [
            ("bilberryhitch_gangs.gang_run.start_all", start_ignoring_errors),
            (LeaseRenewer, "_due", renew_all_gangs),
        ],
        start_refused,
    ),
}
HISTORIES = [
    planner_killed_before_it_sees_a_loss,
    planner_cannot_stop_the_rest,
    start_refused,
]


@pytest.mark.parametrize("history", HISTORIES)
def test_history_keeps_the_bound(history):
    """Guards against a known fault sequence that breaks the bound."""
    machine = GangMachine()
    history(machine)
    machine.teardown()


@pytest.mark.parametrize("name", ABLATIONS)
def test_mechanism_is_needed(name, monkeypatch):
    """Guards against a machine that can't detect a missing mechanism."""
    patches, history = ABLATIONS[name]
    for patch in patches:
        monkeypatch.setattr(*patch)
    machine = GangMachine()
    with pytest.raises(AssertionError, match="partially"):
        try:
            history(machine)
        finally:
            machine.teardown()


def event(at, kind, host):
    return WorkerEvent(at, kind, host, "j/1/1", 1, 2)


BROKEN = {
    "one member never starts": [event(0, "start", "w0")],
    "one member is lost": [
        event(0, "start", "w0"),
        event(0, "start", "w1"),
        event(1, "lost", "w1"),
        event(1 + BOUND_S + 0.1, "stop", "w0"),
    ],
    "one member fails": [
        event(0, "start", "w0"),
        event(0, "start", "w1"),
        event(1, "fail", "w1"),
        event(20, "finish", "w0"),
    ],
}


@pytest.mark.parametrize("name", BROKEN)
def test_oracle_rejects(name):
    with pytest.raises(AssertionError):
        check_gangs(BROKEN[name], {"j": 4}, now=100.0)


def test_oracle_accepts_members_that_finish_at_different_times():
    events = [
        event(0, "start", "w0"),
        event(5, "start", "w1"),
        event(10, "finish", "w0"),
        event(60, "finish", "w1"),
    ]
    check_gangs(events, {"j": 4}, now=100.0)
