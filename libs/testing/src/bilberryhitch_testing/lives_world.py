"""One term of a planner beside workers that restart, with faults drawn from a seed.

``python -m bilberryhitch_testing.lives_world --seeds 1-100`` plays seeds and prints
what was broken; ``--shrink`` removes faults that a violation does not need.
"""

import argparse
import asyncio
import contextlib
import random
import time
import traceback
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec
from bilberryhitch_jobs import (
    JobRequest,
    RowWrite,
    StoreRow,
    TaskName,
    encode_request,
)
from bilberryhitch_jobs.job_operations import JOBS_TABLE
from bilberryhitch_model import clock
from bilberryhitch_planner import (
    LeaderElection,
    LeaderLease,
    LeadingPlanner,
    Machine,
    UpkeepOutcome,
    WorkerEntry,
)
from bilberryhitch_planner.errors import Isolated
from bilberryhitch_planner.runs import Run
from bilberryhitch_planner.workers import Worker
from bilberryhitch_standins.simulated_fleet import (
    SimulatedFleet,
    TaskProfile,
    WorkerParameters,
)
from loguru import logger

from .late_worker_calls import CarriedOutStart, Fate, LateWorkerCalls
from .planner_harness import START_UNIX_S, configuration, entry, request, step
from .silent_store import SilentStore
from .virtual_time import run_virtual
from .worker_lives import MAX_LEASE_S, RunKey, WorkerLives

WORKER_TABLE = "servers"
WORKERS = 6
PLAY_S = 45.0
SLOW_CLOCK = 0.98
FLEET_PERIOD_S = 0.05
MACHINE_LIST_AGE_S = 1.0
CANCEL_PERIOD_S = 0.2


class Fault(NamedTuple):
    """A fault of a play.

    :param kind: ``crash``, ``cut``, ``replace``, ``unlist``, ``silence`` of the store,
        ``mute``: it answers reads only, or ``call``: the fate of one call, which is
        the ``number``-th of its kind to its worker
    :param at: time in seconds
    :param length_s: how long it lasts
    """

    kind: str
    worker: str
    at: float = 0.0
    length_s: float = 0.0
    call: str = ""
    number: int = 0
    fate: Fate = Fate()


class Violation(NamedTuple):
    """A broken rule.

    :param cause: ``twice``: two runs of a task at once; ``released``: the planner held
        a run for over that was in progress; ``late_start``: a life carried out an
        order of its own that the planner had let go; ``redone``: a run that was done
        and acknowledged was started again; ``end_lost``: a worker dropped the end of
        a run before the planner had heard of it; ``no_session``: nothing is sent to a
        worker that has runs; ``undecidable``: the same as the first three, with an
        order that outlived its worker's crash on the network; ``unbarred``: such an
        order began a run in a life whose list had let it go, which a stop answered by
        that life would have barred
    :param detail: the run, its worker and the decision that preceded it
    """

    cause: str
    at: float
    detail: str


class Play(NamedTuple):
    """What a play has shown.

    :param faults: faults that took part in it
    :param starts: number of runs that were begun
    :param length_s: seconds until the term ended or the play was over
    """

    violations: list[Violation]
    faults: list[Fault]
    starts: int
    length_s: float


