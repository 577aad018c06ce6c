"""Workers of a service that may get new runs, grouped by rack."""

from collections.abc import Sequence
from functools import cached_property

from bilberryhitch_jobs import Resources, Step

from .placement import group_by_rack, matches_labels, total_slots
from .rack_forecast import Offer, RackForecast
from .workers import Worker


class WorkerPool:
    """Usable workers of a service.

    What depends on the registrations alone is computed once. A pool serves as long as
    the same workers with the same registrations are usable; see ``holds``.

    :ivar workers: the usable workers
    :ivar racks: the same workers by rack
    """

    def __init__(self, workers: Sequence[Worker]) -> None:
        self.workers = workers
        self.racks = group_by_rack(workers)
        self._forecasts: dict[str, RackForecast] = {}
        self._entries = [worker.entry for worker in workers]
        self._by_label: dict[str, WorkerPool] = {}
        self._large_racks: dict[tuple[Resources, int, int, bool], list[str]] = {}

    @cached_property
    def by_name(self) -> dict[str, Worker]:
        """The usable workers by identifier."""
        return {worker.entry.worker: worker for worker in self.workers}

    def holds(self, workers: Sequence[Worker]) -> bool:
        """Return whether these workers and registrations are the ones of the pool."""
        return len(workers) == len(self.workers) and all(
            worker is known and worker.entry is entry
            for worker, known, entry in zip(
                workers, self.workers, self._entries, strict=True
            )
        )

    def for_step(self, step: Step) -> "WorkerPool":
        """Return the pool of the workers whose labels allow a step."""
        label = step.required_label
        if not label:
            return self
        pool = self._by_label.get(label)
        if pool is None:
            pool = self._by_label[label] = WorkerPool(
                [each for each in self.workers if matches_labels(each, step)]
            )
        return pool

    def offers(
        self, rack: str, step: Step, now: float, *, isolated: bool
    ) -> list[Offer]:
        """Return when the workers of a rack have room for tasks of a step.

        :param isolated: only idle workers will do
        """
        known = self._forecasts.get(rack)
        if known is None:
            known = self._forecasts[rack] = RackForecast(self.racks[rack])
        return known.offers(step, now, isolated=isolated)

    def locality_racks(self, step: Step) -> list[str]:
        """Return the racks in one of which a gang should run; none if all will do."""
        if not step.same_rack and not step.data_rack:
            return []
        large = self._racks_that_hold(step)
        if step.data_rack and step.data_rack in large:
            return [step.data_rack]
        return large

    def _racks_that_hold(self, step: Step) -> list[str]:
        """Return the racks that hold all tasks of a step when they are empty."""
        per_worker = step.max_tasks_per_worker
        key = (step.demand, step.task_count, per_worker, step.uses_idle_cpu)
        racks = self._large_racks.get(key)
        if racks is None:
            racks = self._large_racks[key] = [
                name
                for name, rack in self.racks.items()
                if sum(total_slots(worker, step) for worker in rack) >= step.task_count
            ]
        return racks

    def locality_groups(
        self, step: Step, workers: Sequence[Worker]
    ) -> list[Sequence[Worker]]:
        """Return groups of the given workers; a gang should run within one of them."""
        racks = self.locality_racks(step)
        if not racks:
            return [workers]
        by_rack = group_by_rack(workers)
        return [by_rack.get(rack, ()) for rack in racks]
