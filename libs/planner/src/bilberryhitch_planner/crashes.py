"""Counts the crashes of workers for the tasks that were on them.

A task may crash each worker that starts it, and its neighbours are lost with it. Which
task it was shows only on a worker that runs nothing else. A task that may have been
the cause therefore runs alone from then on, and is given up once it has crashed workers
there; a neighbour runs alone as well, and to its end.
"""

from collections.abc import Container
from typing import NamedTuple

from bilberryhitch_jobs import CrashCount, Placement

from .runs import Run
from .units import TrackedJob, Unit
from .workers import Worker

# A run that had been ordered for less than this when its worker last answered may have
# crashed it by its start.
EARLY_S = 2.0
# A worker that has not failed for this long is sound; one that goes down and up by
# turns does so within a few seconds.
FAILURE_MEMORY_S = 8.0
# A long-running task that worked for this long before a crash is not its cause.
PROVEN_S = 300.0


class LostTask(NamedTuple):
    """A task that may have had a run on a worker that crashed.

    :param task_index: index of the task in its step
    :param early: the run had begun shortly before
    :param confirmed: the worker had confirmed the run
    :param proven: the run had worked for a long time
    """

    unit: Unit
    task_index: int
    early: bool = False
    confirmed: bool = False
    proven: bool = False


def lost_task(worker: Worker, run: Run, unit: Unit) -> LostTask:
    """Return the task of a run on a worker that has crashed."""
    age_s = worker.answered_at - run.ordered_at
    return LostTask(
        unit,
        run.task.ordinal,
        early=age_s < EARLY_S,
        confirmed=run.confirmed,
        proven=unit.step.step.long_running and age_s > PROVEN_S,
    )


def is_proof(worker: Worker, lost: list[LostTask]) -> bool:
    """Return whether the crash of a worker can only be due to one unit.

    A worker that failed a short time ago may crash by itself.
    """
    failed_for_s = worker.answered_at - worker.health.failed_at
    sound = worker.health.failures == 0 or failed_for_s > FAILURE_MEMORY_S
    known = all(run.unit is not None for run in worker.runs.values())
    return sound and known and len({id(each.unit) for each in lost}) == 1


def count_crash(lost: list[LostTask], *, certain: bool, proof: bool) -> None:
    """Count the crash of a worker for the tasks that were on it.

    :param certain: the worker has ended; otherwise it may only have been unreachable
    :param proof: see ``is_proof``
    """
    for each in lost:
        count = each.unit.crashes.get(each.task_index, CrashCount())
        if each.proven:
            count = CrashCount()
        early = certain and each.early
        each.unit.cleared = False
        each.unit.crashes[each.task_index] = CrashCount(
            count.total + 1,
            count.early + early,
            count.alone + (early and proof and each.confirmed),
        )


class InheritedPlacements:
    """Tasks whose latest run an earlier planner had placed on a worker.

    They are kept until the worker lists its runs, has ended or its lease has expired.
    """

    def __init__(self) -> None:
        self._tasks: dict[str, list[tuple[Unit, int]]] = {}

    def add(self, job: TrackedJob, workers: Container[str]) -> list[str]:
        """Add the placements of a job.

        :param workers: identifiers of the workers that this planner knows
        :returns: identifiers of workers that are no longer known. The earlier planner
            may have removed them before it stored what ran there.
        """
        gone = set()
        for unit in job.units:
            for index, placement in unit.placements.items():
                tasks = self._tasks.setdefault(placement.worker, [])
                tasks.append((unit, index))
                if placement.worker not in workers:
                    gone.add(placement.worker)
        return sorted(gone)

    def take(self, worker: str) -> list[tuple[LostTask, Placement]]:
        """Remove and return the tasks on a worker of which no run is known by now."""
        return [
            (LostTask(unit, index), unit.placements.pop(index))
            for unit, index in self._tasks.pop(worker, ())
            if not unit.step.job.finished
            and index not in unit.runs
            and index in unit.placements
            and unit.placements[index].worker == worker
        ]
