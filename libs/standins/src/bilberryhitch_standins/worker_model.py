"""The lease table of a worker as plain Python, without I/O."""

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
    """One change of a lease.

    :param at: time of the change on the worker's clock, in seconds
    :param accelerators: how many accelerators the lease holds
    :param saved: checkpoint key written, or resumed from by ``start``
    """

    at: float
    kind: EventKind
    host: str
    attempt_id: str
    token: int
    accelerators: int
    saved: str = ""


class LeaseReport(NamedTuple):
    """What the worker tells about one lease.

    :param state: a lease phase, ``held`` for a task held at its checkpoint, or
        ``absent``
    :param started: whether the task has started under this lease
    """

    attempt_id: str
    state: str
    started: bool
    detail: str
    boot_id: str


class WorkerReport(NamedTuple):
    """Every lease of the worker."""

    boot_id: str
    highest: int
    leases: tuple[LeaseReport, ...]


class _Lease:
    """A lease and its task; ``remaining_s`` is run time left at ``since``."""

    def __init__(
        self, attempt_id: str, token: int, accelerators: tuple[int, ...]
    ) -> None:
        self.attempt_id = attempt_id
        self.token = token
        self.accelerators = accelerators
        self.cores = 0
        self.memory_gb = 0
        self.ends_at = 0.0
        self.phase: LeasePhase = "reserved"
        self.started = False
        self.detail = ""
        self.fails = False
        self.total_s = 0.0
        self.remaining_s = 0.0
        self.since = 0.0
        self.speed = 1.0
        self.held = False

    @property
    def state(self) -> str:
        """The phase as it is reported."""
        return "held" if self.held and self.phase == "running" else self.phase

    @property
    def active(self) -> bool:
        """Whether the lease holds its accelerators."""
        return self.phase in ("reserved", "running")

    @property
    def finish_at(self) -> float:
        """When the task ends by itself."""
        if self.phase != "running" or self.speed <= 0:
            return float("inf")
        return self.since + self.remaining_s / self.speed

    def set_speed(self, speed: float, at: float) -> None:
        """Account for the run time so far and go on at another speed."""
        self.remaining_s = max(0.0, self.remaining_s - (at - self.since) * self.speed)
        self.since = at
        self.speed = speed


