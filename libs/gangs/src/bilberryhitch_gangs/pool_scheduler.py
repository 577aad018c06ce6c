"""Interface of the scheduler of one pool, as the planner uses it."""

from collections.abc import Callable, Sequence
from typing import Protocol

from bilberryhitch_model import (
    Decision,
    Explanation,
    GuaranteeShortfall,
    Host,
    Placement,
    Pool,
    QueuedJob,
)
from bilberryhitch_model.errors import QueueFull, ShapeImpossible
from expression import Result


class DroppedJob(Protocol):
    """A job that was dropped from a full queue."""

    @property
    def item(self) -> QueuedJob:
        """The job."""


class PoolScheduler(Protocol):
    """Places the jobs of one pool in one data centre.

    Times are event loop times in seconds. A submitted job stays known until
    ``cancel`` or ``finished``. ``decide`` removes a job from the queue when it
    returns its start; ``start_failed`` and ``evicted`` queue it again.
    """

    def submit(
        self, job: QueuedJob, now: float
    ) -> Result[None, ShapeImpossible | QueueFull]:
        """Queue a job; return an error if it never fits or the queue is full."""

    def take_dropped(self) -> Sequence[DroppedJob]:
        """Return jobs dropped from a full queue since the last call; none ever ran."""

    def shortfall(self) -> Sequence[GuaranteeShortfall]:
        """Return the guaranteed cells that the remaining hosts cannot provide."""

    def cancel(self, job_id: str) -> bool:
        """Remove a queued job; return whether it was queued."""

    def decide(self, now: float) -> Sequence[Decision]:
        """Return the jobs to start and to evict now."""

    def adopt(
        self, job: QueuedJob, placement: Placement, borrowed: bool, now: float
    ) -> None:
        """Register a job that is already running with its placement."""

    def started(self, job_id: str, now: float) -> None:
        """Record that every task of the job is running."""

    def start_failed(self, job_id: str, host: str, now: float) -> None:
        """Queue the job again; ``host`` is the worker at fault, or empty."""

    def finished(self, job_id: str, now: float, completed: bool = True) -> None:
        """Remove a finished job; only completed runs count in run time estimates."""

    def evicted(self, job_id: str, now: float) -> None:
        """Queue a job again after its eviction."""

    def host_lost(self, host: str) -> None:
        """Stop placing jobs on a host."""

    def host_back(self, host: Host) -> None:
        """Resume placing jobs on a host."""

    def quarantine(self, host: str) -> None:
        """Place no jobs on a host that failed tasks or starts, until its release."""

    def end_quarantine(self, host: str) -> None:
        """End the quarantine of a host."""

    def set_pool(self, pool: Pool) -> None:
        """Replace the pool's configuration."""

    def explain(self, job_id: str) -> Explanation:
        """Explain a job's state."""


SchedulerFactory = Callable[[str, Pool, Sequence[Host]], PoolScheduler]
