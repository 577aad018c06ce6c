"""Registrations and replies of workers, and the orders sent to them."""

from enum import StrEnum
from typing import NamedTuple

from bilberryhitch_jobs import Resources, TaskName


class EndKind(StrEnum):
    """How a run ended.

    ``LAPSED``: its lease expired or its worker ended. ``BROKEN``: another member of
    its gang ended. ``ALONE``: the other members of its gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class WorkerEntry(NamedTuple):
    """Registration of one worker incarnation.

    :param worker: identifier of the incarnation
    :param service: pool that it belongs to
    :param address: ``ip:port``
    :param rack: empty if unknown
    :param draining: it accepts no new runs and shuts down soon
    :param remaining_s: minimum time in seconds until it shuts down, while draining
    :param machine: machine that it runs on; empty if unknown
    """

    worker: str
    service: str
    address: str
    data_centre: str
    capacity: Resources
    labels: frozenset[str]
    rack: str
    draining: bool = False
    remaining_s: float = 0.0
    machine: str = ""


class RunningTask(NamedTuple):
    """An active run on a worker.

    :param run: run number
    :param checkpoint: latest checkpoint; empty if there is none
    :param percent: work done, or share of the target of a long-running task; 0 to 100
    :param load: CPU use in millicores, or tail latency in ms of a serving task
    """

    task: TaskName
    run: int
    checkpoint: str = ""
    percent: float = 0.0
    load: float = 0.0


class EndedTask(NamedTuple):
    """An ended run, listed by its worker until it is acknowledged.

    :param sequence: sequence number, increasing within an incarnation
    :param run: run number
    :param checkpoint: latest checkpoint; empty if there is none
    """

    sequence: int
    task: TaskName
    run: int
    how: EndKind
    checkpoint: str = ""


class HeartbeatReply(NamedTuple):
    """A worker's reply to a heartbeat.

    :param clock_s: the worker's monotonic clock in seconds
    :param started_ms: Unix time of the worker's start in ms; 0 if unknown
    :param running: active runs
    :param ended: ended runs that have not been acknowledged
    """

    clock_s: float
    started_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class StartOutcome(StrEnum):
    """Result of a start order.

    ``NOT_SENT``: no connection was established in time; the worker may be well.
    """

    STARTED = "started"
    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    INVALID = "invalid"
    GONE = "gone"
    UNKNOWN = "unknown"


class StopOutcome(StrEnum):
    """Result of a stop order."""

    STOPPED = "stopped"
    FENCED = "fenced"
    GONE = "gone"
    UNKNOWN = "unknown"


class StartOrder(NamedTuple):
    """An order to start a run.

    :param worker: identifier of the worker incarnation
    :param run: run number
    :param spec: task specification as submitted by the caller
    :param checkpoint: checkpoint to resume from; empty if there is none
    :param ticket: permission of the advice service; empty if none is needed
    """

    worker: str
    task: TaskName
    run: int
    spec: str
    checkpoint: str
    ticket: str = ""


class StopOrder(NamedTuple):
    """An order to stop a run."""

    worker: str
    task: TaskName
    run: int


class ThrottleOrder(NamedTuple):
    """An order to limit the CPU time of a run.

    :param percent: allowed share of its CPU time, 0 to 100
    """

    worker: str
    task: TaskName
    run: int
    percent: int


class AdviceRequest(NamedTuple):
    """A request to the advice service for one occurrence of a step.

    :param workers: identifiers of the workers to be permitted
    """

    job: str
    occurrence: int
    step: int
    workers: tuple[str, ...]


class Advice(NamedTuple):
    """Reply of the advice service.

    :param granted: ticket by worker; other requested workers are refused
    :param valid_s: validity of the tickets in seconds
    """

    granted: dict[str, str]
    valid_s: float


Order = StartOrder | StopOrder | ThrottleOrder
