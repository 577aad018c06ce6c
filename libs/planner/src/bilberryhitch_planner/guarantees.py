"""Guaranteed accelerators of client accounts and how many of them are in use."""

from collections.abc import Iterable

from bilberryhitch_jobs import Account

from .runs import RunState
from .units import Unit
from .workers import Worker


class Guarantees:
    """Guaranteed and used accelerators of each client account.

    Only work of priority 0 counts as usage, and runs that are being stopped do not.
    """

    def __init__(self) -> None:
        self._guaranteed: dict[str, int] = {}
        self._held: dict[str, int] = {}

    def configure(self, accounts: Iterable[Account]) -> None:
        """Set the guarantees."""
        self._guaranteed = {each.name: each.guaranteed_gpu for each in accounts}

    def count(self, workers: Iterable[Worker]) -> None:
        """Recount the accelerators in use."""
        self._held = {}
        for worker in workers:
            for run in worker.runs.values():
                if run.unit is not None and run.state is not RunState.STOPPING:
                    self._add(run.unit, run.demand.gpu)

    def claim(self, unit: Unit) -> None:
        """Count the accelerators of a unit that is about to be started."""
        self._add(unit, unit_gpus(unit))

    def covers(self, unit: Unit) -> bool:
        """Return whether a waiting unit fits into its account's guarantee."""
        account = unit.step.job.request.account
        wanted = self._held.get(account, 0) + unit_gpus(unit)
        return wanted <= self._guaranteed.get(account, 0)

    def allows_preemption(self, unit: Unit) -> bool:
        """Return whether a unit may be preempted.

        That is so if it uses capacity beyond its account's guarantee. Long-running
        units are never preempted.
        """
        job = unit.step.job
        if unit.step.step.long_running:
            return False
        if job.queue.priority > 0:
            return True
        account = job.request.account
        rest = self._held.get(account, 0) - unit_gpus(unit)
        return rest >= self._guaranteed.get(account, 0)

    def _add(self, unit: Unit, gpu: int) -> None:
        job = unit.step.job
        if job.queue.priority == 0:
            account = job.request.account
            self._held[account] = self._held.get(account, 0) + gpu


def unit_gpus(unit: Unit) -> int:
    """Return the total number of accelerators that a unit needs."""
    return len(unit.task_indexes) * unit.step.step.demand.gpu
