"""Lease table of a simulated worker of ``bilberryhitch_gangs``, without I/O.

The workers of ``bilberryhitch_planner`` are simulated in ``simulated_fleet.py``.
"""

import json
from collections.abc import Callable, Iterable, MutableMapping
from typing import Literal, NamedTuple

from bilberryhitch_model import Host
from bilberryhitch_model.errors import StaleToken, WorkerRefused

LeasePhase = Literal["reserved", "running", "finished", "failed", "stopped", "lapsed"]
EventKind = Literal[
    "reserve",
    "start",
    "checkpoint",
    "throttle",
    "finish",
    "fail",
    "stop",
    "lapse",
    "lost",
    "release",
]
DEFAULT_RUN_S = 1.0


class WorkerEvent(NamedTuple):
    """A change of a lease, as listed in the worker's history.

    :param at: time of the change on the worker's clock, in seconds
    :param accelerators: how many accelerators the lease holds
    :param saved: checkpoint key that ``checkpoint`` wrote or ``start`` resumed from;
        empty for none
    """

    at: float
    kind: EventKind
    host: str
    attempt_id: str
    token: int
    accelerators: int
    saved: str = ""


class LeaseReport(NamedTuple):
    """State of one lease as the worker reports it.

    :param state: a lease phase, ``held`` for a task held at its checkpoint, or
        ``absent``
    :param started: whether the task has started under this lease
    :param detail: reason of a failure; empty for none
    :param boot_id: the worker's boot identifier, which changes with a restart
    """

    attempt_id: str
    state: str
    started: bool
    detail: str
    boot_id: str


class WorkerReport(NamedTuple):
    """All leases of the worker.

    :param highest: highest fencing token that the worker has seen
    """

    boot_id: str
    highest: int
    leases: tuple[LeaseReport, ...]


class _Lease:
    """A lease and its task.

    :ivar remaining_s: run time left at ``updated_at``, in seconds at full speed
    :ivar held: the task is paused at its checkpoint
    """

    def __init__(
        self, attempt_id: str, token: int, accelerators: tuple[int, ...]
    ) -> None:
        self.attempt_id = attempt_id
        self.token = token
        self.accelerators = accelerators
        self.cores = 0
        self.memory_gb = 0
        self.expires_at = 0.0
        self.phase: LeasePhase = "reserved"
        self.started = False
        self.detail = ""
        self.fails = False
        self.total_s = 0.0
        self.remaining_s = 0.0
        self.updated_at = 0.0
        self.speed = 1.0
        self.held = False

    @property
    def state(self) -> str:
        """State that the worker reports: the phase, or ``held``."""
        return "held" if self.held and self.phase == "running" else self.phase

    @property
    def active(self) -> bool:
        """Whether the lease holds its accelerators."""
        return self.phase in ("reserved", "running")

    @property
    def finish_at(self) -> float:
        """Time at which the task finishes at its present speed."""
        if self.phase != "running" or self.speed <= 0:
            return float("inf")
        return self.updated_at + self.remaining_s / self.speed

    def set_speed(self, speed: float, at: float) -> None:
        """Change the speed at a time, after deducting the work done until then."""
        self.remaining_s = max(
            0.0, self.remaining_s - (at - self.updated_at) * self.speed
        )
        self.updated_at = at
        self.speed = speed