class FaultDraw:
    """Faults drawn from a seed, or a given list of them.

    :ivar played: faults that took part
    """

    def __init__(self, seed: int, only: list[Fault] | None) -> None:
        self.played: list[Fault] = []
        self._seed = seed
        self._only = only
        self._calls: Counter[tuple[str, str]] = Counter()
        given = only or []
        self._given = {
            (each.call, each.worker, each.number): each.fate
            for each in given
            if each.kind == "call"
        }
        generator = random.Random(f"rates {seed}")
        self._late = generator.choice((0.0, 0.01, 0.04, 0.1))
        self._slow = generator.choice((0.05, 0.3, 0.6))
        self._lost = generator.choice((0.0, 0.02, 0.08))
        self._pace_s = generator.choice((1.5, 3.0, 6.0))

    def events(self, names: list[str]) -> list[Fault]:
        """Return the faults of workers and of the store, in order of time."""
        if self._only is not None:
            faults = [each for each in self._only if each.kind != "call"]
        else:
            faults = list(self._draw_events(names))
        faults.sort(key=lambda each: each.at)
        self.played += faults
        return faults

    def fate(self, call: str, worker: str) -> Fate:
        """Return the fate of the next call of a kind to a worker."""
        self._calls[call, worker] += 1
        number = self._calls[call, worker]
        if self._only is not None:
            fate = self._given.get((call, worker, number), Fate())
        else:
            fate = self._draw_fate(f"{self._seed} {call} {worker} {number}")
        if fate != Fate():
            self.played.append(
                Fault("call", worker, call=call, number=number, fate=fate)
            )
        return fate

    def _draw_fate(self, name: str) -> Fate:
        draw = random.Random(name)
        kind = draw.random()
        if kind < self._late:
            return Fate(draw.uniform(0.6, 4.0), draw.uniform(0.0, 0.5))
        if kind < self._late + self._lost:
            return Fate(draw.uniform(0.0, 0.3), 0.0, response_lost=True)
        if kind < self._late + self._lost + self._slow:
            request_s = draw.choice((0.005, draw.uniform(0.0, 0.5)))
            return Fate(request_s, draw.uniform(0.0, 0.6))
        if kind > 1 - self._lost / 4:
            return Fate(connects=False)
        return Fate()

    def _draw_events(self, names: list[str]) -> Iterator[Fault]:
        draw = random.Random(f"events {self._seed}")
        at = draw.uniform(1.0, 4.0)
        while at < PLAY_S - 5.0:
            worker = draw.choice(names)
            kind = draw.choices(
                ("crash", "cut", "silence", "replace", "unlist"), (5, 3, 1, 4, 1)
            )[0]
            if kind == "crash":
                yield from self._draw_crash(draw, worker, at)
            elif kind == "cut":
                yield Fault("cut", worker, at, draw.uniform(1.0, 15.0))
            elif kind == "silence":
                yield from self._draw_silence(draw, worker, at)
            else:
                yield Fault(kind, worker, at, draw.choice((0.1, 0.4, 2.5)))
            at += draw.expovariate(1 / self._pace_s)

    def _draw_crash(
        self, draw: random.Random, worker: str, at: float
    ) -> Iterator[Fault]:
        down_s = draw.uniform(0.1, 1.0)
        yield Fault("crash", worker, at, down_s)
        if draw.random() < 0.4:  # noqa: PLR2004
            after_s = down_s + draw.uniform(-0.3, 1.5)
            yield Fault("cut", worker, at + after_s, draw.uniform(1.0, 15.0))

    def _draw_silence(
        self, draw: random.Random, worker: str, at: float
    ) -> Iterator[Fault]:
        length_s = draw.uniform(1.0, 14.0)
        yield Fault(draw.choice(("silence", "mute")), "", at, length_s)
        if draw.random() < 0.6:  # noqa: PLR2004
            yield from self._draw_crash(
                draw, worker, at + length_s * draw.uniform(0.5, 1.0)
            )


