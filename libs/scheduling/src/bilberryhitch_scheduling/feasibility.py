"""Whether a job can ever run, judged on the pool without any other work."""

from collections.abc import Iterable

from bilberryhitch_model import Host, Pool, Shape

from .estimates import Estimates
from .fleet import Fleet
from .guarantees import Guarantees
from .jobs import Job
from .placement import fill, search
from .starting import Starter


class Feasibility:
    """Answers by shape, remembered until the pool changes.

    :param hosts: all workers of the pool, including lost ones: they come back
    """

    def __init__(self, hosts: Iterable[Host], pool: Pool, data_centre: str) -> None:
        self._fleet = Fleet(hosts)
        rows = [row for row in pool.guarantees if row.data_centre == data_centre]
        guarantees = Guarantees(self._fleet.tree, self._fleet.clear, rows)
        self._starter = Starter(
            self._fleet, guarantees, Estimates(), displace=_no_displacement
        )
        self._starter.borrowing = pool.borrowing
        self._spare: dict[Shape, bool] = {}

    def refusal(self, job: Job) -> str:
        """Return the rule by which the job can never run, or an empty string."""
        starter, shape = self._starter, job.shape
        if shape.tasks < 1:
            return "a gang has at least one task"
        if shape.accelerators == 0:
            fits = self._fleet.core_members(shape, firm=not job.queued.may_borrow)
            if fits is not None:
                return ""
        if not starter.counts_accelerators(job) or not self._fleet.tree.candidates(
            shape
        ):
            return "no cell of the pool holds the gang"
        if not starter.must_be_firm(job):
            return ""
        keys = starter.guarantees.keys(job.queued.client_account)
        if any(starter.fits(job, key) for key in keys) or self._fits_spare(shape):
            return ""
        return "it may not borrow, and no guarantee or spare capacity holds the gang"

    def _fits_spare(self, shape: Shape) -> bool:
        found = self._spare.get(shape)
        if found is None:
            found = any(
                self._starter.keeps_guarantees(members)
                for group in search(self._fleet.tree, self._fleet.clear, shape)
                for cell in group
                if (members := fill(self._fleet, self._fleet.clear.left, cell, shape))
            )
            self._spare[shape] = found
        return found


def _no_displacement(job: Job) -> None:
    """Nothing waits for evictions in an empty pool."""
