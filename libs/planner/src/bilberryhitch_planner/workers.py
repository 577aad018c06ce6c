"""The planner's books on one worker: capacity, runs, clock and lease."""

from bilberryhitch_jobs import TaskName

from .reports import WorkerEntry
from .runs import Run

# A worker's clock may be this much slower than the planner's.
CLOCK_DRIFT = 0.02
# Covers timer granularity on both sides.
LEASE_SLACK_S = 0.3
# A look takes up to 0.6 s; a worker that misses two gets nothing new.
MAX_SILENCE_S = 1.3
# Failures in a row, of different runs, after which a worker gets nothing.
QUARANTINE_FAILURES = 2
# Disturbances that make a worker fail its runs last several seconds.
SUSPECT_S = 4.0
# First pause of a failing worker; doubled with each failure after it.
QUARANTINE_S = 2.0
QUARANTINE_MAX_S = 8.0
# An unhealthy worker's refusal lasts seconds rather than milliseconds.
REFUSAL_PAUSE_S = 0.5


class Worker:
    """One incarnation of a worker.

    :ivar synced: it has listed its runs to this planner
    :ivar listed: it is registered
    :ivar discovered_at: steady time at which this planner heard of it
    :ivar speed: relative to the other workers, as far as it is known
    :ivar lease_until: steady time after which nothing can run there
    """

    def __init__(self, entry: WorkerEntry, now: float) -> None:
        self.entry = entry
        self.registered = True
        self.synced = False
        self.runs: dict[tuple[TaskName, int], Run] = {}
        self.free = entry.capacity
        self.lease_until = now
        self.answered_at = now
        self.discovered_at = now
        self.paused_until = 0.0
        self.last_end_sequence = 0
        self.speed = 1.0
        self.born_ms = 0
        self.failures = 0
        self.failed_at = now
        self._clock_offset = 0.0

    def usable(self, now: float) -> bool:
        """Return whether it may get new runs."""
        return (
            self.registered
            and self.synced
            and not self.entry.draining
            and now - self.answered_at < MAX_SILENCE_S
            and now >= self.paused_until
        )

    def suspect(self, now: float) -> bool:
        """Return whether its last run failed a short time ago."""
        return self.failures > 0 and now - self.failed_at < SUSPECT_S

    def update_entry(self, entry: WorkerEntry) -> None:
        """Take over a changed registration; capacity may change with it."""
        used = self.entry.capacity.minus(self.free)
        self.entry = entry
        self.free = entry.capacity.minus(used)

    def add_run(self, run: Run) -> None:
        """Book a run and its room."""
        self.runs[run.task, run.number] = run
        self.free = self.free.minus(run.demand)

    def drop_run(self, run: Run) -> None:
        """Release a run that is certain to be gone."""
        if self.runs.pop((run.task, run.number), None) is not None:
            self.free = self.free.plus(run.demand)

    def set_clock(self, clock_s: float, now: float) -> None:
        """Take the worker's clock from an answer that has just arrived."""
        self._clock_offset = clock_s - now
        self.answered_at = now

    def lease_deadline(self, until: float, now: float) -> float:
        """Return a lease's end on the worker's clock and note when it lapses here.

        :param until: the end wanted, on this process's steady clock
        """
        slow = (until - now) * CLOCK_DRIFT + (now - self.answered_at) * CLOCK_DRIFT
        self.lease_until = max(self.lease_until, until + slow + LEASE_SLACK_S)
        return until + self._clock_offset

    def note_failure(self, now: float) -> None:
        """Pause the worker if several runs in a row failed on it."""
        self.failures += 1
        self.failed_at = now
        over = self.failures - QUARANTINE_FAILURES
        if over >= 0:
            pause = min(QUARANTINE_S * 2**over, QUARANTINE_MAX_S)
            self.paused_until = max(self.paused_until, now + pause)

    def note_success(self) -> None:
        """Trust the worker again."""
        self.failures = 0

    def note_refusal(self, now: float) -> None:
        """Give an unhealthy worker a short pause."""
        self.paused_until = max(self.paused_until, now + REFUSAL_PAUSE_S)
