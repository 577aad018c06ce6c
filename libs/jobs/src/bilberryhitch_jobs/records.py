"""Jobs as callers ask for them, and the names of their tasks."""

from enum import StrEnum
from typing import NamedTuple

from .configuration import Queue


class JobState(StrEnum):
    """What a caller is told of an accepted job."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINISHED_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Resources(NamedTuple):
    """Capacity of a worker, or what one task takes of it.

    :param cpu: thousandths of a core
    :param memory: megabytes
    :param gpu: whole accelerators
    """

    cpu: int = 0
    memory: int = 0
    gpu: int = 0

    def fits(self, free: "Resources") -> bool:
        """Return whether this much is free."""
        return (
            self.cpu <= free.cpu and self.memory <= free.memory and self.gpu <= free.gpu
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu, self.memory + other.memory, self.gpu + other.gpu
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference."""
        return Resources(
            self.cpu - other.cpu, self.memory - other.memory, self.gpu - other.gpu
        )


class Step(NamedTuple):
    """Equal tasks of a job.

    :param demand: what each task takes of its worker
    :param estimate_s: rough duration of a task
    :param depends_on: indexes of the steps that must be done first
    :param gang: the tasks run together or not at all
    :param same_rack: the tasks are slower on more than one rack
    :param required_label: label of every worker that may run a task; may be empty
    :param data_rack: rack on which the tasks are not slowed down; may be empty
    :param max_tasks_per_worker: per occurrence; 0 for no limit
    :param saves_progress: a stopped task resumes from its last checkpoint
    :param speculative: a task may run twice at a time
    :param long_running: tasks run until the job is cancelled
    :param max_unavailable: tasks of a lasting step that may be stopped at a time
    :param image: tasks of the same image behave alike
    :param latency_target_s: latency bound of a lasting task's own users; 0 for none
    :param uses_idle_cpu: tasks take the processor time that others leave
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
        """What a task takes of its worker's capacity."""
        return self.demand._replace(cpu=0) if self.uses_idle_cpu else self.demand


class Schedule(NamedTuple):
    """Times at which a job's steps run.

    :param repeat_count: number of occurrences
    :param start_s: due time of the first one, in seconds of Unix time
    :param interval_s: time between two of them
    """

    repeat_count: int
    start_s: float
    interval_s: float


class JobRequest(NamedTuple):
    """An accepted job.

    :param job: the caller's identifier
    :param queue: the route that it came by, as configured then
    :param account: client account, or empty for a public route
    :param spec: opaque text that each task is started with
    :param accepted_s: Unix time at which an entry host took it
    :param schedule: None for a job that runs once, at once
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
        """Return the Unix time before which an occurrence must not start."""
        if self.schedule is None:
            return 0.0
        return self.schedule.start_s + occurrence * self.schedule.interval_s


class TaskName(NamedTuple):
    """A task of an occurrence of a step; ``ordinal`` counts from 0 within it."""

    job: str
    occurrence: int
    step: int
    ordinal: int
