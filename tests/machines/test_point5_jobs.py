"""Points 4 and 5 for jobs: at most one run, and truthful answers."""

import itertools
from functools import partial

import pytest
from bilberryhitch_gangs import gang_run, gang_start, gang_stop, job_acceptance
from bilberryhitch_gangs.planner_lease import PlannerLease
from bilberryhitch_standins import WorkerEvent

from .harness import Counts, Point, run_point
from .oracle_point2_gangs import check_gangs
from .oracle_point5_jobs import JobFacts, check_jobs
from .rules_point2_gangs import (
    GangRules,
    accelerators_by_job,
    job_facts,
    not_run_callers,
)
from .world_point2_gangs import World


class JobMachine(GangRules):
    """Checks runs at the workers against the answers to callers."""

    counts = Counts()

    def check(self):
        check_world(self.world)


def check_world(world):
    answers = {
        job_id: (record.status, record.detail)
        for job_id, record in world.cancelled.items()
    }
    check_jobs(job_facts(world), world.events(), not_run_callers(world), answers)


POINT = Point(5, JobMachine, JobMachine.counts)


def test_point_holds():
    """Guards against a second run of a job and against false answers."""
    run_point(POINT, seed_number=1, histories=15)


@pytest.mark.parametrize("fault", ["kill", "pause", "answer lost", "worker restart"])
def test_fault_between_any_two_steps(fault):
    # Guards against a takeover that misreads the state of a half-started gang.
    for steps in itertools.count(1):
        world = World(processes=2, workers=2)
        world.advance(3)
        (holder,) = world.holders()
        process = world.processes[holder]
        call = world.call("once", tasks=2, accelerators=3, seconds=3.0)
        assert world.submit(call, "b").is_ok()
        process.at_step(steps, partial(inject, world, process, fault))
        world.advance(4)
        reached = process.steps_left <= 0
        world.advance(12)
        world.heal()
        assert not world.drain()
        check_world(world)
        check_gangs(world.events(), accelerators_by_job(world), world.loop.time())
        world.close()
        if not reached:
            break
    assert steps > 12


def inject(world, process, fault):
    if fault == "kill":
        process.kill()
    elif fault == "pause":
        process.tables.pause()
    elif fault == "answer lost":
        process.tables.lose_answers = 5
    else:
        world.workers["w1"].model.restart()


async def mark_without_preconditions(context, gang):
    record = gang.record._replace(started_at=context.now())
    write = gang_start.put_job(record)
    result = await context.tables.transact([], [write])
    gang.row = gang_start.JobRow(record, result.ok)
    return True


async def assume_checkpoint(context, gang):
    return f"checkpoints/{gang.attempt_id}"


def assume_unstarted(gang, stops):
    return not any(state.started for state in gang.members.values())


def start_answer_lost(machine):
    machine.submit_one("once", 4.0)
    machine.advance_to("reserve")
    machine.lose_worker_answers("w0", 1, 0)
    machine.advance_to("start")
    machine.pause_worker("w0")
    machine.advance(12.0)
    machine.advance(3.0)
    machine.pause_worker("w0")


def cancel_during_start(machine):
    machine.submit_one("once", 4.0)
    machine.world.advance(0.033)
    machine.cancel(0, "b")
    machine.world.advance(5)


def checkpoint_refused(machine):
    machine.ignore_checkpoint("w0", True)
    machine.submit_one("once-save", 15.0, settle_s=4.0)
    machine.evict(0)
    machine.advance(3.0)


def retry_on_another_host(machine):
    machine.submit_with_key("x", "a")
    machine.submit_with_key("x", "b")


def deposed_planner_without_store(machine):
    world = machine.world
    world.processes["a"].tables.down = True
    machine.advance(6.0)
    assert "b" in world.holders()
    machine._accept(world.call("once", seconds=40.0), "b")
    machine.advance(0.3)
    machine.kill("b")
    machine.advance(6.0)
    machine.boot("b")
    machine.advance(6.0)


