"""Reservations of large gangs, so that small jobs cannot starve them.

The gang keeps a set of workers in one cell. Others use them meanwhile only if the
observed p90 of their run time ends before the gang is expected to start (backfill,
Lifka, JSSPP 1995).
"""

from collections.abc import Iterator

from .fleet import Fleet, HostUse
from .jobs import Job

RESERVATIONS_MAX = 4  # gangs that wait with a reservation in one pool
SHARE_MAX = 0.5  # of the workers; beyond it only existing reservations go on
OVERDUE_S = 60.0  # after its first estimate a reservation admits no backfill
CELLS_COMPARED = 64  # cells examined for one reservation, emptiest first
OVERRUN = 0.25  # a job beyond its p90 is expected to run this much longer


class Reservation:
    """Workers kept for a gang.

    :ivar at: when they are expected to be free, in loop seconds
    :ivar firm_hosts: workers among them that borrowers alone do not occupy
    :ivar first_at: the first such estimate; later ones do not move it
    """

    __slots__ = ("at", "firm_hosts", "first_at", "held", "hosts", "job")

    def __init__(self, job: Job, hosts: tuple[str, ...], at: float) -> None:
        self.job = job
        self.hosts = hosts
        self.at = at
        self.first_at = at
        self.held = False
        self.firm_hosts = 0


class Reservations:
    """All reservations of a pool; each holds its workers in ``fleet.free``."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._by_job: dict[str, Reservation] = {}
        self._hosts: set[str] = set()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._by_job

    def __iter__(self) -> Iterator[Reservation]:
        return iter(list(self._by_job.values()))

    @property
    def full(self) -> bool:
        """Whether no further gang gets a reservation."""
        enough = len(self._by_job) >= RESERVATIONS_MAX
        return enough or len(self._hosts) > SHARE_MAX * len(self._fleet.hosts)

    def reserve(self, job: Job, now: float) -> bool:
        """Reserve the workers that are expected to be free first.

        :returns: whether a cell was found
        """
        found = self._earliest(job, now)
        if found is None:
            return False
        at, hosts = found
        reservation = Reservation(job, hosts, at)
        reservation.firm_hosts = self._firm_hosts(hosts)
        self._by_job[job.job_id] = reservation
        self._hosts.update(hosts)
        self.hold(reservation, True)
        return True

    def drop(self, job_id: str) -> None:
        """Give a reservation up; does nothing if there is none."""
        reservation = self._by_job.pop(job_id, None)
        if reservation is None:
            return
        self.hold(reservation, False)
        self._hosts.difference_update(reservation.hosts)

    def refresh(self, now: float) -> None:
        """Renew the estimates; move a reservation that lost workers to guarantees."""
        for reservation in list(self._by_job.values()):
            if self._firm_hosts(reservation.hosts) > reservation.firm_hosts:
                first_at = reservation.first_at
                self.drop(reservation.job.job_id)
                if self.reserve(reservation.job, now):
                    self._by_job[reservation.job.job_id].first_at = first_at
                continue
            reservation.at = max(self._free_at(h, now) for h in reservation.hosts)

    def admits(self, reservation: Reservation, now: float, p90_s: float) -> bool:
        """Return whether a job may run on the reserved workers first."""
        overdue = now > reservation.first_at + OVERDUE_S
        return not overdue and now + p90_s <= reservation.at

    def hold(self, reservation: Reservation, value: bool) -> None:
        """Hide the workers from, or show them to, searches for free cells."""
        if reservation.held == value:
            return
        reservation.held = value
        for host in reservation.hosts:
            accelerators = self._fleet.tree.accelerators_of(host)
            if value:
                self._fleet.free.take(accelerators)
            else:
                self._fleet.free.give(accelerators)

    def _earliest(self, job: Job, now: float) -> tuple[float, tuple[str, ...]] | None:
        best: tuple[float, tuple[str, ...]] | None = None
        for cell in self._cells(job):
            found = self._earliest_in(cell, job, now)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        return best

    def _cells(self, job: Job) -> Iterator[int]:
        tree, free = self._fleet.tree, self._fleet.free
        count = 0
        for kind in tree.candidates(job.shape):
            cells = sorted(tree.by_kind[kind], key=lambda cell: -free.left(cell))
            for cell in cells:
                if count >= CELLS_COMPARED:
                    return
                count += 1
                yield cell

    def _earliest_in(
        self, cell: int, job: Job, now: float
    ) -> tuple[float, tuple[str, ...]] | None:
        times = sorted(
            (self._is_firm(host), self._free_at(host, now), position, host)
            for position, (host, _) in enumerate(self._fleet.tree.hosts_in(cell))
            if host not in self._hosts and self._fleet.usable(host)
        )
        left = job.shape.tasks
        hosts: list[str] = []
        latest = now
        for _, at, _, host in times:
            per_task = self._fleet.per_task(host, job.shape)
            if not per_task:
                continue
            hosts.append(host)
            latest = max(latest, at)
            left -= self._fleet.tree.profiles[host].accelerators // per_task
            if left <= 0:
                return latest, tuple(hosts)
        return None

    def _firm_hosts(self, hosts: tuple[str, ...]) -> int:
        return sum(map(self._is_firm, hosts))

    def _is_firm(self, host: str) -> bool:
        """A guaranteed cell is often used again at once, or the worker is lost."""
        clear = self._fleet.clear
        return any(map(clear.is_taken, self._fleet.tree.accelerators_of(host)))

    def _free_at(self, host: str, now: float) -> float:
        use = self._fleet.hosts[host]
        return max((self._end(job, now) for job in self._using(use)), default=now)

    def _using(self, use: HostUse) -> Iterator[Job]:
        for job_id in use.jobs:
            job = self._fleet.jobs[job_id]
            if job.occupied:
                yield job

    def _end(self, job: Job, now: float) -> float:
        expected = job.started_at + job.expected_p90_s
        ran = now - job.started_at
        return expected if expected > now else now + max(1.0, OVERRUN * ran)
