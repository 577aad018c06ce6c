"""Workers that crash and start again under their identifiers, in simulated time."""

import asyncio
from typing import NamedTuple

from bilberryhitch_jobs import TaskName
from bilberryhitch_planner import (
    HeartbeatReply,
    StartOrder,
    StartOutcome,
    StopOrder,
    StopOutcome,
    WorkerEntry,
)
from bilberryhitch_standins.simulated_fleet import SimulatedFleet, SimulatedWorker

# The platform's limit of a lease, on the worker's clock.
MAX_LEASE_S = 10.0
# How often a held heartbeat looks for ended runs.
HOLD_PERIOD_S = 0.03


class RunKey(NamedTuple):
    """A run of a task."""

    task: TaskName
    number: int


class Life:
    """One life of a worker: its clock starts at 0 and it knows of no former life.

    :param number: number of the life, unique among all workers
    :param began_at: simulated time of its start, in seconds
    :param clock_rate: seconds of its clock in a second
    :ivar started: number of the latest run that it started, by task
    """

    def __init__(
        self,
        number: int,
        entry: WorkerEntry,
        model: SimulatedWorker,
        began_at: float,
        clock_rate: float,
    ) -> None:
        self.number = number
        self.entry = entry
        self.started: dict[TaskName, int] = {}
        self._model = model
        self._began_at = began_at
        self._clock_rate = clock_rate

    @property
    def up(self) -> bool:
        """Whether it has not ended."""
        return self._model.alive

    @property
    def has_ends(self) -> bool:
        """Whether it has ended runs to list."""
        return bool(self._model.ends)

    @property
    def started_ms(self) -> int:
        """Time of its start in ms."""
        return 1 + round(self._began_at * 1000)

    def runs(self, key: RunKey) -> bool:
        """Return whether a run is in progress."""
        in_progress = self._model.has_other_run(key.task, None)  # type: ignore[arg-type]
        return self.up and in_progress and self.started.get(key.task) == key.number

    def end(self) -> None:
        """End the life and all its runs."""
        self._model.crash()

    def start(
        self, order: StartOrder, *, token: int, lease_until_s: float, now: float
    ) -> tuple[StartOutcome, bool]:
        """Carry out a start.

        :param lease_until_s: end of the lease on the worker's clock
        :returns: the outcome, and whether a run began
        """
        known = self.runs(RunKey(order.task, order.run))
        outcome = self._model.start(
            order.task,
            order.run,
            saved=order.checkpoint,
            token=token,
            lease_until_s=self._lease_end(lease_until_s, now),
            now=now,
        )
        begun = outcome is StartOutcome.STARTED and not known
        if begun:
            self.started[order.task] = order.run
        return outcome, begun

    def stop(self, order: StopOrder, *, token: int, now: float) -> StopOutcome:
        """Carry out a stop."""
        return self._model.stop(order.task, order.run, token=token, now=now)

    def hold(
        self,
        *,
        token: int,
        acknowledged: int = 0,
        lease_until_s: float | None = None,
        now: float,
    ) -> HeartbeatReply | None:
        """Carry out a heartbeat; None if the token is too low."""
        lease = None if lease_until_s is None else self._lease_end(lease_until_s, now)
        reply = self._model.hold(
            token=token, acknowledged=acknowledged, lease_until_s=lease, now=now
        )
        if reply is None:
            return None
        return reply._replace(clock_s=self._clock(now), started_ms=self.started_ms)

    def ends_up_to(self, acknowledged: int) -> list[RunKey]:
        """Return the runs whose listed ends an acknowledgement drops, if done."""
        return [
            RunKey(end.task, end.run)
            for end in self._model.ends
            if end.sequence <= acknowledged and end.how == "done"
        ]

    def _clock(self, now: float) -> float:
        return (now - self._began_at) * self._clock_rate

    def _lease_end(self, lease_until_s: float, now: float) -> float:
        """Return the simulated time at which a lease ends on the worker's clock."""
        left_s = min(lease_until_s - self._clock(now), MAX_LEASE_S)
        return now + left_s / self._clock_rate


class WorkerLives:
    """The lives of all workers, by address.

    :param fleet: simulates their runs; its leases may not be shorter than
        ``MAX_LEASE_S`` on the slowest clock
    """

    def __init__(self, fleet: SimulatedFleet) -> None:
        self.fleet = fleet
        self._by_address: dict[str, Life] = {}
        self._lives = 0

    @property
    def up(self) -> list[Life]:
        """Lives that have not ended."""
        return [life for life in self._by_address.values() if life.up]

    def begin(self, entry: WorkerEntry, clock_rate: float = 1.0) -> Life:
        """Begin a life of a worker at its address."""
        now = self.advance()
        self._lives += 1
        model = self.fleet.add_worker(entry)
        model.advance(now)
        life = Life(self._lives, entry, model, now, clock_rate)
        self._by_address[entry.address] = life
        return life

    def end(self, name: str) -> None:
        """End a worker's life; a worker that is not up is left unchanged."""
        self.advance()
        life = self.of(name)
        if life is not None:
            life.end()

    def at(self, address: str) -> Life | None:
        """Return the life at an address."""
        life = self._by_address.get(address)
        return life if life is not None and life.up else None

    def of(self, name: str) -> Life | None:
        """Return a worker's present life."""
        return next((life for life in self.up if life.entry.worker == name), None)

    def running(self, name: str, key: RunKey) -> bool:
        """Return whether a run is in progress on a worker now."""
        self.advance()
        life = self.of(name)
        return life is not None and life.runs(key)

    def advance(self) -> float:
        """Simulate all runs up to the loop's time, which is returned."""
        now = asyncio.get_running_loop().time()
        self.fleet.advance(now)
        return now
