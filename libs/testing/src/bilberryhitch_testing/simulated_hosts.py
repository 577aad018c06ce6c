"""Entry hosts whose processes compete for the lease and plan for simulated workers.

Election, candidate, planner, state writer and worker sessions are the real ones. The
store, the network and the workers are simulated, in virtual time and without I/O.
"""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from bilberryhitch_jobs import JobRequest, RowRemoval, RowWrite, TaskName
from bilberryhitch_jobs.errors import STORE_ERRORS, CommitConflict
from bilberryhitch_jobs.job_operations import JOBS_TABLE, job_partition
from bilberryhitch_jobs.progress import encode_request
from bilberryhitch_jobs.rows import ExpectedRevision
from bilberryhitch_planner import (
    Advice,
    AdviceRequest,
    Candidate,
    EndKind,
    HeartbeatReply,
    LeaderElection,
    LeaderLease,
    LeadingPlanner,
    Machine,
    StartOrder,
    StartOutcome,
    StopOrder,
    StopOutcome,
    ThrottleOrder,
    UpkeepOutcome,
    WorkerEntry,
    WorkerFenced,
    WorkerUnreachable,
)
from bilberryhitch_standins.simulated_fleet import (
    SimulatedFleet,
    SimulatedWorker,
    TaskProfile,
)

from .faulty_store import PartitionedStore, StoreFaults
from .planner_harness import configuration, entry
from .simulated_process import ProcessLoop, SimulatedProcess

T = TypeVar("T")

WORKER_TABLE = "servers"
ORDER_TIMEOUT_S = 0.6
HOLD_MARGIN_S = 0.8
FLEET_STEP_S = 0.02
HOLD_STEP_S = 0.02
NEVER_S = 1e6
# Retries of a caller whose job was not accepted.
ACCEPT_ATTEMPTS = 20
ACCEPT_PAUSE_S = 0.1


class CallFaults(NamedTuple):
    """Probabilities of faults of single calls to workers.

    :param late: share of the calls that are carried out up to ``late_s`` later
    :param lost_answer: share of the calls that are carried out without an answer
    :param unreachable_late: share of the calls to unreachable workers that are carried
        out up to ``late_s`` later
    """

    late: float = 0.02
    late_s: float = 4.0
    lost_answer: float = 0.02
    unreachable_late: float = 0.2


class Start(NamedTuple):
    """A run that a worker has started.

    :param process: process that ordered it
    :param at: virtual time in seconds
    """

    task: TaskName
    run: int
    worker: str
    process: str
    token: int
    at: float


class Violation(NamedTuple):
    """A task that was started although it must not have been.

    :param rule: what was violated
    :param starts: all starts of the task
    """

    rule: str
    starts: tuple[Start, ...]


