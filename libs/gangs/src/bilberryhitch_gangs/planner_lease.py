"""Leader election of one planner per data centre and pool, by a row of the store."""

import asyncio
import hashlib
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from bilberryhitch_model import Identity, decode, encode
from bilberryhitch_model.errors import (
    BilberryhitchError,
    StoreConflict,
    StoreError,
    StoreUnavailable,
)
from bilberryhitch_platform import (
    Expect,
    Put,
    Row,
    TableService,
    Write,
    commit,
)
from expression import Result

from .commit_resolution import commit_and_resolve
from .transaction_batch import PendingTransaction, take_batch

# A lease whose row has not changed for this long has expired.
LEASE_TIMEOUT_S = 3.0
RENEW_INTERVAL_S = 1.0
POLL_INTERVAL_S = 0.5
# Each candidate waits this much longer than the one ranked before it.
RANK_DELAY_S = 0.5
EPOCH_KEY = "planners/epoch"


class PlannerLost(BilberryhitchError):
    """Another process has taken over the planner lease."""

    code = "planner_lost"

    def __init__(self, pool: str, epoch: int) -> None:
        super().__init__(pool, epoch)
        self.pool = pool
        self.epoch = epoch


class PlannerRow(NamedTuple):
    """Value of the lease row.

    :param holder: entry host that holds the lease; empty once it is released
    :param incarnation: run of the holder's process
    :param epoch: fencing token of the holder
    """

    holder: str
    incarnation: str
    epoch: int


def planner_key(data_centre: str, pool: str) -> str:
    """Return the key of the lease row."""
    return f"planners/{data_centre}/{pool}"


def rank(hosts: Iterable[str], data_centre: str, pool: str, host: str) -> int:
    """Return the rank of a candidate by rendezvous hashing, from 0.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998.
    """

    def weight(name: str) -> tuple[bytes, str]:
        text = f"{data_centre}/{pool}/{name}".encode()
        return hashlib.sha256(text).digest(), name

    own = weight(host)
    return sum(1 for name in set(hosts) - {host} if weight(name) > own)


