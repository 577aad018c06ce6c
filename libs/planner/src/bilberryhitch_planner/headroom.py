"""Idle workers that are set aside for urgent work, by its recent demand."""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from bilberryhitch_jobs import Queue

from .completion import speed_class
from .guarantees import unit_gpus
from .placement import group_by_rack
from .units import TrackedJob
from .workers import Worker

# Largest and smallest share of a pool's workers that is set aside for urgent work
# while less than HEADROOM_IDLE_SHARE of the pool's accelerators is free.
MAX_SHARE = 1 / 8
MIN_SHARE = 1 / 16
HEADROOM_IDLE_SHARE = 0.5
# Demand is counted over this time, in seconds.
WINDOW_S = 8.0


class Demand(NamedTuple):
    """Accelerators that urgent work needs.

    :param gpus: mean number in use at the same time
    :param unit_gpus: mean number that a unit needs
    """

    gpus: float = 0.0
    unit_gpus: float = 0.0


class UrgentDemand:
    """Demand of the urgent units that arrived within the last seconds, by service."""

    def __init__(self) -> None:
        self._arrivals: dict[str, deque[tuple[float, int, float]]] = {}
        self._services: frozenset[str] = frozenset()

    def configure(self, queues: Iterable[Queue]) -> None:
        """Set the services that have a queue for urgent work."""
        self._services = frozenset(
            queue.service for queue in queues if queue.priority == 0
        )

    def may_come(self, service: str) -> bool:
        """Return whether a service has a queue for urgent work."""
        return service in self._services

    def record(self, job: TrackedJob, now: float) -> None:
        """Count the units of a job that has just arrived, if it is urgent."""
        if job.queue.priority != 0:
            return
        arrivals = self._arrivals.setdefault(job.queue.service, deque())
        for unit in job.units:
            step = unit.step.step
            if not step.long_running:
                arrivals.append((now, unit_gpus(unit), step.estimate_s))

    def recent(self, service: str, now: float) -> Demand:
        """Return the demand of a service's urgent work."""
        arrivals = self._arrivals.get(service)
        while arrivals and arrivals[0][0] < now - WINDOW_S:
            arrivals.popleft()
        if not arrivals:
            return Demand()
        gpu_s = sum(gpus * time_s for _, gpus, time_s in arrivals)
        gpus = sum(gpus for _, gpus, _ in arrivals)
        return Demand(gpu_s / WINDOW_S, gpus / len(arrivals))


def headroom(workers: Sequence[Worker], demand: Demand) -> frozenset[str]:
    """Return the idle workers that are set aside for urgent work.

    Urgent gangs are short and have little slack. Without headroom each arrival in a
    full pool preempts other work. The fastest workers are taken, side by side in racks
    in which a unit of the usual size fits. While at least half of the pool's
    accelerators are free, nothing is set aside.
    """
    total = sum(worker.entry.capacity.gpu for worker in workers)
    free = sum(worker.free.gpu for worker in workers)
    if not total or free >= total * HEADROOM_IDLE_SHARE:
        return frozenset()
    idle = [
        worker
        for worker in workers
        if worker.entry.capacity.gpu and worker.free.gpu == worker.entry.capacity.gpu
    ]
    most = int(len(workers) * MAX_SHARE)
    wanted = math.ceil(demand.gpus * len(workers) / total)
    count = min(most, max(math.ceil(len(workers) * MIN_SHARE), wanted))
    if len(idle) <= count:
        return frozenset(worker.entry.worker for worker in idle)
    size = max(1, math.ceil(demand.unit_gpus * len(workers) / total))
    chosen = [worker for group in _sets(idle, size) for worker in group]
    return frozenset(worker.entry.worker for worker in chosen[:count])


def _sets(idle: Sequence[Worker], size: int) -> list[list[Worker]]:
    """Return the idle workers in sets of one rack, those with fast members first."""
    sets = []
    for rack, members in sorted(group_by_rack(idle).items()):
        members.sort(key=lambda each: (-speed_class(each), each.entry.worker))
        for at in range(0, len(members), size):
            group = members[at : at + size]
            rank = (len(group) < size, -speed_class(group[-1]), rack, at)
            sets.append((rank, group))
    return [group for _, group in sorted(sets, key=lambda each: each[0])]