class SimulatedHosts:
    """Entry hosts, their store and their workers.

    :param retention_s: retention period of finished jobs, in seconds
    :ivar cut: pairs of a host and a worker that do not reach each other
    :ivar violations: what went wrong so far
    :ivar violated: set once something went wrong
    :ivar fails_next: hosts whose term ends with an unexpected error
    """

    def __init__(
        self,
        loop: ProcessLoop,
        seed: int,
        *,
        hosts: int = 3,
        workers: int = 4,
        store_faults: StoreFaults | None = None,
        call_faults: CallFaults | None = None,
        retention_s: float = 60.0,
    ) -> None:
        self.loop = loop
        self.chance = random.Random(seed)
        self.store = PartitionedStore(loop, self.chance, store_faults or StoreFaults())
        self.call_faults = call_faults or CallFaults()
        self.retention_s = retention_s
        self.cut: set[tuple[str, str]] = set()
        self.fails_next: set[str] = set()
        self.violations: list[Violation] = []
        self.violated = asyncio.Event()
        self.profiles: dict[str, TaskProfile] = {}
        self.starts: list[Start] = []
        self.fleet = SimulatedFleet(lambda task: self.profiles[task.job])
        self.processes: dict[str, SimulatedProcess] = {}
        self.hosts = tuple(f"h{number}" for number in range(hosts))
        self._born: dict[str, int] = {}
        self._lives: dict[str, int] = {}
        self._entries: dict[str, WorkerEntry] = {}
        self._all_processes: list[SimulatedProcess] = []
        self._candidates: dict[str, Candidate] = {}
        self._done: set[TaskName] = set()
        for number in range(workers):
            self.add_worker(f"w{number}", rack=f"r{number % 2}")

    @property
    def acknowledged_tasks(self) -> int:
        """Number of tasks whose end was acknowledged."""
        return len(self._done)

    def start(self) -> None:
        """Start a process on each host, and the workers."""
        self.loop.spawn_outside(self._run_fleet())
        for host in self.hosts:
            self.launch(host)

    def close(self) -> None:
        """Let all processes run again, so that their tasks can be cancelled."""
        for process in self._all_processes:
            process.bury()

    # Processes.

    def launch(self, host: str) -> None:
        """Start a new process on a host; an earlier one must have been killed."""
        number = sum(process.name.startswith(host + "/") for process in self._all())
        process = SimulatedProcess(self.loop, f"{host}/{number + 1}")
        self._all_processes.append(process)
        self.processes[host] = process
        process.spawn(self._compete(host, process))

    def kill(self, host: str) -> None:
        """Kill the process of a host."""
        self.processes[host].kill()

    def leader(self) -> str | None:
        """Return a host that plans and whose process runs, if there is one."""
        for host, process in self.processes.items():
            if not process.halted and self._candidates[process.name].leading:
                return host
        return None

    def _all(self) -> list[SimulatedProcess]:
        return self._all_processes

    async def _compete(self, host: str, process: SimulatedProcess) -> None:
        store = self.store.client(host)
        election = LeaderElection(
            store,
            process.name,
            address=process.name,
            wait_for_end=self._wait_for_end,
        )

        def create_planner(lease: LeaderLease) -> LeadingPlanner:
            return LeadingPlanner(
                store,
                lease,
                _WorkerCalls(self, host, process.name),
                worker_table=WORKER_TABLE,
                decode_worker=lambda row: self._entries.get(row.key),
                configuration=configuration,
                advise=_no_advice,
                machines=_Machines(self),
                evacuated=lambda: self._evacuated(host),
                waves=lambda: (),
                encode_wave=lambda number, done: RowWrite("status", "wave", b""),
                retention_s=self.retention_s,
                store_time_s=lambda: None,
            )

        candidate = Candidate(election.acquire, create_planner)
        self._candidates[process.name] = candidate
        candidate.start()

    def _evacuated(self, host: str) -> frozenset[str]:
        if host in self.fails_next:
            self.fails_next.discard(host)
            raise RuntimeError("unexpected")
        return frozenset()

    async def _wait_for_end(self, address: str) -> None:
        for process in self._all_processes:
            if process.name == address:
                await process.ended.wait()
                return
        await asyncio.sleep(NEVER_S)

    # Jobs.

    def submit(self, request: JobRequest, profile: TaskProfile) -> None:
        """Accept a job, with retries while the store does not serve it."""
        self.profiles[request.job] = profile
        self.loop.spawn_outside(self._accept(request))

    async def _accept(self, request: JobRequest) -> None:
        # A late acceptance of a job that has been removed would be another job.
        store = self.store.client("caller", late=False)
        for _ in range(ACCEPT_ATTEMPTS):
            try:
                await store.commit(
                    (ExpectedRevision(JOBS_TABLE, request.job, 0),),
                    (RowWrite(JOBS_TABLE, request.job, encode_request(request)),),
                    partition=job_partition(request.job),
                    timeout_s=0.9,
                )
            except CommitConflict:
                return
            except STORE_ERRORS:
                await asyncio.sleep(ACCEPT_PAUSE_S)
                continue
            return

    # Workers.

    def add_worker(self, name: str, rack: str = "r0") -> None:
        """Add a worker and register it."""
        self._entries[name] = entry(name, rack=rack, address=f"{name}:1")
        self._begin_life(name)
        self.register(name)

    def restart_worker(self, name: str) -> None:
        """Crash a worker and start it again under its identifier."""
        self.fleet.advance(self.loop.time())
        self.fleet.workers[name].crash()
        self._begin_life(name)

    def register(self, name: str) -> None:
        """Write a worker's registration row."""
        self.store.apply((), (RowWrite(WORKER_TABLE, name, b"1"),), (), "")

    def unregister(self, name: str) -> None:
        """Remove a worker's registration row; the worker goes on."""
        self.store.apply((), (), (RowRemoval(WORKER_TABLE, name),), "")

    def _begin_life(self, name: str) -> None:
        worker = self.fleet.add_worker(self._entries[name])
        worker.clock_offset = self.chance.uniform(-100.0, 100.0)
        self._lives[name] = self._lives.get(name, 0) + 1
        self._born[name] = 1_000 * self._lives[name]

    async def _run_fleet(self) -> None:
        while True:
            self.fleet.advance(self.loop.time())
            await asyncio.sleep(FLEET_STEP_S)

    def machines(self) -> tuple[Machine, ...]:
        """Return the machines of the workers that have not left."""
        return tuple(Machine(f"m-{name}", name, True) for name in self._entries)

    def worker_in_life(self, name: str, life: int) -> SimulatedWorker | None:
        """Return a worker if it is in the given life, with its state up to now."""
        if self._lives[name] != life:
            return None
        self.fleet.advance(self.loop.time())
        return self.fleet.workers[name]

    def life_of(self, name: str) -> int:
        """Return the number of a worker's life."""
        return self._lives[name]

    def carry_out_start(
        self,
        worker: SimulatedWorker,
        order: StartOrder,
        token: int,
        lease: float,
        by: str,
    ) -> StartOutcome:
        """Let a worker carry out a start order, and record what it violates."""
        now = self.loop.time()
        duplicates = len(self.fleet.duplicate_runs)
        running = worker.running
        outcome = worker.start(
            order.task,
            order.run,
            saved=order.checkpoint,
            token=token,
            lease_until_s=lease,
            now=now,
        )
        if outcome is StartOutcome.STARTED and worker.running > running:
            start = Start(order.task, order.run, order.worker, by, token, now)
            self.starts.append(start)
            if len(self.fleet.duplicate_runs) > duplicates:
                self._record("two runs at once", order.task)
            if order.task in self._done:
                self._record("started after its end was acknowledged", order.task)
        return outcome

    def carry_out_hold(
        self,
        worker: SimulatedWorker,
        token: int,
        acknowledged: int,
        lease: float | None,
    ) -> HeartbeatReply | None:
        """Let a worker carry out a heartbeat, and note acknowledged ends."""
        ends = [end for end in worker.ends if end.sequence <= acknowledged]
        reply = worker.hold(
            token=token,
            acknowledged=acknowledged,
            lease_until_s=lease,
            now=self.loop.time(),
        )
        if reply is None:
            return None
        self._done |= {end.task for end in ends if end.how is EndKind.DONE}
        return reply._replace(started_ms=self._born[worker.entry.worker])

    def _record(self, rule: str, task: TaskName) -> None:
        starts = tuple(start for start in self.starts if start.task == task)
        self.violations.append(Violation(rule, starts))
        self.violated.set()


