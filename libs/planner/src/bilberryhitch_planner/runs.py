"""A run of a task on a worker."""

from enum import Enum, auto
from typing import TYPE_CHECKING

from bilberryhitch_jobs import Resources, TaskName

if TYPE_CHECKING:
    from .lost_work import LossCause
    from .machine_speed import RunPace
    from .units import Unit


class RunState(Enum):
    """State of a run as known to the planner.

    ``ORDERED``: the start order has not been answered; the run may exist or start
    later.
    """

    ORDERED = auto()
    RUNNING = auto()
    STOPPING = auto()


class Run:
    """A run that may exist on a worker and has resources allocated there.

    :ivar number: run number
    :ivar worker: identifier of the worker incarnation
    :ivar unit: unit that it belongs to; None for a run that is not needed
    :ivar checkpoint: latest checkpoint; empty if there is none
    :ivar pace: its progress as evidence of speeds; None before it is looked at
    :ivar load: CPU use in millicores, or tail latency in ms of a serving task
    :ivar cpu_percent: allowed share of its CPU time, as last ordered
    :ivar cpu_percent_known: this planner started the run or gave that order
    :ivar throttled_at: monotonic time of the last throttle order
    :ivar ordered_at: monotonic time at which it was ordered or adopted
    :ivar sent_at: monotonic time at which a start order was last sent that may have
        been carried out
    :ivar settled_at: monotonic time of the response to the last order. A later
        heartbeat reply without the run proves that it has ended. None while the run
        may still appear.
    :ivar resumed: it goes on from a checkpoint
    :ivar started_at: monotonic time of the response to its start; None if it was lost
        or the run was adopted
    :ivar advanced_at: monotonic time of the last observed progress
    :ivar confirmed: the worker has confirmed its start or listed it
    :ivar certain: every attempt of its start got an answer, so that none can arrive
        later
    :ivar stopped_for: why its stop was ordered; None if it was not
    :ivar stopped_in: start of the worker's life, as Unix time in ms, that was known
        when its stop was sent; 0 if none was
    :ivar exclusive: nothing else may be placed on its worker
    """

    __slots__ = (
        "advanced_at",
        "certain",
        "confirmed",
        "demand",
        "exclusive",
        "load",
        "number",
        "ordered_at",
        "cpu_percent",
        "cpu_percent_known",
        "throttled_at",
        "percent",
        "pace",
        "resumed",
        "started_at",
        "checkpoint",
        "sent_at",
        "settled_at",
        "state",
        "stopped_for",
        "stopped_in",
        "task",
        "unit",
        "worker",
    )

    def __init__(
        self,
        task: TaskName,
        number: int,
        demand: Resources,
        worker: str,
        unit: "Unit | None",
        now: float,
    ) -> None:
        self.task = task
        self.number = number
        self.demand = demand
        self.worker = worker
        self.unit = unit
        self.state = RunState.ORDERED
        self.checkpoint = ""
        self.percent = 0.0
        self.pace: RunPace | None = None
        self.resumed = bool(unit and unit.checkpoint)
        self.started_at: float | None = None
        self.load = 0.0
        self.cpu_percent = 100
        self.cpu_percent_known = True
        self.throttled_at = float("-inf")
        self.ordered_at = now
        self.sent_at = now
        self.advanced_at = now
        self.settled_at: float | None = None
        self.confirmed = False
        self.certain = True
        self.stopped_for: LossCause | None = None
        self.stopped_in = 0
        self.exclusive = False

    def settled_before(self, sent_at: float) -> bool:
        """Return whether a list requested at a time shows if the run exists.

        :param sent_at: monotonic time at which the list was requested
        """
        return self.settled_at is not None and self.settled_at < sent_at
