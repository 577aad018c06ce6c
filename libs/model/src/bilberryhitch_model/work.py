"""Records of requests, jobs, placements and scheduling decisions."""

from typing import Literal, NamedTuple

from .tables import Shape, Urgency

OutcomeStatus = Literal["completed", "failed", "not_run", "cancelled", "unknown"]
JobState = Literal["queued", "started", "finished"]


class RequestCall(NamedTuple):
    """A request of a caller.

    :param route: name of the route
    :param key: idempotency key, or empty
    """

    client_account: str
    caller: str
    route: str
    body: bytes
    key: str = ""
    content_type: str = "application/octet-stream"


class Outcome(NamedTuple):
    """The result of a request.

    :param detail: reason in words for any status but ``completed``
    :param handle: id under which the result of an ``unknown`` outcome can be queried
    :param retry_after_s: advised delay before a retry after ``not_run``, in seconds
    """

    status: OutcomeStatus
    body: bytes = b""
    content_type: str = "application/octet-stream"
    detail: str = ""
    handle: str = ""
    retry_after_s: float = 0.0


class JobCall(NamedTuple):
    """A job submission of a caller.

    :param route: name of the route
    :param run: passed to each task unchanged
    :param key: idempotency key, or empty
    """

    client_account: str
    caller: str
    route: str
    shape: Shape
    run: str = ""
    key: str = ""


class Member(NamedTuple):
    """The part of a gang on one worker.

    :param accelerators: indices of the accelerators used on the host
    :param tasks: number of tasks on the host
    :param boot_id: boot id of the host at placement
    """

    host: str
    accelerators: tuple[int, ...]
    tasks: int
    boot_id: str = ""


class JobRecord(NamedTuple):
    """A job as it is stored in the table service; times are UTC seconds.

    :param attempt: number of the current attempt, from 1 once started
    :param epoch: planner epoch in which the last start was recorded
    :param members: the gang of the last recorded start
    :param status: outcome once ``state`` is ``finished``
    :param saved: object store key of the last checkpoint
    :param cancel: whether a caller requested cancellation
    :param failed_on: worker of each task failure of the job
    :param cell: ``Placement.cell`` of the last start, used after a planner failover
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
    """A job as it is submitted to the scheduler.

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
    """Workers and accelerators chosen for a gang.

    :param members: one member per worker
    :param cell: size in accelerators of the guaranteed cell that contains the gang,
        0 outside any, ``None`` when not known
    """

    members: tuple[Member, ...]
    cell: int | None = None


class Start(NamedTuple):
    """Decision to start a job.

    :param borrowed: whether the job can be evicted
    """

    job_id: str
    placement: Placement
    borrowed: bool


class Evict(NamedTuple):
    """Decision to evict a borrower so that another job can start.

    :param job_id: the borrower
    :param for_job_id: the job that needs its accelerators or cores
    """

    job_id: str
    for_job_id: str


Decision = Start | Evict


class Explanation(NamedTuple):
    """Why a job waits, or why it was allowed to start.

    :param state: stage of the job in the scheduler
    :param rule: identifier of the rule that delays it or allowed its start
    :param detail: the rule in words
    :param in_use: accelerators the client account uses in the pool
    :param guaranteed: accelerators guaranteed to the account in the pool
    :param ahead: earlier queue entries of the same caller
    """

    job_id: str
    state: str
    rule: str
    detail: str
    in_use: int = 0
    guaranteed: int = 0
    ahead: int = 0


class GuaranteeShortfall(NamedTuple):
    """Guaranteed cells that the usable hosts cannot provide.

    :param accelerators: size of each cell
    :param missing: number of cells that cannot be provided
    """

    client_account: str
    data_centre: str
    accelerators: int
    missing: int
