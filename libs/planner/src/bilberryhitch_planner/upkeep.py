"""Takes machines down for the upkeep that the operator asks for, a few at a time."""

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple, Protocol

import msgspec
from bilberryhitch_jobs import RowWrite, Store
from bilberryhitch_jobs.errors import STORE_ERRORS
from bilberryhitch_telemetry import events, log

from .errors import MachinesUnknown, WorkerFenced
from .leader_election import CALL_TIMEOUT_S
from .planner import Planner
from .preemption import lost_core_seconds
from .state_writer import StateWriter
from .workers import Worker

RECORD_TABLE = "upkeep"
# Upkeep takes seconds; each round reads the list of machines once.
POLL_PERIOD_S = 0.5
# A machine's upkeep is visible in the list this long after its order at the latest.
LISTING_LAG_S = 1.0
# Work on a machine that is to go down may end by itself for at most this long.
MAX_DRAIN_S = 8.0
# What a machine is away for besides the time that its work is waited for.
DOWNTIME_S = 4.0
# A slow store stores an order's record within this; else the next round tries again.
FLUSH_TIMEOUT_S = 2.0
# A lasting task is at work at this percentage.
FULLY_WORKING_PERCENT = 100.0


class Wave(NamedTuple):
    """Upkeep of some machines.

    :param duration_s: time within which all of them should have had it
    :param most_down: machines that may be down for it at a time
    """

    number: int
    machines: frozenset[str]
    duration_s: float
    most_down: int


class Machine(NamedTuple):
    """A machine as the platform lists it.

    :param worker: incarnation that runs on it
    :param up: it is neither down nor on its way to another pool
    """

    name: str
    worker: str
    up: bool


class UpkeepOutcome(StrEnum):
    """How the platform answered an order of upkeep.

    ``BEGUN`` is also answered for a machine that has had it.
    """

    BEGUN = "begun"
    BUSY = "busy"
    NOT_OF_WAVE = "not_of_wave"
    FENCED = "fenced"
    UNKNOWN = "unknown"


class UpkeepCalls(Protocol):
    """Calls to the platform's machines."""

    async def list_machines(self) -> tuple[Machine, ...]:
        """Return all machines.

        :raises MachinesUnknown: if the list cannot be read whole
        """

    async def begin_upkeep(
        self, machine: str, wave: int, *, token: int
    ) -> UpkeepOutcome:
        """Take a machine down; what runs on it ends at once."""


