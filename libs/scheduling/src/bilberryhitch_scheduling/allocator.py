"""Allocation of a job: from its guarantee, from spare capacity, or by borrowing."""

from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain

from bilberryhitch_model import Member, Placement, Shape

from .adopted_jobs import AdoptedJobs, assign_bound_cell
from .cell_search import find_free_members, neighbour_score, search_cells, victims
from .gang_reservations import GangReservation, GangReservations
from .guaranteed_cells import BoundCell, GuaranteedCells, GuaranteeKey
from .jobs import Job
from .pool_state import PoolState
from .preemption import (
    eviction_cost,
    place_with_evictions,
    preempting_placements,
    spare_placements,
)
from .run_time_estimates import RunTimeEstimates


class Allocator:
    """Finds resources for one job at a time and allocates them.

    A search that failed is not repeated for the same shape until
    :meth:`clear_failed_searches` is called.

    :ivar borrowing: whether idle guaranteed cells are lent
    :param displace: called for a job that waits for evictions and whose claimed
        accelerators go to another job; releases and requeues it
    """

    def __init__(
        self,
        pool_state: PoolState,
        guarantees: GuaranteedCells,
        estimates: RunTimeEstimates,
        displace: Callable[[Job], None],
    ) -> None:
        self.pool_state = pool_state
        self.guarantees = guarantees
        self.reservations = GangReservations(pool_state)
        self.borrowing = True
        self._requeue_displaced = displace
        self._estimates = estimates
        self._unbound_adopted = AdoptedJobs(pool_state, guarantees)
        # (scope, shape), where the scope is an account for its guarantees, "" for
        # spare capacity, "*" for all free workers, or "in JOB" for a reservation.
        self._failed_searches: set[tuple[str, Shape]] = set()

    def clear_failed_searches(self) -> None:
        """Allow searches that failed to be repeated, because capacity became free."""
        self._failed_searches.clear()

    def allocate(
        self, job: Job, may_preempt: bool, now: float
    ) -> dict[str, None] | None:
        """Allocate resources to a job.

        :param may_preempt: whether the job is urgent and within its account's share
        :param now: loop time in seconds
        :returns: ids of the borrowers to evict before the job can start, as keys of
            a dictionary in order, or ``None`` if it cannot be placed
        """
        self._set_expected_run_time(job)
        if self.uses_accelerators(job):
            found = self._allocate_guaranteed(job, now)
            if found is not None:
                return found
        if self.requires_protection(job):
            return self._allocate_spare(job, may_preempt, now)
        return self._allocate_borrowed(job, may_preempt, now)

    def adopt(self, job: Job, placement: Placement, borrowed: bool) -> None:
        """Record a running job; :meth:`bind_adopted` binds its guaranteed cell."""
        self._set_expected_run_time(job)
        job.protected = not borrowed
        hosts = self.pool_state.hosts
        members = [member for member in placement.members if member.host in hosts]
        self._assign(job, members, None)
        if job.protected:
            self._unbound_adopted.add(job, placement.cell)

    def bind_adopted(self) -> list[Job]:
        """Bind the guaranteed cells of adopted jobs and return these jobs."""
        return self._unbound_adopted.bind_cells()

    def requires_protection(self, job: Job) -> bool:
        """Return whether a job may only run where it cannot be evicted."""
        return not (job.spec.may_borrow and self.borrowing)

    def uses_accelerators(self, job: Job) -> bool:
        """Return whether accelerators are allocated to a job.

        A job that asks for none but may not borrow is charged accelerators for its
        cores, because a guarantee may need those cores.
        """
        return job.shape.accelerators > 0 or not job.spec.may_borrow

    def fits_guarantee(self, job: Job, key: GuaranteeKey) -> bool:
        """Return whether a job fits into one cell of a guarantee."""
        if job.shape.tasks * max(1, job.shape.accelerators) > key.accelerators:
            return False  # a cell may have more accelerators than the guarantee
        capacity = self.pool_state.tree.capacity(job.shape)
        kinds = self.guarantees.cell_kinds(key)
        return any(capacity[kind] >= job.shape.tasks for kind in kinds)

    def release(self, job: Job) -> None:
        """Release a job's resources; the last job of a bound cell unbinds it."""
        cell = job.bound_cell
        job.bound_cell = None
        self._unbound_adopted.discard(job)
        self.pool_state.release(job)
        if cell is not None:
            del cell.jobs[job.job_id]
            if not cell.jobs:
                self.guarantees.unbind(cell)

    def _set_expected_run_time(self, job: Job) -> None:
        spec = job.spec
        estimate_key = (spec.client_account, spec.kind, spec.declared_s)
        job.expected_s = self._estimates.quantile(*estimate_key, 0.5)
        job.expected_p90_s = self._estimates.quantile(*estimate_key, 0.9)

    def _assign(
        self, job: Job, members: list[Member], bound: BoundCell | None
    ) -> dict[str, None]:
        self._displace_waiting(members)
        found = victims(self.pool_state, members, job.shape)
        job.guaranteed = False
        if bound is not None:
            assign_bound_cell(job, bound)
        self.pool_state.allocate(job, members)
        return found

    def _displace_waiting(self, members: list[Member]) -> None:
        """Requeue the jobs that wait for evictions on accelerators of the members."""
        pool_state = self.pool_state
        for member in members:
            for accelerator in pool_state.accelerators(member):
                for job_id in (
                    pool_state.owner[accelerator],
                    pool_state.claim[accelerator],
                ):
                    job = pool_state.jobs.get(job_id or "")
                    if job is not None and job.stage == "clearing":
                        self._requeue_displaced(job)

    def _allocate_guaranteed(self, job: Job, now: float) -> dict[str, None] | None:
        account = job.spec.client_account
        search_key = (account, job.shape)
        if search_key in self._failed_searches:
            return None
        for key in self.guarantees.keys(account):
            if not self.fits_guarantee(job, key):
                continue
            job.protected = True
            for bound in self.guarantees.usable_cells(key):
                members = place_with_evictions(self.pool_state, bound.cell, job.shape)
                if members is not None and self._stays_within_guarantee(bound, members):
                    return self._assign(job, members, bound)
            found = self._bind_new_cell(job, key, now)
            if found is not None:
                return found
        self._failed_searches.add(search_key)
        return None

    def _bind_new_cell(
        self, job: Job, key: GuaranteeKey, now: float
    ) -> dict[str, None] | None:
        """Bind a new cell: a free one, or the one with the cheapest evictions.

        A free and unreserved cell is preferred to all others; otherwise a large gang
        could be evicted for one small job. The other cells are ordered by the work
        that their borrowers would lose.
        """
        if not self.guarantees.can_bind(key):
            return None
        before = self.guarantees.shortage()
        cells: list[int] = []
        for cell in self._empty_cells(job, key):
            if not self.pool_state.free.taken[cell]:
                found = self._try_bind(job, key, cell, before)
                if found is not None:
                    return found
            cells.append(cell)
        for cell in sorted(cells, key=partial(eviction_cost, self.pool_state, now=now)):
            found = self._try_bind(job, key, cell, before)
            if found is not None:
                return found
        return None

    def _empty_cells(self, job: Job, key: GuaranteeKey) -> Iterator[int]:
        """Yield cells for a guarantee, least fragmentation of larger cells first."""
        tree, reclaimable = self.pool_state.tree, self.pool_state.reclaimable
        capacity = tree.capacity(job.shape)
        shape = tree.guarantee_shape(key.accelerators)
        for group in search_cells(tree, reclaimable, shape):
            for cell in group:
                kind = tree.cells[cell].kind
                if not reclaimable.taken[cell] and capacity[kind] >= job.shape.tasks:
                    yield cell

    def _try_bind(
        self, job: Job, key: GuaranteeKey, cell: int, before: tuple[int, ...]
    ) -> dict[str, None] | None:
        bound = self.guarantees.bind(key, cell)
        members = place_with_evictions(self.pool_state, cell, job.shape)
        if (
            members is not None
            and self._stays_within_guarantee(bound, members)
            and self._shortage_not_grown(before)
        ):
            return self._assign(job, members, bound)
        self.guarantees.unbind(bound)
        return None

    def _stays_within_guarantee(self, bound: BoundCell, members: list[Member]) -> bool:
        """Return whether the account stays within the cell and the guarantee.

        After a guarantee was reduced, the account may hold more than it allows.
        """
        added = sum(len(member.accelerators) for member in members)
        key = bound.key
        if self._accelerators_used_in(bound) + added > key.accelerators:
            return False
        held = sum(map(self._accelerators_used_in, self.guarantees.bound_cells_of(key)))
        return held + added <= self.guarantees.allowed_accelerators(key)

    def _accelerators_used_in(self, bound: BoundCell) -> int:
        return sum(
            self.pool_state.jobs[job_id].allocated_accelerators for job_id in bound.jobs
        )

    def _shortage_not_grown(self, before: tuple[int, ...]) -> bool:
        after = self.guarantees.shortage()
        return all(now <= then for now, then in zip(after, before, strict=True))

    def _allocate_spare(
        self, job: Job, may_preempt: bool, now: float
    ) -> dict[str, None] | None:
        """Allocate capacity that no guarantee can need; the job becomes protected."""
        job.protected = True
        if job.shape.accelerators == 0:
            members = self.pool_state.cpu_members(job.shape, protected=True)
            if members is not None:
                return self._assign(job, members, None)
        search_key = ("", job.shape)
        if search_key in self._failed_searches and not may_preempt:
            return None
        placements = spare_placements(self.pool_state, job.shape)
        if may_preempt:
            placements = chain(
                placements, preempting_placements(self.pool_state, job.shape, now)
            )
        for members in placements:
            if self.keeps_guarantees(members):
                return self._assign(job, members, None)
        self._failed_searches.add(search_key)
        return None

    def keeps_guarantees(self, members: list[Member]) -> bool:
        """Return whether all guarantees still fit if the members become protected."""
        before = self.guarantees.shortage()
        taken = [a for member in members for a in self.pool_state.accelerators(member)]
        self.pool_state.reclaimable.mark(taken)
        holds = self._shortage_not_grown(before)
        self.pool_state.reclaimable.unmark(taken)
        return holds

    def _allocate_borrowed(
        self, job: Job, may_preempt: bool, now: float
    ) -> dict[str, None] | None:
        job.protected = False
        if job.shape.accelerators == 0:
            members = self.pool_state.cpu_members(job.shape, protected=False)
        else:
            members = self._find_free_or_reserved(job, now)
            if members is None and may_preempt:
                members = next(
                    preempting_placements(self.pool_state, job.shape, now), None
                )
        if members is None:
            return None
        return self._assign(job, members, None)

    def _find_free_or_reserved(self, job: Job, now: float) -> list[Member] | None:
        score = neighbour_score(self.pool_state, now + job.expected_s)
        find = partial(find_free_members, self.pool_state, job.shape, score)
        search_key = ("*", job.shape)
        if search_key not in self._failed_searches:
            members = find()
            if members is not None:
                return members
            self._failed_searches.add(search_key)
        for reservation in self.reservations:
            search_key = (f"in {reservation.job.job_id}", job.shape)
            if search_key in self._failed_searches:
                continue
            own = reservation.job is job
            if own or self._admits_backfill(reservation, job, now):
                self.reservations.set_hidden(reservation, False)
                members = find()
                self.reservations.set_hidden(reservation, True)
                if members is not None:
                    return members
                self._failed_searches.add(search_key)
        return None

    def _admits_backfill(
        self, reservation: GangReservation, job: Job, now: float
    ) -> bool:
        return self.reservations.admits_backfill(reservation, now, job.expected_p90_s)
