"""By which right a job starts: its guarantee, spare capacity, or borrowed cells."""

from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain

from bilberryhitch_model import Member, Placement, Shape

from .adoption import Adoption, enter
from .clearing import (
    evicted_work,
    fill_evicting,
    preempting_places,
    spare_places,
)
from .estimates import Estimates
from .fleet import Fleet
from .guarantees import BoundCell, GuaranteeKey, Guarantees
from .jobs import Job
from .placement import free_members, neighbour_score, search, victims
from .reservations import Reservation, Reservations


class Starter:
    """Finds resources for one job and assigns them.

    :ivar borrowing: whether idle guaranteed cells are lent
    :param displace: releases a job that waits for evictions and loses its claims
        to a guaranteed job
    """

    def __init__(
        self,
        fleet: Fleet,
        guarantees: Guarantees,
        estimates: Estimates,
        displace: Callable[[Job], None],
    ) -> None:
        self.fleet = fleet
        self.guarantees = guarantees
        self.reservations = Reservations(fleet)
        self.borrowing = True
        self._displace_job = displace
        self._estimates = estimates
        self._adoption = Adoption(fleet, guarantees)
        self._failed: set[tuple[str, Shape]] = set()

    def forget_failures(self) -> None:
        """Capacity became free: what did not fit before is tried again."""
        self._failed.clear()

    def start(self, job: Job, may_preempt: bool, now: float) -> dict[str, None] | None:
        """Assign resources to a job.

        :param may_preempt: whether the job is urgent and within its account's share
        :returns: borrowers that must go first, or ``None`` if it cannot start
        """
        self._estimate(job)
        if self.counts_accelerators(job):
            found = self._in_guarantee(job, now)
            if found is not None:
                return found
        if self.must_be_firm(job):
            return self._on_spare(job, may_preempt, now)
        return self._borrow(job, may_preempt, now)

    def adopt(self, job: Job, placement: Placement, borrowed: bool) -> None:
        """Take over a job that runs already; its cell is bound by :meth:`settle`."""
        self._estimate(job)
        job.firm = not borrowed
        hosts = self.fleet.hosts
        members = [member for member in placement.members if member.host in hosts]
        self._assign(job, members, None)
        if job.firm:
            self._adoption.add(job, placement.cell)

    def settle(self) -> list[Job]:
        """Bind the cells of adopted jobs and return these jobs."""
        return self._adoption.settle()

    def must_be_firm(self, job: Job) -> bool:
        """Return whether a job may not run where it can be evicted."""
        return not (job.queued.may_borrow and self.borrowing)

    def counts_accelerators(self, job: Job) -> bool:
        """Return whether a job occupies accelerators.

        A task without accelerators that cannot be evicted occupies accelerators for
        its cores, because a guarantee may need them.
        """
        return job.shape.accelerators > 0 or not job.queued.may_borrow

    def fits(self, job: Job, key: GuaranteeKey) -> bool:
        """Return whether a job fits into one cell of a guarantee."""
        if job.shape.tasks * max(1, job.shape.accelerators) > key.accelerators:
            return False  # the place of a cell may be larger than the guarantee
        capacity = self.fleet.tree.capacity(job.shape)
        kinds = self.guarantees.kinds(key)
        return any(capacity[kind] >= job.shape.tasks for kind in kinds)

    def remove(self, job: Job) -> None:
        """Take back what a job holds; its cell is released after its last job."""
        cell = job.cell
        job.cell = None
        self._adoption.forget(job)
        self.fleet.remove(job)
        if cell is not None:
            del cell.jobs[job.job_id]
            if not cell.jobs:
                self.guarantees.unbind(cell)

    def _estimate(self, job: Job) -> None:
        row = job.queued
        ask = (row.client_account, row.kind, row.declared_s)
        job.expected_s = self._estimates.quantile(*ask, 0.5)
        job.expected_p90_s = self._estimates.quantile(*ask, 0.9)

    def _assign(
        self, job: Job, members: list[Member], bound: BoundCell | None
    ) -> dict[str, None]:
        self._displace(members)
        found = victims(self.fleet, members, job.shape)
        job.guaranteed = False
        if bound is not None:
            enter(job, bound)
        self.fleet.place(job, members)
        return found

    def _displace(self, members: list[Member]) -> None:
        """Cancel the claims of jobs that have not started yet."""
        fleet = self.fleet
        for member in members:
            for accelerator in fleet.accelerators(member):
                for job_id in (fleet.owner[accelerator], fleet.claim[accelerator]):
                    job = fleet.jobs.get(job_id or "")
                    if job is not None and job.stage == "clearing":
                        self._displace_job(job)

    def _in_guarantee(self, job: Job, now: float) -> dict[str, None] | None:
        account = job.queued.client_account
        memo = (account, job.shape)
        if memo in self._failed:
            return None
        for key in self.guarantees.keys(account):
            if not self.fits(job, key):
                continue
            job.firm = True
            for bound in self.guarantees.usable(key):
                members = fill_evicting(self.fleet, bound.cell, job.shape)
                if members is not None and self._within(bound, members):
                    return self._assign(job, members, bound)
            found = self._bind(job, key, now)
            if found is not None:
                return found
        self._failed.add(memo)
        return None

    def _bind(self, job: Job, key: GuaranteeKey, now: float) -> dict[str, None] | None:
        """Bind a cell: one that nobody uses or reserved, else by least eviction.

        Cells that split equally much are compared by the work that borrowers in them
        would lose. A cell without borrowers is preferred to all others, since a
        large gang would else be evicted for one small job.
        """
        if not self.guarantees.can_bind(key):
            return None
        before = self.guarantees.shortage()
        cells: list[int] = []
        for cell in self._whole_cells(job, key):
            if not self.fleet.free.taken[cell]:
                found = self._bind_at(job, key, cell, before)
                if found is not None:
                    return found
            cells.append(cell)
        for cell in sorted(cells, key=partial(evicted_work, self.fleet, now=now)):
            found = self._bind_at(job, key, cell, before)
            if found is not None:
                return found
        return None

    def _whole_cells(self, job: Job, key: GuaranteeKey) -> Iterator[int]:
        """Yield cells for a guarantee, those that split least first."""
        tree, clear = self.fleet.tree, self.fleet.clear
        capacity = tree.capacity(job.shape)
        shape = tree.guarantee_shape(key.accelerators)
        for group in search(tree, clear, shape):
            for cell in group:
                kind = tree.cells[cell].kind
                if not clear.taken[cell] and capacity[kind] >= job.shape.tasks:
                    yield cell

    def _bind_at(
        self, job: Job, key: GuaranteeKey, cell: int, before: tuple[int, ...]
    ) -> dict[str, None] | None:
        bound = self.guarantees.bind(key, cell)
        members = fill_evicting(self.fleet, cell, job.shape)
        if members is not None and self._within(bound, members) and self._holds(before):
            return self._assign(job, members, bound)
        self.guarantees.unbind(bound)
        return None

    def _within(self, bound: BoundCell, members: list[Member]) -> bool:
        """Return whether the account stays within its cell and its guarantee.

        After a guarantee shrank, its account may hold more than it is allowed.
        """
        added = sum(len(member.accelerators) for member in members)
        key = bound.key
        if self._used_in(bound) + added > key.accelerators:
            return False
        held = sum(map(self._used_in, self.guarantees.bound_to(key)))
        return held + added <= self.guarantees.allowed(key)

    def _used_in(self, bound: BoundCell) -> int:
        return sum(self.fleet.jobs[job_id].occupied for job_id in bound.jobs)

    def _holds(self, before: tuple[int, ...]) -> bool:
        after = self.guarantees.shortage()
        return all(now <= then for now, then in zip(after, before, strict=True))

    def _on_spare(
        self, job: Job, may_preempt: bool, now: float
    ) -> dict[str, None] | None:
        """Start on capacity that no guarantee can need."""
        job.firm = True
        if job.shape.accelerators == 0:
            members = self.fleet.core_members(job.shape, firm=True)
            if members is not None:
                return self._assign(job, members, None)
        memo = ("", job.shape)
        if memo in self._failed and not may_preempt:
            return None
        places = spare_places(self.fleet, job.shape)
        if may_preempt:
            places = chain(places, preempting_places(self.fleet, job.shape, now))
        for members in places:
            if self.keeps_guarantees(members):
                return self._assign(job, members, None)
        self._failed.add(memo)
        return None

    def keeps_guarantees(self, members: list[Member]) -> bool:
        """Return whether the guarantees still fit beside firm use of the members."""
        before = self.guarantees.shortage()
        taken = [a for member in members for a in self.fleet.accelerators(member)]
        self.fleet.clear.take(taken)
        holds = self._holds(before)
        self.fleet.clear.give(taken)
        return holds

    def _borrow(
        self, job: Job, may_preempt: bool, now: float
    ) -> dict[str, None] | None:
        job.firm = False
        if job.shape.accelerators == 0:
            members = self.fleet.core_members(job.shape, firm=False)
        else:
            members = self._free_members(job, now)
            if members is None and may_preempt:
                members = next(preempting_places(self.fleet, job.shape, now), None)
        if members is None:
            return None
        return self._assign(job, members, None)

    def _free_members(self, job: Job, now: float) -> list[Member] | None:
        score = neighbour_score(self.fleet, now + job.expected_s)
        find = partial(free_members, self.fleet, job.shape, score)
        memo = ("*", job.shape)
        if memo not in self._failed:
            members = find()
            if members is not None:
                return members
            self._failed.add(memo)
        for reservation in self.reservations:
            own = reservation.job is job
            if own or self._admits(reservation, job, now):
                self.reservations.hold(reservation, False)
                members = find()
                self.reservations.hold(reservation, True)
                if members is not None:
                    return members
        return None

    def _admits(self, reservation: Reservation, job: Job, now: float) -> bool:
        return self.reservations.admits(reservation, now, job.expected_p90_s)
