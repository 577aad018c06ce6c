"""What it costs to take a worker down, and whether long-running steps allow it."""

from collections.abc import Container, Mapping

from .preemption import stop_cost
from .runs import Run, RunState
from .units import StepOccurrence
from .workers import Worker

# A long-running task is fully working at this percentage.
FULLY_WORKING_PERCENT = 100.0


def takedown_cost(
    worker: Worker,
    workers: Mapping[str, Worker],
    away: Container[str],
    now: float,
) -> float | None:
    """Return the lost work in core-seconds if a worker is taken down now.

    :param workers: all workers by identifier
    :param away: identifiers of workers that an order has taken down, or may have
    :returns: None if it may run tasks that are not known yet, or if that would leave a
        long-running step with more unavailable tasks than ``max_unavailable`` allows
    """
    if not worker.synced and now <= worker.lease_until:
        return None
    cost = 0.0
    steps: dict[int, StepOccurrence] = {}
    for run in worker.runs.values():
        if run.unit is None:
            continue
        step = run.unit.step
        if step.step.long_running and step.step.max_unavailable:
            steps[id(step)] = step
        cost += stop_cost(run.unit, now)
    for step in steps.values():
        at_work = sum(
            run.worker != worker.entry.worker and _at_work(run, workers, away, now)
            for unit in step.units.values()
            for run in unit.runs.values()
        )
        if step.step.task_count - at_work > step.step.max_unavailable:
            return None
    return cost


def _at_work(
    run: Run, workers: Mapping[str, Worker], away: Container[str], now: float
) -> bool:
    """Return whether a long-running task certainly serves its users."""
    worker = workers.get(run.worker)
    return (
        worker is not None
        and run.worker not in away
        and now - worker.answered_at < worker.max_silence_s
        and run.state is RunState.RUNNING
        and run.percent >= FULLY_WORKING_PERCENT
    )
