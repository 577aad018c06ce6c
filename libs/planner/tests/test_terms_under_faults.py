"""Terms of planners in a row while hosts, store and workers have faults.

Pattern: a planner is killed, frozen, cut off or ends its term with an error while jobs
are accepted, and the next term begins beside runs that go on. Many seeds are played
by hand with ``python -m tests.soak.terms``.
"""

import asyncio
import os
import subprocess
import sys

from bilberryhitch_jobs import TaskName
from bilberryhitch_planner import StartOrder
from bilberryhitch_standins.simulated_fleet import TaskProfile
from bilberryhitch_testing.simulated_hosts import SimulatedHosts
from bilberryhitch_testing.simulated_process import (
    ProcessLoop,
    SimulatedProcess,
    current_process,
)
from bilberryhitch_testing.term_plays import draw_play, run_play
from bilberryhitch_testing.virtual_time import cancel_tasks

SEEDS = range(1, 7)
PLAYS = """
from bilberryhitch_testing.term_plays import draw_play, run_play
from loguru import logger

logger.remove()
for seed in {seeds}:
    for violation in run_play(draw_play(seed)):
        print(seed, violation)
"""


def test_no_task_runs_twice_across_terms():
    """Guards against two runs of one task at once, and against a task that is started
    again after its end was acknowledged.

    The hash seed is fixed in a process of its own, since the order of sets decides a
    play as well.
    """
    result = subprocess.run(
        [sys.executable, "-c", PLAYS.format(seeds=list(SEEDS))],
        env=os.environ | {"PYTHONHASHSEED": "0"},
        capture_output=True,
        check=True,
        text=True,
    )
    assert result.stdout == ""


def test_the_plays_take_over_and_finish_work():
    """Guards against plays that prove nothing: no term follows another, no call fails,
    or no work is done.
    """
    worlds = []
    run_play(draw_play(1), on_world=worlds.append)
    assert len({start.token for start in worlds[0].starts}) > 2
    assert worlds[0].acknowledged_tasks > 20
    assert len(worlds[0].starts) > 20


def test_a_second_run_is_reported():
    """Guards against plays that do not notice two runs of one task."""
    loop = ProcessLoop()
    world = SimulatedHosts(loop, 1)
    world.profiles["j"] = TaskProfile(5.0)
    for run, name in enumerate(("w0", "w1"), start=1):
        worker = world.fleet.workers[name]
        order = StartOrder(name, TaskName("j", 0, 0, 0), run, "spec", "")
        world.carry_out_start(worker, order, 1, worker.clock_offset + 5.0, "h0/1")
    loop.close()
    assert [each.rule for each in world.violations] == ["two runs at once"]


def test_a_start_after_an_acknowledged_end_is_reported():
    """Guards against plays that do not notice that finished work is done again."""
    loop = ProcessLoop()
    world = SimulatedHosts(loop, 1)
    world.profiles["j"] = TaskProfile(0.0)
    task = TaskName("j", 0, 0, 0)
    for run, name in enumerate(("w0", "w1"), start=1):
        worker = world.fleet.workers[name]
        order = StartOrder(name, task, run, "spec", "")
        world.carry_out_start(worker, order, 1, worker.clock_offset + 5.0, "h0/1")
        worker.advance(0.1)
        world.carry_out_hold(worker, 1, 1, None)
    loop.close()
    rules = [each.rule for each in world.violations]
    assert rules == ["started after its end was acknowledged"]


def test_a_halted_process_does_nothing_until_it_goes_on():
    """Guards against plays in which a frozen or killed process goes on to plan."""
    loop = ProcessLoop()
    ticks = []

    async def tick():
        while True:
            ticks.append((current_process().name, loop.time()))
            await asyncio.sleep(1.0)

    frozen = SimulatedProcess(loop, "h0/1")
    killed = SimulatedProcess(loop, "h1/1")
    for process in (frozen, killed):
        process.spawn(tick())
    loop.advance(1.5)
    frozen.freeze()
    killed.kill()
    loop.advance(5.0)
    assert len(ticks) == 4
    frozen.thaw()
    loop.advance(1.5)
    assert [name for name, _ in ticks[4:]] == ["h0/1", "h0/1"]
    killed.bury()
    cancel_tasks(loop)
    loop.close()
