"""Leader election of the planner with a lease: one row that its holder renews.

The store revision of the acquisition is the fencing token. It increases with every
transaction, so a later planner always has a higher token. Every transaction of the
holder is conditional on the revision of the lease row, so it fails once another
host has acquired the lease.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, NamedTuple

import msgspec
from bilberryhitch_jobs import (
    ExpectedRevision,
    RowSnapshot,
    RowWrite,
    Store,
    StoreRow,
    read_json_row,
)
from bilberryhitch_jobs.errors import STORE_ERRORS, CommitConflict, HistoryLost
from bilberryhitch_model import clock
from bilberryhitch_telemetry import events, log

from .event_wait import wait_for_event
from .liveness import wait_for_process_end
from .planner_host import (
    UNKNOWN_MEANS,
    UNLIMITED_WORKERS,
    HostMeans,
    needed_workers,
    precedence_s,
    worker_limit,
)

LEASE_TABLE = "planner"
LEASE_KEY = "lease"
# Row that only acquisitions write. A planner's transactions are conditional on it as
# well, as the answer to a renewal may bear the revision of a successor's acquisition.
TERM_KEY = "term"
# Row that each transaction of a planner writes unless it writes the lease row, so that
# a successor knows the revision of the last one.
COMMIT_TABLE = "commits"
COMMIT_KEY = "last"
RENEWAL_PERIOD_S = 0.4
# Covers two renewal periods and one store call that takes its whole timeout.
LEASE_EXPIRY_S = 1.7
# A candidate that wakes for each renewal would cost the store one call per renewal and
# candidate.
WATCH_PAUSE_S = (0.6, 1.0)
MAX_EXTRA_PAUSE_S = 0.6
CALL_TIMEOUT_S = 0.8
RETRY_PAUSE_S = 0.2
# Random delay that spreads the acquisitions of candidates that detect the end of the
# holder's process at the same moment.
ACQUISITION_JITTER_S = 0.15
MAX_SEEN_ADDRESSES = 3
# Worker leases end at most this long after the last confirmed renewal of the leader
# lease. A successor waits this long for workers that it cannot reach.
WORKER_LEASE_HORIZON_S = 12.0


class LeaseRow(msgspec.Struct, frozen=True):
    """Value of the lease row.

    :ivar holder: ``host/process``: entry host and identifier of its process; empty
        after a release
    :ivar token: fencing token; 0 until the first renewal
    :ivar renewal: sequence number of the renewal
    :ivar address: ``ip:port`` on which the holder's process listens
    :ivar marks_commits: the holder's transactions write the lease row or the commit
        row; not so in earlier versions
    :ivar workers: workers that the holder plans for; 0 if it has not counted them
    :ivar best_limit: highest worker limit among the hosts that have held the lease; 0
        in earlier versions
    """

    holder: str
    token: int
    renewal: int
    address: str = ""
    marks_commits: bool = False
    workers: int = 0
    best_limit: int = 0


class LeaderLease(NamedTuple):
    """A leader lease that has been acquired.

    :param holder: ``host/process`` of the holder
    :param token: fencing token: the store revision of the acquisition
    :param acquired_at: monotonic time at which the acquisition was sent
    :param renewed_at: monotonic time of the last observed change of the lease row
        by the previous holder
    :param address: ``ip:port`` on which the holder's process listens
    :param replaced_revision: revision of the lease row that the acquisition replaced;
        None if the previous holder's other transactions cannot be told from the rows
    :param workers: workers that the previous holder has counted
    :param best_limit: highest worker limit among the hosts that have held the lease
    """

    holder: str
    token: int
    acquired_at: float
    renewed_at: float
    address: str = ""
    replaced_revision: int | None = None
    workers: int = 0
    best_limit: int = 0


class LeaderElection:
    """Waits until the leader lease is free and acquires it.

    :param holder: unique name of this process, ``host/process``
    :param address: ``ip:port`` on which this process listens
    :param wait_for_end: returns when the process at an address has ended
    :param means: what this host offers to a planner
    """

    def __init__(
        self,
        store: Store,
        holder: str,
        address: str = "",
        wait_for_end: Callable[[str], Coroutine[Any, Any, None]] = wait_for_process_end,
        means: HostMeans = UNKNOWN_MEANS,
    ) -> None:
        self._store = store
        self._means = means
        self._limit = worker_limit(means)
        self._holder = holder
        self._address = address
        self._wait_for_end = wait_for_end
        self._probe: asyncio.Task[None] | None = None
        self._probed = ""
        self._row: StoreRow | None = None
        self._revision = 0
        self._changed_at = self._tried_at = clock.steady_s()
        self._seen_addresses: tuple[str, ...] = ()
        # Token of this process's latest term.
        self._latest_token = 0

    @property
    def seen_addresses(self) -> tuple[str, ...]:
        """Addresses of other hosts that held the lease, the latest one first."""
        return self._seen_addresses

    @property
    def _precedence_s(self) -> float:
        """How long this host leaves the lease to others once it is free."""
        if self._row is None:
            return precedence_s(self._means, None)
        lease = decode_lease(self._row)
        needed = needed_workers(lease.workers, lease.best_limit)
        return precedence_s(self._means, needed)

    async def acquire(self) -> LeaderLease:
        """Wait until this process holds the lease."""
        self._row, self._revision = None, 0
        try:
            return await self._run()
        finally:
            self._cancel_probe()

    async def _run(self) -> LeaderLease:
        row_known = False
        while True:
            try:
                if not row_known:
                    await self._read()
                    row_known = True
                leader_lease = await self._try_acquire()
                if leader_lease is not None:
                    return leader_lease
            except HistoryLost:
                row_known = False
            except STORE_ERRORS:
                # Without the store, a missing renewal says nothing about the holder.
                row_known = False
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _read(self) -> None:
        snapshot = await self._store.read(LEASE_TABLE, timeout_s=CALL_TIMEOUT_S)
        self._observe_row(_lease_row(snapshot.rows))
        self._revision = snapshot.revision

    async def _try_acquire(self) -> LeaderLease | None:
        lease = decode_lease(self._row)
        if self._row is not None and self._is_unanswered_acquisition(self._row, lease):
            return self._begin_term(self._row, lease, self._changed_at, None)
        if not lease.holder:
            changed = self._precedence_s > 0 and await self._give_precedence()
        elif _host(lease.holder) != _host(self._holder):
            changed = await self._wait_for_change(lease)
        else:
            self._log_own_row(lease)
            changed = False
        return None if changed else await self._commit_acquisition(lease)

    def _is_unanswered_acquisition(self, row: StoreRow, lease: LeaseRow) -> bool:
        """Return whether an acquisition of this process was stored without an answer.

        Nothing has been done under such a row, unlike under one that is left from a
        term.
        """
        own = lease.holder == self._holder and not lease.token
        return own and row.revision != self._latest_token

    def _log_own_row(self, lease: LeaseRow) -> None:
        """Log that the row is left from a term of this process.

        That gives it no lease: its next term needs a token and a last commit that cover
        all that the former one has done, so it acquires the lease like any other.
        """
        if lease.holder == self._holder:
            log(
                events.PLANNER_LEASE_FOUND,
                former_fencing_token=lease.token,
                renewal=lease.renewal,
            )

    async def _give_precedence(self) -> bool:
        """Leave a free lease to more powerful hosts.

        :returns: whether the lease row has changed
        """
        return self._observe_changes(
            await self._store.watch(LEASE_TABLE, self._revision, self._precedence_s)
        )

    async def _wait_for_change(self, lease: LeaseRow) -> bool:
        """Wait for a change of the lease row.

        :returns: False if the lease expired or its holder's process ended first
        """
        ended = asyncio.Event()
        watch = asyncio.create_task(self._watch_after_pause(ended))
        try:
            await self._until_changed_or_ended(lease, watch, ended)
            if not watch.done():
                return False
            return self._observe_changes(watch.result())
        finally:
            watch.cancel()

    def _observe_changes(self, changes: RowSnapshot) -> bool:
        """Apply changes of the lease table and return whether there are any."""
        self._revision = max(self._revision, changes.revision)
        rows = [row for row in changes.rows if row.key == LEASE_KEY]
        if rows:
            self._observe_row(rows[-1])
        return bool(rows)

    async def _watch_after_pause(self, ended: asyncio.Event) -> RowSnapshot:
        """Watch the lease row until it expires, without waking for every renewal.

        The random pause spreads the candidates, so that among many of them one soon
        notices a release or a missing renewal.

        :param ended: ends the pause
        """
        pause_s = random.uniform(*WATCH_PAUSE_S)
        # A host that leaves the lease to others need not be among the first to notice.
        pause_s += min(self._precedence_s, MAX_EXTRA_PAUSE_S)
        await wait_for_event(ended, pause_s)
        return await self._store.watch(
            LEASE_TABLE,
            self._revision,
            LEASE_EXPIRY_S + self._precedence_s - pause_s,
        )

    async def _until_changed_or_ended(
        self,
        lease: LeaseRow,
        watch: "asyncio.Task[RowSnapshot]",
        ended: asyncio.Event,
    ) -> None:
        probe = self._probe_for(lease.address)
        await asyncio.wait(
            (watch, probe) if probe else (watch,), return_when=asyncio.FIRST_COMPLETED
        )
        if not watch.done():
            self._cancel_probe()
            log(events.PLANNER_PROCESS_ENDED, holder=lease.holder)
            # Other candidates detect the end at the same moment: watch for a random
            # time and stop if one of them acquires the lease.
            ended.set()
            delay_s = self._precedence_s + random.uniform(0.0, ACQUISITION_JITTER_S)
            await asyncio.wait((watch,), timeout=delay_s)

    def _probe_for(self, address: str) -> asyncio.Task[None] | None:
        """Return the task that finishes when the process at an address has ended."""
        if address != self._probed:
            self._cancel_probe()
        if not address:
            return None
        if self._probe is None:
            self._probe = asyncio.create_task(self._wait_for_end(address))
            self._probed = address
        return self._probe

    def _cancel_probe(self) -> None:
        if self._probe is not None:
            self._probe.cancel()
        self._probe, self._probed = None, ""

    async def _commit_acquisition(self, previous: LeaseRow) -> LeaderLease | None:
        own_limit = int(min(self._limit.workers, UNLIMITED_WORKERS))
        value = LeaseRow(
            self._holder,
            0,
            0,
            self._address,
            marks_commits=True,
            workers=previous.workers,
            best_limit=max(own_limit, previous.best_limit),
        )
        present = self._row.revision if self._row else 0
        self._tried_at = clock.steady_s()
        former_changed_at = self._changed_at
        try:
            await self._store.commit(
                (ExpectedRevision(LEASE_TABLE, LEASE_KEY, present),),
                (
                    RowWrite(LEASE_TABLE, LEASE_KEY, encode_lease(value)),
                    RowWrite(LEASE_TABLE, TERM_KEY, encode_lease(value)),
                ),
                timeout_s=CALL_TIMEOUT_S,
            )
        except CommitConflict as conflict:
            self._observe_row(_lease_row(conflict.rows))
            return None
        # The revision in the answer may be newer than that of the acquisition.
        await self._read()
        if self._row is None or decode_lease(self._row).holder != self._holder:
            return None
        replaced = present if previous.marks_commits else None
        return self._begin_term(self._row, previous, former_changed_at, replaced)

    def _begin_term(
        self,
        row: StoreRow,
        previous: LeaseRow,
        renewed_at: float,
        replaced_revision: int | None,
    ) -> LeaderLease:
        """Return the lease that this process has by an acquisition.

        :param row: row that the acquisition has written
        :param previous: lease that it replaced, if known
        """
        self._latest_token = row.revision
        log(
            events.PLANNER_LEASE_WON,
            fencing_token=row.revision,
            former=previous.holder,
            former_silent_s=round(clock.steady_s() - renewed_at, 3),
            workers=previous.workers,
            needed_limit=needed_workers(previous.workers, previous.best_limit),
            own_limit=int(min(self._limit.workers, UNLIMITED_WORKERS)),
            limited_by=self._limit.means,
        )
        return LeaderLease(
            self._holder,
            row.revision,
            self._tried_at,
            renewed_at,
            self._address,
            replaced_revision,
            previous.workers,
            decode_lease(row).best_limit,
        )

    def _observe_row(self, row: StoreRow | None) -> None:
        if row is not None and row.removed:
            row = None
        if (row and row.revision) != (self._row and self._row.revision):
            self._changed_at = clock.steady_s()
        self._row = row
        address = decode_lease(row).address
        if address not in ("", self._address, *self._seen_addresses[:1]):
            others = [each for each in self._seen_addresses if each != address]
            self._seen_addresses = (address, *others[: MAX_SEEN_ADDRESSES - 1])


def _lease_row(rows: Sequence[StoreRow]) -> StoreRow | None:
    return next((row for row in rows if row.key == LEASE_KEY), None)


def _host(holder: str) -> str:
    """Return the entry host of a holder.

    A lease held by an earlier process of the same host can be taken over at once.
    """
    return holder.partition("/")[0]


def encode_lease(lease: LeaseRow) -> bytes:
    """Encode the value of the lease row."""
    return msgspec.json.encode(lease)


def decode_lease(row: StoreRow | None) -> LeaseRow:
    """Decode the lease row; a missing or unreadable one counts as not held."""
    if row is None:
        return LeaseRow("", 0, 0)
    return read_json_row(row, LeaseRow) or LeaseRow("", 0, 0)
