"""Chooses workers for gangs and single tasks.

Tasks are packed on the workers with the least free capacity, which keeps whole
workers and racks free for gangs.
"""

from collections.abc import Callable, Iterable, Sequence

from bilberryhitch_jobs import Resources, Step

from .speeds import SLOW_WORKER_SPEED
from .units import StepOccurrence, Unit
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
    if free.cpu < 0 or free.memory < 0 or free.gpu < 0:
        # The worker's capacity has shrunk below what runs there.
        return 0
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


def workers_with_room(workers: Iterable[Worker], step: Step) -> list[Worker]:
    """Return the workers on which at least one task of a step fits."""
    # Every waiting unit is compared with every worker in each round, hence no calls.
    demand = step.demand
    cpu = 0 if step.uses_idle_cpu else demand.cpu
    return [
        worker
        for worker in workers
        if worker.free.gpu >= demand.gpu
        and worker.free.cpu >= cpu
        and worker.free.memory >= demand.memory
    ]


def total_slots(worker: Worker, step: Step) -> int:
    """Return how many tasks of a step fit on the worker when it is empty."""
    return slots(worker.entry.capacity, step)


def matches_labels(worker: Worker, step: Step) -> bool:
    """Return whether a worker's labels allow a step."""
    return not step.required_label or step.required_label in worker.entry.labels


def place_gang(
    unit: Unit,
    workers: Sequence[Worker],
    groups: Sequence[Sequence[Worker]],
    free_gpus: Callable[[Sequence[Worker]], int],
    *,
    across_racks: bool,
) -> dict[int, Worker] | None:
    """Return the worker of each task of a gang, or None if the gang does not fit.

    :param workers: workers that the gang may use now
    :param groups: groups of them, within one of which the gang should run
    :param free_gpus: returns the free accelerators in the rack of a group; the gang
        goes where the fewest are left
    :param across_racks: whether the gang may span racks if it fits into no single one
    """
    step = unit.step.step
    order = _fastest_first if unit.step.job.queue.priority == 0 else _fullest_first
    filled = [
        (group, members) for group in groups if (members := _fill(group, step, order))
    ]
    if not filled and across_racks:
        members = _fill(workers, step, order)
        filled = [(workers, members)] if members else []
    if not filled:
        return None
    _, best = (
        filled[0]
        if len(filled) == 1
        else min(filled, key=lambda option: free_gpus(option[0]))
    )
    return dict(zip(unit.task_indexes, best, strict=True))


def place_task(
    unit: Unit, workers: Iterable[Worker], *, any_rack: bool
) -> Worker | None:
    """Return a worker for a single task, or None if there is none with capacity.

    :param any_rack: whether a rack without the task's data is allowed
    """
    step = unit.step.step
    placed = _tasks_by_worker(unit.step) if step.max_tasks_per_worker else {}
    best: tuple[tuple[object, ...], Worker] | None = None
    for worker in workers:
        if not any_rack and _is_remote(worker, step):
            continue
        if task_slots(worker, step, placed.get(worker.entry.worker, 0)) < 1:
            continue
        rank = _task_rank(worker, step)
        if best is None or rank < best[0]:
            best = (rank, worker)
    return best[1] if best else None


class TaskPlacement:
    """Places many single tasks of one step in a scheduling round.

    Gives the same workers as ``place_task`` for one task after the other: the worker
    that gets a task has even less free capacity, so it stays the first choice until
    it is full. That holds as long as nothing else is placed in between.

    :param workers: workers that the tasks may use
    :param any_rack: whether racks without the tasks' data are allowed
    """

    def __init__(
        self, step: StepOccurrence, workers: Iterable[Worker], *, any_rack: bool
    ) -> None:
        self._step = step.step
        self._placed = _tasks_by_worker(step) if self._step.max_tasks_per_worker else {}
        usable = (
            worker
            for worker in workers
            if any_rack or not _is_remote(worker, self._step)
        )
        self._ranked = sorted(
            usable, key=lambda worker: _task_rank(worker, self._step), reverse=True
        )

    def next_worker(self) -> Worker | None:
        """Return the worker for the next task, or None if there is none."""
        while self._ranked:
            worker = self._ranked[-1]
            name = worker.entry.worker
            placed = self._placed.get(name, 0)
            if task_slots(worker, self._step, placed) > 0:
                self._placed[name] = placed + 1
                return worker
            self._ranked.pop()
        return None


def group_by_rack(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    """Return workers by the name of their rack."""
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.entry.rack, []).append(worker)
    return racks


def _fill(
    workers: Sequence[Worker],
    step: Step,
    order: Callable[[Worker], tuple[float, ...]],
) -> list[Worker] | None:
    """Fill workers in the given order with the tasks of a gang.

    :returns: the worker of each task; None if the gang does not fit
    """
    members: list[Worker] = []
    for worker in sorted(workers, key=order):
        members += [worker] * min(
            task_slots(worker, step), step.task_count - len(members)
        )
        if len(members) == step.task_count:
            return members
    return None


def _tasks_by_worker(step: StepOccurrence) -> dict[str, int]:
    """Count the runs of a step occurrence by worker."""
    counts: dict[str, int] = {}
    for unit in step.units.values():
        for run in unit.runs.values():
            counts[run.worker] = counts.get(run.worker, 0) + 1
    return counts


def _is_remote(worker: Worker, step: Step) -> bool:
    """Return whether a worker is in another rack than the data of a step."""
    return bool(step.data_rack) and worker.entry.rack != step.data_rack


def _task_rank(worker: Worker, step: Step) -> tuple[object, ...]:
    """Sort key: the rack with the data first, there as in ``_fullest_first``."""
    remote = _is_remote(worker, step)
    return (remote, *_fullest_first(worker), worker.entry.worker)


def _fullest_first(worker: Worker) -> tuple[float, ...]:
    """Sort key: the fullest workers first, slow ones last."""
    return worker.speed < SLOW_WORKER_SPEED, worker.free.gpu, worker.free.cpu


def _fastest_first(worker: Worker) -> tuple[float, ...]:
    """Sort key: the fastest workers first, as a gang ends with its slowest member."""
    return -round(worker.speed / SPEED_RESOLUTION), worker.free.gpu, worker.free.cpu
