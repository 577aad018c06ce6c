"""Takes machines down for maintenance (upkeep) in waves requested by the operator."""

import asyncio
from collections.abc import Callable, Container, Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple, Protocol

import msgspec
from bilberryhitch_jobs import RowWrite, Store, read_json_row
from bilberryhitch_jobs.errors import STORE_ERRORS
from bilberryhitch_model import clock
from bilberryhitch_telemetry import events, log

from .errors import MachinesUnknown, WorkerFenced
from .leader_election import CALL_TIMEOUT_S
from .planner import Planner
from .state_writer import StateWriter
from .takedown import takedown_cost

RECORD_TABLE = "upkeep"
# Maintenance takes seconds. The list of machines is read once per period.
POLL_PERIOD_S = 0.5
# The list of machines shows a machine as down at most this long after its order.
LISTING_LAG_S = 1.0
# Longest time that runs on a machine may use to end by themselves before takedown.
MAX_DRAIN_S = 8.0
# Downtime of a machine, on top of the time for which its runs are waited for.
DOWNTIME_S = 4.0
# How long to wait for the store to write the record of an order; on a timeout the next
# period tries again.
FLUSH_TIMEOUT_S = 2.0
# Longest time after which a call without an answer may still be carried out.
LATE_ORDER_S = 10.0


class Wave(NamedTuple):
    """A maintenance wave: machines that are all to be taken down once.

    :param number: identifier of the wave
    :param machines: names of the machines
    :param duration_s: target time for the whole wave
    :param max_down: number of machines that may be down at a time
    """

    number: int
    machines: frozenset[str]
    duration_s: float
    max_down: int


class Machine(NamedTuple):
    """A machine as listed by the platform.

    :param worker: identifier of the worker incarnation that runs on it
    :param up: it is neither down nor moving to another pool
    """

    name: str
    worker: str
    up: bool


class UpkeepOutcome(StrEnum):
    """Result of a maintenance order.

    ``BEGUN`` is also returned for a machine whose maintenance is over.
    """

    BEGUN = "begun"
    BUSY = "busy"
    NOT_OF_WAVE = "not_of_wave"
    FENCED = "fenced"
    UNKNOWN = "unknown"


class UpkeepCalls(Protocol):
    """Calls to the platform's interface for machines."""

    async def list_machines(self) -> tuple[Machine, ...]:
        """Return all machines.

        :raises MachinesUnknown: if the list cannot be read completely
        """

    async def begin_upkeep(
        self, machine: str, wave: int, *, token: int
    ) -> UpkeepOutcome:
        """Take a machine down; its runs end at once.

        :param wave: number of the wave
        :param token: fencing token of the planner
        """


