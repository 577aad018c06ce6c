"""Idempotency keys: a claim before dispatch, the outcome after it."""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bilberryhitch_model import Outcome, RequestCall, decode, encode
from bilberryhitch_model.errors import (
    StoreAnswerLost,
    StoreError,
    StoreUnavailable,
)
from bilberryhitch_platform import Delete, Expect, Put, TableService, abandon, commit
from expression import Error, Ok, Result

CLAIM_TRIES = 3
FIRST_DELAY_S = 0.2
MAX_DELAY_S = 5.0
# Without an outcome row a retry gets "unknown", so a host that shuts down stops
# trying after this time rather than stay for the whole outage.
GIVE_UP_S = 60.0


class ClaimRow(NamedTuple):
    """Row ``claims/<client_account>/<key>``.

    :param digest: SHA-256 of route, content type and body, in hex
    :param at: UTC seconds
    """

    handle: str
    digest: str
    at: float


class OutcomeRow(NamedTuple):
    """Row ``requests/<handle>``; the body is Base64 in JSON."""

    client_account: str
    outcome: Outcome


class Claim(NamedTuple):
    """A claim that this process holds.

    :param revision: store revision of the claim row
    """

    key: str
    client_account: str
    handle: str
    revision: int


def claim_key(client_account: str, key: str) -> str:
    """Return the row key of a claim."""
    return f"claims/{client_account}/{key}"


def outcome_key(handle: str) -> str:
    """Return the row key of an outcome."""
    return f"requests/{handle}"


def body_digest(call: RequestCall) -> str:
    """Return what must be equal in every retry under the same key."""
    digest = hashlib.sha256()
    for part in (call.route.encode(), call.content_type.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class Claims:
    """Claims and outcome rows in the table service."""

    def __init__(
        self,
        tables: TableService,
        *,
        now: Callable[[], float],
        new_id: Callable[[], str],
    ) -> None:
        self._tables = tables
        self._now = now
        self._new_id = new_id

    async def claim(self, call: RequestCall, handle: str) -> Result[Claim, ClaimRow]:
        """Claim the call's key, or return the claim that holds it.

        :raises StoreUnavailable: there is no claim under this handle and never
            will be
        :raises StoreAnswerLost: there may be one; see :meth:`resolve`
        """
        key = claim_key(call.client_account, call.key)
        for _ in range(CLAIM_TRIES):
            row = await self._tables.get(key)
            if row is not None:
                return Error(decode(ClaimRow, row.value))
            value = encode(ClaimRow(handle, body_digest(call), self._now()))
            revision = await self._commit_or_abandon(key, value)
            if revision:
                return Ok(Claim(key, call.client_account, handle, revision))
        raise StoreUnavailable("claim")

    async def _commit_or_abandon(self, key: str, value: bytes) -> int:
        """Return the revision of the new row, or 0 when there is another."""
        operation_id = self._new_id()
        try:
            result = await commit(
                self._tables, [Expect(key, 0)], [Put(key, value)], operation_id
            )
        except StoreAnswerLost:
            return await self._abandoned(operation_id)
        return result.ok if result.is_ok() else 0

    async def _abandoned(self, operation_id: str) -> int:
        """Return the revision if the lost claim applied; else make sure it never does.

        :raises StoreUnavailable: it never will
        :raises StoreAnswerLost: still unknown
        """
        try:
            result = await abandon(self._tables, operation_id)
        except StoreError as error:
            raise StoreAnswerLost(operation_id) from error
        if result.is_ok():
            raise StoreUnavailable("claim")
        return result.error.revision

    async def resolve(self, call: RequestCall, handle: str, operation_id: str) -> None:
        """Remove a claim whose answer was lost and whose request does not run."""

        async def remove() -> None:
            result = await abandon(self._tables, operation_id)
            if result.is_error():
                key = claim_key(call.client_account, call.key)
                revision = result.error.revision
                claim = Claim(key, call.client_account, handle, revision)
                await self._delete(claim)

        await self._until_done(remove)

    async def release(self, claim: Claim) -> None:
        """Free the key of a request that certainly did not run."""
        await self._until_done(lambda: self._delete(claim))

    async def settle(self, claim: Claim, outcome: Outcome) -> None:
        """Write the outcome under the handle, once."""
        key = outcome_key(claim.handle)
        value = encode(OutcomeRow(claim.client_account, outcome))
        operation_id = self._new_id()

        async def put() -> None:
            await commit(
                self._tables, [Expect(key, 0)], [Put(key, value)], operation_id
            )

        await self._until_done(put)

    async def outcome(self, handle: str) -> OutcomeRow | None:
        """Return the outcome row.

        :raises StoreUnavailable: it cannot be read now
        """
        row = await self._tables.get(outcome_key(handle))
        return None if row is None else decode(OutcomeRow, row.value)

    async def _delete(self, claim: Claim) -> None:
        await commit(
            self._tables,
            [Expect(claim.key, claim.revision)],
            [Delete(claim.key)],
            f"release-{claim.handle}",
        )

    async def _until_done(self, step: Callable[[], Awaitable[None]]) -> None:
        """Repeat a step that is safe to repeat until the store takes it."""
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + GIVE_UP_S
        delay_s = FIRST_DELAY_S
        while True:
            try:
                await step()
                return
            except StoreError:
                if loop.time() >= give_up_s:
                    return
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_DELAY_S, 2 * delay_s)
