"""Reserves workers for waiting gangs, so that smaller work does not starve them.

A wide gang needs many workers at the same time. Without a reservation smaller units
take each worker as it becomes free, and the gang never starts in a busy pool.
"""

from collections.abc import Sequence
from operator import itemgetter
from typing import NamedTuple

from bilberryhitch_jobs import Resources, Step

from .placement import locality_groups, slots
from .runs import Run, RunState
from .units import Unit
from .workers import Worker

# Reserved workers become idle before the gang starts; the rest of the pool continues
# with other work.
MAX_RESERVED_POOL_SHARE = 0.75
# Estimates of the end of a run vary by about this much between heartbeats.
MIN_SWITCH_GAIN_S = 1.0
# Limit on the gangs considered in one round, which bounds its CPU time.
MAX_GANGS_PER_ROUND = 14
# Below this progress the rate is too uncertain; the run time estimate is used.
MIN_PROGRESS_PERCENT = 5.0
# A stop takes less than this, regardless of the remaining work.
STOP_DURATION_S = 0.5


class Reservation(NamedTuple):
    """Workers reserved for one gang.

    :param workers: identifiers of the workers
    :param ready_at: monotonic time at which all of them are expected to be free
    """

    unit: Unit
    workers: tuple[str, ...]
    ready_at: float


class Reservations:
    """Reservations of one scheduling round.

    :param now: monotonic time of the round
    :param previous: reservations of the previous round
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

        A reserved worker may be used for units that are expected to end before the
        gang can start (backfilling).
        """
        found = self._by_worker.get(worker.entry.worker)
        if found is None or found.unit is unit:
            return True
        return self._now + unit.step.step.estimate_s <= found.ready_at

    def reserve(
        self, unit: Unit, workers: Sequence[Worker], pool: Sequence[Worker]
    ) -> None:
        """Reserve the workers on which a gang can start earliest.

        :param workers: workers that the gang may use
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
            # Workers that have been partly emptied for the gang are kept unless the
            # new choice is clearly better.
            if best and kept and kept.ready_at - best.ready_at < MIN_SWITCH_GAIN_S:
                best = kept
        if best is not None:
            self._by_unit[id(unit)] = best
            self._by_worker.update(dict.fromkeys(best.workers, best))

    def _earliest_reservation(
        self, unit: Unit, group: Sequence[Worker], most: int
    ) -> Reservation | None:
        """Return the earliest reservation of a whole gang within a group.

        :param most: limit on the number of reserved workers
        """
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
        """Return when a worker is free for as many tasks as it can hold, and how many.

        :returns: monotonic time and number of tasks
        """
        most = slots(worker.entry.capacity, step)
        free_at, free = self._now, worker.free
        for end, demand in self._expected_releases(worker):
            if slots(free, step) >= most:
                break
            free_at, free = end, free.plus(demand)
        return free_at, slots(free, step)

    def _expected_releases(self, worker: Worker) -> list[tuple[float, Resources]]:
        """Return the expected end and the resources of each run of a worker, sorted."""
        name = worker.entry.worker
        if name not in self._releases:
            ends = [
                (expected_end(run, self._now), run.demand)
                for run in worker.runs.values()
            ]
            self._releases[name] = sorted(ends, key=itemgetter(0))
        return self._releases[name]


def expected_end(run: Run, now: float) -> float:
    """Return the monotonic time at which a run is expected to end."""
    if run.state is RunState.STOPPING:
        return now + STOP_DURATION_S
    if run.percent >= MIN_PROGRESS_PERCENT and not (run.unit and run.unit.checkpoint):
        length = (run.advanced_at - run.ordered_at) * 100.0 / run.percent
    else:
        length = run.unit.step.step.estimate_s if run.unit else 0.0
    return max(now, run.ordered_at + length)
