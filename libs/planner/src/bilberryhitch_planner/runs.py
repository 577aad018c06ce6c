"""A run of a task on a worker."""

from enum import Enum, auto
from typing import TYPE_CHECKING

from bilberryhitch_jobs import Resources, TaskName

if TYPE_CHECKING:
    from .units import Unit


class RunState(Enum):
    """What is known of a run.

    ``ORDERED``: the start has not been answered; it may be there or come yet.
    """

    ORDERED = auto()
    RUNNING = auto()
    STOPPING = auto()


class Run:
    """A run that may exist on a worker, and holds its room there.

    :ivar unit: what it belongs to, or None for a run nobody needs
    :ivar rate: percent per second at the last look
    :ivar load: processor time in use, or tail latency in ms of a task that serves
    :ivar pace: percent at which it may work, as last ordered
    :ivar cpu_percent_known: that order, or its start, was this planner's
    :ivar settled_at: steady time of the answer after which a listing without
        the run proves that it is gone; None while it may still appear
    :ivar advanced_at: steady time of the last visible progress
    """

    __slots__ = (
        "advanced_at",
        "demand",
        "load",
        "number",
        "ordered_at",
        "cpu_percent",
        "cpu_percent_known",
        "throttled_at",
        "percent",
        "rate",
        "saved",
        "settled_at",
        "state",
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
        self.saved = ""
        self.percent = 0.0
        self.rate = 0.0
        self.load = 0.0
        self.cpu_percent = 100
        self.cpu_percent_known = True
        self.throttled_at = float("-inf")
        self.ordered_at = now
        self.advanced_at = now
        self.settled_at: float | None = None
