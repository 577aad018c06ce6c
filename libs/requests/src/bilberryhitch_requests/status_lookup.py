"""Status queries for handles and runs, from callers and other entry hosts."""

from bilberryhitch_model import Identity, Outcome
from bilberryhitch_model.errors import NotFound, StoreError
from bilberryhitch_peers import RequestStatusAsk
from expression import Error, Ok, Result

from .claims import Claims
from .forwarded import ForwardedRequests
from .forwarding import Forwarder, answer_grant_request
from .handles import parse_handle, split_run_id
from .request_records import RequestRecords


class StatusLookup:
    """Looks up outcomes; a client account sees only its own requests."""

    def __init__(
        self,
        identity: Identity,
        records: RequestRecords,
        forwarded: ForwardedRequests,
        forwarder: Forwarder,
        claims: Claims,
    ) -> None:
        self._identity = identity
        self._records = records
        self._forwarded = forwarded
        self._forwarder = forwarder
        self._claims = claims

    async def status(
        self, handle: str, client_account: str
    ) -> Result[Outcome, NotFound | StoreError]:
        """Return the current outcome for a handle.

        A handle without a record or outcome row is ``unknown``, because the process
        that made it may have been replaced.
        """
        parsed = parse_handle(handle)
        if parsed is None or self._belongs_to_another(handle, client_account):
            return Error(NotFound("request", handle))
        found = await self.known_outcome(handle, client_account)
        if found is not None and found.status != "unknown":
            return Ok(found)
        current = found or Outcome("unknown", detail="no longer known", handle=handle)
        if not parsed.keyed:
            return Ok(current)
        try:
            row = await self._claims.read_outcome(handle)
        except StoreError as error:
            return Error(error) if found is None else Ok(current)
        if row is None:
            return Ok(current)
        if row.client_account != client_account:
            return Error(NotFound("request", handle))
        return Ok(row.outcome)

    async def known_outcome(self, handle: str, client_account: str) -> Outcome | None:
        """Return the outcome known to the process that made the handle.

        :returns: the outcome, or ``None`` if the process does not answer or know it
        """
        parsed = parse_handle(handle)
        if parsed is None:
            return None
        if parsed.belongs_to(self._identity):
            return await self._own_outcome(handle, client_account)
        if parsed.host == self._identity.host:
            return None
        return await self._forwarder.query_status(parsed.host, handle, client_account)

    async def answer(self, sender: str, ask: RequestStatusAsk) -> Outcome | None:
        """Answer a peer's query for a handle, a run at this host or a grant."""
        handle, forward_id = split_run_id(ask.handle)
        if not forward_id:
            return await self._own_outcome(ask.handle, ask.client_account)
        parsed = parse_handle(handle)
        if parsed is None or not parsed.belongs_to(self._identity):
            return self._forwarded.status(ask.handle, forward_id, ask.client_account)
        record = self._records.get(handle)
        if record is None or record.client_account != ask.client_account:
            return None
        return answer_grant_request(record, forward_id, ask.handle, sender)

    def _belongs_to_another(self, handle: str, client_account: str) -> bool:
        record = self._records.get(handle)
        return record is not None and record.client_account != client_account

    async def _own_outcome(self, handle: str, client_account: str) -> Outcome | None:
        """Return the outcome of a request of this process.

        If the result of a forwarded run was lost, its owner is asked.
        """
        record = self._records.get(handle)
        if record is None or record.client_account != client_account:
            return None
        if not record.is_final and record.lost_run is not None:
            host, run_id = record.lost_run
            found = await self._forwarder.query_status(host, run_id, client_account)
            if found is not None and found.status in ("completed", "failed"):
                record.finish(found)
        return record.current_outcome()
