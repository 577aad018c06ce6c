"""Chooses workers for gangs and single tasks.

Tasks are packed on the workers with the least free capacity, which keeps whole
workers and racks free for gangs.
"""

from collections.abc import Callable, Iterable, Sequence

from bilberryhitch_jobs import Resources, Step

from .speeds import SLOW_WORKER_SPEED
from .units import Unit
from .workers import Worker

# Speed estimates that differ by less than this are treated as equal.
SPEED_RESOLUTION = 0.15
# Share of a pool's workers that is set aside for urgent work while less than
# HEADROOM_IDLE_SHARE of the pool's accelerators is free.
HEADROOM_SHARE = 1 / 8
HEADROOM_IDLE_SHARE = 0.5


def headroom(workers: Sequence[Worker]) -> frozenset[str]:
    """Return the idle workers that are set aside for urgent work.

    Urgent gangs are short and have little slack. Without headroom each arrival in a
    full pool preempts other work. While at least half of the pool's accelerators are
    free, nothing is set aside.
    """
    total = sum(worker.entry.capacity.gpu for worker in workers)
    free = sum(worker.free.gpu for worker in workers)
    if free >= total * HEADROOM_IDLE_SHARE:
        return frozenset()
    idle = [
        worker.entry.worker
        for worker in workers
        if worker.entry.capacity.gpu and worker.free.gpu == worker.entry.capacity.gpu
    ]
    return frozenset(sorted(idle)[: int(len(workers) * HEADROOM_SHARE)])


def slots(free: Resources, step: Step, placed: int = 0) -> int:
    """Return how many tasks of a step fit into free capacity.

    :param placed: tasks of the same occurrence that the worker runs already
    """
    # This is the innermost loop: plain comparisons are twice as fast as min().
    demand = step.demand
    most = (
        step.max_tasks_per_worker - placed
        if step.max_tasks_per_worker
        else step.task_count
    )
    if demand.cpu and not step.uses_idle_cpu and free.cpu < most * demand.cpu:
        most = free.cpu // demand.cpu
    if demand.memory and free.memory < most * demand.memory:
        most = free.memory // demand.memory
    if demand.gpu and free.gpu < most * demand.gpu:
        most = free.gpu // demand.gpu
    return max(0, most)


def task_slots(worker: Worker, step: Step, placed: int = 0) -> int:
    """Return how many more tasks of a step fit on a worker.

    :param placed: tasks of the same occurrence that it runs already
    """
    return slots(worker.free, step, placed)


def total_slots(worker: Worker, step: Step) -> int:
    """Return how many tasks of a step fit on the worker when it is empty."""
    return slots(worker.entry.capacity, step)


def matches_labels(worker: Worker, step: Step) -> bool:
    """Return whether a worker's labels allow a step."""
    return not step.required_label or step.required_label in worker.entry.labels


def place_gang(
    unit: Unit, workers: Sequence[Worker], pool: Sequence[Worker], *, across_racks: bool
) -> dict[int, Worker] | None:
    """Return the worker of each task of a gang, or None if the gang does not fit.

    A gang that must run in one rack waits for one, unless no rack is large enough.

    :param workers: workers that the gang may use now
    :param pool: all workers that the gang may use once they are free
    :param across_racks: whether the gang may span racks if it fits into no single one
    """
    step = unit.step.step
    order = _fastest_first if unit.step.job.queue.priority == 0 else _fullest_first
    groups = locality_groups(step, workers, pool)
    filled = [found for group in groups if (found := _fill(group, step, order))]
    if not filled and across_racks:
        filled = [found] if (found := _fill(list(workers), step, order)) else []
    if not filled:
        return None
    best = min(filled, key=lambda option: option[0])
    return dict(zip(unit.task_indexes, best[1], strict=True))


def locality_groups(
    step: Step, workers: Sequence[Worker], pool: Sequence[Worker]
) -> list[list[Worker]]:
    """Return groups of workers; a gang should run within one of them."""
    racks = _locality_racks(step, pool)
    if not racks:
        return [list(workers)]
    by_rack = _group_by_rack(workers)
    return [by_rack.get(rack, []) for rack in racks]


def _locality_racks(step: Step, pool: Sequence[Worker]) -> list[str]:
    """Return the racks in one of which a gang should run; empty if any mix will do."""
    racks = _group_by_rack(pool)
    if step.data_rack and _holds_when_empty(racks.get(step.data_rack, ()), step):
        return [step.data_rack]
    if not step.same_rack and not step.data_rack:
        return []
    return [name for name, rack in racks.items() if _holds_when_empty(rack, step)]


def place_task(
    unit: Unit, workers: Iterable[Worker], *, any_rack: bool
) -> Worker | None:
    """Return a worker for a single task, or None if there is none with capacity.

    :param any_rack: whether a rack without the task's data is allowed
    """
    step = unit.step.step
    placed = _tasks_by_worker(unit) if step.max_tasks_per_worker else {}
    best: tuple[tuple[object, ...], Worker] | None = None
    for worker in workers:
        away = bool(step.data_rack) and worker.entry.rack != step.data_rack
        if away and not any_rack:
            continue
        if task_slots(worker, step, placed.get(worker.entry.worker, 0)) < 1:
            continue
        rank = (away, *_fullest_first(worker), worker.entry.worker)
        if best is None or rank < best[0]:
            best = (rank, worker)
    return best[1] if best else None


def _group_by_rack(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.entry.rack, []).append(worker)
    return racks


def _holds_when_empty(rack: Iterable[Worker], step: Step) -> bool:
    return sum(total_slots(worker, step) for worker in rack) >= step.task_count


def _fill(
    workers: list[Worker], step: Step, order: Callable[[Worker], tuple[float, ...]]
) -> tuple[int, list[Worker]] | None:
    """Fill workers in the given order with the tasks of a gang.

    :returns: the accelerators left free and the worker of each task; None if the
        gang does not fit
    """
    members: list[Worker] = []
    for worker in sorted(workers, key=order):
        members += [worker] * min(
            task_slots(worker, step), step.task_count - len(members)
        )
        if len(members) == step.task_count:
            left = sum(each.free.gpu for each in workers)
            return left - step.task_count * step.demand.gpu, members
    return None


def _tasks_by_worker(unit: Unit) -> dict[str, int]:
    """Count the runs of the unit's step occurrence by worker."""
    counts: dict[str, int] = {}
    for other in unit.step.units.values():
        for run in other.runs.values():
            counts[run.worker] = counts.get(run.worker, 0) + 1
    return counts


def _fullest_first(worker: Worker) -> tuple[float, ...]:
    """Sort key: the fullest workers first, slow ones last."""
    return worker.speed < SLOW_WORKER_SPEED, worker.free.gpu, worker.free.cpu


def _fastest_first(worker: Worker) -> tuple[float, ...]:
    """Sort key: the fastest workers first, as a gang ends with its slowest member."""
    return -round(worker.speed / SPEED_RESOLUTION), worker.free.gpu, worker.free.cpu
