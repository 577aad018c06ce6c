"""Cost of delay: what callers lose while work waits, by the room that it takes.

A job counts for its caller partly as one job and partly by its work. It has its full
worth if it is done within its objective, a part of it up to ``LOST_AFTER`` times that,
and none later. Worths are in units of an average job of the same queue, as a queue
states a priority and an objective, and no worth.
"""

import math
from enum import IntEnum
from typing import NamedTuple

from .units import StepOccurrence, TrackedJob

# A job has lost its use after this multiple of its objective.
LOST_AFTER = 3.0
# Part of a job's worth that does not depend on its work, and the limit on its worth.
WORTH_AS_ONE = 0.3
MAX_WORTH = 4.0
# Run time estimates are rough: a step counts as late only if it would miss its
# objective by more than this share of the remaining run time.
LATE_MARGIN = 0.3
# Estimates are off by a factor of two, so work becomes urgent well before its slack is
# used up: the cost rises by a factor of e while the slack falls by this share of the
# remaining run time.
SLACK_SCALE = 0.5


class Stage(IntEnum):
    """What a job can still reach if its waiting step starts now."""

    IN_TIME = 0
    LATE = 1
    LOST = 2


class Delay(NamedTuple):
    """What waiting costs.

    :ivar stage: what the job can still reach
    :ivar cost: cost of a further second of waiting by core-second of work, in shares of
        an average job of its queue
    """

    stage: Stage
    cost: float


class MeanWork:
    """Mean work of the jobs of each queue, in core-seconds."""

    def __init__(self) -> None:
        self._totals: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def add(self, job: TrackedJob) -> None:
        """Count an accepted job."""
        queue = job.request.queue.name
        self._totals[queue] = self._totals.get(queue, 0.0) + job.work
        self._counts[queue] = self._counts.get(queue, 0) + 1

    def of(self, job: TrackedJob) -> float:
        """Return the mean for the queue of a job, its own work if there is none."""
        queue = job.request.queue.name
        count = self._counts.get(queue, 0)
        return self._totals[queue] / count if count else job.work


def delay_cost(step: StepOccurrence, mean_work: float, now: float) -> Delay:
    """Return what it costs that a step with waiting units goes on waiting.

    :param mean_work: mean work of the jobs of its queue in core-seconds
    :param now: monotonic time in seconds
    """
    job = step.job
    run_s = job.remaining_s(step.index)
    margin_s = LATE_MARGIN * run_s
    objective_s = job.objective_s
    slack_s = objective_s - (now - step.opens_at) - run_s
    stage = Stage.IN_TIME
    if slack_s < -margin_s:
        slack_s += (LOST_AFTER - 1.0) * objective_s
        stage = Stage.LATE if slack_s >= -margin_s else Stage.LOST
    urgency = math.exp(-max(slack_s, 0.0) / max(SLACK_SCALE * run_s, 1e-3))
    share = job.work / mean_work if mean_work else 1.0
    worth = min(WORTH_AS_ONE + (1.0 - WORTH_AS_ONE) * share, MAX_WORTH)
    return Delay(stage, worth * urgency / max(waiting_work(step), 1e-3))


def waiting_work(step: StepOccurrence) -> float:
    """Return the work of a step's waiting units and of the steps after it.

    :returns: core-seconds
    """
    job = step.job
    work = len(step.waiting) * step.unit_work
    for index in range(step.index + 1, len(job.request.steps)):
        work += job.steps[step.occurrence, index].undone_work
    return work
