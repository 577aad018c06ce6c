"""Order in which waiting steps are placed."""

from collections.abc import Iterable

from .delay_cost import MeanWork, delay_cost
from .units import StepOccurrence

# A step that has been open for this long gets a turn as the first of its priority, so
# that a steady stream of work with a higher cost of delay cannot starve it.
PASSED_OVER_S = 60.0
# As long as workers may be reserved for a gang, so that a wide one can use its turn.
TURN_S = 30.0


def steps_in_order(
    steps: Iterable[StepOccurrence], mean_work: MeanWork, now: float
) -> list[StepOccurrence]:
    """Return steps with waiting units in the order in which they are placed.

    Queues with a lower priority number come first. Within a priority, steps that can
    still meet their objective come before late ones, then lost ones, each by the
    cost of delay. Those that have been open for ``PASSED_OVER_S`` queue up for turns
    at its head: with ``n`` before it, a step gets there within ``n * TURN_S``.

    :param now: monotonic time in seconds
    """

    def key(step: StepOccurrence) -> tuple[float, ...]:
        stage, cost = delay_cost(step, mean_work.of(step.job), now)
        first = 0 if id(step) in heads else 1
        return (step.job.queue.priority, first, stage, -cost)

    steps = list(steps)
    heads = {id(step) for step in _heads(steps, now)}
    return sorted(steps, key=key)


def _heads(steps: Iterable[StepOccurrence], now: float) -> Iterable[StepOccurrence]:
    """Return the step of each priority whose turn it is to be the first."""
    passed_over: dict[int, list[StepOccurrence]] = {}
    for step in steps:
        if now - step.opens_at > PASSED_OVER_S:
            passed_over.setdefault(step.job.queue.priority, []).append(step)
    return [_head(found, now) for found in passed_over.values()]


def _head(passed_over: list[StepOccurrence], now: float) -> StepOccurrence:
    """Return the step whose turn it is; one that has had its turn queues up again."""
    head = min(passed_over, key=_queued_at)
    if head.turn_since is not None and now - head.turn_since > TURN_S:
        head.queued_at, head.turn_since = now, None
        head = min(passed_over, key=_queued_at)
    if head.turn_since is None:
        head.turn_since = now
    return head


def _queued_at(step: StepOccurrence) -> float:
    return max(step.queued_at, step.opens_at + PASSED_OVER_S)
