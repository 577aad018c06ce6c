"""Estimates the relative speed of workers by comparing runs of the same step."""

from .runs import Run
from .workers import Worker

# Weight of one sample in the moving average. The work of a step's tasks differs by a
# few tens of percent, which averages out over the samples.
SAMPLE_WEIGHT = 0.12
# Earlier samples measure the start-up of the run rather than the worker.
MIN_ELAPSED_S = 1.0
COMPLETE_PERCENT = 100.0
MIN_COMPARED_RUNS = 3
# Limits of one sample, so that a single outlier has little effect.
MIN_RELATIVE_SPEED, MAX_RELATIVE_SPEED = 0.1, 2.0
# Below this speed a worker counts as slow and is avoided. Disturbances last several
# seconds and an avoided worker yields no samples, so its speed recovers with each tick.
SLOW_WORKER_SPEED = 0.6
RECOVERY_WEIGHT = 0.02


def recover_speed(worker: Worker) -> None:
    """Raise the speed of a slow worker a little, so that it is tried again later."""
    if worker.speed < SLOW_WORKER_SPEED:
        worker.speed += RECOVERY_WEIGHT * (1.0 - worker.speed)


def update_speed(worker: Worker, run: Run, now: float) -> None:
    """Update the speed of a worker with a sample of one of its runs.

    The rate of progress is compared with that of the step's other runs, so the length
    of the step and its estimate do not matter.
    """
    unit = run.unit
    elapsed_s = now - run.ordered_at
    if unit is None or unit.checkpoint or elapsed_s < MIN_ELAPSED_S:
        # The progress of a resumed run was partly made by another worker.
        return
    if run.percent >= COMPLETE_PERCENT:
        return
    run.rate = run.percent / elapsed_s
    rates = [
        other.rate
        for sibling in unit.step.units.values()
        for other in sibling.runs.values()
        if other.rate > 0
    ]
    if len(rates) < MIN_COMPARED_RUNS:
        return
    relative = run.rate * len(rates) / sum(rates)
    relative = min(max(relative, MIN_RELATIVE_SPEED), MAX_RELATIVE_SPEED)
    worker.speed += SAMPLE_WEIGHT * (relative - worker.speed)
