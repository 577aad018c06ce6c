"""Randomized plays of terms in a row: hosts, store and workers with faults.

Everything in a play follows from its seed, so that it can be repeated with a part of
its faults.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import NamedTuple

from bilberryhitch_model import clock
from bilberryhitch_standins.simulated_fleet import TaskProfile

from .faulty_store import ALL_HOSTS, StoreFaults, StoreOutage
from .planner_harness import request, step
from .simulated_hosts import CallFaults, SimulatedHosts, Violation
from .simulated_process import ProcessLoop
from .virtual_time import cancel_tasks

PLAY_S = 45.0
QUIET_START_S = 2.0
FAULTS_UNTIL_S = 34.0
LEADER = "leader"
ESTIMATE_S = 2.0


class Fault(NamedTuple):
    """A fault of a play.

    :param at: virtual time in seconds
    :param kind: key of ``FAULT_KINDS``
    :param host: name of a host, or ``LEADER`` for the one that plans then
    :param workers: workers that it affects
    :param lasts_s: how long it lasts, in seconds
    """

    at: float
    kind: str
    host: str
    workers: tuple[str, ...]
    lasts_s: float


class Play(NamedTuple):
    """Parameters of a play.

    :param seed: seed of the jobs and of single calls
    :param faults: faults in order of time
    :param single_faults: whether single calls may fail
    :param newest_revision: the store answers transactions with its newest revision
    """

    seed: int
    hosts: int
    workers: int
    retention_s: float
    faults: tuple[Fault, ...]
    single_faults: bool = True
    newest_revision: bool = False


def draw_play(seed: int, *, newest_revision: bool = False) -> Play:
    """Return the play of a seed."""
    chance = random.Random(seed)
    hosts, workers = chance.randint(2, 4), chance.randint(3, 6)
    faults: list[Fault] = []
    at = QUIET_START_S
    while at < FAULTS_UNTIL_S:
        faults += _draw_burst(chance, at, hosts, workers)
        at += chance.uniform(0.5, 5.0)
    return Play(
        seed,
        hosts,
        workers,
        chance.choice((2.0, 60.0)),
        tuple(sorted(faults)),
        newest_revision=newest_revision,
    )


def _draw_burst(
    chance: random.Random, at: float, hosts: int, workers: int
) -> list[Fault]:
    """Return faults that coincide."""
    names = [f"w{number}" for number in range(workers)]
    burst = []
    for _ in range(chance.choice((1, 1, 2, 3))):
        kind = chance.choice(sorted(FAULT_KINDS))
        host = chance.choice((LEADER, LEADER, f"h{chance.randrange(hosts)}"))
        affected = chance.sample(names, chance.randint(1, workers))
        lasts_s = chance.choice((chance.uniform(0.1, 2.0), chance.uniform(1.0, 14.0)))
        burst.append(
            Fault(
                at + chance.uniform(0.0, 1.5),
                kind,
                host,
                tuple(sorted(affected)),
                lasts_s,
            )
        )
    return burst


def _kill(world: SimulatedHosts, fault: Fault) -> None:
    world.kill(fault.host)
    pause_s = min(fault.lasts_s, 2.0)
    world.loop.call_outside(pause_s, world.launch, fault.host)


def _freeze(world: SimulatedHosts, fault: Fault) -> None:
    process = world.processes[fault.host]
    process.freeze()
    world.loop.call_outside(fault.lasts_s, process.thaw)


def _outage(*, everywhere: bool, silent: bool, writes_only: bool) -> "FaultKind":
    def begin(world: SimulatedHosts, fault: Fault) -> None:
        host = ALL_HOSTS if everywhere else fault.host
        outage = StoreOutage(host, silent, writes_only)
        world.store.outages.append(outage)
        lasts_s = min(fault.lasts_s, 5.0) if everywhere else fault.lasts_s
        world.loop.call_outside(lasts_s, world.store.outages.remove, outage)

    return begin


def _cut(world: SimulatedHosts, fault: Fault) -> None:
    _cut_pairs(world, {(fault.host, worker) for worker in fault.workers}, fault.lasts_s)


def _cut_from_all(world: SimulatedHosts, fault: Fault) -> None:
    worker = fault.workers[0]
    _cut_pairs(world, {(host, worker) for host in world.hosts}, fault.lasts_s)


def _isolate(world: SimulatedHosts, fault: Fault) -> None:
    """Cut a host from all workers, and from the store when its term ends."""
    pairs = {(fault.host, f"w{number}") for number in range(len(world.fleet.workers))}
    _cut_pairs(world, pairs, max(fault.lasts_s, 3.0))
    begin = _outage(everywhere=False, silent=True, writes_only=False)
    world.loop.call_outside(1.5, begin, world, fault._replace(lasts_s=3.0))


def _cut_pairs(
    world: SimulatedHosts, pairs: set[tuple[str, str]], lasts_s: float
) -> None:
    world.cut |= pairs
    world.loop.call_outside(lasts_s, world.cut.difference_update, pairs)


def _fail(world: SimulatedHosts, fault: Fault) -> None:
    world.fails_next.add(fault.host)


def _restart(world: SimulatedHosts, fault: Fault) -> None:
    world.restart_worker(fault.workers[0])


def _unregister(world: SimulatedHosts, fault: Fault) -> None:
    for worker in fault.workers[:2]:
        world.unregister(worker)
        world.loop.call_outside(min(fault.lasts_s, 4.0), world.register, worker)


def _forget_history(world: SimulatedHosts, _fault: Fault) -> None:
    world.store.forget_history()


FaultKind = Callable[[SimulatedHosts, Fault], None]
FAULT_KINDS: dict[str, FaultKind] = {
    "kill": _kill,
    "freeze": _freeze,
    "store silent": _outage(everywhere=True, silent=True, writes_only=False),
    "store refuses": _outage(everywhere=True, silent=False, writes_only=False),
    "host's store silent": _outage(everywhere=False, silent=True, writes_only=False),
    "host's store refuses": _outage(everywhere=False, silent=False, writes_only=False),
    "host's writes silent": _outage(everywhere=False, silent=True, writes_only=True),
    "host's writes refused": _outage(everywhere=False, silent=False, writes_only=True),
    "cut": _cut,
    "cut from all": _cut_from_all,
    "isolate": _isolate,
    "error": _fail,
    "restart": _restart,
    "unregister": _unregister,
    "forget history": _forget_history,
}


def run_play(
    play: Play,
    *,
    on_world: Callable[[SimulatedHosts], None] = lambda world: None,
    jobs: bool = True,
) -> Sequence[Violation]:
    """Play until the first violation and return all of them.

    :param on_world: called with the world before it starts
    :param jobs: whether random jobs are submitted
    """
    loop = ProcessLoop()
    loop.set_exception_handler(lambda _loop, _context: None)
    steady_s, state = clock.steady_s, random.getstate()
    clock.steady_s = loop.time
    random.seed(play.seed)
    world = SimulatedHosts(
        loop,
        play.seed,
        hosts=play.hosts,
        workers=play.workers,
        store_faults=StoreFaults(newest_revision=play.newest_revision)
        if play.single_faults
        else StoreFaults(0.0, slow_read=0.0, newest_revision=play.newest_revision),
        call_faults=CallFaults() if play.single_faults else CallFaults(0.0, 0.0, 0.0),
        retention_s=play.retention_s,
    )
    on_world(world)
    try:
        loop.run_until_complete(_run(world, play, jobs=jobs))
    finally:
        world.close()
        cancel_tasks(loop)
        loop.close()
        clock.steady_s = steady_s
        random.setstate(state)
    return world.violations


async def _run(world: SimulatedHosts, play: Play, *, jobs: bool) -> None:
    world.start()
    if jobs:
        world.loop.spawn_outside(_submit_jobs(world, random.Random(play.seed)))
    for fault in play.faults:
        world.loop.call_outside(fault.at, _begin_fault, world, fault)
    with suppress(TimeoutError):
        async with asyncio.timeout(PLAY_S):
            await world.violated.wait()


def _begin_fault(world: SimulatedHosts, fault: Fault) -> None:
    host = world.leader() if fault.host == LEADER else fault.host
    if host is None or world.processes[host].halted:
        return
    FAULT_KINDS[fault.kind](world, fault._replace(host=host))


async def _submit_jobs(world: SimulatedHosts, chance: random.Random) -> None:
    number = 0
    while world.loop.time() < FAULTS_UNTIL_S:
        number += 1
        size = chance.choice((1, 1, 1, 2))
        gang = size > 1 and chance.random() < 0.5  # noqa: PLR2004
        job = request(
            f"{number:016x}", step(size, gpu=chance.choice((1, 2, 4)), gang=gang)
        )
        work_s = chance.choice((chance.uniform(0.3, 2.0), chance.uniform(2.0, 9.0)))
        profile = TaskProfile(
            work_s, job.steps[0].reserved_resources, size if gang else 1
        )
        world.submit(job._replace(accepted_s=clock.unix.now_s()), profile)
        await asyncio.sleep(chance.expovariate(1.5))


def minimise(play: Play, fails: Callable[[Play], bool]) -> Play:
    """Return the play without the faults that its failure does not need."""
    for simpler in (play._replace(single_faults=False),):
        if fails(simpler):
            play = simpler
    size = max(1, len(play.faults) // 2)
    while size:
        position = 0
        while position < len(play.faults):
            rest = play.faults[:position] + play.faults[position + size :]
            if fails(play._replace(faults=rest)):
                play = play._replace(faults=rest)
            else:
                position += size
        size //= 2
    return play