class LivesWorld:
    """The real planner of one term, simulated workers and a store.

    :param seed: decides jobs, clocks and faults
    :param only: faults to play instead of those of the seed
    :param until: cause of the violation that ends the play
    """

    def __init__(
        self, seed: int, only: list[Fault] | None = None, until: str = ""
    ) -> None:
        self.violations: list[Violation] = []
        self._until = until
        self._broken = asyncio.Event()
        self.starts = 0
        self.draw = FaultDraw(seed, only)
        self._random = random.Random(f"world {seed}")
        self._work_s: dict[str, float] = {}
        self._cut: dict[str, float] = {}
        # The worker's life and the decision, by worker and run.
        self._released: dict[tuple[str, RunKey], tuple[int, str]] = {}
        self._crossed: dict[TaskName, str] = {}
        self._acknowledged: set[TaskName] = set()
        self._duplicates = 0
        self._machine_lists: list[tuple[float, tuple[Machine, ...]]] = []
        self._entries = {
            f"w{number}": entry(f"w{number}", address=f"ip:{number}")
            for number in range(WORKERS)
        }
        self._replaced = 0
        self._store = SilentStore()
        parameters = WorkerParameters(max_lease_extension_s=MAX_LEASE_S / SLOW_CLOCK)
        self.fleet = SimulatedFleet(self._profile, parameters)
        self.lives = WorkerLives(self.fleet)
        self._calls = LateWorkerCalls(
            self.lives,
            self.draw.fate,
            lambda worker: self._cut.get(worker, 0.0),
            self._check_start,
            self._note_acknowledged,
        )
        self._planner: LeadingPlanner | None = None

    async def run(self) -> Play:
        """Play the term."""
        for each in self._entries.values():
            self.lives.begin(each, self._draw_clock())
            self._register(each)
        now = asyncio.get_running_loop().time()
        election = LeaderElection(self._store, "a/1")
        lease = (await election.acquire())._replace(renewed_at=now - 60.0)
        self._planner = self._create_planner(lease)
        with self._watch_releases():
            tasks: list[asyncio.Task[Any]] = [
                asyncio.create_task(work)
                for work in (
                    self._planner.run(),
                    self._submit_jobs(),
                    self._advance_fleet(),
                    self._play_faults(),
                )
            ]
            tasks.append(asyncio.create_task(self._broken.wait()))
            done, _ = await asyncio.wait(
                tasks, timeout=PLAY_S, return_when=asyncio.FIRST_COMPLETED
            )
            ended_at = asyncio.get_running_loop().time()
            await _cancel(tasks)
            for task in done:
                _raise_unexpected(task)
        return Play(self.violations, self.draw.played, self.starts, ended_at)

    def _create_planner(self, lease: LeaderLease) -> LeadingPlanner:
        settings = configuration()

        async def advise(_request: object) -> None:
            return None

        return LeadingPlanner(
            self._store,
            lease,
            self._calls,
            worker_table=WORKER_TABLE,
            decode_worker=_decode_worker,
            configuration=lambda: settings,
            advise=advise,
            machines=self,
            evacuated=frozenset,
            waves=lambda: (),
            encode_wave=lambda number, done: RowWrite("status", str(number), b""),
            retention_s=1e9,
            store_time_s=lambda: None,
        )

    # The list of machines.

    async def list_machines(self) -> tuple[Machine, ...]:
        """Return a list of machines that is up to a second old."""
        now = asyncio.get_running_loop().time()
        as_of = now - self._random.uniform(0.0, MACHINE_LIST_AGE_S)
        await asyncio.sleep(0.02)
        earlier = [listed for at, listed in self._machine_lists if at <= as_of]
        return earlier[-1] if earlier else self._machine_lists[0][1]

    async def begin_upkeep(
        self, machine: str, wave: int, *, token: int
    ) -> UpkeepOutcome:
        """Never called, as no wave is requested."""
        raise NotImplementedError

    # What happens.

    def _profile(self, task: TaskName) -> TaskProfile:
        return TaskProfile(self._work_s[task.job])

    def _draw_clock(self) -> float:
        return self._random.choice((1.0, SLOW_CLOCK))

    def _register(self, each: WorkerEntry) -> None:
        self._store.put(WORKER_TABLE, each.worker, each.address.encode())

    async def _submit_jobs(self) -> None:
        number = 0
        while True:
            number += 1
            work_s = self._random.choice((0.5, 2.0, 5.0, 14.0))
            name = f"{number:016x}"
            self._work_s[name] = work_s
            tasks = step(self._random.randint(1, 2))._replace(estimate_s=work_s)
            self._store.put(JOBS_TABLE, name, encode_request(_request(name, tasks)))
            await asyncio.sleep(self._random.expovariate(1.5))

    async def _advance_fleet(self) -> None:
        while True:
            now = self.lives.advance()
            self._note_duplicates(now)
            up = tuple(
                Machine(life.entry.address, life.entry.worker, True)
                for life in self.lives.up
            )
            self._machine_lists.append((now, up))
            self._check_sessions(now)
            await asyncio.sleep(FLEET_PERIOD_S)

    async def _play_faults(self) -> None:
        async with asyncio.TaskGroup() as group:
            for fault in self.draw.events(list(self._entries)):
                group.create_task(self._play(fault))
        await asyncio.Event().wait()

    async def _play(self, fault: Fault) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, fault.at - loop.time()))
        if fault.kind == "cut":
            until = loop.time() + fault.length_s
            self._cut[fault.worker] = max(self._cut.get(fault.worker, 0.0), until)
        elif fault.kind == "silence":
            until = loop.time() + fault.length_s
            self._store.silent_until = max(self._store.silent_until, until)
        elif fault.kind == "mute":
            until = loop.time() + fault.length_s
            self._store.mute_until = max(self._store.mute_until, until)
        elif fault.kind == "crash":
            await self._restart(fault)
        elif fault.kind == "unlist":
            self._store.drop(WORKER_TABLE, fault.worker)
            await asyncio.sleep(fault.length_s)
            self._register(self._entries[fault.worker])
        else:
            await self._replace(fault)

    async def _restart(self, fault: Fault) -> None:
        life = self.lives.of(fault.worker)
        if life is None:
            return
        self.lives.end(fault.worker)
        await asyncio.sleep(fault.length_s)
        if self.lives.at(life.entry.address) is None:
            self.lives.begin(life.entry, self._draw_clock())

    async def _replace(self, fault: Fault) -> None:
        """Let another identifier take a worker's address, and the worker return."""
        life = self.lives.of(fault.worker)
        if life is None:
            return
        self.lives.end(fault.worker)
        await asyncio.sleep(0.1)
        if self.lives.at(life.entry.address) is not None:
            return
        self._replaced += 1
        number = self._replaced
        other = life.entry._replace(worker=f"x{number}")
        self.lives.begin(other, self._draw_clock())
        self._register(other)
        await asyncio.sleep(fault.length_s)
        if self.lives.of(fault.worker) is None:
            back = life.entry._replace(address=f"ip:x{number}")
            self._entries[fault.worker] = back
            self.lives.begin(back, self._draw_clock())
            self._register(back)

    # What must not happen.

    def _check_start(self, start: CarriedOutStart) -> None:
        self.starts += 1
        assert self._planner is not None
        if start.key.task in self._acknowledged:
            self._break("redone", start.at, str(start))
        worker = self._planner.planner.workers.get(start.worker)
        if worker is None or start.key not in worker.runs:
            life, decision = self._released.get((start.worker, start.key), (0, ""))
            barrable = life == start.life and "apply_heartbeat" in decision
            cause = "late_start"
            if start.crossed:
                cause = "unbarred" if barrable else "undecidable"
                self._crossed[start.key.task] = cause
            self._break(cause, start.at, f"{start} released by {decision}")
        self._note_duplicates(start.at)

    def _note_acknowledged(self, key: RunKey) -> None:
        assert self._planner is not None
        self._acknowledged.add(key.task)
        for name, worker in self._planner.planner.workers.items():
            if key in worker.runs:
                now = asyncio.get_running_loop().time()
                self._break("end_lost", now, f"{_format(key.task)} on {name}")

    def _check_sessions(self, now: float) -> None:
        assert self._planner is not None
        for name, worker in self._planner.planner.workers.items():
            if worker.runs and name not in self._planner._sessions:
                self._break("no_session", now, f"{name}: {len(worker.runs)} runs")

    def _note_duplicates(self, now: float) -> None:
        for task in self.fleet.duplicate_runs[self._duplicates :]:
            cause = self._crossed.get(task, "twice")
            self._break(cause, now, f"{_format(task)} runs twice")
        self._duplicates = len(self.fleet.duplicate_runs)

    @contextlib.contextmanager
    def _watch_releases(self) -> Iterator[None]:
        """Look for releases of runs that are in progress."""
        remove_run: Callable[[Worker, Run], None] = Worker.remove_run

        def checked(worker: Worker, run: Run) -> None:
            key = RunKey(run.task, run.number)
            name = worker.entry.worker
            if key in worker.runs:
                decision = _decision()
                life = self.lives.of(name)
                self._released[name, key] = (life.number if life else 0, decision)
                if self.lives.running(name, key):
                    now = asyncio.get_running_loop().time()
                    detail = f"{_format(run.task)} run {run.number} on {name}"
                    cause = self._crossed.get(run.task, "released")
                    self._break(cause, now, f"{detail} released by {decision}")
            remove_run(worker, run)

        Worker.remove_run = checked  # type: ignore[method-assign, assignment]
        try:
            yield
        finally:
            Worker.remove_run = remove_run  # type: ignore[method-assign, assignment]

    def _break(self, cause: str, at: float, detail: str) -> None:
        self.violations.append(Violation(cause, round(at, 3), detail))
        if cause == self._until:
            self._broken.set()


