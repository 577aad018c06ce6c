"""The order in which waiting work is placed."""

from .units import StepBook


def job_order(step: StepBook, now: float) -> tuple[float, ...]:
    """Return the sort key of a step's waiting units: urgent first, then oldest.

    :param now: steady clock in seconds
    """
    return (step.job.queue.priority, step.job.arrived_at)
