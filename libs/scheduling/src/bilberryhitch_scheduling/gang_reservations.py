"""Reservations for large gangs, so that small jobs cannot starve them.

The gang reserves a set of workers in one cell. Another job may use them meanwhile
only if the p90 of its run time ends before the gang is expected to start (backfill;
Lifka, JSSPP 1995).
"""

from collections.abc import Iterator

from .jobs import Job
from .pool_state import HostUsage, PoolState

MAX_RESERVATIONS = 4  # per pool
MAX_RESERVED_SHARE = 0.5  # of the workers; above it no reservation is added
BACKFILL_GRACE_S = 60.0  # backfill ends this long after the first expected start
MAX_CELLS_COMPARED = 64  # per reservation, most available accelerators first
OVERRUN_FRACTION = 0.25  # a job past its p90 is expected to run this much longer


class GangReservation:
    """Workers reserved for a gang.

    :ivar free_at: when all of them are expected to be free, in loop seconds
    :ivar first_free_at: the first such estimate; later ones do not change it
    :ivar hidden: whether its workers are hidden from searches for free cells
    :ivar protected_count: number of its workers that evictions of borrowers
        cannot free
    """

    __slots__ = (
        "first_free_at",
        "free_at",
        "hidden",
        "hosts",
        "job",
        "protected_count",
    )

    def __init__(self, job: Job, hosts: tuple[str, ...], at: float) -> None:
        self.job = job
        self.hosts = hosts
        self.free_at = at
        self.first_free_at = at
        self.hidden = False
        self.protected_count = 0


class GangReservations:
    """All reservations of a pool; each marks its workers in ``PoolState.free``."""

    def __init__(self, pool_state: PoolState) -> None:
        self._pool_state = pool_state
        self._by_job: dict[str, GangReservation] = {}
        self._reserved_hosts: set[str] = set()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._by_job

    def __iter__(self) -> Iterator[GangReservation]:
        return iter(list(self._by_job.values()))

    @property
    def full(self) -> bool:
        """Whether the limits allow no further reservation."""
        at_limit = len(self._by_job) >= MAX_RESERVATIONS
        return at_limit or len(self._reserved_hosts) > MAX_RESERVED_SHARE * len(
            self._pool_state.hosts
        )

    def reserve(self, job: Job, now: float) -> bool:
        """Reserve the workers of the cell that is expected to be free first.

        :returns: whether a cell was found
        """
        found = self._find_earliest(job, now)
        if found is None:
            return False
        at, hosts = found
        reservation = GangReservation(job, hosts, at)
        reservation.protected_count = self._count_protected(hosts)
        self._by_job[job.job_id] = reservation
        self._reserved_hosts.update(hosts)
        self.set_hidden(reservation, True)
        return True

    def remove(self, job_id: str) -> None:
        """Remove a job's reservation; does nothing if there is none."""
        reservation = self._by_job.pop(job_id, None)
        if reservation is None:
            return
        self.set_hidden(reservation, False)
        self._reserved_hosts.difference_update(reservation.hosts)

    def refresh(self, now: float) -> None:
        """Update the estimates; move reservations that lost hosts to protected jobs."""
        for reservation in list(self._by_job.values()):
            if self._count_protected(reservation.hosts) > reservation.protected_count:
                first_at = reservation.first_free_at
                self.remove(reservation.job.job_id)
                if self.reserve(reservation.job, now):
                    self._by_job[reservation.job.job_id].first_free_at = first_at
                continue
            reservation.free_at = max(self._free_at(h, now) for h in reservation.hosts)

    def admits_backfill(
        self, reservation: GangReservation, now: float, p90_s: float
    ) -> bool:
        """Return whether a job may run on the reserved workers as backfill.

        :param p90_s: p90 of the job's run time, in seconds
        """
        overdue = now > reservation.first_free_at + BACKFILL_GRACE_S
        return not overdue and now + p90_s <= reservation.free_at

    def set_hidden(self, reservation: GangReservation, value: bool) -> None:
        """Hide the workers from searches for free cells, or make them visible."""
        if reservation.hidden == value:
            return
        reservation.hidden = value
        for host in reservation.hosts:
            accelerators = self._pool_state.tree.accelerators_of(host)
            if value:
                self._pool_state.free.mark(accelerators)
            else:
                self._pool_state.free.unmark(accelerators)

    def _find_earliest(
        self, job: Job, now: float
    ) -> tuple[float, tuple[str, ...]] | None:
        best: tuple[float, tuple[str, ...]] | None = None
        for cell in self._cells_to_compare(job):
            found = self._earliest_in_cell(cell, job, now)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        return best

    def _cells_to_compare(self, job: Job) -> Iterator[int]:
        tree, free = self._pool_state.tree, self._pool_state.free
        count = 0
        for kind in tree.candidate_kinds(job.shape):
            cells = sorted(tree.by_kind[kind], key=lambda cell: -free.available(cell))
            for cell in cells:
                if count >= MAX_CELLS_COMPARED:
                    return
                count += 1
                yield cell

    def _earliest_in_cell(
        self, cell: int, job: Job, now: float
    ) -> tuple[float, tuple[str, ...]] | None:
        times = sorted(
            (self._is_protected(host), self._free_at(host, now), position, host)
            for position, (host, _) in enumerate(self._pool_state.tree.hosts_in(cell))
            if host not in self._reserved_hosts and self._pool_state.usable(host)
        )
        tasks_left = job.shape.tasks
        hosts: list[str] = []
        latest = now
        for _, at, _, host in times:
            per_task = self._pool_state.accelerators_per_task(host, job.shape)
            if not per_task:
                continue
            hosts.append(host)
            latest = max(latest, at)
            tasks_left -= self._pool_state.tree.profiles[host].accelerators // per_task
            if tasks_left <= 0:
                return latest, tuple(hosts)
        return None

    def _count_protected(self, hosts: tuple[str, ...]) -> int:
        return sum(map(self._is_protected, hosts))

    def _is_protected(self, host: str) -> bool:
        """Return whether evictions cannot free the host.

        Guaranteed cells are often reused at once, and lost workers are not free.
        """
        reclaimable = self._pool_state.reclaimable
        return any(
            map(reclaimable.is_taken, self._pool_state.tree.accelerators_of(host))
        )

    def _free_at(self, host: str, now: float) -> float:
        usage = self._pool_state.hosts[host]
        return max(
            (self._expected_end(job, now) for job in self._jobs_on(usage)), default=now
        )

    def _jobs_on(self, usage: HostUsage) -> Iterator[Job]:
        for job_id in usage.jobs:
            job = self._pool_state.jobs[job_id]
            if job.allocated_accelerators:
                yield job

    def _expected_end(self, job: Job, now: float) -> float:
        expected = job.started_at + job.expected_p90_s
        ran = now - job.started_at
        return expected if expected > now else now + max(1.0, OVERRUN_FRACTION * ran)