class WaveState:
    """State of one maintenance wave.

    :param ordered: machines that an earlier planner may have ordered down
    :param now: monotonic time in seconds
    :ivar ordered: for each machine ordered down, the worker that ran on it then;
        empty for orders of an earlier planner
    :ivar draining: machines that get no new runs, and since which monotonic time
    """

    def __init__(self, wave: Wave, ordered: Iterable[str], now: float) -> None:
        self.wave = wave
        self.ordered = dict.fromkeys(ordered, "")
        # Since when a machine may have been taken down for the wave; None if by an
        # earlier planner, at an unknown time.
        self._first_sent_at: dict[str, float | None] = dict.fromkeys(self.ordered)
        # When an order was last sent at the latest.
        self._last_sent_at = dict.fromkeys(self.ordered, now)
        self.draining: dict[str, float] = {}
        self._begun: dict[str, float] = {}
        self._excluded: set[str] = set()
        # Machines with an order that got no answer, which may still have an effect.
        self._unanswered = set(self.ordered)

    @property
    def record_write(self) -> RowWrite:
        """The row that lists the ordered machines for a successor."""
        ordered = msgspec.json.encode(sorted(self.ordered))
        return RowWrite(RECORD_TABLE, str(self.wave.number), ordered)

    @property
    def drain_s(self) -> float:
        """How long a machine may drain before it is taken down, in seconds."""
        rounds = -(-len(self.wave.machines) // max(1, self.wave.max_down))
        return min(MAX_DRAIN_S, max(0.0, self.wave.duration_s / rounds - DOWNTIME_S))

    def apply_outcome(self, machine: str, outcome: UpkeepOutcome, now: float) -> None:
        """Apply the result of an order."""
        if outcome is UpkeepOutcome.BEGUN:
            self._begun.setdefault(machine, now)
        elif outcome is UpkeepOutcome.NOT_OF_WAVE:
            self._excluded.add(machine)
        elif outcome is UpkeepOutcome.UNKNOWN:
            self._unanswered.add(machine)
        elif outcome is UpkeepOutcome.BUSY and machine not in self._unanswered:
            self.ordered.pop(machine, None)
        settled = self._begun.keys() | self._excluded
        if machine not in self.ordered or machine in settled:
            self.draining.pop(machine, None)

    def note_sending(self, machine: str, now: float) -> None:
        """Record that an order is sent."""
        self._first_sent_at.setdefault(machine, now)
        self._last_sent_at[machine] = now

    def end_known_at(self, machine: str, sent_at: float, now: float) -> float | None:
        """Return when what ran on a machine had ended, by an order answered as begun.

        An earlier order without an answer may have begun it, and the machine's next
        worker be at work by now.

        :param sent_at: monotonic time at which the order was sent
        :returns: monotonic time; None if it is not known
        """
        first_sent_at = self._first_sent_at.get(machine, sent_at)
        return now if first_sent_at == sent_at else first_sent_at

    def complete(self, machines: Mapping[str, Machine]) -> bool:
        """Return whether maintenance has begun on every machine that still exists."""
        present = self.wave.machines & machines.keys()
        return present <= self._begun.keys() | self._excluded

    def unanswered(self, machines: Mapping[str, Machine]) -> list[str]:
        """Return machines whose order must be repeated, as its result is unknown."""
        open_orders = self.ordered.keys() - self._begun.keys() - self._excluded
        return sorted(open_orders & machines.keys())

    def withdraw(self, machine: str) -> bool:
        """Take an order back if it was never sent.

        :returns: whether it certainly had no effect
        """
        if machine in self._first_sent_at:
            return False
        self.ordered.pop(machine, None)
        return True

    def away(
        self, machines: Mapping[str, Machine], listed_at: float, now: float
    ) -> set[str]:
        """Return the machines whose workers its orders have ended, or may have.

        An order without an answer counts until it is known to have had no effect, or
        cannot have one any more.

        :param listed_at: monotonic time at which the list of machines was requested
        """
        late = {
            name
            for name in self.ordered.keys() - self._begun.keys()
            if now - self._last_sent_at.get(name, now) > LATE_ORDER_S
        }
        return {
            name
            for name in self._down(machines, listed_at)
            if name not in late or not machines[name].up
        }

    def select(
        self,
        machines: Mapping[str, Machine],
        cost: Callable[[Machine], float | None],
        now: float,
        listed_at: float | None = None,
    ) -> list[str]:
        """Return the machines to take down now; others start to drain.

        :param cost: returns the lost work in core-seconds if a machine is taken down
            now, or None if that is not allowed
        :param listed_at: monotonic time at which the list of machines was requested; by
            default now
        """
        down = self._down(machines, now if listed_at is None else listed_at)
        free = self.wave.max_down - len(down)
        wanted = self.wave.machines & machines.keys()
        for name in [name for name in self.draining if name not in wanted]:
            del self.draining[name]
        waiting = self.wave.machines & machines.keys()
        waiting -= self.ordered.keys() | self._begun.keys() | self._excluded
        candidates = [
            (lost_work, name)
            for name in waiting
            if machines[name].up and (lost_work := cost(machines[name])) is not None
        ]
        # Draining machines come first, so that their drain time is not wasted.
        candidates.sort(key=lambda each: (each[1] not in self.draining, each))
        chosen = candidates[: max(0, free)]
        for _, name in chosen:
            self.draining.setdefault(name, now)
        return [
            name
            for lost_work, name in chosen
            if not lost_work or now - self.draining[name] >= self.drain_s
        ]

    def _down(self, machines: Mapping[str, Machine], listed_at: float) -> set[str]:
        """Return the machines of the wave that are down or may be.

        :param listed_at: monotonic time at which the list of machines was requested
        """
        back = {
            name
            for name, begun_at in self._begun.items()
            if listed_at - begun_at >= LISTING_LAG_S
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
    """Carries out the operator's maintenance waves while this host plans.

    :param token: fencing token of the planner
    :param waves: returns the waves that the operator has requested
    :param encode_status: returns the row that reports to the operator whether the
        wave with the given number is complete
    :param on_change: called after the planner's state has changed
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
        # As last listed, and the monotonic time of the request for the list.
        self._machines: Mapping[str, Machine] = {}
        self._listed_at = float("-inf")

    async def run(self) -> None:
        """Carry out the waves until cancelled.

        :raises WorkerFenced: if a later planner has sent orders
        """
        records: dict[int, list[str]] | None = None
        while True:
            await asyncio.sleep(POLL_PERIOD_S)
            waves = [wave for wave in self._waves() if wave.number not in self._done]
            self._forget_withdrawn({wave.number for wave in waves})
            if not waves:
                continue
            try:
                if records is None:
                    records = await self._read_records()
                listed_at = clock.steady_s()
                listed = await self._calls.list_machines()
            except MachinesUnknown as error:
                log(events.MACHINES_UNKNOWN, error=error, silent=0)
                continue
            except STORE_ERRORS as error:
                log(events.DEPENDENCY_LOST, dependency="store", error=error)
                continue
            self._machines = {machine.name: machine for machine in listed}
            self._listed_at = listed_at
            for wave in waves:
                await self._advance(wave, records, self._machines)

    def _forget_withdrawn(self, requested: Container[int]) -> None:
        """Let work in again on the machines that drained for withdrawn waves."""
        withdrawn = [
            wave_state
            for number, wave_state in self._wave_states.items()
            if number not in requested and wave_state.draining
        ]
        for wave_state in withdrawn:
            wave_state.draining.clear()
        if withdrawn and not any(each.draining for each in self._wave_states.values()):
            self._planner.cordoned = frozenset()
            self._on_change()

    async def _advance(
        self,
        wave: Wave,
        records: Mapping[int, list[str]],
        machines: Mapping[str, Machine],
    ) -> None:
        wave_state = self._wave_states.get(wave.number)
        if wave_state is None:
            ordered = records.get(wave.number, ())
            wave_state = WaveState(wave, ordered, clock.steady_s())
            self._wave_states[wave.number] = wave_state
            self._state_writer.put(self._encode_status(wave.number, False))
            log(events.WAVE_BEGUN, wave=wave.number, machines=len(wave.machines))
        wave_state.wave = wave
        for name in wave_state.unanswered(machines):
            await self._order(wave_state, machines[name])
        due = wave_state.select(
            machines, self._cost_now(), clock.steady_s(), self._listed_at
        )
        self._update_cordon(machines)
        for name in due:
            # Each order may use up what the steps of the next machine can spare.
            if self._cost_now()(machines[name]) is None:
                continue
            wave_state.ordered[name] = machines[name].worker
            # The order may take effect late, so it is recorded for a successor first.
            self._state_writer.put(wave_state.record_write)
            if await self._state_writer.flush(FLUSH_TIMEOUT_S):
                await self._order(wave_state, machines[name])
        self._update_cordon(machines)
        if wave_state.complete(machines) and await self._state_writer.flush(
            FLUSH_TIMEOUT_S
        ):
            self._state_writer.put(self._encode_status(wave.number, True))
            self._done.add(wave.number)
            log(events.WAVE_DONE, wave=wave.number)

    async def _order(self, wave_state: WaveState, machine: Machine) -> None:
        """Send an order, unless the tasks on the machine must not end now."""
        allowed = self._cost_now()(machine) is not None
        if not allowed or not self._state_writer.lease_is_fresh:
            if wave_state.withdraw(machine.name):
                self._state_writer.put(wave_state.record_write)
            return
        sent_at = clock.steady_s()
        wave_state.note_sending(machine.name, sent_at)
        outcome = await self._calls.begin_upkeep(
            machine.name, wave_state.wave.number, token=self._token
        )
        now = clock.steady_s()
        log(
            events.UPKEEP_ORDERED,
            wave=wave_state.wave.number,
            machine=machine.name,
            worker=machine.worker,
            outcome=str(outcome),
        )
        if outcome is UpkeepOutcome.FENCED:
            raise WorkerFenced(machine.name)
        ended = wave_state.ordered.get(machine.name)
        wave_state.apply_outcome(machine.name, outcome, now)
        if outcome is UpkeepOutcome.BUSY:
            self._state_writer.put(wave_state.record_write)
        known_at = wave_state.end_known_at(machine.name, sent_at, now)
        if outcome is UpkeepOutcome.BEGUN and ended and known_at is not None:
            self._planner.remove_ended_worker(
                ended,
                now=now,
                unix_s=clock.unix.now_s(),
                known_at=known_at,
                source="order of upkeep",
            )
            self._on_change()

    async def _read_records(self) -> dict[int, list[str]]:
        snapshot = await self._store.read(RECORD_TABLE, timeout_s=CALL_TIMEOUT_S)
        records: dict[int, list[str]] = {}
        for row in snapshot.rows:
            machines = read_json_row(row, list[str])
            if machines is None:
                continue
            try:
                records[int(row.key)] = machines
            except ValueError as error:
                log(events.ROW_UNREADABLE, key=row.key, error=error)
        return records

    def _update_cordon(self, machines: Mapping[str, Machine]) -> None:
        """Cordon the workers on draining machines."""
        self._planner.cordoned = frozenset(
            machines[name].worker
            for wave_state in self._wave_states.values()
            for name in wave_state.draining
            if name in machines
        )

    def _cost_now(self) -> Callable[[Machine], float | None]:
        """Return a function that tells the cost of taking a machine down now.

        It returns None where that is not allowed.
        """
        now, workers = clock.steady_s(), self._planner.workers
        away = self._away(now)

        def cost(machine: Machine) -> float | None:
            worker = workers.get(machine.worker)
            return takedown_cost(worker, workers, away, now) if worker else 0.0

        return cost

    def _away(self, now: float) -> set[str]:
        """Return the workers that an order has ended, or may have."""
        machines: set[str] = set()
        away: set[str] = set()
        for wave_state in self._wave_states.values():
            down = wave_state.away(self._machines, self._listed_at, now)
            machines |= down
            away |= {wave_state.ordered.get(name, "") for name in down}
        # A machine's next worker may have registered since the list was made.
        away |= {
            name
            for name, worker in self._planner.workers.items()
            if worker.entry.machine in machines
        }
        return away | {self._machines[name].worker for name in machines}
