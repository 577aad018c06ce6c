"""Requests with an idempotency key: claims the key, runs, writes the outcome."""

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

from .claims import Claim, ClaimRow, Claims, request_digest
from .request_records import RequestRecord

# A "not run" answer waits this long for the release of its key, so that the caller can
# use the key again.
RELEASE_TIMEOUT_S = 0.5
# A request of an idempotent route runs without its claim if the store is slower.
CLAIM_TIMEOUT_S = 2.0


class KeyedRequests:
    """Runs requests that have an idempotency key.

    A request of a route that is not idempotent runs only if its key was claimed.

    :param spawn: starts a background task
    :param known_outcome: returns the outcome for a handle and a client account from
        the process that made the handle
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
        """Finish the record with the outcome of this call or of the first one.

        The first call is the one that holds the claim of the idempotency key.
        """
        claiming = self._spawn(self._claims.claim(call, record.handle))
        if route.idempotent:
            await asyncio.wait({claiming}, timeout=CLAIM_TIMEOUT_S)
            if not claiming.done():
                self._spawn(self._finish_late_claim(claiming, record))
                record.finish(await run())
                return
        try:
            result = await claiming
        except StoreError as error:
            await self._serve_unclaimed(call, route, record, run, error)
            return
        if result.is_error():
            await self._answer_from_claim(result.error, call, record)
            return
        await self._serve_claimed(result.ok, record, run)

    async def _serve_claimed(
        self, claim: Claim, record: RequestRecord, run: Callable[[], Awaitable[Outcome]]
    ) -> None:
        outcome = await run()
        if outcome.status == "not_run":
            release = self._spawn(self._claims.release(claim))
            await asyncio.wait({release}, timeout=RELEASE_TIMEOUT_S)
        record.finish(outcome)
        if outcome.status != "not_run" and record.is_final:
            await self._claims.write_outcome(claim, record.current_outcome())

    async def _finish_late_claim(
        self, claiming: "asyncio.Task[Result[Claim, ClaimRow]]", record: RequestRecord
    ) -> None:
        """Write the outcome under a claim that was made after the run had begun."""
        try:
            result = await claiming
        except StoreError:
            return
        await record.done.wait()
        if result.is_error() or not record.is_final:
            return
        if record.current_outcome().status == "not_run":
            await self._claims.release(result.ok)
            return
        await self._claims.write_outcome(result.ok, record.current_outcome())

    async def _serve_unclaimed(
        self,
        call: RequestCall,
        route: Route,
        record: RequestRecord,
        run: Callable[[], Awaitable[Outcome]],
        error: StoreError,
    ) -> None:
        """Run a request of an idempotent route without a claim; reject others."""
        if route.idempotent:
            record.finish(await run())
            return
        record.close("the key cannot be claimed now")
        if isinstance(error, StoreAnswerLost):
            operation_id = error.operation_id
            await self._claims.remove_unresolved(call, record.handle, operation_id)

    async def _answer_from_claim(
        self, first: ClaimRow, call: RequestCall, record: RequestRecord
    ) -> None:
        """Answer a repeated call with the outcome of the first call with its key."""
        if first.digest != request_digest(call):
            record.reject(
                BadInput("Idempotency-Key", call.key, "belongs to another request")
            )
            return
        record.finish(await self._first_outcome(first.handle, call.client_account))

    async def _first_outcome(self, handle: str, client_account: str) -> Outcome:
        try:
            row = await self._claims.read_outcome(handle)
        except StoreUnavailable:
            row = None
        if row is not None:
            return row.outcome
        known = await self._known_outcome(handle, client_account)
        if known is not None and known.status != "unknown":
            return known
        return Outcome("unknown", detail="first call not decided", handle=handle)