class WorkerModel:
    """A worker that holds leases and simulates their tasks.

    Calls raise :class:`StaleToken` for a token below the highest seen and
    :class:`WorkerRefused` for any other call that is not carried out. Results are
    kept until they are released or a restart loses them.

    :param clock: returns seconds of any epoch
    :param checkpoints: seconds of work done by checkpoint key; shared by workers in
        place of the object store
    :ivar refuse_starts: refuse every start
    :ivar fail_everything: every task fails as soon as it starts
    :ivar ignore_checkpoint: refuse every checkpoint
    """

    def __init__(
        self,
        host: Host,
        clock: Callable[[], float],
        checkpoints: MutableMapping[str, float] | None = None,
    ) -> None:
        self.host = host
        self.refuse_starts = False
        self.fail_everything = False
        self.ignore_checkpoint = False
        self._clock = clock
        self._checkpoints = {} if checkpoints is None else checkpoints
        self._restart_count = 0
        self._highest_token = 0
        self._leases: dict[str, _Lease] = {}
        self._history: list[WorkerEvent] = []

    @property
    def boot_id(self) -> str:
        """Identifier that changes with every restart."""
        return f"{self.host.boot_id or self.host.name}-{self._restart_count}"

    @property
    def history(self) -> list[WorkerEvent]:
        """All changes so far, in order of time."""
        self._end_due_leases()
        return self._history

    def reserve(
        self,
        attempt_id: str,
        token: int,
        *,
        accelerators: Iterable[int],
        cores: int,
        memory_gb: int,
        term_s: float,
    ) -> LeaseReport:
        """Create a lease on accelerators, cores and memory; its task starts later.

        :param accelerators: indices of the accelerators
        :param term_s: time until the lease expires unless it is renewed, in seconds
        """
        self._accept_token(token)
        indices = tuple(accelerators)
        self._check_free(attempt_id, indices, cores, memory_gb)
        lease = _Lease(attempt_id, token, indices)
        lease.cores, lease.memory_gb = cores, memory_gb
        lease.expires_at = self._clock() + term_s
        self._leases[attempt_id] = lease
        self._record("reserve", lease)
        return self._report(attempt_id)

    def start(
        self, attempt_id: str, token: int, run: str, saved: str = ""
    ) -> LeaseReport:
        """Start the task of a lease that is reserved and has not started yet.

        :param run: JSON object with the task's ``seconds`` and ``fail``
        :param saved: key of the checkpoint to resume from; empty for none
        """
        self._accept_token(token)
        lease = self._leases.get(attempt_id)
        if lease is None or lease.phase != "reserved":
            raise self._build_refusal("no reserved lease")
        if self.refuse_starts:
            raise self._build_refusal("starts are refused")
        lease.total_s, lease.fails = _parse_run(run)
        lease.phase, lease.started, lease.updated_at = "running", True, self._clock()
        lease.remaining_s = max(0.0, lease.total_s - self._checkpoints.get(saved, 0.0))
        if self.fail_everything:
            lease.fails, lease.remaining_s = True, 0.0
        self._record("start", lease, saved=saved)
        return self._report(attempt_id)

    def renew(
        self, token: int, attempt_ids: Iterable[str], term_s: float
    ) -> WorkerReport:
        """Extend the leases to ``term_s`` seconds from now; none is shortened."""
        self._accept_token(token)
        for attempt_id in attempt_ids:
            lease = self._leases.get(attempt_id)
            if lease is not None and lease.active:
                lease.expires_at = max(lease.expires_at, self._clock() + term_s)
        return self.state()

    def checkpoint(self, attempt_id: str, token: int, saved: str) -> LeaseReport:
        """Save the task's progress under the key ``saved`` and pause the task."""
        self._accept_token(token)
        lease = self._get_running_lease(attempt_id)
        if self.ignore_checkpoint:
            raise self._build_refusal("checkpoint failed")
        lease.set_speed(0.0, self._clock())
        lease.held = True
        self._checkpoints[saved] = lease.total_s - lease.remaining_s
        self._record("checkpoint", lease, saved=saved)
        return self._report(attempt_id)

    def throttle(self, attempt_id: str, token: int, speed: float) -> LeaseReport:
        """Run the task at a fraction of full speed; resumes a paused task."""
        self._accept_token(token)
        lease = self._get_running_lease(attempt_id)
        lease.set_speed(speed, self._clock())
        lease.held = False
        self._record("throttle", lease)
        return self._report(attempt_id)

    def stop(self, attempt_id: str, token: int) -> LeaseReport:
        """End the lease; the report tells whether its task has started."""
        self._accept_token(token)
        lease = self._leases.get(attempt_id)
        if lease is not None and lease.active:
            lease.phase = "stopped"
            self._record("stop", lease)
        return self._report(attempt_id)

    def release(self, attempt_id: str, token: int) -> None:
        """Stop the task if it runs, and remove the lease and its result."""
        self._accept_token(token)
        lease = self._leases.pop(attempt_id, None)
        if lease is None:
            return
        if lease.phase == "running":
            self._record("stop", lease)
        self._record("release", lease)

    def state(self) -> WorkerReport:
        """Return all leases; needs no token."""
        self._end_due_leases()
        return WorkerReport(
            self.boot_id, self._highest_token, tuple(map(self._report, self._leases))
        )

    def usage(self) -> dict[str, int]:
        """Return the accelerators, cores and GB of memory that active leases hold."""
        self._end_due_leases()
        active = [lease for lease in self._leases.values() if lease.active]
        return {
            "accelerators": sum(len(lease.accelerators) for lease in active),
            "cores": sum(lease.cores for lease in active),
            "memory_gb": sum(lease.memory_gb for lease in active),
        }

    def restart(self) -> None:
        """Remove all leases and results; the highest token survives a restart."""
        self._end_due_leases()
        for lease in self._leases.values():
            if lease.active:
                self._record("lost", lease)
        self._leases.clear()
        self._restart_count += 1

    def _accept_token(self, token: int) -> None:
        self._end_due_leases()
        if token < self._highest_token:
            raise StaleToken(self.host.name, self._highest_token)
        self._highest_token = token

    def _check_free(
        self, attempt_id: str, indices: tuple[int, ...], cores: int, memory_gb: int
    ) -> None:
        if attempt_id in self._leases:
            raise self._build_refusal("attempt exists")
        active = [lease for lease in self._leases.values() if lease.active]
        taken = {index for lease in active for index in lease.accelerators}
        free = set(range(self.host.accelerators)) - taken
        if not set(indices) <= free:
            raise self._build_refusal("accelerators not free")
        if cores + sum(lease.cores for lease in active) > self.host.cores:
            raise self._build_refusal("cores not free")
        if memory_gb + sum(lease.memory_gb for lease in active) > self.host.memory_gb:
            raise self._build_refusal("memory not free")

    def _get_running_lease(self, attempt_id: str) -> _Lease:
        lease = self._leases.get(attempt_id)
        if lease is None or lease.phase != "running":
            raise self._build_refusal("not running")
        return lease

    def _end_due_leases(self) -> None:
        """End leases whose task finished or whose term expired, in order of time."""
        now = self._clock()
        ends = [
            (min(lease.finish_at, lease.expires_at), lease)
            for lease in self._leases.values()
            if lease.active and min(lease.finish_at, lease.expires_at) <= now
        ]
        for at, lease in sorted(ends, key=lambda end: end[0]):
            self._end_lease(lease, at)

    def _end_lease(self, lease: _Lease, at: float) -> None:
        if lease.finish_at > lease.expires_at:
            lease.phase = "lapsed"
            self._record("lapse", lease, at=at)
            if not lease.started:
                del self._leases[lease.attempt_id]
            return
        lease.phase = "failed" if lease.fails else "finished"
        lease.detail = "task failed" if lease.fails else ""
        self._record("fail" if lease.fails else "finish", lease, at=at)

    def _report(self, attempt_id: str) -> LeaseReport:
        lease = self._leases.get(attempt_id)
        if lease is None:
            return LeaseReport(attempt_id, "absent", False, "", self.boot_id)
        return LeaseReport(
            attempt_id, lease.state, lease.started, lease.detail, self.boot_id
        )

    def _record(
        self,
        kind: EventKind,
        lease: _Lease,
        *,
        at: float | None = None,
        saved: str = "",
    ) -> None:
        time = self._clock() if at is None else at
        event = WorkerEvent(
            time,
            kind,
            self.host.name,
            lease.attempt_id,
            lease.token,
            len(lease.accelerators),
            saved,
        )
        self._history.append(event)

    def _build_refusal(self, reason: str) -> WorkerRefused:
        return WorkerRefused(self.host.name, reason)


def _parse_run(run: str) -> tuple[float, bool]:
    """Return the run time in seconds and whether the task fails.

    Text in another format stands for a task of the default run time.
    """
    try:
        fields = json.loads(run)
        return float(fields.get("seconds", DEFAULT_RUN_S)), bool(fields.get("fail"))
    except (ValueError, AttributeError, TypeError):
        return DEFAULT_RUN_S, False