def _request(name: str, tasks: object) -> JobRequest:
    return request(name, tasks)  # type: ignore[arg-type]


async def _cancel(tasks: list[asyncio.Task[Any]]) -> None:
    """Cancel tasks until they have ended.

    A task group drops a cancellation that coincides with an error of a child task.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_PERIOD_S)


def _raise_unexpected(task: asyncio.Task[Any]) -> None:
    """Raise a task's error, unless the planner has given up an isolated term."""
    try:
        task.result()
    except* Isolated:
        pass


def _decode_worker(row: StoreRow) -> WorkerEntry | None:
    return entry(row.key, address=row.value.decode())


def _format(task: TaskName) -> str:
    return f"{task.job.lstrip('0')}.{task.step}.{task.ordinal}"


def _decision() -> str:
    """Return the lines of the planner that led to the present call, innermost first."""
    frames = [
        f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}"
        for frame in traceback.extract_stack()
        if "bilberryhitch_planner" in frame.filename
    ]
    return " < ".join(reversed(frames[-6:]))


def play(seed: int, only: list[Fault] | None = None, until: str = "") -> Play:
    """Play a seed, or some of its faults, in simulated time."""
    steady_s, unix_s = clock.steady_s, clock.unix.now_s()

    async def main() -> Play:
        clock.steady_s = asyncio.get_running_loop().time
        clock.unix.correct(START_UNIX_S)
        return await LivesWorld(seed, only, until).run()

    try:
        return run_virtual(main())
    finally:
        clock.steady_s = steady_s
        clock.unix.correct(unix_s)


