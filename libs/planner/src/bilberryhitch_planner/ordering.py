"""The order in which waiting work is placed."""

from .units import StepOccurrence

# Estimates of run times are rough: work counts as too late only when it would miss
# its objective by more than this share of what is left of it.
LATE_MARGIN = 0.3


def step_sort_key(step: StepOccurrence, now: float) -> tuple[float, ...]:
    """Return the sort key of a step's waiting units.

    Queues of lower priority number come first. Within a priority, work that can still
    meet its objective goes before work that cannot, and the least slack first.

    :param now: steady clock in seconds
    """
    job = step.job
    left_s = job.remaining_s(step.index)
    slack_s = job.objective_s - (now - job.arrived_at) - left_s
    return (job.queue.priority, slack_s < -LATE_MARGIN * left_s, slack_s)
