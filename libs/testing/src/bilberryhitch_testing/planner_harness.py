"""Test harness of the planner: scripted workers and a clock that the test sets."""

from collections.abc import Iterable
from typing import Any

from bilberryhitch_jobs import (
    Account,
    Configuration,
    JobProgress,
    JobRequest,
    JobState,
    Limits,
    Queue,
    Resources,
    Schedule,
    Step,
)
from bilberryhitch_planner import (
    EndedTask,
    EndKind,
    HeartbeatReply,
    Planner,
    RunningTask,
    StartOrder,
    StartOutcome,
    StopOrder,
    StopOutcome,
    WorkerEntry,
)
from bilberryhitch_planner.reports import Order

START_UNIX_S = 1_000_000.0
CAPACITY = Resources(32_000, 64_000, 8)
LEASE_S = 10.0


def queue(name: str = "urgent", priority: int = 0, attempts: int = 2) -> Queue:
    """Return a job queue; the platform's configuration calls it a route."""
    return Queue(
        name, "h", f"/{name}/", "pool", 3.0, priority, attempts, 2.0, 1.0, False, None
    )


def step(count: int = 1, gpu: int = 1, **fields: Any) -> Step:
    """Return a step of equal tasks with an estimated run time of two seconds."""
    return Step(count, Resources(1_000, 1_000, gpu), 2.0, **fields)


def configuration(guaranteed: int = 0) -> Configuration:
    """Return two queues and two accounts.

    :param guaranteed: GPUs that are guaranteed to the first account
    """
    return Configuration(
        1,
        (queue(), queue("batch", 2)),
        {},
        {
            "a": Account("a", frozenset({"k"}), guaranteed),
            "b": Account("b", frozenset(), 0),
        },
        {},
        Limits(),
    )


def request(
    job: str,
    *steps: Step,
    route: Queue | None = None,
    account: str = "a",
    schedule: Schedule | None = None,
) -> JobRequest:
    """Return an accepted job.

    :param route: queue of the job; by default the urgent one
    """
    return JobRequest(
        job, route or queue(), account, "spec", steps, START_UNIX_S, schedule
    )


def entry(name: str, rack: str = "r1", **changes: Any) -> WorkerEntry:
    """Return a worker's registration.

    :param changes: fields that differ from the default
    """
    registration = WorkerEntry(
        name, "pool", "ip:1", "dc", CAPACITY, frozenset({"a", rack}), rack
    )
    return registration._replace(**changes)


class PlannerHarness:
    """A planner and its registered workers.

    :param inherited_revision: store revision; an earlier planner may have started jobs
        accepted up to it
    :param inherited_until: time at which every worker lease of the earlier planner has
        expired, in seconds
    :param guaranteed: GPUs that are guaranteed to account ``a``
    :ivar now: time in seconds; the test sets it
    """

    def __init__(
        self,
        *workers: WorkerEntry,
        inherited_revision: int = 0,
        inherited_until: float = 0.0,
        guaranteed: int = 0,
    ) -> None:
        self.now = 0.0
        self.planner = Planner(
            inherited_revision=inherited_revision, inherited_until=inherited_until
        )
        self.planner.configure(configuration(guaranteed))
        for each in workers:
            self.planner.add_worker(each, now=self.now)

    def add(
        self,
        job: JobRequest,
        progress: JobProgress | None = None,
        revision: int = 100,
    ) -> None:
        """Add an accepted job, stored at a revision, to the planner."""
        progress = progress or JobProgress(JobState.PENDING, job.account, {})
        self.planner.confirm_lease(revision)
        self.planner.add_job(
            job, progress, revision, now=self.now, unix_s=START_UNIX_S + self.now
        )

    def send_heartbeat(
        self,
        worker: str,
        running: Iterable[RunningTask] = (),
        ended: Iterable[EndedTask] = (),
        born_ms: int = 0,
        sent_at: float | None = None,
    ) -> None:
        """Pass a worker's heartbeat reply to the planner and extend the worker's lease.

        :param running: runs in progress that the worker lists
        :param ended: ended runs that the worker lists
        :param born_ms: Unix time of the worker's start; 0 if it is not reported
        :param sent_at: time at which the heartbeat was sent; by default now
        """
        self.planner.apply_heartbeat(
            worker,
            HeartbeatReply(self.now, born_ms, tuple(running), tuple(ended)),
            sent_at=self.now if sent_at is None else sent_at,
            now=self.now,
            unix_s=START_UNIX_S + self.now,
        )
        known_worker = self.planner.workers.get(worker)
        if known_worker is not None:
            known_worker.lease_deadline(self.now + LEASE_S, self.now)

    def send_all_heartbeats(self) -> None:
        """Pass a heartbeat reply of every worker, which lists the expected runs."""
        for name, worker in list(self.planner.workers.items()):
            # The time serves as the percentage: any changed value counts as progress.
            running = [
                RunningTask(run.task, run.number, "", self.now)
                for run in worker.runs.values()
            ]
            self.send_heartbeat(name, running)

    def plan(self) -> list[Order]:
        """Run a planning round and return its orders."""
        self.planner.stored_roster = frozenset(self.planner.workers)
        self.planner.tick(now=self.now, unix_s=START_UNIX_S + self.now)
        return self.planner.plan(now=self.now, unix_s=START_UNIX_S + self.now)

    def plan_starts(self) -> list[StartOrder]:
        """Run a planning round and return its start orders."""
        return [order for order in self.plan() if isinstance(order, StartOrder)]

    def start_all(self) -> list[StartOrder]:
        """Run a planning round and confirm its start orders, which are returned."""
        orders = self.plan_starts()
        for order in orders:
            self.answer_start(order)
        return orders

    def answer_start(
        self,
        order: StartOrder,
        outcome: StartOutcome = StartOutcome.STARTED,
        certain: bool = True,
    ) -> None:
        """Pass the outcome of a start order to the planner.

        :param certain: whether every earlier attempt of the order got an answer
        """
        self.planner.apply_start_outcome(
            order,
            outcome,
            certain=certain,
            now=self.now,
            unix_s=START_UNIX_S + self.now,
        )

    def answer_stop(
        self, order: StopOrder, outcome: StopOutcome = StopOutcome.STOPPED
    ) -> None:
        """Pass the outcome of a stop order to the planner."""
        self.planner.apply_stop_outcome(order, outcome, now=self.now)

    def state(self, job: str) -> JobState:
        """Return a job's state."""
        return self.planner.jobs[job].state


def running(order: StartOrder, percent: float = 10.0) -> RunningTask:
    """Return a started run as the worker lists it."""
    return RunningTask(order.task, order.run, "", percent)


def ended(
    order: StartOrder, how: EndKind = EndKind.DONE, sequence: int = 1, saved: str = ""
) -> EndedTask:
    """Return a run of a start order that has ended, as the worker lists it."""
    return EndedTask(sequence, order.task, order.run, how, saved)