class _WorkerCalls:
    """Calls of one process to the workers.

    What has been sent is carried out also while the process is halted, but not by a
    later life of the worker.
    """

    def __init__(self, world: SimulatedHosts, host: str, process: str) -> None:
        self._world = world
        self._host = host
        self._process = process

    async def start_run(
        self,
        worker: WorkerEntry,
        order: StartOrder,
        *,
        token: int,
        lease_until_s: float,
    ) -> StartOutcome:
        def carry_out(model: SimulatedWorker) -> StartOutcome:
            return self._world.carry_out_start(
                model, order, token, lease_until_s, self._process
            )

        try:
            return await self._call(worker.worker, carry_out, ORDER_TIMEOUT_S)
        except WorkerUnreachable:
            return StartOutcome.UNKNOWN

    async def stop_run(
        self, worker: WorkerEntry, order: StopOrder, *, token: int
    ) -> StopOutcome:
        def carry_out(model: SimulatedWorker) -> StopOutcome:
            now = self._world.loop.time()
            return model.stop(order.task, order.run, token=token, now=now)

        try:
            return await self._call(worker.worker, carry_out, ORDER_TIMEOUT_S)
        except WorkerUnreachable:
            return StopOutcome.UNKNOWN

    async def throttle_run(
        self, worker: WorkerEntry, order: ThrottleOrder, *, token: int
    ) -> bool:
        return True

    async def hold(
        self,
        worker: WorkerEntry,
        *,
        token: int,
        acknowledged: int,
        lease_until_s: float | None,
        wait_s: float,
    ) -> HeartbeatReply:
        name = worker.worker
        exchange = _HoldExchange(self._world, name, token, wait_s)

        def begin(model: SimulatedWorker) -> None:
            exchange.begin(model, acknowledged, lease_until_s)

        try:
            async with asyncio.timeout(wait_s + HOLD_MARGIN_S):
                await self._call(name, begin, wait_s + HOLD_MARGIN_S)
                reply = await exchange.answer
        except TimeoutError as error:
            raise WorkerUnreachable(name, "no answer") from error
        if (self._host, name) in self._world.cut:
            raise WorkerUnreachable(name, "cut")
        if reply is None:
            raise WorkerFenced(name)
        return reply

    async def _call(
        self, name: str, action: Callable[[SimulatedWorker], T], timeout_s: float
    ) -> T:
        """Let a worker carry out a call and return the result.

        :raises WorkerUnreachable: without an answer in time
        """
        world, faults = self._world, self._world.call_faults
        life = world.life_of(name)
        answer: asyncio.Future[T] = world.loop.create_future()
        lost = world.chance.random() < faults.lost_answer
        reachable = (self._host, name) not in world.cut
        delay_s = world.chance.uniform(0.001, 0.02)
        if world.chance.random() < (
            faults.late if reachable else faults.unreachable_late
        ):
            delay_s = world.chance.uniform(0.0, faults.late_s)
            reachable = True

        def carry_out() -> None:
            model = world.worker_in_life(name, life)
            if model is None:
                return
            result = action(model)
            if not lost and (self._host, name) not in world.cut:
                world.loop.call_outside(0.002, send, result)

        def send(result: T) -> None:
            if not answer.done():
                answer.set_result(result)

        if reachable:
            world.loop.call_outside(delay_s, carry_out)
        try:
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError as error:
            raise WorkerUnreachable(name, "no answer") from error


