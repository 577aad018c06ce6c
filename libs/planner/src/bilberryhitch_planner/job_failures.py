"""The workers on which the runs of a job have failed in a row."""

from collections.abc import Collection

from .worker_health import FAILURE_MEMORY_S

# Workers on which a job that is at fault has failed at least. Some may be faulty by
# chance.
FAULTY_JOB_WORKERS = 4
# Smallest share of the workers that it has failed on or runs on. Faulty workers are
# seldom the greater part of a pool.
FAULTY_JOB_SHARE = 0.75


class JobFailures:
    """Failures of a job since a run of it last ended well.

    :ivar blamed_for: number of workers whose failures are taken for the job's own; 0 if
        it is not at fault
    """

    def __init__(self) -> None:
        self.blamed_for = 0
        # Monotonic time in seconds of the last failure, by worker; the oldest first.
        self._failed_at: dict[str, float] = {}

    @property
    def workers(self) -> list[str]:
        """Identifiers of the workers."""
        return list(self._failed_at)

    def record(self, worker: str, now: float) -> None:
        """Record a failure on a worker; forget those of long ago."""
        self._failed_at.pop(worker, None)
        self._failed_at[worker] = now
        while not self.recent(next(iter(self._failed_at)), now):
            del self._failed_at[next(iter(self._failed_at))]

    def clear(self) -> None:
        """Forget all failures."""
        self._failed_at.clear()

    def recent(self, worker: str, now: float) -> bool:
        """Return whether the job has failed on a worker a short time ago."""
        failed_at = self._failed_at.get(worker)
        return failed_at is not None and now - failed_at <= FAILURE_MEMORY_S

    def on_several_workers(self, now: float) -> bool:
        """Return whether it has failed on so many workers that it may be at fault."""
        if len(self._failed_at) < FAULTY_JOB_WORKERS:
            return False
        return len(self._recent(now)) >= FAULTY_JOB_WORKERS

    def count_if_at_fault(self, active: Collection[str], now: float) -> int:
        """Return on how many workers it has failed; 0 if it is not at fault.

        :param active: workers on which it has runs now
        """
        failed = self._recent(now)
        at_fault = len(failed) >= FAULTY_JOB_WORKERS and len(
            failed
        ) >= FAULTY_JOB_SHARE * len(failed.union(active))
        return len(failed) if at_fault else 0

    def _recent(self, now: float) -> set[str]:
        return {worker for worker in self._failed_at if self.recent(worker, now)}