def shrink(seed: int, cause: str, budget_s: float = 120.0) -> list[Fault]:
    """Return few faults with which a seed still breaks a rule in the same way.

    :param budget_s: processor time after which the faults found so far are returned
    """

    def breaks(faults: list[Fault]) -> bool:
        violations = play(seed, faults, cause).violations
        return any(each.cause == cause for each in violations)

    until = time.process_time() + budget_s
    faults = play(seed, until=cause).faults
    chunks = 2
    while len(faults) > 1 and time.process_time() < until:
        size = -(-len(faults) // chunks)
        for start in range(0, len(faults), size):
            fewer = faults[:start] + faults[start + size :]
            if breaks(fewer):
                faults, chunks = fewer, max(2, chunks - 1)
                break
            if time.process_time() > until:
                break
        else:
            if size == 1:
                break
            chunks = min(len(faults), chunks * 2)
    return faults


def main() -> None:
    """Play seeds and print the violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-20", help="first and last seed")
    parser.add_argument("--shrink", action="store_true")
    parser.add_argument("--quiet", action="store_true", help="print totals only")
    arguments = parser.parse_args()
    logger.remove()
    first, _, last = arguments.seeds.partition("-")
    totals: Counter[str] = Counter()
    seeds: dict[str, list[int]] = {}
    starts = 0
    length_s = 0.0
    for seed in range(int(first), int(last or first) + 1):
        result = play(seed)
        starts += result.starts
        length_s += result.length_s
        for cause in {each.cause for each in result.violations}:
            seeds.setdefault(cause, []).append(seed)
        for each in result.violations:
            totals[each.cause] += 1
            if not arguments.quiet:
                print(seed, each.cause, each.at, each.detail, flush=True)
        decided = [each for each in result.violations if each.cause != "undecidable"]
        if arguments.shrink and decided:
            for fault in shrink(seed, decided[0].cause):
                print("   ", msgspec.json.encode(fault).decode())
    print(f"seeds {arguments.seeds}: {starts} starts in {length_s:.0f} s")
    for cause, count in sorted(totals.items()):
        broken = seeds[cause]
        print(f"{cause}: {count} in {len(broken)} seeds, {broken[:40]}")


if __name__ == "__main__":
    main()
