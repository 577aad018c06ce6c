"""By which right a job starts: its guarantee, spare capacity, or borrowed cells."""

from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain

from bilberryhitch_model import Member, Shape

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
        capacity = self.fleet.tree.capacity(job.shape)
        kinds = self.guarantees.kinds(key)
        return any(capacity[kind] >= job.shape.tasks for kind in kinds)

    def remove(self, job: Job) -> None:
        """Take back what a job holds; its cell is released after its last job."""
        cell = job.cell
        job.cell = None
        self.fleet.remove(job)
        if cell is not None:
            del cell.jobs[job.job_id]
            if not cell.jobs:
                self.guarantees.unbind(cell)

    def adopt(self, job: Job, members: tuple[Member, ...], borrowed: bool) -> None:
        """Take over a job that runs already."""
        self._estimate(job)
        job.firm = not borrowed
        known = tuple(m for m in members if m.host in self.fleet.hosts)
        bound = self._cell_around(job, known) if job.firm else None
        self._assign(job, list(known), bound)

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
        job.cell = bound
        job.guaranteed = bound is not None
        if bound is not None:
            bound.jobs[job.job_id] = None
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
                if members is not None:
                    return self._assign(job, members, bound)
            found = self._bind(job, key, now)
            if found is not None:
                return found
        self._failed.add(memo)
        return None

    def _bind(self, job: Job, key: GuaranteeKey, now: float) -> dict[str, None] | None:
        if not self.guarantees.can_bind(key):
            return None
        capacity = self.fleet.tree.capacity(job.shape)
        shape = self.fleet.tree.guarantee_shape(key.accelerators)
        before = self.guarantees.shortage()
        work = partial(evicted_work, self.fleet, now=now)
        for group in self._whole_groups(shape):
            for cell in sorted(group, key=work):
                kind = self.fleet.tree.cells[cell].kind
                if capacity[kind] < job.shape.tasks:
                    continue
                bound = self.guarantees.bind(key, cell)
                members = fill_evicting(self.fleet, cell, job.shape)
                if members is not None and self._holds(before):
                    return self._assign(job, members, bound)
                self.guarantees.unbind(bound)
        return None

    def _whole_groups(self, shape: Shape) -> Iterator[list[int]]:
        clear = self.fleet.clear
        for group in search(self.fleet.tree, clear, shape):
            whole = [cell for cell in group if not clear.taken[cell]]
            if whole:
                yield whole

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

    def _cell_around(self, job: Job, members: tuple[Member, ...]) -> BoundCell | None:
        """Find or bind the guaranteed cell that an adopted job runs in."""
        taken = [a for member in members for a in self.fleet.accelerators(member)]
        if not taken:
            return None
        tree = self.fleet.tree
        for key in self.guarantees.keys(job.queued.client_account):
            cell = tree.leaves[min(taken)]
            while cell >= 0:
                row = tree.cells[cell]
                if max(taken) < row.start + row.size:
                    bound = self.guarantees.bound_at(cell)
                    if bound is not None and bound.key == key:
                        return bound
                    if row.kind in self.guarantees.kinds(key) and bound is None:
                        return self._bind_adopted(key, cell)
                cell = row.parent
        return None

    def _bind_adopted(self, key: GuaranteeKey, cell: int) -> BoundCell | None:
        if self.fleet.clear.taken[cell] or not self.guarantees.can_bind(key):
            return None
        before = self.guarantees.shortage()
        bound = self.guarantees.bind(key, cell)
        if self._holds(before):
            return bound
        self.guarantees.unbind(bound)
        return None
