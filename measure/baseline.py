"""Baselines for the policy benchmark: first-fit placement with FIFO queues.

A gang is placed on the first run of consecutive free accelerators, in rack and worker
order, that is long enough. There are no guarantees, no preemption and no backfill: the
job at the head of a queue blocks the jobs behind it until it fits.
"""

from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from bilberryhitch_model import (
    Decision,
    Host,
    Member,
    Placement,
    QueuedJob,
    Shape,
    Start,
)


def one_queue(job: QueuedJob) -> str:
    """Return the same queue name for all jobs."""
    return "all"


def queue_per_account(job: QueuedJob) -> str:
    """Return a queue name for each client account; the queues take turns."""
    return job.client_account


class _AcceleratorRun(NamedTuple):
    """Consecutive accelerators of one worker and the number of tasks on them."""

    host: str
    accelerators: tuple[int, ...]
    tasks: int


class FirstFit:
    """First-fit scheduler with the methods of ``PoolScheduler`` that are benchmarked.

    :param queue_of: returns the name of the queue that a job joins
    """

    def __init__(
        self, hosts: Sequence[Host], queue_of: Callable[[QueuedJob], str]
    ) -> None:
        self._queue_of = queue_of
        self._hosts = sorted(hosts, key=lambda host: (host.rack, host.position))
        self._free = {host.name: set(range(host.accelerators)) for host in self._hosts}
        self._unavailable: set[str] = set()
        self._queues: dict[str, deque[QueuedJob]] = {}
        self._jobs: dict[str, QueuedJob] = {}
        self._placed: dict[str, Placement] = {}

    def submit(self, job: QueuedJob, now: float) -> None:
        """Append a job to its queue."""
        self._jobs[job.job_id] = job
        self._queues.setdefault(self._queue_of(job), deque()).append(job)

    def decide(self, now: float) -> list[Decision]:
        """Start the heads of the queues in round-robin order while they fit."""
        decisions: list[Decision] = []
        waiting = list(self._queues)
        while waiting:
            name = waiting.pop(0)
            queue = self._queues[name]
            placement = self._first_fit(queue[0].shape) if queue else None
            if placement is None:
                continue
            job = queue.popleft()
            self._placed[job.job_id] = placement
            for member in placement.members:
                self._free[member.host].difference_update(member.accelerators)
            decisions.append(Start(job.job_id, placement, borrowed=False))
            waiting.append(name)
        return decisions

    def started(self, job_id: str, now: float) -> None:
        """Do nothing: the placement is recorded by :meth:`decide`."""

    def finished(self, job_id: str, now: float) -> None:
        """Release the accelerators of a completed job."""
        self._release(job_id)
        del self._jobs[job_id]

    def start_failed(self, job_id: str, host: str, now: float) -> None:
        """Requeue a job at the head of its queue, as it was the oldest."""
        self.evicted(job_id, now)

    def evicted(self, job_id: str, now: float) -> None:
        """Requeue a job whose gang was stopped."""
        self._release(job_id)
        job = self._jobs[job_id]
        self._queues[self._queue_of(job)].appendleft(job)

    def host_lost(self, host: str) -> None:
        """Use a worker no more."""
        self._unavailable.add(host)

    def quarantine(self, host: str) -> None:
        """Use a worker no more."""
        self._unavailable.add(host)

    def host_back(self, host: Host) -> None:
        """Use a worker again."""
        self._unavailable.discard(host.name)

    def _release(self, job_id: str) -> None:
        for member in self._placed.pop(job_id).members:
            self._free[member.host].update(member.accelerators)

    def _first_fit(self, shape: Shape) -> Placement | None:
        """Return the first run of consecutive free accelerators that fits the gang.

        A run may extend over adjacent workers, but a task stays on one worker.
        """
        runs: list[_AcceleratorRun] = []
        reaches_end = False  # whether the last run ends at the worker's end
        for host in self._hosts:
            for run in self._runs_on(host):
                joins = reaches_end and run[0] == 0
                runs = runs if joins else []
                left = shape.tasks - sum(found.tasks for found in runs)
                tasks = min(left, len(run) // shape.accelerators)
                reaches_end = False
                if not tasks:
                    runs = []
                    continue
                taken = tuple(run[: tasks * shape.accelerators])
                runs.append(_AcceleratorRun(host.name, taken, tasks))
                if tasks == left:
                    return Placement(tuple(Member(*found) for found in runs))
                reaches_end = run[-1] == host.accelerators - 1
            reaches_end = reaches_end and self._touches_end(host)
        return None

    def _touches_end(self, host: Host) -> bool:
        closed = host.name in self._unavailable
        return not closed and host.accelerators - 1 in self._free[host.name]

    def _runs_on(self, host: Host) -> list[list[int]]:
        if host.name in self._unavailable:
            return []
        runs: list[list[int]] = []
        for index in sorted(self._free[host.name]):
            if runs and runs[-1][-1] == index - 1:
                runs[-1].append(index)
            else:
                runs.append([index])
        return runs
