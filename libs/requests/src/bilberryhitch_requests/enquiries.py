"""Questions about handles and runs, from callers and from other entry hosts."""

from bilberryhitch_model import Identity, Outcome
from bilberryhitch_model.errors import NotFound, StoreError
from bilberryhitch_peers import RequestStatusAsk
from expression import Error, Ok, Result

from .claims import Claims
from .forwarded import ForwardedRequests
from .forwarding import Forwarder, answer_grant
from .handles import parse_handle, split_run_id
from .outcomes import Outcomes


class Enquiries:
    """Finds outcomes; an account learns only about its own requests."""

    def __init__(
        self,
        identity: Identity,
        outcomes: Outcomes,
        forwarded: ForwardedRequests,
        forwarder: Forwarder,
        claims: Claims,
    ) -> None:
        self._identity = identity
        self._outcomes = outcomes
        self._forwarded = forwarded
        self._forwarder = forwarder
        self._claims = claims

    async def status(
        self, handle: str, client_account: str
    ) -> Result[Outcome, NotFound | StoreError]:
        """Return the outcome under a handle, as known now.

        A handle that no process and no row knows is ``unknown``, because its
        process may have been replaced.
        """
        parsed = parse_handle(handle)
        if parsed is None or self._belongs_to_another(handle, client_account):
            return Error(NotFound("request", handle))
        found = await self.known_outcome(handle, client_account)
        if found is not None and found.status != "unknown":
            return Ok(found)
        truth = found or Outcome("unknown", detail="no longer known", handle=handle)
        if not parsed.keyed:
            return Ok(truth)
        try:
            row = await self._claims.outcome(handle)
        except StoreError as error:
            return Error(error) if found is None else Ok(truth)
        if row is None:
            return Ok(truth)
        if row.client_account != client_account:
            return Error(NotFound("request", handle))
        return Ok(row.outcome)

    async def known_outcome(self, handle: str, client_account: str) -> Outcome | None:
        """Return what the process that made the handle knows, if it answers."""
        parsed = parse_handle(handle)
        if parsed is None:
            return None
        if parsed.belongs_to(self._identity):
            return await self._own_outcome(handle, client_account)
        if parsed.host == self._identity.host:
            return None
        return await self._forwarder.ask_status(parsed.host, handle, client_account)

    async def answer(self, sender: str, ask: RequestStatusAsk) -> Outcome | None:
        """Answer a peer: about a handle, a run here, or a grant for a run there."""
        handle, forward = split_run_id(ask.handle)
        if not forward:
            return await self._own_outcome(ask.handle, ask.client_account)
        parsed = parse_handle(handle)
        if parsed is None or not parsed.belongs_to(self._identity):
            return self._forwarded.status(ask.handle, forward, ask.client_account)
        record = self._outcomes.get(handle)
        if record is None or record.client_account != ask.client_account:
            return None
        return answer_grant(record, forward, ask.handle, sender)

    def _belongs_to_another(self, handle: str, client_account: str) -> bool:
        record = self._outcomes.get(handle)
        return record is not None and record.client_account != client_account

    async def _own_outcome(self, handle: str, client_account: str) -> Outcome | None:
        """Return the outcome of a request of this process, asking its owner."""
        record = self._outcomes.get(handle)
        if record is None or record.client_account != client_account:
            return None
        if not record.settled and record.lost_at is not None:
            host, run = record.lost_at
            found = await self._forwarder.ask_status(host, run, client_account)
            if found is not None and found.status in ("completed", "failed"):
                record.finish(found)
        return record.answer()
