"""Stores what must outlive the planner and renews its lease, in one stream.

One transaction is in flight at a time. After one whose fate is unknown the next
changes the lease's row, which bars the earlier copy from taking effect later.
"""

import asyncio
import time
from collections.abc import Callable, Mapping

import msgspec
from bilberryhitch_jobs import (
    FINISHED_STATES,
    ExpectedRevision,
    JobProgress,
    RowRemoval,
    RowWrite,
    Store,
    decode_progress,
    encode_progress,
)
from bilberryhitch_jobs.acceptance import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PROGRESS_TABLE,
    SUMMARY_TABLE,
    WAITING_KEY,
    job_partition,
)
from bilberryhitch_jobs.errors import (
    STORE_ERRORS,
    CommitConflict,
    RowUnreadable,
    StoreRefused,
    StoreUnknown,
)
from bilberryhitch_telemetry import events, log

from .errors import Deposed
from .event_wait import wait_for_event
from .leader_election import (
    CALL_TIMEOUT_S,
    LEASE_EXPIRY_S,
    LEASE_KEY,
    LEASE_TABLE,
    RENEWAL_PERIOD_S,
    WORKER_LEASE_HORIZON_S,
    LeaderLease,
    LeaseRow,
    decode_lease,
    encode_lease,
)
from .planner import Planner

# Entries of one transaction, below the platform's limit of 100.
MAX_ROWS_PER_COMMIT = 80
RETRY_PAUSE_S = 0.1
# Shorter waits are not worth a turn of the event loop.
MIN_WAIT_S = 0.001
SUMMARY_PERIOD_S = 0.5
# A takeover reads the progress of all jobs at once.
READ_TIMEOUT_S = 1.5
# Old jobs are removed a few at a time, beside what is urgent.
REMOVAL_PERIOD_S = 1.0
MAX_REMOVED_PER_COMMIT = 20
ROSTER_TABLE = "roster"
ROSTER_KEY = "workers"


async def read_roster(store: Store) -> tuple[str, ...]:
    """Return the workers that an earlier planner may have given runs."""
    snapshot = await store.read(ROSTER_TABLE, timeout_s=CALL_TIMEOUT_S)
    if not snapshot.rows:
        return ()
    row = snapshot.rows[0]
    try:
        return tuple(msgspec.json.decode(row.value, type=list[str]))
    except msgspec.DecodeError as error:
        log(events.ROW_UNREADABLE, key=row.key, error=error)
        return ()


async def read_progress(store: Store) -> dict[str, JobProgress]:
    """Return the progress of all jobs that an earlier planner has begun or ended."""
    snapshot = await store.read(PROGRESS_TABLE, timeout_s=READ_TIMEOUT_S)
    found = {}
    for row in snapshot.rows:
        try:
            found[row.key] = decode_progress(row.key, row.value)
        except RowUnreadable as error:
            log(events.ROW_UNREADABLE, key=error.key, error=error)
    return found


