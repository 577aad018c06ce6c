"""Reserves workers for gangs that wait, so that later work does not keep them out.

A wide gang needs many workers at the same moment. Without a reservation whatever is
smaller takes each of them as it becomes free, and the gang waits for ever in a pool
that is never idle.
"""

from collections.abc import Sequence
from operator import itemgetter
from typing import NamedTuple

from bilberryhitch_jobs import Resources, Step

from .placement import locality_groups, slots
from .runs import Run, RunState
from .units import Unit
from .workers import Worker

# Workers that wait for a gang do nothing else at last; the rest of a pool goes on
# with short work. Trials with the emulator: journal/trials.
MAX_RESERVED_POOL_SHARE = 0.75
# Expected ends differ by about this much from one look to the next.
MIN_SWITCH_GAIN_S = 1.0
# Gangs considered in one round, which bounds its processor time.
MAX_GANGS_PER_ROUND = 14
# Progress below this says too little of a run's length; its estimate is used.
MIN_PROGRESS_PERCENT = 5.0
# A stop takes less than this, whatever the run had left.
STOP_DURATION_S = 0.5


class Reservation(NamedTuple):
    """Workers that are kept for one gang.

    :param ready_at: steady time at which the last of them should be free
    """

    unit: Unit
    workers: tuple[str, ...]
    ready_at: float


class Reservations:
    """Reservations of one round of planning.

    :param now: steady time of the round
    :param previous: those of the round before
    """

    def __init__(self, now: float, previous: "Reservations | None" = None) -> None:
        self._now = now
        self._previous = previous._by_unit if previous else {}
        self._by_unit: dict[int, Reservation] = {}
        self._by_worker: dict[str, Reservation] = {}
        self._gangs = 0
        self._releases: dict[str, list[tuple[float, Resources]]] = {}

    def allows(self, worker: Worker, unit: Unit) -> bool:
        """Return whether a unit may use a worker.

        Work that should be done before the gang can start does not delay it.
        """
        found = self._by_worker.get(worker.entry.worker)
        if found is None or found.unit is unit:
            return True
        return self._now + unit.step.step.estimate_s <= found.ready_at

    def reserve(
        self, unit: Unit, workers: Sequence[Worker], pool: Sequence[Worker]
    ) -> None:
        """Reserve the workers on which a gang can start soonest.

        :param workers: workers that it may use
        :param pool: all workers of its service
        """
        most = int(len(pool) * MAX_RESERVED_POOL_SHARE) - len(self._by_worker)
        if self._gangs >= MAX_GANGS_PER_ROUND or most <= 0:
            return
        self._gangs += 1
        free = {
            each.entry.worker: each
            for each in workers
            if each.entry.worker not in self._by_worker
        }
        groups = locality_groups(unit.step.step, list(free.values()), pool)
        options = [self._earliest_reservation(unit, group, most) for group in groups]
        best = min(filter(None, options), key=lambda each: each.ready_at, default=None)
        previous = self._previous.get(id(unit))
        if previous is not None and all(name in free for name in previous.workers):
            group = [free[name] for name in previous.workers]
            kept = self._earliest_reservation(unit, group, most)
            # Workers that have been emptied so far are not given up for a guess.
            if best and kept and kept.ready_at - best.ready_at < MIN_SWITCH_GAIN_S:
                best = kept
        if best is not None:
            self._by_unit[id(unit)] = best
            self._by_worker.update(dict.fromkeys(best.workers, best))

    def _earliest_reservation(
        self, unit: Unit, group: Sequence[Worker], most: int
    ) -> Reservation | None:
        """Return the workers of a group that are free first and hold the whole gang."""
        step = unit.step.step
        missing = step.task_count
        names: list[str] = []
        ready_at = self._now
        free_at = sorted(
            (
                (*self._available_at(each, step), -each.free.gpu, each.entry.worker)
                for each in group
            ),
            key=itemgetter(0, 2, 3),
        )
        for at, count, _, name in free_at:
            if count < 1:
                continue
            if len(names) >= most:
                return None
            names.append(name)
            ready_at = max(ready_at, at)
            missing -= count
            if missing <= 0:
                return Reservation(unit, tuple(names), ready_at)
        return None

    def _available_at(self, worker: Worker, step: Step) -> tuple[float, int]:
        """Return when a worker has room for as many tasks as it ever holds."""
        most = slots(worker.entry.capacity, step)
        free_at, free = self._now, worker.free
        for end, demand in self._expected_releases(worker):
            if slots(free, step) >= most:
                break
            free_at, free = end, free.plus(demand)
        return free_at, slots(free, step)

    def _expected_releases(self, worker: Worker) -> list[tuple[float, Resources]]:
        """Return when a worker's runs should end and what they release."""
        name = worker.entry.worker
        if name not in self._releases:
            ends = [
                (expected_end(run, self._now), run.demand)
                for run in worker.runs.values()
            ]
            self._releases[name] = sorted(ends, key=itemgetter(0))
        return self._releases[name]


def expected_end(run: Run, now: float) -> float:
    """Return the steady time at which a run should end."""
    if run.state is RunState.STOPPING:
        return now + STOP_DURATION_S
    if run.percent >= MIN_PROGRESS_PERCENT and not (run.unit and run.unit.saved):
        length = (run.advanced_at - run.ordered_at) * 100.0 / run.percent
    else:
        length = run.unit.step.step.estimate_s if run.unit else 0.0
    return max(now, run.ordered_at + length)
