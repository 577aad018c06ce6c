"""Stores the planner's state and renews its lease, one transaction at a time.

If the outcome of a transaction is unknown, the next one changes the lease row. The
earlier transaction is conditional on that row, so it can no longer take effect.
"""

import asyncio
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
    read_json_row,
)
from bilberryhitch_jobs.errors import (
    STORE_ERRORS,
    CommitConflict,
    RowUnreadable,
    StoreRefused,
    StoreUnknown,
)
from bilberryhitch_jobs.job_operations import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PROGRESS_TABLE,
    SUMMARY_TABLE,
    WAITING_KEY,
    job_partition,
)
from bilberryhitch_model import clock
from bilberryhitch_telemetry import events, log

from .errors import Deposed
from .event_wait import wait_for_event
from .leader_election import (
    CALL_TIMEOUT_S,
    COMMIT_KEY,
    COMMIT_TABLE,
    LEASE_EXPIRY_S,
    LEASE_KEY,
    LEASE_TABLE,
    RENEWAL_PERIOD_S,
    TERM_KEY,
    WORKER_LEASE_HORIZON_S,
    LeaderLease,
    LeaseRow,
    decode_lease,
    encode_lease,
)
from .planner import Planner

# Progress rows of one transaction, below the platform's limit of 100 rows.
MAX_ROWS_PER_COMMIT = 80
# Size of their values, unless a single row is larger. A slow link of 300 KB/s delivers
# that, with its base64 encoding, within the time limit of a call.
MAX_BYTES_PER_COMMIT = 128_000
RETRY_PAUSE_S = 0.1
# Shorter waits are not worth an iteration of the event loop.
MIN_WAIT_S = 0.001
SUMMARY_PERIOD_S = 0.5
# A takeover reads the progress of all jobs in one call.
READ_TIMEOUT_S = 1.5
# Expired jobs are removed in small batches to leave room for urgent writes.
REMOVAL_PERIOD_S = 1.0
MAX_REMOVED_PER_COMMIT = 20
ROSTER_TABLE = "roster"
ROSTER_KEY = "workers"
COMMIT_MARK = RowWrite(COMMIT_TABLE, COMMIT_KEY, b"1")


async def read_roster(store: Store) -> tuple[str, ...]:
    """Return the workers on which an earlier planner may have started runs."""
    snapshot = await store.read(ROSTER_TABLE, timeout_s=CALL_TIMEOUT_S)
    names = [
        read_json_row(row, list[str]) for row in snapshot.rows if row.key == ROSTER_KEY
    ]
    return tuple(name for each in names for name in each or ())


async def read_progress(store: Store) -> dict[str, JobProgress]:
    """Return the stored progress by job name; unreadable rows are skipped."""
    snapshot = await store.read(PROGRESS_TABLE, timeout_s=READ_TIMEOUT_S)
    found = {}
    for row in snapshot.rows:
        try:
            found[row.key] = decode_progress(row.key, row.value)
        except RowUnreadable as error:
            log(events.ROW_UNREADABLE, key=error.key, error=error)
    return found


async def read_last_commit(store: Store, lease: LeaderLease) -> int:
    """Return the highest revision at which an earlier planner held the lease.

    It started no job that was accepted later. To be called before this planner makes
    any transaction that does not renew the lease.
    """
    if lease.replaced_revision is None:
        return lease.token
    snapshot = await store.read(COMMIT_TABLE, timeout_s=CALL_TIMEOUT_S)
    revisions = [row.revision for row in snapshot.rows]
    return min(max(lease.replaced_revision, *revisions, 0), lease.token)


