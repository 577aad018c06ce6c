"""Idempotency keys: claim rows written before dispatch, outcome rows after it."""

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

MAX_CLAIM_ATTEMPTS = 3
INITIAL_STORE_BACKOFF_S = 0.2
MAX_STORE_BACKOFF_S = 5.0
# Shutdown waits for these writes, so they are not retried for the whole of a store
# outage. Without the outcome row a later call with the key gets "unknown".
STORE_RETRY_TIMEOUT_S = 60.0


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
    """A claim held by this process.

    :param key: row key of the claim
    :param revision: store revision of the claim row
    """

    key: str
    client_account: str
    handle: str
    revision: int


def claim_row_key(client_account: str, key: str) -> str:
    """Return the row key of a claim."""
    return f"claims/{client_account}/{key}"


def outcome_row_key(handle: str) -> str:
    """Return the row key of an outcome."""
    return f"requests/{handle}"


def request_digest(call: RequestCall) -> str:
    """Return the digest that every call with the same idempotency key must match.

    :returns: SHA-256 of route, content type and body, in hex
    """
    digest = hashlib.sha256()
    for part in (call.route.encode(), call.content_type.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class Claims:
    """Reads and writes claim and outcome rows in the table service."""

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
        """Claim the call's idempotency key.

        :returns: the claim, or the row of the earlier call that holds the key
        :raises StoreUnavailable: the handle holds no claim and never will
        :raises StoreAnswerLost: the handle may hold a claim; see
            :meth:`remove_unresolved`
        """
        key = claim_row_key(call.client_account, call.key)
        for _ in range(MAX_CLAIM_ATTEMPTS):
            row = await self._tables.get(key)
            if row is not None:
                return Error(decode(ClaimRow, row.value))
            value = encode(ClaimRow(handle, request_digest(call), self._now()))
            revision = await self._commit_or_abandon(key, value)
            if revision:
                return Ok(Claim(key, call.client_account, handle, revision))
        raise StoreUnavailable("claim")

    async def _commit_or_abandon(self, key: str, value: bytes) -> int:
        """Return the revision of the new row, or 0 if the key has a row already."""
        operation_id = self._new_id()
        try:
            result = await commit(
                self._tables, [Expect(key, 0)], [Put(key, value)], operation_id
            )
        except StoreAnswerLost:
            return await self._abandon_claim(operation_id)
        return result.ok if result.is_ok() else 0

    async def _abandon_claim(self, operation_id: str) -> int:
        """Abandon a commit whose answer was lost, unless it was applied.

        :returns: the revision of the row, if the commit was applied
        :raises StoreUnavailable: the commit was not applied and never will be
        :raises StoreAnswerLost: whether it was applied is still unknown
        """
        try:
            result = await abandon(self._tables, operation_id)
        except StoreError as error:
            raise StoreAnswerLost(operation_id) from error
        if result.is_ok():
            raise StoreUnavailable("claim")
        return result.error.revision

    async def remove_unresolved(
        self, call: RequestCall, handle: str, operation_id: str
    ) -> None:
        """Remove the claim of a lost commit answer; its request must not run."""

        async def remove() -> None:
            result = await abandon(self._tables, operation_id)
            if result.is_error():
                key = claim_row_key(call.client_account, call.key)
                revision = result.error.revision
                claim = Claim(key, call.client_account, handle, revision)
                await self._delete(claim)

        await self._retry_until_done(remove)

    async def release(self, claim: Claim) -> None:
        """Delete the claim of a request that did not run."""
        await self._retry_until_done(lambda: self._delete(claim))

    async def write_outcome(self, claim: Claim, outcome: Outcome) -> None:
        """Write the outcome row of the claim's handle unless it exists."""
        key = outcome_row_key(claim.handle)
        value = encode(OutcomeRow(claim.client_account, outcome))
        operation_id = self._new_id()

        async def put() -> None:
            await commit(
                self._tables, [Expect(key, 0)], [Put(key, value)], operation_id
            )

        await self._retry_until_done(put)

    async def read_outcome(self, handle: str) -> OutcomeRow | None:
        """Return the outcome row of a handle, or ``None`` if there is none.

        :raises StoreUnavailable: the store cannot be read now
        """
        row = await self._tables.get(outcome_row_key(handle))
        return None if row is None else decode(OutcomeRow, row.value)

    async def _delete(self, claim: Claim) -> None:
        await commit(
            self._tables,
            [Expect(claim.key, claim.revision)],
            [Delete(claim.key)],
            f"release-{claim.handle}",
        )

    async def _retry_until_done(self, step: Callable[[], Awaitable[None]]) -> None:
        """Retry an idempotent step with backoff until it succeeds or times out."""
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + STORE_RETRY_TIMEOUT_S
        delay_s = INITIAL_STORE_BACKOFF_S
        while True:
            try:
                await step()
                return
            except StoreError:
                if loop.time() >= give_up_s:
                    return
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_STORE_BACKOFF_S, 2 * delay_s)
