"""What workers say of themselves and of what they run."""

from enum import StrEnum
from typing import NamedTuple

from bilberryhitch_jobs import Resources, TaskName


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class WorkerEntry(NamedTuple):
    """One incarnation of a worker, as it registered itself.

    :param worker: identifier of the incarnation
    :param service: pool that it belongs to
    :param address: ``ip:port``
    :param rack: empty if unknown
    :param draining: it takes nothing new and leaves soon
    :param remaining_s: least time until it leaves, while it drains
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


class RunningTask(NamedTuple):
    """A run that a worker holds.

    :param saved: last checkpoint; empty for none
    :param percent: part of the work done, or of its target while it lasts
    :param load: processor use in thousandths of a core, or tail latency in ms
    """

    task: TaskName
    run: int
    saved: str = ""
    percent: float = 0.0
    load: float = 0.0


class EndedTask(NamedTuple):
    """An end that a worker lists until it is acknowledged.

    :param sequence: rises within an incarnation
    """

    sequence: int
    task: TaskName
    run: int
    how: EndKind
    saved: str = ""


class HeartbeatReply(NamedTuple):
    """A worker's answer to an extension of its lease.

    :param clock_s: the worker's steady clock
    :param born_ms: Unix time of the worker's start; 0 if it does not say
    """

    clock_s: float
    born_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class StartOutcome(StrEnum):
    """How a worker answered a start."""

    STARTED = "started"
    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    REFUSED = "refused"
    INVALID = "invalid"
    GONE = "gone"
    UNKNOWN = "unknown"


class StopOutcome(StrEnum):
    """How a worker answered a stop."""

    STOPPED = "stopped"
    FENCED = "fenced"
    GONE = "gone"
    UNKNOWN = "unknown"


class StartOrder(NamedTuple):
    """A run to be started.

    :param spec: the caller's text
    :param saved: checkpoint to resume from; empty for none
    :param ticket: permission of the advice service; empty for none
    """

    worker: str
    task: TaskName
    run: int
    spec: str
    saved: str
    ticket: str = ""


class StopOrder(NamedTuple):
    """A run to be stopped."""

    worker: str
    task: TaskName
    run: int


class ThrottleOrder(NamedTuple):
    """The share of its processor time at which a run may work.

    :param percent: 0 to 100
    """

    worker: str
    task: TaskName
    run: int
    percent: int


class AdviceRequest(NamedTuple):
    """A question to the advice service about one occurrence of a step."""

    job: str
    occurrence: int
    step: int
    workers: tuple[str, ...]


class Advice(NamedTuple):
    """The advice service's answer.

    :param granted: ticket by worker
    """

    granted: dict[str, str]
    valid_s: float


Order = StartOrder | StopOrder | ThrottleOrder