class PlannerLease:
    """Acquires, renews and releases the planner lease of one pool.

    A holder gives up the lease only when it reads another holder's row, never
    because time has passed: its gangs keep running while the store is down.

    :ivar store_up: whether the last transaction reached the store
    """

    def __init__(
        self,
        identity: Identity,
        pool: str,
        tables: TableService,
        *,
        new_id: Callable[[], str],
    ) -> None:
        self._identity = identity
        self._pool = pool
        self._tables = tables
        self._new_id = new_id
        self._key = planner_key(identity.data_centre, pool)
        self._row = PlannerRow("", "", 0)
        self._revision = 0
        self._held = False
        self._renewed_at = 0.0
        # Every transaction expects and rewrites the lease row, so one of two
        # concurrent transactions would always conflict.
        self._lock = asyncio.Lock()
        self._pending: list[PendingTransaction] = []
        self.store_up = True

    @property
    def held(self) -> bool:
        """Whether the lease was acquired and no other holder's row was read since."""
        return self._held

    @property
    def epoch(self) -> int:
        """Fencing token presented to workers."""
        return self._row.epoch

    async def acquire(self, own_rank: Callable[[], int]) -> None:
        """Wait until the lease is free or has expired, and acquire it.

        :param own_rank: returns this host's rank among the candidates, from 0
        """
        loop = asyncio.get_running_loop()
        last_revision, changed_at = -1, loop.time()
        while True:
            try:
                row = await self._tables.get(self._key)
            except StoreError:
                # The holder cannot renew while the store is down: wait a full timeout.
                last_revision, changed_at = -1, loop.time()
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            revision = 0 if row is None else row.revision
            if revision != last_revision:
                last_revision, changed_at = revision, loop.time()
            delay = own_rank() * RANK_DELAY_S + (
                0.0 if _is_free(row) else LEASE_TIMEOUT_S
            )
            if loop.time() - changed_at >= delay and await self._try_acquire(revision):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def renew_until_lost(self) -> None:
        """Renew the lease until it is lost.

        :raises PlannerLost: another holder's row was read
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            # Every transaction renews the lease; one has just been committed.
            if loop.time() - self._renewed_at < RENEW_INTERVAL_S / 2:
                continue
            try:
                await self.transact((), ())
            except StoreUnavailable:
                continue

    async def transact(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        """Commit a transaction on condition that this process holds the lease.

        The commit also renews the lease. Transactions that arrive while a commit
        is in flight share the next one: with a slow store, the reservations of a
        burst of gang starts would otherwise expire before their turn.

        :returns: the store revision of the commit, or the conflict
        :raises PlannerLost: another holder's row was read and nothing was
            written, or the commit was cancelled in flight
        :raises StoreUnavailable: nothing was written
        """
        transaction = PendingTransaction(expects, writes)
        self._pending.append(transaction)
        while not transaction.completed:
            async with self._lock:
                if not transaction.completed:
                    await self._run_batch(take_batch(self._pending))
        return transaction.outcome()

    async def raise_epoch(self) -> None:
        """Acquire the next epoch while holding the lease.

        A worker that was moved from another pool may have seen a higher token.

        :raises PlannerLost: another holder's row was read
        :raises StoreUnavailable: nothing was written
        """
        async with self._lock:
            await self._refresh_revision()
            await self._try_acquire(self._revision)

    async def release(self) -> None:
        """Release the lease, so that the next candidate need not wait for its expiry.

        If the store does not answer, the lease is left to expire.
        """
        if not self._held:
            return
        async with self._lock:
            self._held = False
            free = PlannerRow("", "", self._row.epoch)
            expects = [Expect(self._key, self._revision)]
            writes = [Put(self._key, encode(free))]
            try:
                await commit(
                    self._tables, expects, writes, self._new_id(), max_attempts=1
                )
            except StoreError:
                return

    async def _run_batch(self, batch: list[PendingTransaction]) -> None:
        """Commit a batch and set the result or error of every transaction."""
        expects = [expect for each in batch for expect in each.expects]
        writes = [write for each in batch for write in each.writes]
        try:
            result = await self._transact_held(expects, writes)
            for each in batch:
                # One conflict fails the whole commit, so each is retried alone.
                if result.is_error() and len(batch) > 1:
                    each.result = await self._transact_held(each.expects, each.writes)
                else:
                    each.result = result
        except (PlannerLost, StoreUnavailable) as error:
            _fail_pending(batch, error)
        except asyncio.CancelledError:
            # The commit in flight may have been applied. PlannerLost makes the
            # planner acquire the lease again and re-read every row.
            _fail_pending(batch, PlannerLost(self._pool, self._row.epoch))
            raise

    async def _transact_held(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        """Commit a transaction; retry if only the own lease row has a new revision."""
        while True:
            result = await self._transact_once(expects, writes)
            if result.is_ok() or result.error.key != self._key:
                return result
            await self._refresh_revision()

    async def _transact_once(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        if not self._held:
            raise PlannerLost(self._pool, self._row.epoch)
        all_expects = (*expects, Expect(self._key, self._revision))
        all_writes = (*writes, Put(self._key, encode(self._row)))
        try:
            result = await commit_and_resolve(
                self._tables, all_expects, all_writes, self._new_id()
            )
        except StoreUnavailable:
            self.store_up = False
            raise
        self.store_up = True
        if result.is_ok():
            self._set_revision(result.ok)
        return result

    async def _refresh_revision(self) -> None:
        """Read the revision of the lease row.

        :raises PlannerLost: the row is another holder's
        """
        row = await self._tables.get(self._key)
        if row is None or decode(PlannerRow, row.value) != self._row:
            self._held = False
            raise PlannerLost(self._pool, self._row.epoch)
        self._revision = row.revision

    async def _try_acquire(self, revision: int) -> bool:
        try:
            counter = await self._tables.get(EPOCH_KEY)
            last_epoch = 0 if counter is None else decode(int, counter.value)
            counter_revision = 0 if counter is None else counter.revision
            identity = self._identity
            row = PlannerRow(identity.host, identity.incarnation, last_epoch + 1)
            expects = [Expect(self._key, revision), Expect(EPOCH_KEY, counter_revision)]
            writes = [
                Put(self._key, encode(row)),
                Put(EPOCH_KEY, encode(last_epoch + 1)),
            ]
            result = await commit_and_resolve(
                self._tables, expects, writes, self._new_id()
            )
        except StoreError:
            return False
        if result.is_error():
            return False
        self._row, self._held, self.store_up = row, True, True
        self._set_revision(result.ok)
        return True

    def _set_revision(self, revision: int) -> None:
        self._revision = revision
        self._renewed_at = asyncio.get_running_loop().time()


def _fail_pending(batch: list[PendingTransaction], error: BilberryhitchError) -> None:
    for each in batch:
        if not each.completed:
            each.error = error


def _is_free(row: Row | None) -> bool:
    return row is None or not decode(PlannerRow, row.value).holder
