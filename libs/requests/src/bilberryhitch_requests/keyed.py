"""Requests with an idempotency key: claim, run, and record the outcome."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from bilberryhitch_model import Outcome, RequestCall, Route
from bilberryhitch_model.errors import (
    BadInput,
    StoreAnswerLost,
    StoreError,
    StoreUnavailable,
)
from expression import Result

from .claims import Claim, ClaimRow, Claims, body_digest
from .outcomes import RequestRecord

# How long an answer "not run" waits for its key to become free again.
RELEASE_S = 0.5
# An idempotent route does not wait longer for a slow store before it runs.
CLAIM_S = 2.0


class KeyedRequests:
    """Runs a keyed request only under its claim.

    :param spawn: runs work that the caller need not wait for
    :param known_outcome: asks the process that made a handle
    """

    def __init__(
        self,
        claims: Claims,
        spawn: Callable[[Coroutine[Any, Any, Any]], "asyncio.Task[Any]"],
        known_outcome: Callable[[str, str], Awaitable[Outcome | None]],
    ) -> None:
        self._claims = claims
        self._spawn = spawn
        self._known_outcome = known_outcome

    async def serve(
        self,
        call: RequestCall,
        route: Route,
        record: RequestRecord,
        run: Callable[[], Awaitable[Outcome]],
    ) -> None:
        """Finish the record with this call's outcome, or the first call's."""
        claiming = self._spawn(self._claims.claim(call, record.handle))
        if route.idempotent:
            await asyncio.wait({claiming}, timeout=CLAIM_S)
            if not claiming.done():
                self._spawn(self._end_late_claim(claiming, record))
                record.finish(await run())
                return
        try:
            result = await claiming
        except StoreError as error:
            await self._serve_unclaimed(call, route, record, run, error)
            return
        if result.is_error():
            await self._answer_from(result.error, call, record)
            return
        await self._serve_claimed(result.ok, record, run)

    async def _serve_claimed(
        self, claim: Claim, record: RequestRecord, run: Callable[[], Awaitable[Outcome]]
    ) -> None:
        outcome = await run()
        if outcome.status == "not_run":
            release = self._spawn(self._claims.release(claim))
            await asyncio.wait({release}, timeout=RELEASE_S)
        record.finish(outcome)
        if outcome.status != "not_run" and record.settled:
            await self._claims.settle(claim, record.answer())

    async def _end_late_claim(
        self, claiming: "asyncio.Task[Result[Claim, ClaimRow]]", record: RequestRecord
    ) -> None:
        """Record the outcome under a claim that came after the run had begun."""
        try:
            result = await claiming
        except StoreError:
            return
        await record.done.wait()
        if result.is_error() or not record.settled:
            return
        if record.answer().status == "not_run":
            await self._claims.release(result.ok)
            return
        await self._claims.settle(result.ok, record.answer())

    async def _serve_unclaimed(
        self,
        call: RequestCall,
        route: Route,
        record: RequestRecord,
        run: Callable[[], Awaitable[Outcome]],
        error: StoreError,
    ) -> None:
        """Without the store only idempotent routes are served."""
        if route.idempotent:
            record.finish(await run())
            return
        record.close("the key cannot be claimed now")
        if isinstance(error, StoreAnswerLost):
            operation_id = error.operation_id
            await self._claims.resolve(call, record.handle, operation_id)

    async def _answer_from(
        self, first: ClaimRow, call: RequestCall, record: RequestRecord
    ) -> None:
        """Answer a retry with the outcome of the first call under the key."""
        if first.digest != body_digest(call):
            record.refuse(
                BadInput("Idempotency-Key", call.key, "belongs to another request")
            )
            return
        record.finish(await self._first_outcome(first.handle, call.client_account))

    async def _first_outcome(self, handle: str, client_account: str) -> Outcome:
        try:
            row = await self._claims.outcome(handle)
        except StoreUnavailable:
            row = None
        if row is not None:
            return row.outcome
        known = await self._known_outcome(handle, client_account)
        if known is not None and known.status != "unknown":
            return known
        return Outcome("unknown", detail="first call not decided", handle=handle)
