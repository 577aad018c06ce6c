"""Learns how fast workers are by comparing runs of the same step."""

from .runs import Run
from .workers import Worker

# Tasks of a step differ by a few tenths in work; this many looks average it out.
SAMPLE_WEIGHT = 0.12
# Looks sooner than this tell more of the start than of the worker.
MIN_ELAPSED_S = 1.0
COMPLETE_PERCENT = 100.0
MIN_COMPARED_RUNS = 3
# One look must not call a worker dead or miraculous.
MIN_RELATIVE_SPEED, MAX_RELATIVE_SPEED = 0.1, 2.0
# Disturbances last several seconds, and an avoided worker is not looked at.
SLOW_WORKER_SPEED = 0.6
RECOVERY_WEIGHT = 0.02


def recover_speed(worker: Worker) -> None:
    """Let a disturbed worker be tried again after some seconds of ticks."""
    if worker.speed < SLOW_WORKER_SPEED:
        worker.speed += RECOVERY_WEIGHT * (1.0 - worker.speed)


def update_speed(worker: Worker, run: Run, now: float) -> None:
    """Take one look at a run into its worker's speed.

    The rate of progress is compared with that of the step's other runs, so that the
    step's own length and its estimate do not matter.
    """
    unit = run.unit
    elapsed_s = now - run.ordered_at
    if unit is None or unit.saved or elapsed_s < MIN_ELAPSED_S:
        # A resumed run's progress is not all of this worker's making.
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
