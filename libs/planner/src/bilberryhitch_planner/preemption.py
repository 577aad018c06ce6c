"""Chooses runs to preempt so that an urgent unit within its guarantee can start."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from bilberryhitch_jobs import Step

from .lost_work import CHECKPOINT_PERIOD_S
from .placement import slots, total_slots
from .runs import Run, RunState
from .units import TrackedJob, Unit, core_equivalents
from .workers import Worker

# A stop takes less than a second. If the capacity is not free after this time, the
# preemption counts as failed.
HOLD_TIMEOUT_S = 1.2


class PreemptionPlan(NamedTuple):
    """Units to be preempted for another unit.

    :param units: units to be stopped
    :param workers: workers whose capacity is freed, held for the unit that needs it
    :param cost: lost work in core-seconds
    :param across_racks: no single rack can be cleared, so the workers span racks
    """

    units: tuple[Unit, ...]
    workers: tuple[str, ...]
    cost: float
    across_racks: bool = False


class PendingPreemptions:
    """Workers held for the units for which their capacity is being freed."""

    def __init__(self) -> None:
        self._units: dict[str, Unit] = {}
        self._until: dict[str, float] = {}

    def hold_workers(self, workers: tuple[str, ...], unit: Unit, now: float) -> None:
        """Hold workers for a unit; see ``HOLD_TIMEOUT_S``."""
        for name in workers:
            self._units[name] = unit
            self._until[name] = now + HOLD_TIMEOUT_S

    def allows(self, worker: Worker, unit: Unit, now: float) -> bool:
        """Return whether a unit may use a worker."""
        name = worker.entry.worker
        holder = self._units.get(name, unit)
        return holder is unit or now >= self._until[name]

    def pending_for(self, unit: Unit, now: float) -> bool:
        """Return whether capacity for the unit is still expected to become free."""
        return any(
            now < self._until[name]
            for name, holder in self._units.items()
            if holder is unit
        )

    def release(self, unit: Unit) -> None:
        """Release the workers held for a unit."""
        for name in [name for name, holder in self._units.items() if holder is unit]:
            del self._units[name], self._until[name]

    def release_job(self, job: TrackedJob) -> None:
        """Release the workers held for the units of a job."""
        for unit in list(self._units.values()):
            if unit.step.job is job:
                self.release(unit)


def plan_preemption(
    unit: Unit,
    workers: Sequence[Worker],
    preemptible: Callable[[Unit], bool],
    now: float,
) -> PreemptionPlan | None:
    """Return the cheapest preemption for a unit, or None if there is none.

    A unit that must run in one rack gets one rack cleared if possible, else workers
    across racks.

    :param workers: workers that the unit may use
    :param preemptible: returns whether a unit may be preempted
    """
    step = unit.step.step
    missing = len(unit.task_indexes)
    if step.same_rack or step.data_rack:
        racks: dict[str, list[Worker]] = {}
        for worker in workers:
            racks.setdefault(worker.entry.rack, []).append(worker)
        groups = list(racks.values())
        preemption = cheapest_preemption(step, missing, groups, preemptible, now)
        if preemption is not None:
            return preemption
        preemption = cheapest_preemption(step, missing, [workers], preemptible, now)
        return preemption and preemption._replace(across_racks=True)
    return cheapest_preemption(step, missing, [workers], preemptible, now)


def cheapest_preemption(
    step: Step,
    missing: int,
    racks: Sequence[Sequence[Worker]],
    preemptible: Callable[[Unit], bool],
    now: float,
) -> PreemptionPlan | None:
    """Return the cheapest preemption that frees capacity for ``missing`` tasks.

    :param racks: groups of workers; all tasks must fit into one of them
    :param preemptible: returns whether a unit may be preempted
    """
    options = (_preempt_group(step, missing, rack, preemptible, now) for rack in racks)
    return min(
        filter(None, options), key=lambda preemption: preemption.cost, default=None
    )


def stop_cost(unit: Unit, now: float) -> float:
    """Return the work that is lost if a unit is stopped, in core-seconds."""
    step = unit.step.step
    elapsed = max((now - run.ordered_at for run in unit.runs.values()), default=0.0)
    if step.saves_progress:
        elapsed = min(elapsed, CHECKPOINT_PERIOD_S)
    return core_equivalents(step) * elapsed * len(unit.runs)


def _preempt_group(
    step: Step,
    missing: int,
    workers: Sequence[Worker],
    preemptible: Callable[[Unit], bool],
    now: float,
) -> PreemptionPlan | None:
    stopped: dict[int, Unit] = {}
    used: list[str] = []
    cost = 0.0
    freed_slots = 0
    plans = sorted(
        (
            plan
            for worker in workers
            if (plan := _plan_worker(step, worker, preemptible, now))
        ),
        key=lambda plan: plan.cost / plan.slots,
    )
    for plan in plans:
        new_units = [unit for unit in plan.units if id(unit) not in stopped]
        cost += sum(stop_cost(unit, now) for unit in new_units)
        stopped.update((id(unit), unit) for unit in new_units)
        used.append(plan.worker)
        freed_slots += plan.slots
        if freed_slots >= missing:
            return PreemptionPlan(tuple(stopped.values()), tuple(used), cost)
    return None


class _WorkerPlan(NamedTuple):
    worker: str
    slots: int
    units: tuple[Unit, ...]
    cost: float


def _plan_worker(
    step: Step, worker: Worker, preemptible: Callable[[Unit], bool], now: float
) -> _WorkerPlan | None:
    """Choose the cheapest runs of a worker until no further task would fit."""
    free = worker.free
    for run in worker.runs.values():
        if run.state is RunState.STOPPING:
            free = free.plus(run.demand)
    most = total_slots(worker, step)
    victims = sorted(
        (run for run in worker.runs.values() if _may_preempt(run, preemptible)),
        key=lambda run: stop_cost(run.unit, now) if run.unit else 0.0,
    )
    if worker.exclusive:
        return _plan_exclusive_worker(step, worker, victims, now)
    best = slots(free, step)
    taken: list[Unit] = []
    for run in victims:
        if best >= most or run.unit is None:
            break
        free = free.plus(run.demand)
        taken.append(run.unit)
        best = slots(free, step)
    if best == 0:
        return None
    units = tuple({id(unit): unit for unit in taken}.values())
    return _WorkerPlan(
        worker.entry.worker,
        best,
        units,
        sum(stop_cost(unit, now) for unit in units),
    )


def _plan_exclusive_worker(
    step: Step, worker: Worker, victims: Sequence[Run], now: float
) -> _WorkerPlan | None:
    """Plan for a worker that has room for others only without its present runs."""
    units = tuple({id(run.unit): run.unit for run in victims if run.unit}.values())
    kept = any(
        run.state is not RunState.STOPPING and run not in victims
        for run in worker.runs.values()
    )
    most = total_slots(worker, step)
    if kept or most == 0:
        return None
    cost = sum(stop_cost(unit, now) for unit in units)
    return _WorkerPlan(worker.entry.worker, most, units, cost)


def _may_preempt(run: Run, preemptible: Callable[[Unit], bool]) -> bool:
    return (
        run.state is not RunState.STOPPING
        and run.unit is not None
        and preemptible(run.unit)
    )
