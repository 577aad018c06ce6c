"""A small discrete-event loop over a scheduler, for the policy measurement.

Run times are scaled (hours become minutes); control times, such as checkpoints, are
not.
"""

import heapq
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from bilberryhitch_model import Host, Placement, QueuedJob, Start

HORIZON_S = 3600.0  # arrivals end here; the loop runs until all work is done
END_S = 10 * HORIZON_S  # what is not done by then counts as ending then
DECIDE_S = 0.25  # a planner decides this long after something changed
START_S = 0.5  # reservation, transaction and start of a gang
EVICT_S = (0.3, 2.0)  # checkpoint and stop; the deadline is 2 s
LOST_S = 11.0  # a lease term and a request time-out until a lost gang is reported
RACK_LOST = (1200.0, 2400.0)  # when a rack is lost and when it is back
GANG = 16  # accelerators of the adjacent gang by which fragmentation is judged


class Arrival(NamedTuple):
    """A job that arrives; ``resumes`` if an eviction loses no work."""

    at: float
    job: QueuedJob
    run_s: float
    resumes: bool


class Record:
    """What happened to one job.

    :ivar spans: its runs as (start, end, whether the work counts)
    """

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.left_s = arrival.run_s
        self.attempt = 0
        self.started_at: float | None = None
        self.placement = Placement(())
        self.first_start: float | None = None
        self.done: float | None = None
        self.spans: list[tuple[float, float]] = []


class Loop:
    """Runs one scheduler over arrivals.

    :param faults: lose a rack for a while, and let one worker fail all it starts
    :ivar free_s: integral of free accelerators while jobs arrive
    :ivar unusable_s: the part of it that no adjacent gang of 16 could use
    """

    def __init__(
        self,
        scheduler: Any,
        hosts: Sequence[Host],
        rows: Iterable[Arrival],
        *,
        faults: bool,
    ) -> None:
        self.scheduler = scheduler
        self.hosts = hosts
        self.rng = random.Random(1)
        self.records = {row.job.job_id: Record(row) for row in rows}
        self.free_s = self.unusable_s = 0.0
        self.reclaims: list[float] = []
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._count = 0
        self._now = 0.0
        self._busy = {host.name: 0 for host in hosts}
        self._reclaiming: dict[str, float] = {}
        self._deciding = False
        self._broken = hosts[3].name if faults else ""
        self._blamed: set[str] = set()
        self._lost: set[str] = set()
        for record in self.records.values():
            self._at(record.arrival.at, self._arrive, record)
        if faults:
            self._at(RACK_LOST[0], self._lose, "rack-1")
            self._at(RACK_LOST[1], self._restore, "rack-1")

    def run(self, until: float = END_S) -> "Loop":
        """Process the events up to a time and return the loop."""
        while self._events and self._now < until:
            when, _, call, argument = heapq.heappop(self._events)
            self._weigh(when - self._now)
            self._now = when
            call(argument)
        return self

    def _at(self, when: float, call: Callable[..., None], argument: Any) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, call, argument))

    def _changed(self) -> None:
        if not self._deciding:
            self._deciding = True
            self._at(self._now + DECIDE_S, self._decide, None)

    def _arrive(self, record: Record) -> None:
        self.scheduler.submit(record.arrival.job, self._now)
        self._changed()

    def _decide(self, _: None) -> None:
        self._deciding = False
        for decision in self.scheduler.decide(self._now):
            record = self.records[decision.job_id]
            if isinstance(decision, Start):
                self._start(record, decision.placement)
                continue
            self._reclaiming.setdefault(decision.for_job_id, self._now)
            delay = self.rng.uniform(*EVICT_S)
            self._at(self._now + delay, self._evicted, (record, record.attempt))

    def _start(self, record: Record, placement: Placement) -> None:
        job = record.arrival.job
        since = self._reclaiming.pop(job.job_id, None)
        if since is not None:
            self.reclaims.append(self._now - since)
        record.attempt += 1
        record.placement = placement
        self._use(record, 1)
        names = {member.host for member in placement.members}
        if names & self._lost or self._broken in names:
            self._at(self._now + START_S, self._failed, (record, record.attempt))
            return
        begins = self._now + START_S
        record.started_at = begins
        record.first_start = record.first_start or begins
        self.scheduler.started(job.job_id, self._now)
        self._at(begins + record.left_s, self._finished, (record, record.attempt))

    def _finished(self, run: tuple[Record, int]) -> None:
        record, attempt = run
        if record.attempt != attempt:
            return
        record.done = self._now
        self._stop(record)
        self.scheduler.finished(record.arrival.job.job_id, self._now)
        self._changed()

    def _evicted(self, run: tuple[Record, int]) -> None:
        record, attempt = run
        if record.attempt != attempt or record.done is not None:
            return
        started = record.started_at
        if record.arrival.resumes and started is not None:
            record.left_s -= max(0.0, self._now - started)
        self._stop(record)
        self.scheduler.evicted(record.arrival.job.job_id, self._now)
        self._changed()

    def _failed(self, run: tuple[Record, int]) -> None:
        """A start failed; a worker blamed by two jobs is quarantined."""
        record, attempt = run
        if record.attempt != attempt:
            return
        job_id = record.arrival.job.job_id
        names = [member.host for member in record.placement.members]
        host = self._broken if self._broken in names else names[0]
        self._stop(record)
        self.scheduler.start_failed(job_id, host, self._now)
        if host == self._broken:
            self._blamed.add(job_id)
            if len(self._blamed) > 1:
                self.scheduler.quarantine(host)
        self._changed()

    def _lose(self, rack: str) -> None:
        names = {host.name for host in self.hosts if host.rack == rack}
        self._lost |= names
        for name in sorted(names):
            self.scheduler.host_lost(name)
        for record in self.records.values():
            hit = names & {member.host for member in record.placement.members}
            if hit:  # the gang stops at once; the planner hears of it later
                run = (record, record.attempt)
                self._at(self._now + LOST_S, self._gang_lost, run)
        self._changed()

    def _gang_lost(self, run: tuple[Record, int]) -> None:
        record, attempt = run
        if record.attempt == attempt and record.done is None:
            record.started_at = None
            self._stop(record)
            self.scheduler.evicted(record.arrival.job.job_id, self._now)
            self._changed()

    def _restore(self, rack: str) -> None:
        for host in self.hosts:
            if host.rack == rack:
                self._lost.discard(host.name)
                self.scheduler.host_back(host)
        self._changed()

    def _stop(self, record: Record) -> None:
        record.attempt += 1
        if record.started_at is not None:
            record.spans.append((record.started_at, self._now))
        record.started_at = None
        self._use(record, -1)
        record.placement = Placement(())

    def _use(self, record: Record, sign: int) -> None:
        for member in record.placement.members:
            self._busy[member.host] += sign * len(member.accelerators)

    def _weigh(self, seconds: float) -> None:
        """Add up free accelerators, and those no adjacent 16-gang can use."""
        if seconds <= 0 or self._now > HORIZON_S:
            return
        free = pairs = 0
        waiting = ""  # rack of a whole free worker that has no partner yet
        for host in self.hosts:
            if host.name in self._lost:
                waiting = ""
                continue
            free += host.accelerators - self._busy[host.name]
            whole = not self._busy[host.name]
            pairs += whole and waiting == host.rack
            waiting = host.rack if whole and waiting != host.rack else ""
        self.free_s += seconds * free
        self.unusable_s += seconds * (free - GANG * pairs)
