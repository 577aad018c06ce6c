"""What the scheduler keeps for each job."""

from typing import Literal

from bilberryhitch_model import Member, Placement, QueuedJob, Shape

from .fair_groups import Entry
from .guarantees import BoundCell

# A gang that just began would else be the cheapest to evict, and never finish.
RESTART_S = 60.0

JobStage = Literal["queued", "clearing", "starting", "running"]


class Job:
    """A job that is queued or holds resources.

    :ivar stage: ``clearing`` while evictions for it are not confirmed
    :ivar firm: it cannot be evicted
    :ivar cell: the bound guaranteed cell it runs in
    :ivar waiting: borrowers whose eviction it waits for
    :ivar evicting: an eviction of it was decided
    :ivar expected_s: median run time expected when it was placed
    :ivar charged_s: run time charged so far for its present place
    :ivar guaranteed: its present place is inside its account's guarantee
    :ivar ran: it was started before, so nobody may be told that it was not run
    """

    __slots__ = (
        "cell",
        "charged_s",
        "entry",
        "evicting",
        "expected_p90_s",
        "expected_s",
        "firm",
        "guaranteed",
        "members",
        "queued",
        "ran",
        "size",
        "stage",
        "started_at",
        "waiting",
    )

    def __init__(self, queued: QueuedJob, size: float) -> None:
        self.queued = queued
        self.size = size
        self.entry: Entry[Job] | None = None
        self.stage: JobStage = "queued"
        self.firm = False
        self.cell: BoundCell | None = None
        self.members: tuple[Member, ...] = ()
        self.waiting: set[str] = set()
        self.evicting = False
        self.started_at = 0.0
        self.expected_s = 0.0
        self.expected_p90_s = 0.0
        self.charged_s = 0.0
        self.guaranteed = False
        self.ran = False

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.queued.job_id

    @property
    def shape(self) -> Shape:
        """The gang it asks for."""
        return self.queued.shape

    @property
    def urgent(self) -> bool:
        """Whether it may preempt borrowers."""
        return self.queued.urgency == "urgent"

    @property
    def placement(self) -> Placement:
        """Where it runs or will run."""
        size = self.cell.key.accelerators if self.cell is not None else 0
        return Placement(self.members, size)

    @property
    def occupied(self) -> int:
        """Accelerators it occupies."""
        return sum(len(member.accelerators) for member in self.members)

    def work_done(self, now: float) -> float:
        """Return what an eviction now costs, in accelerator seconds."""
        return self.size * (RESTART_S + max(0.0, now - self.started_at))
