"""Detection of workers on which tasks of different jobs fail."""

QUARANTINE_FAILED_JOBS = 2


class WorkerHealth:
    """Counts the distinct jobs that failed on each worker since its last success.

    Failures of one job do not quarantine a worker, as the job may be at fault.
    """

    def __init__(self) -> None:
        self._failed: dict[str, set[str]] = {}
        self._quarantined: set[str] = set()

    @property
    def quarantined(self) -> frozenset[str]:
        """Names of the workers that get no jobs until a probe succeeds."""
        return frozenset(self._quarantined)

    def task_failed(self, host: str, job_id: str) -> bool:
        """Record a failure; return whether it puts the worker in quarantine."""
        jobs = self._failed.setdefault(host, set())
        jobs.add(job_id)
        if host in self._quarantined or len(jobs) < QUARANTINE_FAILED_JOBS:
            return False
        self._quarantined.add(host)
        return True

    def task_finished(self, host: str) -> None:
        """Reset the failures of a worker on which a task finished."""
        self._failed.pop(host, None)

    def clear_job(self, job_id: str) -> None:
        """Discard the failures of a job that was itself at fault."""
        for jobs in self._failed.values():
            jobs.discard(job_id)

    def release(self, host: str) -> None:
        """End the quarantine after a successful probe."""
        self._quarantined.discard(host)
        self._failed.pop(host, None)