class StateWriter:
    """Writes the planner's state during one lease term.

    :param retention_s: retention period of finished jobs, in seconds
    :param on_stored: called after each successful transaction
    :param unix: returns the Unix time in seconds
    """

    def __init__(
        self,
        store: Store,
        leader_lease: LeaderLease,
        planner: Planner,
        *,
        retention_s: float,
        on_stored: Callable[[], None] = lambda: None,
        unix: Callable[[], float] = clock.unix.now_s,
    ) -> None:
        self._store = store
        self._leader_lease = leader_lease
        self._planner = planner
        self._retention_s = retention_s
        self._on_stored = on_stored
        self._unix = unix
        self._revision = leader_lease.token
        self._renewal = 0
        self._renewed_at = float("-inf")
        self._confirmed_at = leader_lease.acquired_at
        self._outcome_unknown = False
        self._writes_failing = False
        self._started_commits = 0
        self._stored_commits = 0
        self._in_flight = False
        # Jobs whose progress is in the transaction under way.
        self._unanswered: set[str] = set()
        self._summary = b""
        self._summary_at = float("-inf")
        self._counts_enabled = False
        # What the row holds; None while that is not certain.
        self._written_roster: frozenset[str] | None = frozenset()
        self._pending_rows: dict[tuple[str, str], RowWrite] = {}
        self._later_rows: dict[tuple[str, str], RowWrite] = {}
        # Jobs whose request rows are removed and whose progress rows remain.
        self._orphans: set[str] = set()
        self._changed = asyncio.Event()
        self._commit_stored = asyncio.Condition()

    @property
    def worker_lease_limit(self) -> float:
        """Monotonic time beyond which no worker lease may be extended."""
        return self._confirmed_at + WORKER_LEASE_HORIZON_S

    @property
    def confirmed_at(self) -> float:
        """Monotonic time at which this host last certainly held the lease."""
        return self._confirmed_at

    @property
    def lease_is_fresh(self) -> bool:
        """Whether the lease was confirmed too recently for another host to hold it."""
        return clock.steady_s() - self._confirmed_at < LEASE_EXPIRY_S / 2

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
        """Wake the writer if there are changes to store."""
        if self._pending:
            self._changed.set()

    def enable_waiting_counts(self) -> None:
        """Start to store the counts of waiting jobs.

        To be called once all jobs have been loaded; earlier counts would be too low.
        """
        self._counts_enabled = True

    def put(self, write: RowWrite) -> None:
        """Queue a row to be written; a later row with the same key replaces it."""
        self._pending_rows[write.table, write.key] = write
        self._changed.set()

    def put_later(self, write: RowWrite) -> None:
        """Queue a row for a transaction that is made anyway, one row for each.

        A later row with the same key replaces it.
        """
        self._later_rows[write.table, write.key] = write

    async def run(self) -> None:
        """Write changes and renew the lease until another host holds it.

        :raises Deposed: if another host holds the lease
        """
        while True:
            now = clock.steady_s()
            if not self._pending and not self._renewal_due(now):
                due = max(self._renewed_at + RENEWAL_PERIOD_S - now, MIN_WAIT_S)
                self._changed.clear()
                await wait_for_event(self._changed, due)
            await self.write()

    async def flush(self, timeout_s: float) -> bool:
        """Wait until all changes made so far are stored.

        :returns: False if that takes longer than ``timeout_s`` seconds
        """
        unsent = bool(self._planner.dirty or self._pending_rows)
        if not unsent and not self._in_flight:
            return True
        target = self._started_commits + (1 if unsent else 0)
        self.notify()
        try:
            async with asyncio.timeout(timeout_s), self._commit_stored:
                await self._commit_stored.wait_for(
                    lambda: self._stored_commits >= target
                )
        except TimeoutError:
            return False
        return True

    async def remove_expired(self) -> None:
        """Remove finished jobs after their retention period, until cancelled.

        The request row is removed before the progress row: a job with a request and
        without progress would be taken for a new one.
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
        """Take over the removals that an earlier planner did not complete.

        :param progress: progress of jobs without a request row, by job name
        """
        ended = {
            name for name, each in progress.items() if each.state in FINISHED_STATES
        }
        self._orphans |= ended

    def _expired(self) -> list[str]:
        limit = self._unix() - self._retention_s
        expired = [
            name
            for name, job in self._planner.jobs.items()
            if name not in self._orphans
            and job.finished
            and 0 < job.finished_s < limit
            and name not in self._planner.dirty
            and name not in self._unanswered
        ]
        return expired[:MAX_REMOVED_PER_COMMIT]

    async def release(self) -> bool:
        """Store the remaining changes and release the lease; retry until it is stored.

        :returns: true, once the store has confirmed it
        :raises Deposed: if another host holds the lease
        """
        try:
            while not await self.write(holder=""):
                pass
        except Deposed as error:
            # An earlier attempt without an answer may have released it.
            if error.holder:
                raise
        return True

    async def write(self, holder: str | None = None) -> bool:
        """Write one transaction.

        :param holder: holder to be stored in the lease row; empty releases the
            lease, None keeps it
        :returns: whether the store has confirmed it
        :raises Deposed: if another host holds the lease
        """
        now = clock.steady_s()
        names, writes = self._take_dirty()
        # Changes beyond the limits are left to a later transaction.
        all_taken = not self._planner.dirty
        pending_rows, self._pending_rows = self._pending_rows, {}
        writes += pending_rows.values()
        later_rows = dict(list(self._later_rows.items())[:1])
        for key in later_rows:
            del self._later_rows[key]
        writes += later_rows.values()
        renew = holder is not None or self._outcome_unknown or self._renewal_due(now)
        writes.append(self._lease_write(holder) if renew else COMMIT_MARK)
        summary = self._summary_write(now)
        roster = frozenset(self._planner.workers)
        writes += summary + self._roster_write(roster)
        # A worker that the row may lack from now on gets no new run.
        self._planner.stored_roster &= roster
        removals = self._removals() if renew else []
        # The revision in the answer may be newer than that of the commit.
        known_revision = self._planner.newest_revision
        self._started_commits += 1
        commit_number = self._started_commits
        self._in_flight = True
        self._unanswered = names
        try:
            revision = await self._store.commit(
                (
                    ExpectedRevision(LEASE_TABLE, LEASE_KEY, self._revision),
                    ExpectedRevision(LEASE_TABLE, TERM_KEY, self._leader_lease.token),
                ),
                writes,
                removals,
                timeout_s=CALL_TIMEOUT_S,
            )
        except BaseException as error:
            self._planner.dirty |= names
            self._pending_rows = pending_rows | self._pending_rows
            self._later_rows = later_rows | self._later_rows
            await self._handle_failure(error)
            return False
        finally:
            self._in_flight = False
            self._unanswered = set()
        self._planner.confirm_lease(known_revision)
        self._planner.stored_roster = self._written_roster = roster
        if renew:
            self._revision = revision
            self._renewed_at = self._confirmed_at = now
            self._outcome_unknown = False
        if summary:
            self._summary, self._summary_at = summary[0].value, now
        for removal in removals:
            self._orphans.discard(removal.key)
            self._planner.remove_job(removal.key)
        if self._writes_failing:
            self._writes_failing = False
            log(events.DEPENDENCY_REGAINED, dependency="store writes")
        self._on_stored()
        if all_taken:
            async with self._commit_stored:
                self._stored_commits = commit_number
                self._commit_stored.notify_all()
        return True

    def _renewal_due(self, now: float) -> bool:
        return now - self._renewed_at >= RENEWAL_PERIOD_S

    def _take_dirty(self) -> tuple[set[str], list[RowWrite]]:
        """Take the changed jobs that fit into one transaction.

        :returns: their names and the rows with their progress
        """
        dirty, jobs = self._planner.dirty, self._planner.jobs
        names: set[str] = set()
        writes: list[RowWrite] = []
        size = 0
        for name in sorted(dirty):
            if name in jobs:
                value = encode_progress(jobs[name].progress())
                size += len(value)
                full = len(writes) == MAX_ROWS_PER_COMMIT or size > MAX_BYTES_PER_COMMIT
                if writes and full:
                    break
                writes.append(RowWrite(PROGRESS_TABLE, name, value))
            names.add(name)
        self._planner.dirty = dirty - names
        return names, writes

    def _lease_write(self, holder: str | None) -> RowWrite:
        self._renewal += 1
        lease = LeaseRow(
            self._leader_lease.holder if holder is None else holder,
            self._leader_lease.token,
            self._renewal,
            self._leader_lease.address,
            marks_commits=True,
            # Until the workers have been loaded, the former planner's count holds.
            workers=len(self._planner.workers) or self._leader_lease.workers,
            best_limit=self._leader_lease.best_limit,
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
        """Return the row that lists the workers which a successor must query."""
        if roster == self._written_roster:
            return []
        self._written_roster = None
        return [RowWrite(ROSTER_TABLE, ROSTER_KEY, msgspec.json.encode(sorted(roster)))]

    def _removals(self) -> list[RowRemoval]:
        """Return removals of the progress of jobs whose requests are removed."""
        return [
            RowRemoval(PROGRESS_TABLE, name)
            for name in sorted(self._orphans)[:MAX_REMOVED_PER_COMMIT]
        ]

    def _resolve_conflict(self, conflict: CommitConflict) -> None:
        rows = {each.key: each for each in conflict.rows}
        row = rows.get(LEASE_KEY)
        lease = decode_lease(row)
        if TERM_KEY in rows and rows[TERM_KEY].revision != self._leader_lease.token:
            raise Deposed(lease.holder)
        own = lease.holder == self._leader_lease.holder
        if row is None or not own or lease.token not in (0, self._leader_lease.token):
            raise Deposed(lease.holder)
        # An earlier renewal of this holder succeeded, but its response was lost.
        self._revision = row.revision
        self._outcome_unknown = True

    async def _handle_failure(self, error: BaseException) -> None:
        """Prepare the next transaction after one that the store has not confirmed.

        :raises BaseException: the error, unless it is one of the store
        """
        if isinstance(error, CommitConflict):
            self._resolve_conflict(error)
        elif isinstance(error, StoreRefused | StoreUnknown):
            self._note_failure(error)
            await asyncio.sleep(RETRY_PAUSE_S)
        else:
            # A transaction that was given up may still take effect.
            self._outcome_unknown = True
            raise error

    def _note_failure(self, error: StoreRefused | StoreUnknown) -> None:
        if isinstance(error, StoreUnknown):
            self._outcome_unknown = True
        if not self._writes_failing:
            self._writes_failing = True
            log(events.DEPENDENCY_LOST, dependency="store writes", error=error)
