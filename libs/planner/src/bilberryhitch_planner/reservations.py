"""Reserves workers for waiting gangs, so that smaller work does not starve them.

Units that must run alone wait for idle workers in the same way.

A wide gang needs many workers at the same time. Without a reservation smaller units
take each worker as it becomes free, and the gang never starts in a busy pool.
"""

import heapq
import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .rack_forecast import Offer, RackForecast
from .units import Unit
from .worker_pool import WorkerPool
from .workers import Worker

# Reserved workers become idle before the gang starts; the rest of the pool continues
# with other work.
MAX_RESERVED_POOL_SHARE = 0.75
# Estimates of the end of a run vary by about this much between heartbeats.
MIN_SWITCH_GAIN_S = 1.0
# A gang may wait for runs that last far longer than expected. After this time the
# workers go to others for a while, before it may reserve some again.
MAX_RESERVED_S = 30.0
LAPSED_S = 5.0
# Limit on the gangs considered in one round, which bounds its CPU time.
MAX_GANGS_PER_ROUND = 14


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

    def allows(self, worker: Worker, unit: Unit) -> bool:
        """Return whether a unit may use a worker.

        A reserved worker may be used for units that are expected to end before the
        gang can start (backfilling).
        """
        found = self._by_worker.get(worker.entry.worker)
        if found is None or found.unit is unit:
            return True
        step = unit.step.step
        return not step.long_running and self._now + step.estimate_s <= found.ready_at

    def reserve(self, unit: Unit, workers: Sequence[Worker], pool: WorkerPool) -> None:
        """Reserve the workers on which a gang can start earliest.

        :param workers: workers that the gang may use
        :param pool: all workers of its service
        """
        most = int(len(pool.workers) * MAX_RESERVED_POOL_SHARE) - len(self._by_worker)
        if self._gangs >= MAX_GANGS_PER_ROUND or most <= 0 or self._has_lapsed(unit):
            return
        self._gangs += 1
        stable = pool.for_step(unit.step.step)
        usable = stable if stable.workers is workers else WorkerPool(workers)
        best = None
        for group in self._groups(unit, usable, pool):
            best = self._earliest_reservation(unit, group, most, best) or best
        previous = self._previous.get(id(unit))
        if previous is not None and self._may_keep(previous, usable):
            workers = [usable.by_name[name] for name in previous.workers]
            offers = RackForecast(workers).offers(
                unit.step.step, self._now, isolated=unit.isolated
            )
            kept = self._earliest_reservation(unit, offers, most)
            # Workers that have been partly emptied for the gang are kept unless the
            # new choice is clearly better.
            if best and kept and kept.ready_at - best.ready_at < MIN_SWITCH_GAIN_S:
                best = kept
        if best is not None:
            if unit.reserved_since is None:
                unit.reserved_since = self._now
            self._by_unit[id(unit)] = best
            self._by_worker.update(dict.fromkeys(best.workers, best))

    def _has_lapsed(self, unit: Unit) -> bool:
        """Return whether a unit has kept workers from others for too long."""
        if unit.reserved_since is None:
            return False
        held_s = self._now - unit.reserved_since
        if held_s > MAX_RESERVED_S + LAPSED_S:
            unit.reserved_since = None
        return MAX_RESERVED_S < held_s <= MAX_RESERVED_S + LAPSED_S

    def _groups(
        self, unit: Unit, usable: WorkerPool, pool: WorkerPool
    ) -> list[Iterable[Offer]]:
        """Return offers of groups of workers; a gang should run within one of them."""
        step = unit.step.step
        racks = pool.locality_racks(step)
        offers: list[Iterable[Offer]] = [
            usable.offers(rack, step, self._now, isolated=unit.isolated)
            for rack in racks or usable.racks
            if rack in usable.racks
        ]
        return offers if racks else [heapq.merge(*offers)]

    def _may_keep(self, previous: Reservation, usable: WorkerPool) -> bool:
        return all(
            name in usable.by_name and name not in self._by_worker
            for name in previous.workers
        )

    def _earliest_reservation(
        self,
        unit: Unit,
        offers: Iterable[Offer],
        most: int,
        best: Reservation | None = None,
    ) -> Reservation | None:
        """Return the earliest reservation of a whole gang within a group.

        :param offers: offers of the workers of the group, the soonest first
        :param most: limit on the number of reserved workers
        :param best: a reservation; None is returned unless this one is ready earlier
        """
        missing = len(unit.task_indexes)
        names: list[str] = []
        ready_at = self._now
        latest = best.ready_at if best is not None else math.inf
        for at, _, name, count in offers:
            if name in self._by_worker:
                continue
            if len(names) >= most:
                return None
            names.append(name)
            ready_at = max(ready_at, at)
            if ready_at >= latest:
                return None
            missing -= count
            if missing <= 0:
                return Reservation(unit, tuple(names), ready_at)
        return None
