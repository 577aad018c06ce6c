"""Simulates planners, job services and workers in one process, with faults."""

import asyncio
import itertools
import json
from contextlib import suppress

from bilberryhitch_gangs import JobService, Planner, PoolView, WorkerView
from bilberryhitch_gangs.planner_lease import rank
from bilberryhitch_gangs.worker_client import CALL_TIMEOUT_S, LeaseView
from bilberryhitch_model import (
    Host,
    Identity,
    JobCall,
    Pool,
    Route,
    Shape,
    Tables,
    decode,
)
from bilberryhitch_model.errors import (
    OutcomeUnknown,
    StaleToken,
    WorkerRefused,
    WorkerUnreachable,
)
from bilberryhitch_model.work import JobRecord
from bilberryhitch_platform import MemoryTables
from bilberryhitch_standins import WorkerModel
from bilberryhitch_testing import FaultyTables, VirtualTimeLoop
from expression import Error

from .first_fit_point2_gangs import FirstFitScheduler

CENTRE, POOL = "ruwi", "gpu"
LATENCY_S = 0.002
LATE_START_DELAY_S = 2.5


class Worker:
    """A worker model and the faults of its connection."""

    def __init__(self, host, loop, saved):
        self.host = host
        self.model = WorkerModel(host, loop.time, saved)
        self.paused = False
        self.late_starts = 0
        self.lose_answers = 0

    def heal(self):
        self.paused = False
        self.late_starts = self.lose_answers = 0
        self.model.refuse_starts = self.model.fail_everything = False
        self.model.ignore_checkpoint = False


class WatchedTables(FaultyTables):
    """Marks a step of the process before and after each transaction."""

    def __init__(self, inner, process):
        super().__init__(inner)
        self._process = process

    async def transact(self, expects, writes):
        await self._process.step()
        result = await super().transact(expects, writes)
        await self._process.step()
        return result


class Process:
    """One entry host: store view, worker client, planner and job service.

    Killing it stops everything at once, without releasing the planner's lease.

    :ivar cut: workers that it cannot reach
    """

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.cut = set()
        self.steps_left = 0
        self.step_callback = None
        self.runs = itertools.count(1)
        self.tables = WatchedTables(world.store, self)
        self.planner = None
        self.boot()

    @property
    def alive(self):
        return self.planner is not None

    def boot(self):
        world = self.world
        run = next(self.runs)
        identity = Identity(self.name, CENTRE, f"{self.name}-{run}")
        self.scheduler = None
        self.tables = WatchedTables(world.store, self)
        self.planner = world.make_planner(self, identity)
        self.jobs = JobService(
            identity,
            self.tables,
            tables_view=lambda: world.config,
            hosts=lambda: world.hosts,
            entry_hosts=lambda _: world.names,
            planners=self,
            link=self,
            now=world.loop.time,
            new_id=world.new_id,
        )
        self.task = world.loop.create_task(self.planner.run())

    def kill(self):
        if self.alive:
            self.task.cancel()
            self.planner = None

    def at_step(self, steps, callback):
        """Call ``callback`` at the step number ``steps`` from now."""
        self.steps_left, self.step_callback = steps, callback

    async def step(self):
        """Mark a point at which the process can be interrupted or killed."""
        self.steps_left -= 1
        if self.step_callback is not None and self.steps_left <= 0:
            callback, self.step_callback = self.step_callback, None
            callback()
        if not self.alive:
            await asyncio.Event().wait()

    def make_scheduler(self, *arguments):
        self.scheduler = FirstFitScheduler(*arguments)
        return self.scheduler

    # LocalPlanners and PeerChannel of the job service
    def wake(self, job_id):
        if self.alive:
            self.planner.wake()

    def explain(self, job_id):
        return self.planner.explain(job_id) if self.alive else None

    def send(self, host, message):
        peer = self.world.processes[host]
        if not peer.tables.paused:
            peer.wake("")
        return True

    # WorkerClient
    async def reserve(self, host, token, wanted):
        return await self._lease(
            host, lambda model: model.reserve(token=token, **wanted._asdict())
        )

    async def start_task(self, host, token, attempt_id, run, saved):
        def act(model):
            return model.start(attempt_id, token, run, saved)

        worker = self.world.workers[host.name]
        if worker.late_starts > 0:
            worker.late_starts -= 1
            self.world.loop.call_later(
                LATE_START_DELAY_S, self._deliver_late, worker, act
            )
            act = None
        return await self._lease(host, act)

    async def renew(self, host, token, attempt_ids, term_s):
        return self._view(
            await self._call(host, lambda m: m.renew(token, attempt_ids, term_s))
        )

    async def checkpoint(self, host, token, attempt_id, saved):
        return await self._lease(host, lambda m: m.checkpoint(attempt_id, token, saved))

    async def stop(self, host, token, attempt_id):
        return await self._lease(host, lambda m: m.stop(attempt_id, token))

    async def release(self, host, token, attempt_id):
        await self._call(host, lambda m: m.release(attempt_id, token))

    async def state(self, host):
        return self._view(await self._call(host, lambda m: m.state()))

    @staticmethod
    def _deliver_late(worker, act):
        with suppress(StaleToken, WorkerRefused):
            act(worker.model)

    @staticmethod
    def _view(report):
        leases = tuple(LeaseView(*lease) for lease in report.leases)
        return WorkerView(report.boot_id, report.highest, leases)

    async def _lease(self, host, act):
        return LeaseView(*await self._call(host, act))

    async def _call(self, host, act):
        """Make a call; without ``act`` it does not arrive before the time-out."""
        worker = self.world.workers[host.name]
        self.world.calls += 1
        await self.step()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._deliver(worker, act)
        except TimeoutError as error:
            raise WorkerUnreachable(host.name) from error

    async def _deliver(self, worker, act):
        await self.tables._unpaused.wait()
        await asyncio.sleep(LATENCY_S)
        if act is None or worker.paused or worker.host.name in self.cut:
            await asyncio.Event().wait()
        try:
            answer, error = act(worker.model), None
        except (StaleToken, WorkerRefused) as refusal:
            answer, error = None, refusal
        if worker.lose_answers > 0:
            worker.lose_answers -= 1
            await asyncio.Event().wait()
        await self.step()
        await asyncio.sleep(LATENCY_S)
        await self.tables._unpaused.wait()
        if error is not None:
            raise error
        return answer


