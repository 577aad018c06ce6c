"""Renews the leases on one worker and tracks the state of its tasks."""

import asyncio
from contextlib import suppress

from bilberryhitch_model import Host
from bilberryhitch_model.errors import StaleToken, WorkerRefused, WorkerUnreachable
from bilberryhitch_telemetry import events, log

from .context import WORKER_ERRORS, PlannerContext
from .gang import LEASE_TERM_S, EndReason, Gang
from .gang_start import flag_stale_epoch
from .job_rows import job_of_attempt
from .probe import PROBE_PREFIX, probe_worker
from .worker_client import WorkerView

RENEW_INTERVAL_S = 3.0
# The interval grows with the age of the youngest gang, so that the end of a short
# job is seen within a quarter of its run time; a long job costs one message per 3 s.
MIN_RENEW_INTERVAL_S = 0.5
RENEW_INTERVAL_AGE_RATIO = 0.25
RENEW_RETRY_DELAY_S = 1.0
PROBE_INTERVAL_S = 15.0
# One missed answer is common; two in a row mean that the worker is lost.
MAX_MISSED_RENEWALS = 2
ACTIVE_LEASE_STATES = ("reserved", "running", "held")


class LeaseRenewer:
    """Renews all leases on one worker with one message, at least every 3 s.

    :ivar usable: whether the worker answers and runs no other pool's tasks
    """

    def __init__(self, context: PlannerContext, host: Host) -> None:
        self._context = context
        self._host = host
        self._misses = 0
        self._next_probe = 0.0
        self.usable = True

    async def run(self) -> None:
        """Renew until cancelled."""
        while not await self._has_no_foreign_lease():
            self._set_usable(False)
            await asyncio.sleep(RENEW_INTERVAL_S)
        while True:
            sent_at = asyncio.get_running_loop().time()
            await self._renew(sent_at)
            self._probe_if_due(sent_at)
            # After a missed answer the renewal is retried sooner, because the
            # leases are running out.
            await self._wait_for_next(
                RENEW_RETRY_DELAY_S if self._misses else self._next_interval_s(sent_at)
            )

    async def _has_no_foreign_lease(self) -> bool:
        """Whether the worker answers and holds no lease of another pool.

        A worker that was moved between pools keeps its running tasks. Presenting
        this planner's token would fence off the other pool's planner.
        """
        if self._context.gangs_on(self._host.name):
            return True
        try:
            view = await self._context.workers.state(self._host)
        except WORKER_ERRORS:
            return False
        if view.highest > self._context.lease.epoch:
            self._context.epoch_stale.set()
        active = [
            lease.attempt_id
            for lease in view.leases
            if lease.state in ACTIVE_LEASE_STATES
        ]
        return not any(self._is_foreign(attempt) for attempt in active)

    async def _renew(self, sent_at: float) -> None:
        token = self._context.lease.epoch
        due = self._due(sent_at)
        term_s = min((term for _, term in due), default=LEASE_TERM_S)
        for gang, _ in due:
            gang.members[self._host.name].extend_lease_expiry(sent_at, term_s)
        attempts = [gang.attempt_id for gang, _ in due]
        try:
            view = await self._context.workers.renew(
                self._host, token, attempts, term_s
            )
        except StaleToken as error:
            flag_stale_epoch(self._context, error)
            self._count_miss()
            return
        except (WorkerRefused, WorkerUnreachable):
            self._count_miss()
            return
        self._misses = 0
        self._set_usable(True)
        self._process_view(view, sent_at)

    def _due(self, now: float) -> list[tuple[Gang, float]]:
        gangs = self._context.gangs_on(self._host.name)
        terms = [(gang, gang.term_s(now)) for gang in gangs]
        return [(gang, term) for gang, term in terms if term > 0]

    async def _wait_for_next(self, seconds: float) -> None:
        """Wait for the next renewal, which comes sooner if a gang starts."""
        started = self._context.gang_started_event(self._host.name)
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await started.wait()
                started.clear()
                await asyncio.sleep(MIN_RENEW_INTERVAL_S)

    def _next_interval_s(self, now: float) -> float:
        """Return the seconds to the next renewal; shorter after a gang has started."""
        gangs = self._context.gangs_on(self._host.name)
        ages = [now - gang.running_since for gang in gangs if gang.running]
        if not ages:
            return RENEW_INTERVAL_S
        return min(
            RENEW_INTERVAL_S,
            max(MIN_RENEW_INTERVAL_S, min(ages) * RENEW_INTERVAL_AGE_RATIO),
        )

    def _count_miss(self) -> None:
        self._misses += 1
        if self._misses < MAX_MISSED_RENEWALS:
            return
        if self.usable:
            log(events.WORKER_LOST, host=self._host.name)
        self._set_usable(False)
        for gang in self._context.gangs_on(self._host.name):
            if gang.running and not gang.members[self._host.name].done:
                gang.finish(EndReason("lost", self._host.name))

    def _process_view(self, view: WorkerView, sent_at: float) -> None:
        leases = {lease.attempt_id: lease for lease in view.leases}
        for gang in self._context.gangs_on(self._host.name):
            lease = leases.get(gang.attempt_id)
            gang.observe_lease(self._host.name, view.boot_id, lease, sent_at)
        for attempt in leases:
            if self._is_orphaned(attempt):
                self._context.spawn(self._release(attempt))

    def _is_orphaned(self, attempt: str) -> bool:
        """Whether a lease of this pool belongs to no known gang."""
        if attempt.startswith(PROBE_PREFIX) or self._is_foreign(attempt):
            return False
        return not self._context.owns_lease(self._host.name, attempt)

    def _is_foreign(self, attempt: str) -> bool:
        if attempt.startswith(PROBE_PREFIX):
            return False
        return not job_of_attempt(attempt).startswith(self._context.job_id_prefix)

    async def _release(self, attempt: str) -> None:
        try:
            await self._context.workers.release(
                self._host, self._context.lease.epoch, attempt
            )
        except WORKER_ERRORS:
            return

    def _probe_if_due(self, now: float) -> None:
        if self._host.name not in self._context.health.quarantined:
            self._next_probe = now + PROBE_INTERVAL_S
            return
        if now < self._next_probe or not self.usable:
            return
        self._next_probe = now + PROBE_INTERVAL_S
        self._context.spawn(probe_worker(self._context, self._host))

    def _set_usable(self, usable: bool) -> None:
        if usable != self.usable:
            self.usable = usable
            self._context.decision_due.set()
