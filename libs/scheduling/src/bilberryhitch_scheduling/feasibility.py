"""Whether a job could run in the pool if no other work were running."""

from collections.abc import Iterable

from bilberryhitch_model import Host, Pool, Shape

from .allocator import Allocator
from .cell_search import place_in_cell, search_cells
from .guaranteed_cells import GuaranteedCells
from .jobs import Job
from .pool_state import PoolState
from .run_time_estimates import RunTimeEstimates


class Feasibility:
    """Admission check against an idle pool; results are cached per shape.

    :param hosts: all workers of the pool, including lost ones, which may come back
    :param pool: row of the pool; build a new object when it changes
    """

    def __init__(self, hosts: Iterable[Host], pool: Pool, data_centre: str) -> None:
        self._pool_state = PoolState(hosts)
        rows = [row for row in pool.guarantees if row.data_centre == data_centre]
        guarantees = GuaranteedCells(
            self._pool_state.tree, self._pool_state.reclaimable, rows
        )
        self._allocator = Allocator(
            self._pool_state, guarantees, RunTimeEstimates(), displace=_ignore_displaced
        )
        self._allocator.borrowing = pool.borrowing
        self._fits_spare_by_shape: dict[Shape, bool] = {}

    def infeasible_reason(self, job: Job) -> str:
        """Return the rule that keeps the job from ever running, empty for none."""
        allocator, shape = self._allocator, job.shape
        if shape.tasks < 1:
            return "a gang has at least one task"
        if shape.accelerators == 0:
            fits = self._pool_state.cpu_members(
                shape, protected=not job.spec.may_borrow
            )
            if fits is not None:
                return ""
        if not allocator.uses_accelerators(
            job
        ) or not self._pool_state.tree.candidate_kinds(shape):
            return "no cell of the pool holds the gang"
        if not allocator.requires_protection(job):
            return ""
        keys = allocator.guarantees.keys(job.spec.client_account)
        if any(allocator.fits_guarantee(job, key) for key in keys) or self._fits_spare(
            shape
        ):
            return ""
        return "it may not borrow, and no guarantee or spare capacity holds the gang"

    def _fits_spare(self, shape: Shape) -> bool:
        found = self._fits_spare_by_shape.get(shape)
        if found is None:
            found = any(
                self._allocator.keeps_guarantees(members)
                for group in search_cells(
                    self._pool_state.tree, self._pool_state.reclaimable, shape
                )
                for cell in group
                if (
                    members := place_in_cell(
                        self._pool_state,
                        self._pool_state.reclaimable.available,
                        cell,
                        shape,
                    )
                )
            )
            self._fits_spare_by_shape[shape] = found
        return found


def _ignore_displaced(job: Job) -> None:
    """Do nothing: no job waits for evictions in an idle pool."""
