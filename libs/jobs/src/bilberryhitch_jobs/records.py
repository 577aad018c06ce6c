"""Records of submitted jobs, their steps and schedules, and task identifiers."""

from enum import StrEnum
from typing import NamedTuple

from .configuration import Queue


class JobState(StrEnum):
    """State of an accepted job as reported to callers."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINISHED_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Resources(NamedTuple):
    """Capacity of a worker, or the resource demand of one task.

    :param cpu: in thousandths of a core
    :param memory: in megabytes
    :param gpu: number of accelerators
    """

    cpu: int = 0
    memory: int = 0
    gpu: int = 0

    def fits(self, free: "Resources") -> bool:
        """Return whether ``free`` covers each resource."""
        return (
            self.cpu <= free.cpu and self.memory <= free.memory and self.gpu <= free.gpu
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum per resource."""
        return Resources(
            self.cpu + other.cpu, self.memory + other.memory, self.gpu + other.gpu
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference per resource; may be negative."""
        return Resources(
            self.cpu - other.cpu, self.memory - other.memory, self.gpu - other.gpu
        )


class Step(NamedTuple):
    """A group of identical tasks of a job.

    :param demand: resources that each task needs on its worker
    :param estimate_s: estimated run time of a task
    :param depends_on: indexes of the steps that must be completed first
    :param gang: all tasks run at the same time or none does
    :param same_rack: the tasks run slower if they are placed on more than one rack
    :param required_label: label that a worker needs to run a task; empty for none
    :param data_rack: rack on which the tasks run at full speed, as it holds their
        data; empty for none
    :param max_tasks_per_worker: limit per occurrence; 0 for no limit
    :param saves_progress: a stopped task resumes from its last checkpoint
    :param speculative: two runs of a task may be active at the same time
    :param long_running: the tasks run until the job is cancelled
    :param max_unavailable: tasks of a long-running step that may be down at a time
    :param image: image of the tasks; tasks of one image behave alike
    :param latency_target_s: upper bound of the response time that a long-running
        task gives to its clients; 0 for none
    :param uses_idle_cpu: the tasks reserve no processor time and use what is idle
    """

    task_count: int
    demand: Resources
    estimate_s: float
    depends_on: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_tasks_per_worker: int = 0
    saves_progress: bool = False
    speculative: bool = False
    long_running: bool = False
    max_unavailable: int = 0
    image: str = ""
    latency_target_s: float = 0.0
    uses_idle_cpu: bool = False

    @property
    def reserved_resources(self) -> Resources:
        """Resources that a task reserves on its worker."""
        return self.demand._replace(cpu=0) if self.uses_idle_cpu else self.demand


class Schedule(NamedTuple):
    """Schedule of a job whose steps run several times.

    :param repeat_count: number of occurrences
    :param start_s: Unix time in seconds at which the first occurrence is due
    :param interval_s: time between the starts of two occurrences
    """

    repeat_count: int
    start_s: float
    interval_s: float


class JobRequest(NamedTuple):
    """An accepted job.

    :param job: identifier chosen by the caller
    :param queue: queue it was submitted to, as configured at that time
    :param account: client account, or empty for a public queue
    :param spec: opaque text that is passed to each task
    :param accepted_s: Unix time in seconds at which an entry host received it
    :param schedule: None for a job that runs once and immediately
    """

    job: str
    queue: Queue
    account: str
    spec: str
    steps: tuple[Step, ...]
    accepted_s: float
    schedule: Schedule | None = None

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return self.schedule.repeat_count if self.schedule else 1

    def due_s(self, occurrence: int) -> float:
        """Return the Unix time in seconds before which an occurrence must not start.

        It is 0 for a job without a schedule.
        """
        if self.schedule is None:
            return 0.0
        return self.schedule.start_s + occurrence * self.schedule.interval_s


class TaskName(NamedTuple):
    """Identifies a task.

    :param occurrence: index of the occurrence of the job's schedule
    :param step: index of the step in the job
    :param ordinal: index of the task in the occurrence of the step
    """

    job: str
    occurrence: int
    step: int
    ordinal: int
