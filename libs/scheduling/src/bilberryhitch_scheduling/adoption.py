"""Binds the guaranteed cells of jobs that a planner takes over."""

from bilberryhitch_model import Member

from .fleet import Fleet
from .guarantees import BoundCell, GuaranteeKey, Guarantees
from .jobs import Job


class Adoption:
    """Adopted jobs whose cell is not bound yet.

    Cells are bound after all running jobs were adopted: a cell that looks unused
    before may hold another account's job.
    """

    def __init__(self, fleet: Fleet, guarantees: Guarantees) -> None:
        self._fleet = fleet
        self._guarantees = guarantees
        self._waiting: dict[str, tuple[Job, int | None]] = {}

    def add(self, job: Job, size: int | None) -> None:
        """Note an adopted job.

        :param size: ``Placement.cell`` of its start
        """
        if size != 0 and job.occupied:
            self._waiting[job.job_id] = (job, size)

    def forget(self, job: Job) -> None:
        """Drop a job that ended first."""
        self._waiting.pop(job.job_id, None)

    def settle(self) -> list[Job]:
        """Bind what can be bound; jobs that know their cell go first.

        :returns: the jobs that were waiting
        """
        waiting, self._waiting = self._waiting, {}
        rows = sorted(waiting.values(), key=lambda row: row[1] is None)
        for job, size in rows:
            if job.cell is None:
                self._settle(job, size)
        return [job for job, _ in rows]

    def _settle(self, job: Job, size: int | None) -> None:
        account = job.queued.client_account
        if size is not None:
            for cell in self._around(job, GuaranteeKey(account, size)):
                if self._join(job, GuaranteeKey(account, size), cell):
                    return
        for key in self._guarantees.keys(account):
            for cell in self._around(job, key):
                if self._guarantees.unbound(key) and self._bind_held(key, cell):
                    return

    def _around(self, job: Job, key: GuaranteeKey) -> list[int]:
        """Return the cells that can hold the guarantee and lie around the job."""
        tree = self._fleet.tree
        taken = self._accelerators(job.members)
        kinds = self._guarantees.kinds(key)
        cell = tree.leaves[min(taken)]
        found = []
        while cell >= 0:
            row = tree.cells[cell]
            if max(taken) < row.start + row.size and row.kind in kinds:
                found.append(cell)
            cell = row.parent
        return found

    def _join(self, job: Job, key: GuaranteeKey, cell: int) -> bool:
        """Enter the cell that the start named, even if its guarantee shrank."""
        bound = self._guarantees.bound_at(cell)
        if bound is None and self._own_jobs(key, cell) is not None:
            bound = self._guarantees.bind(key, cell)
        if bound is None or bound.key != key:
            return False
        enter(job, bound)
        return True

    def _bind_held(self, key: GuaranteeKey, cell: int) -> bool:
        """Bind a cell unless other guarantees would lose cells by it."""
        jobs = self._own_jobs(key, cell)
        if jobs is None or self._guarantees.bound_at(cell) is not None:
            return False
        before = self._guarantees.shortage()
        bound = self._guarantees.bind(key, cell)
        after = self._guarantees.shortage()
        if any(now > then for now, then in zip(after, before, strict=True)):
            self._guarantees.unbind(bound)
            return False
        for job in jobs:
            enter(job, bound)
        return True

    def _own_jobs(self, key: GuaranteeKey, cell: int) -> list[Job] | None:
        """Return the unevictable jobs in a cell if all belong to the account."""
        row = self._fleet.tree.cells[cell]
        inside = range(row.start, row.start + row.size)
        jobs: dict[str, Job] = {}
        for accelerator in inside:
            job = self._fleet.jobs.get(self._fleet.owner[accelerator] or "")
            if job is not None and job.firm:
                jobs[job.job_id] = job
            elif self._fleet.clear.is_taken(accelerator) and self._fleet.usable(
                self._fleet.tree.hosts[accelerator]
            ):
                return None
        for job in jobs.values():
            ours = job.queued.client_account == key.client_account
            within = all(a in inside for a in self._accelerators(job.members))
            if not ours or not within or job.cell is not None:
                return None
        return list(jobs.values())

    def _accelerators(self, members: tuple[Member, ...]) -> list[int]:
        return [a for member in members for a in self._fleet.accelerators(member)]


def enter(job: Job, bound: BoundCell) -> None:
    """Record that a job runs inside a bound cell."""
    job.cell = bound
    job.guaranteed = True
    bound.jobs[job.job_id] = None