class WaveState:
    """What is known of one wave.

    :param ordered: machines that an earlier planner may have ordered down
    :ivar ordered: worker that ran on each machine when it was first ordered down;
        empty for what an earlier planner ordered
    :ivar leaving: machines that get no new work, since when
    """

    def __init__(self, wave: Wave, ordered: Iterable[str]) -> None:
        self.wave = wave
        self.ordered = dict.fromkeys(ordered, "")
        self.draining: dict[str, float] = {}
        self._begun: dict[str, float] = {}
        self._excluded: set[str] = set()

    @property
    def record_write(self) -> RowWrite:
        """The row that tells a successor which machines were ordered down."""
        ordered = msgspec.json.encode(sorted(self.ordered))
        return RowWrite(RECORD_TABLE, str(self.wave.number), ordered)

    @property
    def drain_s(self) -> float:
        """How long the work of a machine may go on before it is taken down."""
        rounds = -(-len(self.wave.machines) // max(1, self.wave.most_down))
        return min(MAX_DRAIN_S, max(0.0, self.wave.duration_s / rounds - DOWNTIME_S))

    def apply_outcome(self, machine: str, outcome: UpkeepOutcome, now: float) -> None:
        """Take the answer to an order."""
        if outcome is UpkeepOutcome.BEGUN:
            self._begun.setdefault(machine, now)
        elif outcome is UpkeepOutcome.NOT_OF_WAVE:
            self._excluded.add(machine)
        elif outcome is UpkeepOutcome.BUSY:
            # It is certain that this order did nothing.
            self.ordered.pop(machine, None)
        if outcome is not UpkeepOutcome.UNKNOWN:
            self.draining.pop(machine, None)

    def complete(self, machines: Mapping[str, Machine]) -> bool:
        """Return whether every machine that still exists has begun its upkeep."""
        present = self.wave.machines & machines.keys()
        return present <= self._begun.keys() | self._excluded

    def unanswered(self, machines: Mapping[str, Machine]) -> list[str]:
        """Return ordered machines whose order must be repeated until it is certain."""
        open_orders = self.ordered.keys() - self._begun.keys() - self._excluded
        return sorted(open_orders & machines.keys())

    def select(
        self,
        machines: Mapping[str, Machine],
        cost: Callable[[Machine], float | None],
        now: float,
    ) -> list[str]:
        """Return machines to take down now; others are marked as leaving.

        :param cost: what is lost on a machine, or None if it may not go down now
        """
        free = self.wave.most_down - len(self._down(machines, now))
        for name in [name for name in self.draining if name not in machines]:
            del self.draining[name]
        waiting = self.wave.machines & machines.keys()
        waiting -= self.ordered.keys() | self._begun.keys() | self._excluded
        priced = [
            (price, name)
            for name in waiting
            if machines[name].up and (price := cost(machines[name])) is not None
        ]
        # Machines that leave already come first, so that their idle time is not lost.
        priced.sort(key=lambda each: (each[1] not in self.draining, each))
        chosen = priced[: max(0, free)]
        for _, name in chosen:
            self.draining.setdefault(name, now)
        return [
            name
            for price, name in chosen
            if not price or now - self.draining[name] >= self.drain_s
        ]

    def _down(self, machines: Mapping[str, Machine], now: float) -> set[str]:
        """Return machines that are, or may be, down for the wave."""
        back = {
            name
            for name, begun_at in self._begun.items()
            if now - begun_at >= LISTING_LAG_S
            and name in machines
            and machines[name].up
        }
        down = {
            name
            for name in self.wave.machines & machines.keys()
            if not machines[name].up
        }
        return ((self.ordered.keys() - self._excluded) & machines.keys()) - back | down


class UpkeepController:
    """Carries out the operator's waves while this host plans.

    :param waves: returns the waves that are asked for
    :param encode_status: returns the row that tells the operator of a wave's state
    """

    def __init__(
        self,
        store: Store,
        planner: Planner,
        state_writer: StateWriter,
        calls: UpkeepCalls,
        *,
        token: int,
        waves: Callable[[], Iterable[Wave]],
        encode_status: Callable[[int, bool], RowWrite],
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._planner = planner
        self._state_writer = state_writer
        self._calls = calls
        self._token = token
        self._waves = waves
        self._encode_status = encode_status
        self._on_change = on_change
        self._wave_states: dict[int, WaveState] = {}
        self._done: set[int] = set()

    async def run(self) -> None:
        """Work through the waves until cancelled.

        :raises WorkerFenced: if a later planner has given orders
        """
        records: dict[int, list[str]] | None = None
        while True:
            await asyncio.sleep(POLL_PERIOD_S)
            waves = [wave for wave in self._waves() if wave.number not in self._done]
            if not waves:
                continue
            try:
                if records is None:
                    records = await self._read_records()
                listed = await self._calls.list_machines()
            except MachinesUnknown as error:
                log(events.MACHINES_UNKNOWN, error=error, silent=0)
                continue
            except STORE_ERRORS as error:
                log(events.DEPENDENCY_LOST, dependency="store", error=error)
                continue
            machines = {machine.name: machine for machine in listed}
            for wave in waves:
                await self._advance(wave, records, machines)

    async def _advance(
        self,
        wave: Wave,
        records: Mapping[int, list[str]],
        machines: Mapping[str, Machine],
    ) -> None:
        book = self._wave_states.get(wave.number)
        if book is None:
            book = WaveState(wave, records.get(wave.number, ()))
            self._wave_states[wave.number] = book
            self._state_writer.put(self._encode_status(wave.number, False))
            log(events.WAVE_BEGUN, wave=wave.number, machines=len(wave.machines))
        book.wave = wave
        for name in book.unanswered(machines):
            if self._cost(machines[name]) is not None:
                await self._order(book, machines[name])
        due = book.select(machines, self._cost, time.monotonic())
        self._update_cordon(machines)
        for name in due:
            book.ordered[name] = machines[name].worker
            # A successor must know of an order that is carried out late.
            self._state_writer.put(book.record_write)
            if not await self._state_writer.flush(FLUSH_TIMEOUT_S):
                continue
            await self._order(book, machines[name])
        if book.complete(machines) and await self._state_writer.flush(FLUSH_TIMEOUT_S):
            self._state_writer.put(self._encode_status(wave.number, True))
            self._done.add(wave.number)
            log(events.WAVE_DONE, wave=wave.number)

    async def _order(self, book: WaveState, machine: Machine) -> None:
        if not self._state_writer.lease_is_fresh:
            return
        outcome = await self._calls.begin_upkeep(
            machine.name, book.wave.number, token=self._token
        )
        now = time.monotonic()
        log(
            events.UPKEEP_ORDERED,
            wave=book.wave.number,
            machine=machine.name,
            worker=machine.worker,
            outcome=str(outcome),
        )
        if outcome is UpkeepOutcome.FENCED:
            raise WorkerFenced(machine.name)
        ended = book.ordered.get(machine.name)
        book.apply_outcome(machine.name, outcome, now)
        if outcome is UpkeepOutcome.BUSY:
            self._state_writer.put(book.record_write)
        if outcome is UpkeepOutcome.BEGUN and ended:
            self._planner.worker_gone(ended, now=now, unix_s=time.time())
            self._on_change()

    async def _read_records(self) -> dict[int, list[str]]:
        try:
            snapshot = await self._store.read(RECORD_TABLE, timeout_s=CALL_TIMEOUT_S)
            return {
                int(row.key): msgspec.json.decode(row.value, type=list[str])
                for row in snapshot.rows
            }
        except (msgspec.DecodeError, ValueError) as error:
            log(events.ROW_UNREADABLE, key=RECORD_TABLE, error=error)
            return {}

    def _update_cordon(self, machines: Mapping[str, Machine]) -> None:
        """Keep new work off the machines that are about to go down."""
        self._planner.cordoned = frozenset(
            machines[name].worker
            for book in self._wave_states.values()
            for name in book.draining
            if name in machines
        )

    def _cost(self, machine: Machine) -> float | None:
        worker = self._planner.workers.get(machine.worker)
        if worker is None:
            return 0.0
        return takedown_cost(worker, time.monotonic())


def takedown_cost(worker: Worker, now: float) -> float | None:
    """Return core-seconds lost if a worker ends now; None if it may not.

    Lasting steps bound how many of their tasks may be away by the product's doing.
    """
    cost = 0.0
    steps = {}
    for run in worker.runs.values():
        if run.unit is None:
            continue
        step = run.unit.step
        if step.step.long_running and step.step.max_unavailable:
            steps[id(step)] = step
        cost += lost_core_seconds(run.unit, now)
    for step in steps.values():
        at_work = sum(
            run.percent >= FULLY_WORKING_PERCENT and run.worker != worker.entry.worker
            for unit in step.units.values()
            for run in unit.runs.values()
        )
        if step.step.task_count - at_work > step.step.max_unavailable:
            return None
    return cost