CLAIM_NUMBERS = itertools.count()
ABLATIONS = {
    "confirmation that nothing started": (
        (gang_stop, "_never_started", assume_unstarted),
        start_answer_lost,
    ),
    "preconditions of the start mark": (
        (gang_run, "mark_started", mark_without_preconditions),
        cancel_during_start,
    ),
    "confirmation of the checkpoint": (
        (gang_run, "checkpoint_all", assume_checkpoint),
        checkpoint_refused,
    ),
    "claim of the key": (
        (
            job_acceptance,
            "claim_key",
            lambda account, key: f"claims/{next(CLAIM_NUMBERS)}",
        ),
        retry_on_another_host,
    ),
    "fencing token": (
        (PlannerLease, "epoch", property(lambda lease: 1)),
        deposed_planner_without_store,
    ),
}


@pytest.mark.parametrize("name", ABLATIONS)
def test_history_holds_with_the_mechanism(name):
    machine = JobMachine()
    ABLATIONS[name][1](machine)
    machine.teardown()


@pytest.mark.parametrize("name", ABLATIONS)
def test_mechanism_is_needed(name, monkeypatch):
    """Guards against a machine that can't detect a missing mechanism."""
    patch, history = ABLATIONS[name]
    monkeypatch.setattr(*patch)
    machine = JobMachine()
    with pytest.raises(AssertionError):
        try:
            history(machine)
        finally:
            machine.teardown()


def event(at, kind, attempt, host="w0", saved=""):
    return WorkerEvent(at, kind, host, attempt, 1, 2, saved)


RUN = [event(1, "start", "j/1/1"), event(2, "finish", "j/1/1")]
JOB = JobFacts("c", "", True, 2, "completed", "")
BROKEN = {
    "second attempt": (JOB, [*RUN, event(3, "start", "j/2/1")], set(), {}),
    "second start": (JOB, [*RUN, event(3, "start", "j/1/1")], set(), {}),
    "unconfirmed checkpoint": (
        JOB,
        [*RUN, event(3, "start", "j/2/1", saved="s")],
        set(),
        {},
    ),
    "not run": (JOB, RUN, {"c"}, {}),
    "cancelled before any task started": (
        JOB._replace(status="cancelled", detail="cancelled before any task started"),
        RUN,
        set(),
        {},
    ),
    "answer changed later": (JOB, RUN, set(), {"j": ("cancelled", "")}),
    "completed in part": (JOB._replace(accelerators=4), RUN, set(), {}),
}


@pytest.mark.parametrize("name", BROKEN)
def test_oracle_rejects(name):
    job, events, not_run, answers = BROKEN[name]
    with pytest.raises(AssertionError):
        check_jobs({"j": job}, events, not_run, answers)


def test_oracle_rejects_two_jobs_for_a_key():
    jobs = {"j": JOB._replace(key="k"), "i": JOB._replace(key="k", status=None)}
    with pytest.raises(AssertionError):
        check_jobs(jobs, RUN, set(), {})


def test_oracle_accepts_a_resume_from_a_confirmed_checkpoint():
    events = [
        event(1, "start", "j/1/1"),
        event(2, "checkpoint", "j/1/1", saved="s"),
        event(3, "start", "j/2/1", saved="s"),
        event(4, "finish", "j/2/1"),
    ]
    check_jobs({"j": JOB}, events, set(), {})


def test_eviction_is_completed_by_the_next_planner():
    # Guards against tasks that stay paused at a checkpoint after a takeover.
    machine = JobMachine()
    machine.submit_one("once-save", 15.0, settle_s=4.0)
    machine.evict(0)
    machine.advance_to("checkpoint")
    machine.kill("a")
    machine.kill("b")
    machine.boot("a")
    assert not machine.world.drain(100)
    (record,) = machine.world.records().values()
    machine.teardown()
    assert (record.status, record.attempt > 1) == ("completed", True)