class World:
    """Entry hosts and workers of one pool.

    :param processes: number of entry hosts, which are named ``a``, ``b`` and so on
    :ivar calls: calls to workers so far
    :ivar answers: answers given to each caller, by its name
    :ivar cancelled: records returned by cancellations, by job id
    """

    planner_class = Planner

    def __init__(self, processes=2, workers=3, accelerators=4):
        self.loop = VirtualTimeLoop()
        self.store = MemoryTables()
        self.calls = 0
        self.answers = {}
        self.cancelled = {}
        self._calls = set()
        self._ids = itertools.count(1)
        saved = {}
        self.hosts = tuple(
            Host(f"w{i}", "worker", CENTRE, f"10.0.0.{i}:1", boot_id=f"w{i}")._replace(
                accelerators=accelerators, cores=64, memory_gb=64
            )
            for i in range(workers)
        )
        self.workers = {h.name: Worker(h, self.loop, saved) for h in self.hosts}
        self.names = list("abcdef"[:processes])
        names = tuple(host.name for host in self.hosts)
        routes = {
            f"{'once' if once else 'any'}{'-save' if save else ''}": (once, save)
            for once in (False, True)
            for save in (False, True)
        }
        self.config = Tables(
            1,
            {
                name: Route(
                    name, "job", "sim", "acme", POOL, idempotent=not once, checkpoint=s
                )
                for name, (once, s) in routes.items()
            },
            {POOL: Pool(POOL, "job", names)},
        )
        self.processes = {}
        for name in self.names:
            self.processes[name] = Process(self, name)

    def new_id(self):
        return f"id{next(self._ids)}"

    def make_planner(self, process, identity):
        return self.planner_class(
            identity,
            POOL,
            process.tables,
            process,
            view=lambda: PoolView(
                self.config.pools[POOL],
                self.hosts,
                frozenset(host.name for host in self.hosts),
            ),
            own_rank=lambda: rank(self.names, CENTRE, POOL, process.name),
            make_scheduler=process.make_scheduler,
            now=self.loop.time,
            new_id=self.new_id,
        )

    def run(self, work):
        return self.loop.run_until_complete(work)

    def advance(self, seconds):
        self.loop.advance(seconds)

    def call(self, route="any", tasks=1, accelerators=2, seconds=3.0, **fields):
        """Return a job call whose task runs for ``seconds``."""
        run = json.dumps({"seconds": seconds, "fail": fields.pop("fail", False)})
        caller = fields.pop("caller", f"caller{next(self._ids)}")
        shape = Shape(tasks, accelerators)
        return JobCall("acme", caller, route, shape, run, **fields)

    def submit(self, call, through="a"):
        """Accept a job and return the answer to its caller."""
        self.run(self.accept(call, through))
        return self.answers[call.caller][-1]

    def spawn(self, work):
        """Run a caller's call in the background."""
        task = self.loop.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def accept(self, call, through):
        """Accept a job; until there is an answer, the outcome counts as unknown."""
        answers = self.answers.setdefault(call.caller, [])
        answers.append(Error(OutcomeUnknown("", "no answer yet")))
        index = len(answers) - 1
        answers[index] = await self.processes[through].jobs.accept(call)

    async def cancel(self, job_id, through):
        """Cancel a job and keep the record that its caller received."""
        result = await self.processes[through].jobs.cancel(job_id)
        if result.is_ok():
            self.cancelled[job_id] = result.ok

    def holders(self):
        """Return the names of the processes that hold the planner lease."""
        return [n for n, p in self.processes.items() if p.alive and p.planner.planning]

    def records(self):
        """Return every job record, by job id."""
        page = self.run(self.store.scan("jobs/"))
        rows = [decode(JobRecord, row.value) for row in page.rows]
        return {record.job_id: record for record in rows}

    def events(self):
        """Return the events of all workers, ordered by time."""
        lists = [worker.model.history for worker in self.workers.values()]
        return sorted(itertools.chain(*lists), key=lambda event: event.at)

    def heal(self):
        """End every fault and restart what was killed."""
        for worker in self.workers.values():
            worker.heal()
        for process in self.processes.values():
            process.step_callback = None
            process.cut.clear()
            process.tables.down, process.tables.slow_s = False, 0.0
            process.tables.lose_answers = 0
            process.tables.resume()
            if not process.alive:
                process.boot()

    def drain(self, limit_s=3000):
        """Advance until every job is finished; return those that are not."""
        for _ in range(limit_s // 5):
            unfinished = {
                job_id: record
                for job_id, record in self.records().items()
                if record.state != "finished"
            }
            if not unfinished:
                break
            self.advance(5)
        return unfinished

    def check_tasks(self):
        """Raise the error of a planner that failed, if any."""
        for process in self.processes.values():
            if process.alive and process.task.done():
                process.task.result()

    def close(self):
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()
