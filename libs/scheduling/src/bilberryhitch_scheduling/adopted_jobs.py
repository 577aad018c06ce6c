"""Binding of the guaranteed cells of jobs that run already at a planner failover."""

from bilberryhitch_model import Member

from .guaranteed_cells import BoundCell, GuaranteedCells, GuaranteeKey
from .jobs import Job
from .pool_state import PoolState


class AdoptedJobs:
    """Adopted jobs whose guaranteed cell is not bound yet.

    Cells are bound only after all running jobs were adopted, because a cell that
    looks unused before may hold another account's job.
    """

    def __init__(self, pool_state: PoolState, guarantees: GuaranteedCells) -> None:
        self._pool_state = pool_state
        self._guarantees = guarantees
        self._pending: dict[str, tuple[Job, int | None]] = {}

    def add(self, job: Job, size: int | None) -> None:
        """Add an adopted job.

        :param size: ``Placement.cell`` of its start: accelerators of the guaranteed
            cell, 0 outside any, ``None`` when not known
        """
        if size != 0 and job.allocated_accelerators:
            self._pending[job.job_id] = (job, size)

    def discard(self, job: Job) -> None:
        """Discard a job that ended before its cell was bound."""
        self._pending.pop(job.job_id, None)

    def bind_cells(self) -> list[Job]:
        """Bind cells where possible; jobs with a known cell size go first.

        :returns: the jobs whose cell was not bound before
        """
        waiting, self._pending = self._pending, {}
        rows = sorted(waiting.values(), key=lambda row: row[1] is None)
        for job, size in rows:
            if job.bound_cell is None:
                self._bind_job(job, size)
        return [job for job, _ in rows]

    def _bind_job(self, job: Job, size: int | None) -> None:
        account = job.spec.client_account
        if size is not None:
            for cell in self._cells_around(job, GuaranteeKey(account, size)):
                if self._join_recorded_cell(job, GuaranteeKey(account, size), cell):
                    return
        for key in self._guarantees.keys(account):
            for cell in self._cells_around(job, key):
                if self._guarantees.unbound_count(key) and self._try_bind(key, cell):
                    return

    def _cells_around(self, job: Job, key: GuaranteeKey) -> list[int]:
        """Return the cells that can hold the guarantee and contain the job."""
        tree = self._pool_state.tree
        taken = self._accelerators(job.members)
        kinds = self._guarantees.cell_kinds(key)
        cell = tree.leaves[min(taken)]
        found = []
        while cell >= 0:
            row = tree.cells[cell]
            if max(taken) < row.start + row.size and row.kind in kinds:
                found.append(cell)
            cell = row.parent
        return found

    def _join_recorded_cell(self, job: Job, key: GuaranteeKey, cell: int) -> bool:
        """Assign a job to a cell of its recorded size, even beyond the guarantee."""
        bound = self._guarantees.bound_cell_around(cell)
        if bound is None and self._protected_jobs_in(key, cell) is not None:
            bound = self._guarantees.bind(key, cell)
        if bound is None or bound.key != key:
            return False
        assign_bound_cell(job, bound)
        return True

    def _try_bind(self, key: GuaranteeKey, cell: int) -> bool:
        """Bind a cell unless more guaranteed cells would be missing afterwards."""
        jobs = self._protected_jobs_in(key, cell)
        if jobs is None or self._guarantees.bound_cell_around(cell) is not None:
            return False
        before = self._guarantees.shortage()
        bound = self._guarantees.bind(key, cell)
        after = self._guarantees.shortage()
        if any(now > then for now, then in zip(after, before, strict=True)):
            self._guarantees.unbind(bound)
            return False
        for job in jobs:
            assign_bound_cell(job, bound)
        return True

    def _protected_jobs_in(self, key: GuaranteeKey, cell: int) -> list[Job] | None:
        """Return the protected jobs in a cell, or ``None`` if it cannot be bound.

        All of them must belong to the account, lie inside the cell and be in no
        other bound cell.
        """
        row = self._pool_state.tree.cells[cell]
        inside = range(row.start, row.start + row.size)
        jobs: dict[str, Job] = {}
        for accelerator in inside:
            job = self._pool_state.jobs.get(self._pool_state.owner[accelerator] or "")
            if job is not None and job.protected:
                jobs[job.job_id] = job
            elif self._pool_state.reclaimable.is_taken(
                accelerator
            ) and self._pool_state.usable(
                self._pool_state.tree.host_of_accelerator[accelerator]
            ):
                return None
        for job in jobs.values():
            ours = job.spec.client_account == key.client_account
            within = all(a in inside for a in self._accelerators(job.members))
            if not ours or not within or job.bound_cell is not None:
                return None
        return list(jobs.values())

    def _accelerators(self, members: tuple[Member, ...]) -> list[int]:
        return [a for member in members for a in self._pool_state.accelerators(member)]


def assign_bound_cell(job: Job, bound: BoundCell) -> None:
    """Record that a job runs inside a bound cell."""
    job.bound_cell = bound
    job.guaranteed = True
    bound.jobs[job.job_id] = None
