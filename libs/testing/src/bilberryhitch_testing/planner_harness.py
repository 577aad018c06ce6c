"""A planner with workers that say what the test wants, on a clock that it owns."""

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
    WorkerEntry,
)
from bilberryhitch_planner.reports import Order

START_UNIX_S = 1_000_000.0
CAPACITY = Resources(32_000, 64_000, 8)
LEASE_S = 10.0


def queue(name: str = "urgent", priority: int = 0, attempts: int = 2) -> Queue:
    """Return a route."""
    return Queue(
        name, "h", f"/{name}/", "pool", 3.0, priority, attempts, 2.0, 1.0, False, None
    )


def step(count: int = 1, gpu: int = 1, **terms: Any) -> Step:
    """Return a step of equal tasks of about two seconds."""
    return Step(count, Resources(1_000, 1_000, gpu), 2.0, **terms)


def configuration(guaranteed: int = 0) -> Configuration:
    """Return two routes and two accounts, the first with a guarantee."""
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
    """Return an accepted job."""
    return JobRequest(
        job, route or queue(), account, "spec", steps, START_UNIX_S, schedule
    )


def entry(name: str, rack: str = "r1", **changes: Any) -> WorkerEntry:
    """Return a worker's registration."""
    plain = WorkerEntry(
        name, "pool", "ip:1", "dc", CAPACITY, frozenset({"a", rack}), rack
    )
    return plain._replace(**changes)


class PlannerHarness:
    """A planner with reported workers; ``now`` is moved by the test."""

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
        """Accept a job."""
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
    ) -> None:
        """Let a worker list its runs and extend its lease."""
        self.planner.apply_heartbeat(
            worker,
            HeartbeatReply(self.now, born_ms, tuple(running), tuple(ended)),
            sent_at=self.now,
            now=self.now,
            unix_s=START_UNIX_S + self.now,
        )
        held = self.planner.workers.get(worker)
        if held is not None:
            held.lease_deadline(self.now + LEASE_S, self.now)

    def send_all_heartbeats(self) -> None:
        """Let all workers list what the planner expects there."""
        for name, worker in list(self.planner.workers.items()):
            running = [
                RunningTask(run.task, run.number, "", self.now)
                for run in worker.runs.values()
            ]
            self.send_heartbeat(name, running)

    def plan(self) -> list[Order]:
        """Return the orders of one round."""
        self.planner.stored_roster = frozenset(self.planner.workers)
        self.planner.tick(now=self.now, unix_s=START_UNIX_S + self.now)
        return self.planner.plan(now=self.now, unix_s=START_UNIX_S + self.now)

    def plan_starts(self) -> list[StartOrder]:
        """Return the starts of one round."""
        return [order for order in self.plan() if isinstance(order, StartOrder)]

    def start_all(self) -> list[StartOrder]:
        """Return the starts of one round, each of them answered."""
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
        """Answer a start."""
        self.planner.apply_start_outcome(
            order,
            outcome,
            certain=certain,
            now=self.now,
            unix_s=START_UNIX_S + self.now,
        )

    def state(self, job: str) -> JobState:
        """Return a job's state."""
        return self.planner.jobs[job].state


def running(order: StartOrder, percent: float = 10.0) -> RunningTask:
    """Return the listing of a run."""
    return RunningTask(order.task, order.run, "", percent)


def ended(
    order: StartOrder, how: EndKind = EndKind.DONE, sequence: int = 1, saved: str = ""
) -> EndedTask:
    """Return the listing of an end."""
    return EndedTask(sequence, order.task, order.run, how, saved)
