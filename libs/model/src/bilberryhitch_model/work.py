"""Calls, jobs and outcomes."""

from typing import Literal, NamedTuple

from .tables import Shape, Urgency

OutcomeStatus = Literal["completed", "failed", "not_run", "cancelled", "unknown"]
JobState = Literal["queued", "started", "finished"]


class RequestCall(NamedTuple):
    """A caller's request; ``key`` is its idempotency key or empty."""

    client_account: str
    caller: str
    route: str
    body: bytes
    key: str = ""
    content_type: str = "application/octet-stream"


class Outcome(NamedTuple):
    """The answer to a request.

    :param detail: reason in words for anything but ``completed``
    :param handle: where the truth of an ``unknown`` outcome will be found
    :param retry_after_s: advice for ``not_run``, in seconds
    """

    status: OutcomeStatus
    body: bytes = b""
    content_type: str = "application/octet-stream"
    detail: str = ""
    handle: str = ""
    retry_after_s: float = 0.0


class JobCall(NamedTuple):
    """A caller's job; ``run`` is passed to each task as it is."""

    client_account: str
    caller: str
    route: str
    shape: Shape
    run: str = ""
    key: str = ""


class Member(NamedTuple):
    """The part of a gang on one worker.

    :param accelerators: indices of the accelerators used on the host
    """

    host: str
    accelerators: tuple[int, ...]
    tasks: int
    boot_id: str = ""


class JobRecord(NamedTuple):
    """A job as the table service holds it; times are UTC seconds.

    :param attempt: number of the current attempt, from 1 once started
    :param epoch: planner epoch of the start mark
    :param members: the gang of the start mark
    :param status: outcome once ``state`` is ``finished``
    :param saved: object store key of the last checkpoint
    :param cancel: whether a caller asked to cancel
    :param failed_on: worker of each failure of a task of the job
    :param cell: ``Placement.cell`` of the start, for a planner that takes over
    """

    job_id: str
    client_account: str
    caller: str
    route: str
    kind: str
    pool: str
    data_centre: str
    shape: Shape
    urgency: Urgency
    idempotent: bool
    checkpoint: bool
    declared_s: float
    accepted_at: float
    run: str = ""
    key: str = ""
    state: JobState = "queued"
    attempt: int = 0
    epoch: int = 0
    members: tuple[Member, ...] = ()
    borrowed: bool = False
    cancel: bool = False
    status: OutcomeStatus | None = None
    detail: str = ""
    saved: str = ""
    started_at: float = 0.0
    finished_at: float = 0.0
    failed_on: tuple[str, ...] = ()
    cell: int | None = None


class QueuedJob(NamedTuple):
    """What the scheduler knows of a job.

    :param may_borrow: whether it may run where it can be evicted
    :param declared_s: run time its route declares, in seconds
    :param submitted_at: loop time at which it was queued, in seconds
    """

    job_id: str
    client_account: str
    kind: str
    caller: str
    shape: Shape
    urgency: Urgency = "normal"
    may_borrow: bool = True
    declared_s: float = 60.0
    submitted_at: float = 0.0


class Placement(NamedTuple):
    """Where each part of a gang goes.

    :param cell: accelerators of the guaranteed cell it lies in, 0 outside any,
        ``None`` when not known
    """

    members: tuple[Member, ...]
    cell: int | None = None


class Start(NamedTuple):
    """Decision: start this job there."""

    job_id: str
    placement: Placement
    borrowed: bool


class Evict(NamedTuple):
    """Decision: stop this borrower so that another job can start."""

    job_id: str
    for_job_id: str


Decision = Start | Evict


class Explanation(NamedTuple):
    """Why a job is where it is.

    :param rule: identifier of the rule that holds it back
    :param in_use: accelerators the client account uses in the pool
    :param guaranteed: accelerators guaranteed to the account in the pool
    :param ahead: entries ahead of it in the queue
    """

    job_id: str
    state: str
    rule: str
    detail: str
    in_use: int = 0
    guaranteed: int = 0
    ahead: int = 0


class GuaranteeShortfall(NamedTuple):
    """A guarantee that the hosts left cannot hold."""

    client_account: str
    data_centre: str
    accelerators: int
    missing: int