class StateWriter:
    """The writing half of a planner's leader_lease.

    :param keep_s: how long finished jobs can be asked for
    :param on_stored: called after each transaction
    """

    def __init__(
        self,
        store: Store,
        leader_lease: LeaderLease,
        planner: Planner,
        *,
        keep_s: float,
        on_stored: Callable[[], None] = lambda: None,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._leader_lease = leader_lease
        self._planner = planner
        self._keep_s = keep_s
        self._on_stored = on_stored
        self._unix = unix
        self._revision = leader_lease.token
        self._renewal = 0
        self._renewed_at = float("-inf")
        self._confirmed_at = leader_lease.acquired_at
        self._outcome_unknown = False
        self._failing = False
        self._started_commits = 0
        self._stored_commits = 0
        self._in_flight = False
        self._summary = b""
        self._summary_at = float("-inf")
        self._counts_enabled = False
        self._pending_rows: dict[tuple[str, str], RowWrite] = {}
        # Jobs whose requests are removed and whose progress is to follow.
        self._orphans: set[str] = set()
        self._changed = asyncio.Event()
        self._advanced = asyncio.Condition()

    @property
    def worker_lease_limit(self) -> float:
        """Steady time beyond which no lease on a worker may be extended."""
        return self._confirmed_at + WORKER_LEASE_HORIZON_S

    @property
    def lease_is_fresh(self) -> bool:
        """Whether no other host can have acquired the lease yet."""
        return time.monotonic() - self._confirmed_at < LEASE_EXPIRY_S / 2

    @property
    def _pending(self) -> bool:
        planner = self._planner
        return (
            bool(planner.dirty or self._pending_rows)
            or planner.has_unconfirmed_jobs
            or planner.roster_outdated
            or self._outcome_unknown
        )

    def notify(self) -> None:
        """Store changes of the planner soon."""
        if self._pending:
            self._changed.set()

    def enable_waiting_counts(self) -> None:
        """Tell callers from now on how many jobs wait: all of them are known."""
        self._counts_enabled = True

    def put(self, write: RowWrite) -> None:
        """Store a row of the planner's own soon; a later one of its key replaces it."""
        self._pending_rows[write.table, write.key] = write
        self._changed.set()

    async def run(self) -> None:
        """Write until deposed.

        :raises Deposed: if another host has the lease
        """
        while True:
            now = time.monotonic()
            if not self._pending and not self._renewal_due(now):
                due = max(self._renewed_at + RENEWAL_PERIOD_S - now, MIN_WAIT_S)
                self._changed.clear()
                await wait_for_event(self._changed, due)
            await self.write()

    async def flush(self, timeout_s: float) -> bool:
        """Wait until all changes made so far are stored.

        :returns: whether they are
        """
        unsent = bool(self._planner.dirty or self._pending_rows)
        if not unsent and not self._in_flight:
            return True
        target = self._started_commits + (1 if unsent else 0)
        self.notify()
        try:
            async with asyncio.timeout(timeout_s), self._advanced:
                await self._advanced.wait_for(lambda: self._stored_commits >= target)
        except TimeoutError:
            return False
        return True

    async def remove_expired(self) -> None:
        """Remove finished jobs once their time is over, until cancelled.

        The request goes first: a job with a request and without progress would be
        taken for a new one.
        """
        while True:
            await asyncio.sleep(REMOVAL_PERIOD_S)
            for name in self._expired():
                rows = (
                    RowRemoval(JOBS_TABLE, name),
                    RowRemoval(JOBS_TABLE, name + CANCEL_SUFFIX),
                )
                try:
                    await self._store.commit(
                        (),
                        (),
                        rows,
                        partition=job_partition(name),
                        timeout_s=CALL_TIMEOUT_S,
                    )
                except STORE_ERRORS as error:
                    log(events.SWEEP_FAILED, request_id=name, error=error)
                    break
                self._orphans.add(name)

    def adopt_orphans(self, progress: Mapping[str, JobProgress]) -> None:
        """Take over removals that an earlier planner began.

        :param progress: of jobs without a request
        """
        ended = {
            name for name, each in progress.items() if each.state in FINISHED_STATES
        }
        self._orphans |= ended

    def _expired(self) -> list[str]:
        limit = self._unix() - self._keep_s
        expired = [
            name
            for name, job in self._planner.jobs.items()
            if name not in self._orphans
            and job.finished
            and 0 < job.finished_s < limit
            and name not in self._planner.dirty
        ]
        return expired[:MAX_REMOVED_PER_COMMIT]

    async def release(self) -> None:
        """Store what is left and give the lease up."""
        await self.write(holder="")

    async def write(self, holder: str | None = None) -> None:
        """Write one transaction.

        :raises Deposed: if another host has the lease
        """
        now = time.monotonic()
        names = self._pop_dirty()
        # Changes that did not fit are stored by a later transaction.
        whole = not self._planner.dirty
        notes, self._pending_rows = self._pending_rows, {}
        writes = self._progress_writes(names) + list(notes.values())
        renew = holder is not None or self._outcome_unknown or self._renewal_due(now)
        if renew:
            writes.append(self._lease_write(holder))
        summary = self._summary_write(now)
        roster = frozenset(self._planner.workers)
        writes += summary + self._roster_write(roster)
        removals = self._removals() if renew else []
        self._started_commits += 1
        begun = self._started_commits
        self._in_flight = True
        try:
            revision = await self._store.commit(
                (ExpectedRevision(LEASE_TABLE, LEASE_KEY, self._revision),),
                writes,
                removals,
                timeout_s=CALL_TIMEOUT_S,
            )
        except CommitConflict as conflict:
            self._planner.dirty |= names
            self._pending_rows = notes | self._pending_rows
            self._resolve_conflict(conflict)
            return
        except (StoreRefused, StoreUnknown) as error:
            self._planner.dirty |= names
            self._pending_rows = notes | self._pending_rows
            self._note_failure(error)
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        finally:
            self._in_flight = False
        self._planner.confirm(revision)
        self._planner.stored_roster = roster
        if renew:
            self._revision = revision
            self._renewed_at = self._confirmed_at = now
            self._outcome_unknown = False
        if summary:
            self._summary, self._summary_at = summary[0].value, now
        for removal in removals:
            self._orphans.discard(removal.key)
            self._planner.forget_job(removal.key)
        if self._failing:
            self._failing = False
            log(events.DEPENDENCY_REGAINED, dependency="store writes")
        self._on_stored()
        if whole:
            async with self._advanced:
                self._stored_commits = begun
                self._advanced.notify_all()

    def _renewal_due(self, now: float) -> bool:
        return now - self._renewed_at >= RENEWAL_PERIOD_S

    def _pop_dirty(self) -> set[str]:
        dirty = self._planner.dirty
        if len(dirty) <= MAX_ROWS_PER_COMMIT:
            self._planner.dirty = set()
            return dirty
        names = set(sorted(dirty)[:MAX_ROWS_PER_COMMIT])
        self._planner.dirty = dirty - names
        return names

    def _progress_writes(self, names: set[str]) -> list[RowWrite]:
        jobs = self._planner.jobs
        return [
            RowWrite(PROGRESS_TABLE, name, encode_progress(jobs[name].progress()))
            for name in sorted(names)
            if name in jobs
        ]

    def _lease_write(self, holder: str | None) -> RowWrite:
        self._renewal += 1
        lease = LeaseRow(
            self._leader_lease.holder if holder is None else holder,
            self._leader_lease.token,
            self._renewal,
            self._leader_lease.address,
        )
        return RowWrite(LEASE_TABLE, LEASE_KEY, encode_lease(lease))

    def _summary_write(self, now: float) -> list[RowWrite]:
        if not self._counts_enabled or now - self._summary_at < SUMMARY_PERIOD_S:
            return []
        value = msgspec.json.encode(self._planner.waiting_counts(), order="sorted")
        if value == self._summary:
            return []
        return [RowWrite(SUMMARY_TABLE, WAITING_KEY, value)]

    def _roster_write(self, roster: frozenset[str]) -> list[RowWrite]:
        """Return the row that tells a successor which workers to ask."""
        if roster == self._planner.stored_roster:
            return []
        return [RowWrite(ROSTER_TABLE, ROSTER_KEY, msgspec.json.encode(sorted(roster)))]

    def _removals(self) -> list[RowRemoval]:
        """Return the progress of jobs that nobody can ask for any more."""
        return [
            RowRemoval(PROGRESS_TABLE, name)
            for name in sorted(self._orphans)[:MAX_REMOVED_PER_COMMIT]
        ]

    def _resolve_conflict(self, conflict: CommitConflict) -> None:
        row = next(iter(conflict.rows), None)
        lease = decode_lease(row)
        own = lease.holder == self._leader_lease.holder
        if row is None or not own or lease.token not in (0, self._leader_lease.token):
            raise Deposed(lease.holder)
        # A renewal of our own whose answer was lost.
        self._revision = row.revision
        self._outcome_unknown = True

    def _note_failure(self, error: StoreRefused | StoreUnknown) -> None:
        if isinstance(error, StoreUnknown):
            self._outcome_unknown = True
        if not self._failing:
            self._failing = True
            log(events.DEPENDENCY_LOST, dependency="store writes", error=error)
