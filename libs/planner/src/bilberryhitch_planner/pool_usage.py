"""How much of a group of workers is in use, and by what."""

from collections.abc import Sequence

from bilberryhitch_jobs import Resources

from .workers import Worker

IDLE_SHARE = 0.5


def is_underused(workers: Sequence[Worker]) -> bool:
    """Return whether less than half of each resource is in use."""
    total, free = Resources(), Resources()
    for worker in workers:
        total = total.plus(worker.entry.capacity)
        free = free.plus(worker.free)
    return all(
        part >= whole * IDLE_SHARE for part, whole in zip(free, total, strict=True)
    )


def runs_suspect(worker: Worker) -> bool:
    """Return whether a worker runs a unit that may crash it."""
    return any(run.unit and run.unit.isolated for run in worker.runs.values())


def mostly_idle(workers: Sequence[Worker]) -> bool:
    """Return whether more than ``IDLE_SHARE`` of the processor cores are free."""
    total = sum(worker.entry.capacity.cpu for worker in workers)
    return sum(worker.free.cpu for worker in workers) > total * IDLE_SHARE
