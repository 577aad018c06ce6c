"""Discrete-event simulation of a pool under a scheduler, for the policy benchmark.

Run times are scaled down from hours to minutes; control delays, such as checkpoints,
are not scaled.
"""

import heapq
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from bilberryhitch_model import Host, Placement, QueuedJob, Start

ARRIVAL_PERIOD_S = 3600.0  # no arrivals after this; the simulation continues
END_S = 10 * ARRIVAL_PERIOD_S  # unfinished jobs count as finished at this time
DECIDE_S = 0.25  # delay from a change to the next decision
START_S = 0.5  # reserve the gang, commit the transaction and start it
EVICT_S = (0.3, 2.0)  # range for checkpoint and stop; the deadline is 2 s
LOST_S = 11.0  # a lost gang is reported after lease term and request time-out
RACK_LOST = (1200.0, 2400.0)  # start and end of the rack failure, in seconds
GANG = 16  # accelerators of the adjacent gang that measures fragmentation


class Arrival(NamedTuple):
    """A job arrival; ``resumes`` if an eviction loses no work."""

    at: float
    job: QueuedJob
    run_s: float
    resumes: bool


class JobHistory:
    """State and history of one job.

    :ivar spans: start and end of each run
    """

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.remaining_s = arrival.run_s
        self.attempt = 0
        self.started_at: float | None = None
        self.placement = Placement(())
        self.first_start: float | None = None
        self.done: float | None = None
        self.spans: list[tuple[float, float]] = []


