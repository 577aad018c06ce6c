"""Accepts jobs: writes the job and its idempotency key in one transaction."""

from collections.abc import Callable, Sequence

from bilberryhitch_model import (
    Host,
    Identity,
    JobCall,
    JobRecord,
    Route,
    Tables,
    decode,
    encode,
)
from bilberryhitch_model.errors import (
    BadInput,
    NotRun,
    OutcomeUnknown,
    ShapeImpossible,
    StoreAnswerLost,
    StoreError,
    StoreUnavailable,
)
from bilberryhitch_platform import Expect, Put, TableService
from expression import Error, Ok, Result

from .commit_resolution import commit_and_resolve
from .job_rows import ClaimRow, claim_key, get_job, job_key, make_job_id, put_job
from .job_validation import call_digest, check_call, check_capacity

RESOLVE_TIMEOUT_S = 3.0

AcceptError = NotRun | BadInput | ShapeImpossible | OutcomeUnknown


class JobAcceptance:
    """Validates calls and writes job rows.

    :param tables_view: returns the configuration in force
    :param hosts: returns every known host, in any state
    :param now: returns wall-clock time in seconds
    """

    def __init__(
        self,
        identity: Identity,
        tables: TableService,
        *,
        tables_view: Callable[[], Tables],
        hosts: Callable[[], Sequence[Host]],
        now: Callable[[], float],
        new_id: Callable[[], str],
    ) -> None:
        self._identity = identity
        self._tables = tables
        self._tables_view = tables_view
        self._hosts = hosts
        self._now = now
        self._new_id = new_id

    async def accept(self, call: JobCall) -> Result[JobRecord, AcceptError]:
        """Write a job, or return the job already accepted under the call's key."""
        tables = self._tables_view()
        if tables.revision == 0:
            return Error(NotRun("no configuration is in force yet"))
        checked = check_call(call, tables)
        if checked.is_error():
            return Error(checked.error)
        route = checked.ok
        hosts = self._workers_of(tables, route.pool)
        if not hosts:
            return Error(NotRun("no worker of the pool is known"))
        fits = check_capacity(call.shape, hosts)
        if fits.is_error():
            return Error(fits.error)
        return await self._write(call, self._record(call, route, hosts))

    def _workers_of(self, tables: Tables, pool: str) -> list[Host]:
        """Return the pool's workers in the data centre that will run the job.

        This host's data centre is preferred if the pool has workers there.
        """
        row = tables.pools.get(pool)
        names = set(row.hosts if row is not None else ())
        workers = [host for host in self._hosts() if host.name in names]
        centres = sorted({host.data_centre for host in workers})
        own = self._identity.data_centre
        chosen = own if own in centres or not centres else centres[0]
        return [host for host in workers if host.data_centre == chosen]

    def _record(self, call: JobCall, route: Route, hosts: Sequence[Host]) -> JobRecord:
        data_centre = hosts[0].data_centre
        return JobRecord(
            job_id=make_job_id(data_centre, route.pool, self._new_id()),
            client_account=call.client_account,
            caller=call.caller,
            route=route.name,
            kind=route.kind,
            pool=route.pool,
            data_centre=data_centre,
            shape=call.shape,
            urgency=route.urgency,
            idempotent=route.idempotent,
            checkpoint=route.checkpoint,
            declared_s=route.estimate_s,
            accepted_at=self._now(),
            run=call.run,
            key=call.key,
        )

    async def _write(
        self, call: JobCall, record: JobRecord
    ) -> Result[JobRecord, AcceptError]:
        """Write the job and its idempotency key in one transaction."""
        expects = [Expect(job_key(record.job_id), 0)]
        writes = [put_job(record)]
        if call.key:
            claim = ClaimRow(record.job_id, call_digest(call))
            name = claim_key(call.client_account, call.key)
            expects.append(Expect(name, 0))
            writes.append(Put(name, encode(claim)))
        try:
            result = await commit_and_resolve(
                self._tables, expects, writes, self._new_id(), RESOLVE_TIMEOUT_S
            )
        except StoreUnavailable:
            return Error(NotRun("the table service is unavailable"))
        except StoreAnswerLost:
            return Error(OutcomeUnknown(record.job_id, "the store's answer was lost"))
        return Ok(record) if result.is_ok() else await self._claimed_job(call)

    async def _claimed_job(self, call: JobCall) -> Result[JobRecord, AcceptError]:
        """Return the job that was accepted earlier under the call's key."""
        name = claim_key(call.client_account, call.key)
        unknown = OutcomeUnknown(name, "the first call's job could not be read")
        try:
            row = await self._tables.get(name)
            if row is None:
                return Error(unknown)
            claim = decode(ClaimRow, row.value)
            if claim.digest != call_digest(call):
                return Error(_key_reused(call.key))
            found = await get_job(self._tables, claim.job_id)
        except BadInput:
            return Error(_key_reused(call.key))
        except StoreError:
            return Error(unknown)
        return Error(unknown) if found is None else Ok(found.record)


def _key_reused(key: str) -> BadInput:
    return BadInput("key", key, "was used for other work")
