"""Chooses workers for gangs and single tasks.

Tasks are packed on the workers with the least free capacity, which keeps whole
workers and racks free for gangs.
"""

from collections.abc import Callable, Iterable, Sequence

from bilberryhitch_jobs import Resources, Step

from .completion import speed_class
from .speeds import SLOW_WORKER_SPEED
from .units import StepOccurrence, Unit
from .workers import Worker

# Odds of meeting an objective that differ by less than this are treated as equal.
ODDS_RESOLUTION = 0.05
# Patient work is content with these odds, and leaves faster workers to others.
GOOD_ODDS = 0.9

Odds = Callable[[Worker], float]


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
    odds: Odds | None = None,
) -> dict[int, Worker] | None:
    """Return the worker of each task of a gang, or None if the gang does not fit.

    Urgent gangs get the set with the best odds, patient ones the slowest set on which
    their odds are good.

    :param workers: workers that the gang may use now
    :param groups: groups of them, within one of which the gang should run
    :param free_gpus: returns the free accelerators in the rack of a group; among sets
        with like odds the gang goes where the fewest are left
    :param across_racks: whether the gang may span racks if it fits into no single one
    :param odds: returns the odds of the gang on workers as fast as the given one; None
        if it has no objective
    """
    step = unit.step.step
    urgent = unit.step.job.queue.priority == 0
    filled = [
        (group, members)
        for group in groups
        if (members := _fill_in_time(group, step, odds, urgent=urgent))
    ]
    if not filled and across_racks:
        members = _fill_in_time(workers, step, odds, urgent=urgent)
        filled = [(workers, members)] if members else []
    if not filled:
        return None
    if odds is not None and len(filled) > 1:
        filled = _best_sets(filled, odds, urgent=urgent)
    _, best = (
        filled[0]
        if len(filled) == 1
        else min(filled, key=lambda option: free_gpus(option[0]))
    )
    return dict(zip(unit.task_indexes, best, strict=True))


def place_task(
    unit: Unit,
    workers: Iterable[Worker],
    *,
    any_rack: bool,
    odds: Odds | None = None,
) -> Worker | None:
    """Return a worker for a single task, or None if there is none with capacity.

    :param any_rack: whether a rack without the task's data is allowed
    :param odds: returns the odds of the task on a worker; None if it has no objective
    """
    step = unit.step.step
    placed = _tasks_by_worker(unit.step) if step.max_tasks_per_worker else {}
    usable = [
        worker
        for worker in workers
        if (any_rack or not _is_remote(worker, step))
        and task_slots(worker, step, placed.get(worker.entry.worker, 0)) > 0
    ]
    rank = _task_rank(unit.step, usable, odds)
    return min(usable, key=rank, default=None)


class TaskPlacement:
    """Places many single tasks of one step in a scheduling round.

    Gives the same workers as ``place_task`` for one task after the other: the worker
    that gets a task has even less free capacity, so it stays the first choice until
    it is full. That holds as long as nothing else is placed in between.

    :param workers: workers that the tasks may use
    :param any_rack: whether racks without the tasks' data are allowed
    :param odds: returns the odds of a task on a worker; None if it has no objective
    """

    def __init__(
        self,
        step: StepOccurrence,
        workers: Iterable[Worker],
        *,
        any_rack: bool,
        odds: Odds | None = None,
    ) -> None:
        self._step = step.step
        self._placed = _tasks_by_worker(step) if self._step.max_tasks_per_worker else {}
        usable = [
            worker
            for worker in workers
            if any_rack or not _is_remote(worker, self._step)
        ]
        rank = _task_rank(step, usable, odds)
        self._ranked = sorted(usable, key=rank, reverse=True)

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


def _fill_in_time(
    workers: Sequence[Worker], step: Step, odds: Odds | None, *, urgent: bool
) -> list[Worker] | None:
    """Return workers for a gang's tasks; slow ones only if no others will do."""
    if odds is None:
        return _fill(workers, step, _fastest_first if urgent else _fullest_first)
    fastest = _fill(workers, step, _fastest_first)
    if fastest is None:
        return None
    least = min(map(odds, fastest)) - ODDS_RESOLUTION
    if not urgent:
        least = min(least, GOOD_ODDS)
    good = [worker for worker in workers if odds(worker) >= least]
    return _fill(good, step, _fullest_first if urgent else _slowest_first)


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


def _best_sets(
    filled: Sequence[tuple[Sequence[Worker], list[Worker]]],
    odds: Odds,
    *,
    urgent: bool,
) -> list[tuple[Sequence[Worker], list[Worker]]]:
    """Return the sets with the best odds; for patient work the slowest good ones."""
    least = [min(map(odds, members)) for _, members in filled]
    goal = max(least) - ODDS_RESOLUTION
    if not urgent:
        goal = min(goal, GOOD_ODDS)
    best = [each for each, value in zip(filled, least, strict=True) if value >= goal]
    if urgent:
        return best
    speeds = [_mean_speed_class(members) for _, members in best]
    slowest = min(speeds)
    return [each for each, speed in zip(best, speeds, strict=True) if speed == slowest]


def _mean_speed_class(members: Sequence[Worker]) -> int:
    return round(sum(map(speed_class, members)) / len(members))


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


def _task_rank(
    step: StepOccurrence, usable: Sequence[Worker], odds: Odds | None
) -> Callable[[Worker], tuple[object, ...]]:
    """Return a sort key: the rack with the data first, there as for patient gangs.

    Urgent single tasks go to the fullest workers.

    :param usable: workers that may be ranked
    """
    task = step.step
    if odds is None or not usable or step.job.queue.priority == 0:

        def plain_rank(worker: Worker) -> tuple[object, ...]:
            remote = _is_remote(worker, task)
            return (remote, *_fullest_first(worker), worker.entry.worker)

        return plain_rank
    goal = min(GOOD_ODDS, max(map(odds, usable)) - ODDS_RESOLUTION)

    def rank(worker: Worker) -> tuple[object, ...]:
        remote, value = _is_remote(worker, task), odds(worker)
        # Without good odds, the fastest workers come first.
        lacking = 0 if value >= goal else -speed_class(worker)
        order = _slowest_first(worker)
        return (remote, value < goal, lacking, *order, worker.entry.worker)

    return rank


def _fullest_first(worker: Worker) -> tuple[float, ...]:
    """Sort key: the fullest workers first, slow ones last."""
    return worker.speed < SLOW_WORKER_SPEED, worker.free.gpu, worker.free.cpu


def _fastest_first(worker: Worker) -> tuple[float, ...]:
    """Sort key: the fastest workers first, as a gang ends with its slowest member."""
    return -speed_class(worker), worker.free.gpu, worker.free.cpu


def _slowest_first(worker: Worker) -> tuple[float, ...]:
    """Sort key: the slowest workers first, but disturbed ones last."""
    disturbed = worker.speed < SLOW_WORKER_SPEED
    return disturbed, speed_class(worker), worker.free.gpu, worker.free.cpu
