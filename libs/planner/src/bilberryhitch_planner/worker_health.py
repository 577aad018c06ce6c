"""What failures, stalls, crashes and refusals show of a worker, and for how long.

Nothing here keeps a worker from work for good: a quarantine has an end, which only
crashes and the runs that were there when it began put off.
"""

from typing import NamedTuple

# Failures in a row after which a worker is quarantined.
QUARANTINE_FAILURES = 2
# A worker is avoided for this long after a failure, as disturbances last several
# seconds.
SUSPECT_S = 4.0
# First quarantine of a failing worker; doubled with each further failure.
QUARANTINE_S = 2.0
QUARANTINE_MAX_S = 8.0
# Failures that are further apart than this are not in a row. Long-running tasks never
# end well, so nothing else resets the count of a worker that runs only such.
FAILURE_MEMORY_S = 30.0
# A worker that refuses a start is unhealthy for seconds rather than milliseconds.
REFUSAL_PAUSE_S = 0.5
# Stands for a crash of the worker in place of the name of a job.
CRASH = ""


class _Failures(NamedTuple):
    number: int
    last_at: float


class WorkerHealth:
    """Failures in a row on one worker. All times are monotonic, in seconds.

    :ivar failures: number of those that count against the worker
    :ivar failed_at: time of the last one
    """

    def __init__(self, now: float) -> None:
        self.failures = 0
        self.failed_at = now
        self._recorded_at = now
        self._paused_until = 0.0
        self._quarantined_since = 0.0
        self._quarantined_until = 0.0
        self._by_job: dict[str, _Failures] = {}
        # On how many workers a job has failed, for jobs that are at fault.
        self._blamed: dict[str, int] = {}

    def suspect(self, now: float) -> bool:
        """Return whether a failure a short time ago counts against the worker."""
        return self.failures > 0 and now - self.failed_at < SUSPECT_S

    def quarantined(self, now: float) -> bool:
        """Return whether it has failed several times in a row a short time ago."""
        return now < self._quarantined_until

    def healthy(self, now: float) -> bool:
        """Return whether it is neither a suspect nor in quarantine."""
        return now >= self._quarantined_until and not self.suspect(now)

    def paused(self, now: float) -> bool:
        """Return whether it refused a start a moment ago."""
        return now < self._paused_until

    def record_crash(self, now: float) -> None:
        """Count a crash of the worker."""
        self._record(CRASH, now)

    def record_failure(
        self, job: str, began_at: float, now: float, *, blamed_for: int = 0
    ) -> None:
        """Count a failed run; quarantine the worker after several in a row.

        One that began during a quarantine shows nothing new.

        :param began_at: time at which the run was ordered
        :param blamed_for: see ``blame_job``
        """
        if self.quarantined(now) and began_at >= self._quarantined_since:
            return
        if blamed_for:
            self._blamed[job] = blamed_for
        self._record(job, now)

    def record_success(self) -> None:
        """Forget all failures; a quarantine goes on to its end."""
        self._by_job.clear()
        self._blamed.clear()
        self.failures = 0

    def record_refusal(self, now: float) -> None:
        """Pause the worker for a short time after it refused a start."""
        self._paused_until = max(self._paused_until, now + REFUSAL_PAUSE_S)

    def blame_job(self, job: str, blamed_for: int) -> None:
        """Let the failures of a job count against the worker, or not.

        They do not if the job has failed on more workers than the worker has failed
        jobs, which makes the job's fault the likelier one.

        :param blamed_for: number of workers on which the job has failed; 0 if it is not
            at fault
        """
        if job not in self._by_job:
            return
        self._blamed[job] = blamed_for
        self._quarantined_until = 0.0
        self._recount()

    def inherit(self, former: "WorkerHealth") -> None:
        """Take over the failures of the former worker at the same address."""
        self._by_job = dict(former._by_job)
        self._blamed = dict(former._blamed)
        self._recorded_at = former._recorded_at
        self._quarantined_since = former._quarantined_since
        self._recount()

    def _record(self, job: str, now: float) -> None:
        if now - self._recorded_at > FAILURE_MEMORY_S:
            self.record_success()
        number = self._by_job[job].number if job in self._by_job else 0
        self._by_job[job] = _Failures(number + 1, now)
        self._recorded_at = now
        if not self.quarantined(now):
            self._quarantined_since = now
        self._recount()

    def _recount(self) -> None:
        """Count the failures that are not the jobs' fault; derive the quarantine."""
        counted = [
            failures
            for job, failures in self._by_job.items()
            if self._blamed.get(job, 0) <= len(self._by_job)
        ]
        self.failures = sum(each.number for each in counted)
        if not counted:
            return
        self.failed_at = max(each.last_at for each in counted)
        over = self.failures - QUARANTINE_FAILURES
        if over >= 0:
            pause_s = min(QUARANTINE_S * 2**over, QUARANTINE_MAX_S)
            until = self.failed_at + pause_s
            self._quarantined_until = max(self._quarantined_until, until)