class _HoldExchange:
    """A heartbeat that a worker answers once a run has ended or a time is over.

    :ivar answer: its reply; None if the worker has seen a higher token
    """

    def __init__(
        self, world: SimulatedHosts, name: str, token: int, wait_s: float
    ) -> None:
        self.answer: asyncio.Future[HeartbeatReply | None] = world.loop.create_future()
        self._world = world
        self._name = name
        self._life = world.life_of(name)
        self._token = token
        self._wait_s = wait_s
        self._deadline = 0.0

    def begin(
        self, model: SimulatedWorker, acknowledged: int, lease: float | None
    ) -> None:
        """Carry the heartbeat out when it arrives at the worker."""
        self._deadline = self._world.loop.time() + self._wait_s
        self._look(self._world.carry_out_hold(model, self._token, acknowledged, lease))

    def _look(self, reply: HeartbeatReply | None) -> None:
        due = self._world.loop.time() >= self._deadline
        if reply is not None and not reply.ended and not due:
            self._world.loop.call_outside(HOLD_STEP_S, self._look_again)
        elif not self.answer.done():
            self.answer.set_result(reply)

    def _look_again(self) -> None:
        model = self._world.worker_in_life(self._name, self._life)
        if model is not None:
            self._look(self._world.carry_out_hold(model, self._token, 0, None))


class _Machines:
    """The platform's list of machines."""

    def __init__(self, world: SimulatedHosts) -> None:
        self._world = world

    async def list_machines(self) -> tuple[Machine, ...]:
        await asyncio.sleep(0.01)
        return self._world.machines()

    async def begin_upkeep(
        self, machine: str, wave: int, *, token: int
    ) -> UpkeepOutcome:
        return UpkeepOutcome.NOT_OF_WAVE


async def _no_advice(_request: AdviceRequest) -> Advice | None:
    return None
