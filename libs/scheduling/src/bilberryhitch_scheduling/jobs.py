"""State that the scheduler keeps for each job."""

from typing import Literal

from bilberryhitch_model import Member, Placement, QueuedJob, Shape

from .fair_groups import QueueEntry
from .guaranteed_cells import BoundCell

# Added to the run time in the eviction cost. Without it, a gang that has just
# started is always the cheapest victim and might never finish.
RESTART_COST_S = 60.0

JobStage = Literal["queued", "clearing", "starting", "running"]


class Job:
    """A job that is queued or holds resources.

    :ivar spec: the job as it was submitted
    :ivar charged_accelerators: accelerators that its account is charged for
    :ivar entry: its entry in the fair queue while it is queued
    :ivar stage: ``clearing`` while it waits for evictions to be confirmed
    :ivar protected: whether it is non-preemptible where it runs
    :ivar bound_cell: the guaranteed cell it runs in
    :ivar members: its current allocation, one member per worker
    :ivar pending_evictions: ids of the borrowers whose eviction it waits for
    :ivar evicting: whether its eviction was decided
    :ivar started_at: loop time of its last start, in seconds
    :ivar expected_s: median run time expected at allocation, in seconds
    :ivar expected_p90_s: p90 of the run time expected at allocation, in seconds
    :ivar charged_s: run time charged so far for its current allocation, in seconds
    :ivar guaranteed: whether its current allocation counts against its account's
        guarantee
    :ivar was_started: whether it was started before; its caller must not be told
        any more that the job was not run
    """

    __slots__ = (
        "bound_cell",
        "charged_accelerators",
        "charged_s",
        "entry",
        "evicting",
        "expected_p90_s",
        "expected_s",
        "guaranteed",
        "members",
        "pending_evictions",
        "protected",
        "spec",
        "stage",
        "started_at",
        "was_started",
    )

    def __init__(self, spec: QueuedJob, charged_accelerators: float) -> None:
        self.spec = spec
        self.charged_accelerators = charged_accelerators
        self.entry: QueueEntry[Job] | None = None
        self.stage: JobStage = "queued"
        self.protected = False
        self.bound_cell: BoundCell | None = None
        self.members: tuple[Member, ...] = ()
        self.pending_evictions: set[str] = set()
        self.evicting = False
        self.started_at = 0.0
        self.expected_s = 0.0
        self.expected_p90_s = 0.0
        self.charged_s = 0.0
        self.guaranteed = False
        self.was_started = False

    @property
    def job_id(self) -> str:
        """Id of the submitted job."""
        return self.spec.job_id

    @property
    def shape(self) -> Shape:
        """Tasks, and resources per task, of the gang."""
        return self.spec.shape

    @property
    def urgent(self) -> bool:
        """Whether it may preempt borrowers, within its account's share."""
        return self.spec.urgency == "urgent"

    @property
    def placement(self) -> Placement:
        """Its current allocation and the size of its guaranteed cell."""
        size = self.bound_cell.key.accelerators if self.bound_cell is not None else 0
        return Placement(self.members, size)

    @property
    def allocated_accelerators(self) -> int:
        """Number of accelerators in its current allocation."""
        return sum(len(member.accelerators) for member in self.members)

    def eviction_cost(self, now: float) -> float:
        """Return the work that an eviction would discard, in accelerator seconds."""
        return self.charged_accelerators * (
            RESTART_COST_S + max(0.0, now - self.started_at)
        )