class WorkerModel:
    """One worker.

    Calls raise :class:`StaleToken` for a token below the highest seen and
    :class:`WorkerRefused` for anything else that is not done. Results are kept
    until they are released, or lost with a restart.

    :param clock: seconds, of any epoch
    :param saved: progress by checkpoint key, shared by workers; it stands for
        the object store
    :ivar refuse_starts: every start is refused
    :ivar fail_everything: every task fails as soon as it starts
    :ivar ignore_checkpoint: checkpoints are refused
    """

    def __init__(
        self,
        host: Host,
        clock: Callable[[], float],
        saved: MutableMapping[str, float] | None = None,
    ) -> None:
        self.host = host
        self.refuse_starts = False
        self.fail_everything = False
        self.ignore_checkpoint = False
        self._clock = clock
        self._saved = {} if saved is None else saved
        self._boot = 0
        self._highest = 0
        self._leases: dict[str, _Lease] = {}
        self._history: list[WorkerEvent] = []

    @property
    def boot_id(self) -> str:
        """Changes with every restart."""
        return f"{self.host.boot_id or self.host.name}-{self._boot}"

    @property
    def history(self) -> list[WorkerEvent]:
        """Every change so far, in order of time."""
        self._settle()
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
        """Hold resources for a task that does not run yet."""
        self._admit(token)
        indices = tuple(accelerators)
        self._check_free(attempt_id, indices, cores, memory_gb)
        lease = _Lease(attempt_id, token, indices)
        lease.cores, lease.memory_gb = cores, memory_gb
        lease.ends_at = self._clock() + term_s
        self._leases[attempt_id] = lease
        self._record("reserve", lease)
        return self._report(attempt_id)

    def start(
        self, attempt_id: str, token: int, run: str, saved: str = ""
    ) -> LeaseReport:
        """Start the task of a reserved lease, once."""
        self._admit(token)
        lease = self._leases.get(attempt_id)
        if lease is None or lease.phase != "reserved":
            raise self._refusal("no reserved lease")
        if self.refuse_starts:
            raise self._refusal("starts are refused")
        lease.total_s, lease.fails = _parse_run(run)
        lease.phase, lease.started, lease.since = "running", True, self._clock()
        lease.remaining_s = max(0.0, lease.total_s - self._saved.get(saved, 0.0))
        if self.fail_everything:
            lease.fails, lease.remaining_s = True, 0.0
        self._record("start", lease, saved=saved)
        return self._report(attempt_id)

    def renew(
        self, token: int, attempt_ids: Iterable[str], term_s: float
    ) -> WorkerReport:
        """Extend the named leases; a renewal never shortens a term."""
        self._admit(token)
        for attempt_id in attempt_ids:
            lease = self._leases.get(attempt_id)
            if lease is not None and lease.active:
                lease.ends_at = max(lease.ends_at, self._clock() + term_s)
        return self.state()

    def checkpoint(self, attempt_id: str, token: int, saved: str) -> LeaseReport:
        """Save the task's state under ``saved`` and hold the task there."""
        self._admit(token)
        lease = self._running(attempt_id)
        if self.ignore_checkpoint:
            raise self._refusal("checkpoint failed")
        lease.set_speed(0.0, self._clock())
        lease.held = True
        self._saved[saved] = lease.total_s - lease.remaining_s
        self._record("checkpoint", lease, saved=saved)
        return self._report(attempt_id)

    def throttle(self, attempt_id: str, token: int, speed: float) -> LeaseReport:
        """Let the task run at a fraction of its speed."""
        self._admit(token)
        lease = self._running(attempt_id)
        lease.set_speed(speed, self._clock())
        lease.held = False
        self._record("throttle", lease)
        return self._report(attempt_id)

    def stop(self, attempt_id: str, token: int) -> LeaseReport:
        """End the lease; the answer tells whether its task ever started."""
        self._admit(token)
        lease = self._leases.get(attempt_id)
        if lease is not None and lease.active:
            lease.phase = "stopped"
            self._record("stop", lease)
        return self._report(attempt_id)

    def release(self, attempt_id: str, token: int) -> None:
        """Forget the lease and its result, after stopping its task."""
        self._admit(token)
        lease = self._leases.pop(attempt_id, None)
        if lease is None:
            return
        if lease.phase == "running":
            self._record("stop", lease)
        self._record("release", lease)

    def state(self) -> WorkerReport:
        """Return every lease; needs no token."""
        self._settle()
        return WorkerReport(
            self.boot_id, self._highest, tuple(map(self._report, self._leases))
        )

    def usage(self) -> dict[str, int]:
        """Return what active leases hold now."""
        self._settle()
        active = [lease for lease in self._leases.values() if lease.active]
        return {
            "accelerators": sum(len(lease.accelerators) for lease in active),
            "cores": sum(lease.cores for lease in active),
            "memory_gb": sum(lease.memory_gb for lease in active),
        }

    def restart(self) -> None:
        """Lose every lease and result; the highest token is kept on disk."""
        self._settle()
        for lease in self._leases.values():
            if lease.active:
                self._record("lost", lease)
        self._leases.clear()
        self._boot += 1

    def _admit(self, token: int) -> None:
        self._settle()
        if token < self._highest:
            raise StaleToken(self.host.name, self._highest)
        self._highest = token

    def _check_free(
        self, attempt_id: str, indices: tuple[int, ...], cores: int, memory_gb: int
    ) -> None:
        if attempt_id in self._leases:
            raise self._refusal("attempt exists")
        active = [lease for lease in self._leases.values() if lease.active]
        taken = {index for lease in active for index in lease.accelerators}
        free = set(range(self.host.accelerators)) - taken
        if not set(indices) <= free:
            raise self._refusal("accelerators not free")
        if cores + sum(lease.cores for lease in active) > self.host.cores:
            raise self._refusal("cores not free")
        if memory_gb + sum(lease.memory_gb for lease in active) > self.host.memory_gb:
            raise self._refusal("memory not free")

    def _running(self, attempt_id: str) -> _Lease:
        lease = self._leases.get(attempt_id)
        if lease is None or lease.phase != "running":
            raise self._refusal("not running")
        return lease

    def _settle(self) -> None:
        """Record what ended by itself since the last call, in order of time."""
        now = self._clock()
        ends = [
            (min(lease.finish_at, lease.ends_at), lease)
            for lease in self._leases.values()
            if lease.active and min(lease.finish_at, lease.ends_at) <= now
        ]
        for at, lease in sorted(ends, key=lambda end: end[0]):
            self._end_by_itself(lease, at)

    def _end_by_itself(self, lease: _Lease, at: float) -> None:
        if lease.finish_at > lease.ends_at:
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

    def _refusal(self, reason: str) -> WorkerRefused:
        return WorkerRefused(self.host.name, reason)


def _parse_run(run: str) -> tuple[float, bool]:
    """Read run time in seconds and whether the task fails from a job's text."""
    try:
        fields = json.loads(run)
        return float(fields.get("seconds", DEFAULT_RUN_S)), bool(fields.get("fail"))
    except (ValueError, AttributeError, TypeError):
        return DEFAULT_RUN_S, False
