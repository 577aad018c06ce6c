"""The lease row by which one planner per (data centre, pool) is elected."""

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

from .settled_commit import commit_settled
from .transaction_batch import WaitingTransaction, take_batch

LAPSE_S = 3.0
RENEW_S = 1.0
WATCH_S = 0.5
RANK_DELAY_S = 0.5
EPOCH_KEY = "planners/epoch"


class PlannerLost(BilberryhitchError):
    """Another process holds the planner row now."""

    code = "planner_lost"

    def __init__(self, pool: str, epoch: int) -> None:
        super().__init__(pool, epoch)
        self.pool = pool
        self.epoch = epoch


class PlannerRow(NamedTuple):
    """Who plans; an empty holder means that the lease was released."""

    holder: str
    incarnation: str
    epoch: int


def planner_key(data_centre: str, pool: str) -> str:
    """Return the key of the lease row."""
    return f"planners/{data_centre}/{pool}"


def rank(hosts: Iterable[str], data_centre: str, pool: str, host: str) -> int:
    """Return the rendezvous rank of a candidate, from 0.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998.
    """

    def weight(name: str) -> tuple[bytes, str]:
        text = f"{data_centre}/{pool}/{name}".encode()
        return hashlib.sha256(text).digest(), name

    own = weight(host)
    return sum(1 for name in set(hosts) - {host} if weight(name) > own)


class PlannerLease:
    """Acquires, keeps and releases the planner row of one pool.

    A holder gives up only when it finds another holder's row, never because
    time passed: while the store is down it keeps its running gangs.

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
        self._written_at = 0.0
        # Every transaction of the planner expects and rewrites the lease row,
        # so two of them at once would make one conflict.
        self._lock = asyncio.Lock()
        self._waiting: list[WaitingTransaction] = []
        self.store_up = True

    @property
    def held(self) -> bool:
        """Whether no other holder's row has been found since acquisition."""
        return self._held

    @property
    def epoch(self) -> int:
        """Fencing token presented to workers."""
        return self._row.epoch

    async def acquire(self, own_rank: Callable[[], int]) -> None:
        """Wait until the row is free or has lapsed, and take it."""
        loop = asyncio.get_running_loop()
        seen, since = -1, loop.time()
        while True:
            try:
                row = await self._tables.get(self._key)
            except StoreError:
                # The holder cannot renew either while the store is down.
                seen, since = -1, loop.time()
                await asyncio.sleep(WATCH_S)
                continue
            revision = 0 if row is None else row.revision
            if revision != seen:
                seen, since = revision, loop.time()
            delay = own_rank() * RANK_DELAY_S + (0.0 if _is_free(row) else LAPSE_S)
            if loop.time() - since >= delay and await self._take(revision):
                return
            await asyncio.sleep(WATCH_S)

    async def keep(self) -> None:
        """Renew the row until it is lost.

        :raises PlannerLost: another holder's row was found
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(RENEW_S)
            # Another transaction has just renewed the row as well.
            if loop.time() - self._written_at < RENEW_S / 2:
                continue
            try:
                await self.transact((), ())
            except StoreUnavailable:
                continue

    async def transact(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        """Apply a transaction only while this process holds the row.

        It renews the lease as well. Transactions that wait while another is on
        its way share the next commit: with a slow store, a burst of starts
        would otherwise outlive its reservations.

        :raises PlannerLost: another holder's row was found; nothing was written
        :raises StoreUnavailable: nothing was written
        """
        own = WaitingTransaction(expects, writes)
        self._waiting.append(own)
        while not own.decided:
            async with self._lock:
                if not own.decided:
                    await self._run_batch(take_batch(self._waiting))
        return own.outcome()

    async def raise_epoch(self) -> None:
        """Take the next epoch while holding the row.

        A worker that came from another pool may have seen a higher token.

        :raises PlannerLost: another holder's row was found
        :raises StoreUnavailable: nothing was written
        """
        async with self._lock:
            await self._confirm()
            await self._take(self._revision)

    async def release(self) -> None:
        """Offer the row to the next candidate at once, if the store answers."""
        if not self._held:
            return
        async with self._lock:
            self._held = False
            free = PlannerRow("", "", self._row.epoch)
            expects = [Expect(self._key, self._revision)]
            writes = [Put(self._key, encode(free))]
            try:
                await commit(self._tables, expects, writes, self._new_id(), tries=1)
            except StoreError:
                return

    async def _run_batch(self, batch: list[WaitingTransaction]) -> None:
        """Decide every transaction of a batch."""
        expects = [expect for each in batch for expect in each.expects]
        writes = [write for each in batch for write in each.writes]
        try:
            result = await self._transact_held(expects, writes)
            for each in batch:
                # A conflict of one refuses all; the others are tried alone.
                if result.is_error() and len(batch) > 1:
                    each.result = await self._transact_held(each.expects, each.writes)
                else:
                    each.result = result
        except (PlannerLost, StoreUnavailable) as error:
            _refuse(batch, error)
        except asyncio.CancelledError:
            # What was on its way may have applied. Losing the tenure makes the
            # planner read every row again.
            _refuse(batch, PlannerLost(self._pool, self._row.epoch))
            raise

    async def _transact_held(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        """Apply a transaction, again if only this process's own row moved."""
        while True:
            result = await self._transact_once(expects, writes)
            if result.is_ok() or result.error.key != self._key:
                return result
            await self._confirm()

    async def _transact_once(
        self, expects: Sequence[Expect], writes: Sequence[Write]
    ) -> Result[int, StoreConflict]:
        if not self._held:
            raise PlannerLost(self._pool, self._row.epoch)
        all_expects = (*expects, Expect(self._key, self._revision))
        all_writes = (*writes, Put(self._key, encode(self._row)))
        try:
            result = await commit_settled(
                self._tables, all_expects, all_writes, self._new_id()
            )
        except StoreUnavailable:
            self.store_up = False
            raise
        self.store_up = True
        if result.is_ok():
            self._set_revision(result.ok)
        return result

    async def _confirm(self) -> None:
        """Go on from the row's revision if it is still this process's row."""
        row = await self._tables.get(self._key)
        if row is None or decode(PlannerRow, row.value) != self._row:
            self._held = False
            raise PlannerLost(self._pool, self._row.epoch)
        self._revision = row.revision

    async def _take(self, revision: int) -> bool:
        try:
            counter = await self._tables.get(EPOCH_KEY)
            last = 0 if counter is None else decode(int, counter.value)
            counted = 0 if counter is None else counter.revision
            identity = self._identity
            row = PlannerRow(identity.host, identity.incarnation, last + 1)
            expects = [Expect(self._key, revision), Expect(EPOCH_KEY, counted)]
            writes = [Put(self._key, encode(row)), Put(EPOCH_KEY, encode(last + 1))]
            result = await commit_settled(self._tables, expects, writes, self._new_id())
        except StoreError:
            return False
        if result.is_error():
            return False
        self._row, self._held, self.store_up = row, True, True
        self._set_revision(result.ok)
        return True

    def _set_revision(self, revision: int) -> None:
        self._revision = revision
        self._written_at = asyncio.get_running_loop().time()


def _refuse(batch: list[WaitingTransaction], error: BilberryhitchError) -> None:
    for each in batch:
        if not each.decided:
            each.error = error


def _is_free(row: Row | None) -> bool:
    return row is None or not decode(PlannerRow, row.value).holder
