"""What the planner needs of a scheduler of one pool."""

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


class Dropped(Protocol):
    """A job that a full queue dropped."""

    @property
    def item(self) -> QueuedJob:
        """The job."""


class PoolScheduler(Protocol):
    """Places the jobs of one pool in one data centre; times are loop seconds.

    A job submitted stays known until ``cancel`` or ``finished``. ``decide``
    takes a job out of the queue with a start; ``start_failed`` and ``evicted``
    put it back.
    """

    def submit(
        self, job: QueuedJob, now: float
    ) -> Result[None, ShapeImpossible | QueueFull]:
        """Queue a job."""

    def take_dropped(self) -> Sequence[Dropped]:
        """Return, once, the jobs that a full queue dropped; they never ran."""

    def shortfall(self) -> Sequence[GuaranteeShortfall]:
        """Return the guaranteed cells that the hosts left cannot hold."""

    def cancel(self, job_id: str) -> bool:
        """Forget a queued job."""

    def decide(self, now: float) -> Sequence[Decision]:
        """Return what to start and what to evict now."""

    def adopt(
        self, job: QueuedJob, placement: Placement, borrowed: bool, now: float
    ) -> None:
        """Take over a job that is already running."""

    def started(self, job_id: str, now: float) -> None:
        """Note that every task of the job runs."""

    def start_failed(self, job_id: str, host: str, now: float) -> None:
        """Queue the job again; ``host`` is at fault unless it is empty."""

    def finished(self, job_id: str, now: float, completed: bool = True) -> None:
        """Forget a job that will not run again; estimates count completed runs."""

    def evicted(self, job_id: str, now: float) -> None:
        """Queue a job again that was stopped."""

    def host_lost(self, host: str) -> None:
        """Place nothing on the host any more."""

    def host_back(self, host: Host) -> None:
        """Place jobs on the host again."""

    def quarantine(self, host: str) -> None:
        """Place nothing on a host that fails what it starts."""

    def release(self, host: str) -> None:
        """End the quarantine of a host."""

    def set_pool(self, pool: Pool) -> None:
        """Adopt another revision of the pool's row."""

    def explain(self, job_id: str) -> Explanation:
        """Tell why a job is where it is."""


SchedulerFactory = Callable[[str, Pool, Sequence[Host]], PoolScheduler]
