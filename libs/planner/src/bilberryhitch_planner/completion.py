"""How likely it is that a unit meets its job's objective on workers of some speed."""

import math
from collections.abc import Callable

from .units import Unit
from .workers import Worker

# Standard deviation of the logarithm of a chain's work, relative to its estimate.
ESTIMATE_ERROR = 0.3
# The same of a run's work, relative to that of its chain.
RUN_ERROR = 0.1
# Logarithms of speeds, and their errors, are rounded to these steps.
SPEED_STEP = 0.15
ERROR_STEP = 0.05


def speed_class(worker: Worker) -> int:
    """Return by how many steps the logarithm of a worker's speed differs from 0.

    A difference that is smaller than its error is none, so that workers of the same
    speed are ranked alike.
    """
    log_speed = math.log(worker.speed)
    if abs(log_speed) < worker.speed_error:
        return 0
    return round(log_speed / SPEED_STEP)


def odds_in_time(unit: Unit, speed: float, speed_error: float, now: float) -> float:
    """Return the probability that a unit started now meets its job's objective.

    The objective grows with the true work of the job's chain, as the run time does. An
    error of the estimate therefore only matters for the part of the time left that does
    not depend on the work. Later steps are assumed to run at the average speed.

    :param speed: speed of the worker, or of the slowest one of a gang
    :param speed_error: standard deviation of the logarithm of the speed
    :param now: monotonic time in seconds
    """
    job, step = unit.step.job, unit.step.step
    waited_s = now - job.arrived_at
    left_s = job.objective_s - waited_s
    if left_s <= 0 or speed <= 0:
        return 0.0
    later_s = job.remaining_s(unit.step.index) - step.estimate_s
    needed_s = step.estimate_s / speed + later_s
    if needed_s <= 0:
        return 1.0
    fixed_share = (job.queue.target_s - waited_s) / left_s
    error = math.sqrt(
        speed_error**2 + RUN_ERROR**2 + (fixed_share * ESTIMATE_ERROR) ** 2
    )
    return 0.5 * (1 + math.erf(math.log(left_s / needed_s) / (error * math.sqrt(2))))


def odds_by_worker(unit: Unit, now: float) -> Callable[[Worker], float] | None:
    """Return a function of a worker that returns the odds of a unit there.

    :returns: None if the unit has no objective that it could meet
    """
    if unit.step.step.long_running or unit.step.job.objective_s <= 0:
        return None
    known: dict[tuple[int, int], float] = {}

    def odds(worker: Worker) -> float:
        key = speed_class(worker), round(worker.speed_error / ERROR_STEP)
        value = known.get(key)
        if value is None:
            speed, error = math.exp(key[0] * SPEED_STEP), key[1] * ERROR_STEP
            value = known[key] = odds_in_time(unit, speed, error, now)
        return value

    return odds