class Simulation:
    """Simulates a scheduler on a list of arrivals.

    :param faults: whether a rack fails for a while and one worker fails every start
    :ivar free_s: free accelerator seconds while jobs arrive
    :ivar unusable_s: the part of ``free_s`` that no adjacent gang of 16 could use
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
        self.records = {row.job.job_id: JobHistory(row) for row in rows}
        self.free_s = self.unusable_s = 0.0
        self.reclaim_times_s: list[float] = []
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._count = 0
        self._now = 0.0
        self._busy = {host.name: 0 for host in hosts}
        self._reclaiming: dict[str, float] = {}
        self._deciding = False
        self._faulty_host = hosts[3].name if faults else ""
        self._failed_job_ids: set[str] = set()
        self._lost_hosts: set[str] = set()
        for record in self.records.values():
            self._schedule(record.arrival.at, self._arrive, record)
        if faults:
            self._schedule(RACK_LOST[0], self._lose_rack, "rack-1")
            self._schedule(RACK_LOST[1], self._restore_rack, "rack-1")

    def run(self, until: float = END_S) -> "Simulation":
        """Process the events up to a time and return the simulation."""
        while self._events and self._now < until:
            when, _, call, argument = heapq.heappop(self._events)
            self._accumulate_free(when - self._now)
            self._now = when
            call(argument)
        return self

    def _schedule(self, when: float, call: Callable[..., None], argument: Any) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, call, argument))

    def _request_decision(self) -> None:
        if not self._deciding:
            self._deciding = True
            self._schedule(self._now + DECIDE_S, self._decide, None)

    def _arrive(self, record: JobHistory) -> None:
        self.scheduler.submit(record.arrival.job, self._now)
        self._request_decision()

    def _decide(self, _: None) -> None:
        self._deciding = False
        for decision in self.scheduler.decide(self._now):
            record = self.records[decision.job_id]
            if isinstance(decision, Start):
                self._start(record, decision.placement)
                continue
            self._reclaiming.setdefault(decision.for_job_id, self._now)
            delay = self.rng.uniform(*EVICT_S)
            self._schedule(self._now + delay, self._evicted, (record, record.attempt))

    def _start(self, record: JobHistory, placement: Placement) -> None:
        job = record.arrival.job
        reclaim_started_at = self._reclaiming.pop(job.job_id, None)
        if reclaim_started_at is not None:
            self.reclaim_times_s.append(self._now - reclaim_started_at)
        record.attempt += 1
        record.placement = placement
        self._adjust_busy(record, 1)
        names = {member.host for member in placement.members}
        if names & self._lost_hosts or self._faulty_host in names:
            self._schedule(self._now + START_S, self._failed, (record, record.attempt))
            return
        starts_at = self._now + START_S
        record.started_at = starts_at
        record.first_start = record.first_start or starts_at
        self.scheduler.started(job.job_id, self._now)
        self._schedule(
            starts_at + record.remaining_s, self._finished, (record, record.attempt)
        )

    def _finished(self, run: tuple[JobHistory, int]) -> None:
        record, attempt = run
        if record.attempt != attempt:
            return
        record.done = self._now
        self._stop(record)
        self.scheduler.finished(record.arrival.job.job_id, self._now)
        self._request_decision()

    def _evicted(self, run: tuple[JobHistory, int]) -> None:
        record, attempt = run
        if record.attempt != attempt or record.done is not None:
            return
        started = record.started_at
        if record.arrival.resumes and started is not None:
            record.remaining_s -= max(0.0, self._now - started)
        self._stop(record)
        self.scheduler.evicted(record.arrival.job.job_id, self._now)
        self._request_decision()

    def _failed(self, run: tuple[JobHistory, int]) -> None:
        """Fail a start; the faulty worker is quarantined when two jobs failed on it."""
        record, attempt = run
        if record.attempt != attempt:
            return
        job_id = record.arrival.job.job_id
        names = [member.host for member in record.placement.members]
        host = self._faulty_host if self._faulty_host in names else names[0]
        self._stop(record)
        self.scheduler.start_failed(job_id, host, self._now)
        if host == self._faulty_host:
            self._failed_job_ids.add(job_id)
            if len(self._failed_job_ids) > 1:
                self.scheduler.quarantine(host)
        self._request_decision()

    def _lose_rack(self, rack: str) -> None:
        names = {host.name for host in self.hosts if host.rack == rack}
        self._lost_hosts |= names
        for name in sorted(names):
            self.scheduler.host_lost(name)
        for record in self.records.values():
            affected = names & {member.host for member in record.placement.members}
            if affected:  # it stops at once and is reported LOST_S later
                run = (record, record.attempt)
                self._schedule(self._now + LOST_S, self._gang_lost, run)
        self._request_decision()

    def _gang_lost(self, run: tuple[JobHistory, int]) -> None:
        record, attempt = run
        if record.attempt == attempt and record.done is None:
            record.started_at = None
            self._stop(record)
            self.scheduler.evicted(record.arrival.job.job_id, self._now)
            self._request_decision()

    def _restore_rack(self, rack: str) -> None:
        for host in self.hosts:
            if host.rack == rack:
                self._lost_hosts.discard(host.name)
                self.scheduler.host_back(host)
        self._request_decision()

    def _stop(self, record: JobHistory) -> None:
        record.attempt += 1
        if record.started_at is not None:
            record.spans.append((record.started_at, self._now))
        record.started_at = None
        self._adjust_busy(record, -1)
        record.placement = Placement(())

    def _adjust_busy(self, record: JobHistory, sign: int) -> None:
        for member in record.placement.members:
            self._busy[member.host] += sign * len(member.accelerators)

    def _accumulate_free(self, seconds: float) -> None:
        """Accumulate ``free_s`` and ``unusable_s``."""
        if seconds <= 0 or self._now > ARRIVAL_PERIOD_S:
            return
        free = pairs = 0
        unpaired_rack = ""  # rack of a free worker that is not yet paired
        for host in self.hosts:
            if host.name in self._lost_hosts:
                unpaired_rack = ""
                continue
            free += host.accelerators - self._busy[host.name]
            idle = not self._busy[host.name]
            pairs += idle and unpaired_rack == host.rack
            unpaired_rack = host.rack if idle and unpaired_rack != host.rack else ""
        self.free_s += seconds * free
        self.unusable_s += seconds * (free - GANG * pairs)
