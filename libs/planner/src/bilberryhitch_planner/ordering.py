"""Order in which waiting units are placed."""

from .units import StepOccurrence

# Run time estimates are rough: a step counts as late only if it would miss its
# objective by more than this share of the remaining run time.
LATE_MARGIN = 0.3


def step_sort_key(step: StepOccurrence, now: float) -> tuple[float, ...]:
    """Return the sort key of a step with waiting units.

    Queues with a lower priority number come first. Within a priority, steps that can
    still meet their objective come before late ones, and the least slack comes first.

    :param now: monotonic time in seconds
    """
    job = step.job
    left_s = job.remaining_s(step.index)
    slack_s = job.objective_s - (now - job.arrived_at) - left_s
    return (job.queue.priority, slack_s < -LATE_MARGIN * left_s, slack_s)
