"""Which workers fail everything that they start."""

QUARANTINE_JOBS = 2


class WorkerHealth:
    """Counts distinct jobs that failed on a worker since its last success.

    One job is no evidence, because the job itself may be at fault.
    """

    def __init__(self) -> None:
        self._failed: dict[str, set[str]] = {}
        self._quarantined: set[str] = set()

    @property
    def quarantined(self) -> frozenset[str]:
        """Workers that get no jobs until a probe succeeds."""
        return frozenset(self._quarantined)

    def task_failed(self, host: str, job_id: str) -> bool:
        """Note a failure; returns whether the worker is quarantined by it."""
        jobs = self._failed.setdefault(host, set())
        jobs.add(job_id)
        if host in self._quarantined or len(jobs) < QUARANTINE_JOBS:
            return False
        self._quarantined.add(host)
        return True

    def task_finished(self, host: str) -> None:
        """Drop the evidence against a worker that ran a task to its end."""
        self._failed.pop(host, None)

    def clear_job(self, job_id: str) -> None:
        """Drop the evidence from a job that was itself at fault."""
        for jobs in self._failed.values():
            jobs.discard(job_id)

    def release(self, host: str) -> None:
        """End the quarantine after a successful probe."""
        self._quarantined.discard(host)
        self._failed.pop(host, None)
