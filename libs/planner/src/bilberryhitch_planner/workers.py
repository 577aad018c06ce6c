"""State of one worker: capacity, runs, clock offset and lease."""

from typing import TYPE_CHECKING

from bilberryhitch_jobs import Placement, TaskName

from .machine_speed import UNKNOWN_SPEED_ERROR, MachineSpeed
from .reports import WorkerEntry
from .runs import Run, RunState
from .worker_health import WorkerHealth

if TYPE_CHECKING:
    from .crashes import LostTask
    from .forecast import Forecast

# A worker's clock may run slower than the planner's by this fraction.
CLOCK_DRIFT = 0.02
# Covers the timer granularity on both sides.
LEASE_SLACK_S = 0.3
# Longest lease of the runs on a worker; a worker cuts a longer one from the moment at
# which it carries out the call.
MAX_LEASE_S = 10.0
# How long a worker holds a heartbeat open while no run ends. This is also the
# period of lease renewals and progress updates. A stalled run is detected after
# three heartbeats, and an urgent run has little more than one second of slack.
HEARTBEAT_WAIT_S = 0.6
# A worker that is silent for longer than its heartbeat takes and this gets no new runs.
MAX_DELAY_S = 0.7


class Worker:
    """One incarnation of a worker. All times are monotonic, in seconds.

    :ivar entry: its registration
    :ivar registered: whether its registration still exists
    :ivar synced: it has listed its runs to this planner
    :ivar runs: runs that may exist, by task and run number
    :ivar free: unallocated capacity
    :ivar lease_until: time after which nothing can run there
    :ivar answered_at: time of the last heartbeat reply
    :ivar heard_at: time of its last answer of any kind
    :ivar checked_at: time of the heartbeat reply for which stalled runs were looked for
    :ivar discovered_at: time at which this planner learned of it
    :ivar heartbeat_wait_s: how long it holds the present heartbeat open
    :ivar health: what its failures and refusals show of it
    :ivar last_end_sequence: sequence number of the last applied ended run
    :ivar speed: expected speed now, 1.0 for an average or unknown worker
    :ivar speed_error: standard deviation of the logarithm of its speed
    :ivar machine_speed: what is known of its machine's speed
    :ivar clock_s: its clock at the last heartbeat reply, in seconds
    :ivar observed_s: its clock when its runs were last looked at for its speed
    :ivar started_ms: Unix time of its start in ms; 0 if unknown
    :ivar forecast: expected ends of its runs; None after they have changed
    :ivar lapsed: tasks that ran on it when its lease expired, until it answers again
    :ivar exclusive: nothing may be placed beside its runs
    :ivar doubtful: by run that may have ended with the worker's former life: its task,
        and whether the crash of that life can only be due to that task
    """

    def __init__(self, entry: WorkerEntry, now: float) -> None:
        self.entry = entry
        self.registered = True
        self.synced = False
        self.runs: dict[tuple[TaskName, int], Run] = {}
        self.free = entry.capacity
        self.lease_until = now
        self.answered_at = now
        self.heard_at = float("-inf")
        self.checked_at = now
        self.discovered_at = now
        self.heartbeat_wait_s = HEARTBEAT_WAIT_S
        self.health = WorkerHealth(now)
        self.last_end_sequence = 0
        self.speed = 1.0
        self.speed_error = UNKNOWN_SPEED_ERROR
        self.machine_speed = MachineSpeed()
        self.clock_s = 0.0
        self.observed_s = 0.0
        self.started_ms = 0
        self.forecast: Forecast | None = None
        self.exclusive = False
        self.lapsed: list[LostTask] = []
        self.doubtful: dict[tuple[TaskName, int], tuple[LostTask, bool]] = {}
        self._clock_offset = 0.0

    @property
    def max_silence_s(self) -> float:
        """How long the worker may be silent before it gets no new runs."""
        return self.heartbeat_wait_s + MAX_DELAY_S

    @property
    def placement(self) -> Placement:
        """Where a run on it is placed."""
        return Placement(self.entry.worker, self.started_ms)

    def usable(self, now: float) -> bool:
        """Return whether the worker may get new runs."""
        return self.sound(now) and not self.health.quarantined(now)

    def sound(self, now: float) -> bool:
        """Return whether it may get new runs if its failures are left out."""
        return (
            self.registered
            and self.synced
            and not self.entry.draining
            and now - self.answered_at < self.max_silence_s
            and not self.health.paused(now)
        )

    def active_since(self, time: float) -> bool:
        """Return whether it has answered after a time, or may have started a run."""
        return self.heard_at > time or any(
            run.sent_at > time for run in self.runs.values()
        )

    def update_entry(self, entry: WorkerEntry) -> None:
        """Apply a changed registration, whose capacity may differ."""
        used = self.entry.capacity.minus(self.free)
        self.entry = entry
        self.free = entry.capacity.minus(used)
        self.forecast = None

    def add_run(self, run: Run) -> None:
        """Add a run and allocate its resources."""
        self.runs[run.task, run.number] = run
        self.free = self.free.minus(run.demand)
        self.exclusive = self.exclusive or run.exclusive
        self.forecast = None

    def remove_run(self, run: Run) -> None:
        """Remove a run that has certainly ended and free its resources."""
        if self.runs.pop((run.task, run.number), None) is not None:
            self.free = self.free.plus(run.demand)
            self.exclusive = any(each.exclusive for each in self.runs.values())
            self.forecast = None

    def end_isolation(self, after_s: float) -> None:
        """Let other work in beside runs that have worked alone for long enough.

        :param after_s: age of a run, in seconds, up to the worker's last answer
        """
        for run in self.runs.values():
            if run.state is RunState.RUNNING and run.confirmed:
                age_s = self.answered_at - run.ordered_at
                if run.exclusive and age_s >= after_s:
                    run.exclusive = False
                    if run.unit is not None:
                        run.unit.cleared = True
        exclusive = any(each.exclusive for each in self.runs.values())
        if exclusive is not self.exclusive:
            self.exclusive = exclusive
            self.forecast = None

    def set_clock(self, clock_s: float, now: float) -> None:
        """Update the clock offset from a reply that has just arrived."""
        self.clock_s = clock_s
        self._clock_offset = clock_s - now
        self.answered_at = self.heard_at = now

    def clock_at(self, time: float) -> float:
        """Return the worker's clock at a monotonic time near its last answer."""
        return time + self._clock_offset

    def lease_deadline(self, until: float, now: float) -> float:
        """Return a lease's end on the worker's clock and record when it has expired.

        :param until: end of the lease on this process's monotonic clock
        """
        slow = (until - now) * CLOCK_DRIFT + (now - self.answered_at) * CLOCK_DRIFT
        self.lease_until = max(self.lease_until, until + slow + LEASE_SLACK_S)
        return until + self._clock_offset

    def allow_for_longest_lease(self, now: float) -> None:
        """Record that the worker may have got the longest lease up to this moment.

        A life that started after the last heartbeat reply has another clock than the
        one on which the lease was granted.
        """
        until = now + MAX_LEASE_S * (1 + CLOCK_DRIFT) + LEASE_SLACK_S
        self.lease_until = max(self.lease_until, until)
