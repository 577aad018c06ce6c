"""The job service of an entry host: accept, look up, wait, cancel, explain."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from bilberryhitch_model import (
    Explanation,
    Host,
    Identity,
    JobCall,
    JobRecord,
    Tables,
    decode,
    encode,
)
from bilberryhitch_model.errors import (
    NotFound,
    NotRun,
    OutcomeUnknown,
    PeerTimeout,
    PeerUnsent,
    StoreAnswerLost,
    StoreError,
    StoreUnavailable,
)
from bilberryhitch_peers import (
    CancelJob,
    CancelReply,
    ExplainAsk,
    ExplainReply,
    JobNotice,
    Message,
)
from bilberryhitch_platform import Expect, TableService
from bilberryhitch_telemetry import events, log, metrics
from expression import Error, Ok, Result

from .job_accept import SETTLE_S, AcceptError, JobAcceptance
from .job_rows import (
    JobRow,
    get_job,
    job_key,
    parse_job_id,
    put_job,
)
from .job_waits import JobWaits
from .planner_lease import PlannerRow, planner_key
from .reclaim import CANCELLED_BETWEEN, CANCELLED_QUEUED
from .settled_commit import commit_settled

# A stop is certain one lease term and one call time-out after the last renewal.
CANCEL_WAIT_S = 12.0
EXPLAIN_TIMEOUT_S = 1.0
WAIT_POLL_S = 1.0


class LocalPlanners(Protocol):
    """The planners of this process."""

    def wake(self, job_id: str) -> None:
        """Have the job's planner look at the job rows now."""

    def explain(self, job_id: str) -> Explanation | None:
        """Return the explanation when this process plans the job."""


class Link(Protocol):
    """What is used of the link between entry hosts."""

    def send(self, host: str, message: Message) -> bool:
        """Queue a message; false when it is not queued."""

    async def call(self, host: str, message: Message, timeout_s: float) -> Message:
        """Send a message and wait for its answer."""


class JobService:
    """Jobs for callers; every answer rests on the job's row in the store.

    :param hosts: returns every host known, in any state
    :param entry_hosts: returns the live entry hosts of a data centre
    """

    def __init__(
        self,
        identity: Identity,
        tables: TableService,
        *,
        tables_view: Callable[[], Tables],
        hosts: Callable[[], Sequence[Host]],
        entry_hosts: Callable[[str], Sequence[str]],
        planners: LocalPlanners,
        link: Link,
        now: Callable[[], float],
        new_id: Callable[[], str],
    ) -> None:
        self._identity = identity
        self._tables = tables
        self._acceptance = JobAcceptance(
            identity,
            tables,
            tables_view=tables_view,
            hosts=hosts,
            now=now,
            new_id=new_id,
        )
        self._entry_hosts = entry_hosts
        self._planners = planners
        self._link = link
        self._now = now
        self._new_id = new_id
        self._waits = JobWaits()
        self._closed = False

    async def start(self) -> None:
        """Take calls."""
        self._closed = False

    async def close(self) -> None:
        """Refuse new jobs and let waiting calls answer with what is known."""
        self._closed = True
        self._waits.wake_all()

    async def accept(self, call: JobCall) -> Result[JobRecord, AcceptError]:
        """Accept a job durably.

        A call with a key that was used before returns the first call's job.

        :returns: the job, or why there is none; ``OutcomeUnknown`` carries the
            id under which the job will be found if it was accepted
        """
        if self._closed:
            return Error(NotRun("this host is leaving"))
        accepted = await self._acceptance.accept(call)
        if accepted.is_ok():
            record = accepted.ok
            log(events.JOB_ACCEPTED, job_id=record.job_id, route=record.route)
            metrics.JOBS_ACCEPTED.add(1, {"pool": record.pool})
            notice = JobNotice(record.job_id, record.state)
            self._tell_planner(record.job_id, notice)
        return accepted

    async def get(self, job_id: str) -> Result[JobRecord, NotFound | StoreError]:
        """Return the job as its row has it."""
        found = await self._find(job_id)
        return Ok(found.ok.record) if found.is_ok() else Error(found.error)

    async def wait(
        self, job_id: str, timeout_s: float
    ) -> Result[JobRecord, NotFound | StoreError]:
        """Return the job once it is finished, or as it is after ``timeout_s``."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while True:
            found = await self.get(job_id)
            left = until - loop.time()
            done = found.is_ok() and found.ok.state == "finished"
            missing = found.is_error() and isinstance(found.error, NotFound)
            if done or missing or left <= 0 or self._closed:
                return found
            await self._waits.wait(job_id, min(left, WAIT_POLL_S))

    async def cancel(
        self, job_id: str
    ) -> Result[JobRecord, NotFound | StoreError | OutcomeUnknown]:
        """Cancel a job that is not finished.

        :returns: the finished record; its status tells whether it was cancelled
            or had come to another end, and its detail whether it ever ran
        """
        while True:
            found = await self._find(job_id)
            if found.is_error():
                return Error(found.error)
            row = found.ok
            if row.record.state == "finished":
                return Ok(row.record)
            if not row.record.cancel:
                asked = await self._ask_cancel(row)
                if asked is not None:
                    return Error(asked)
            if row.record.state == "started":
                self._tell_planner(job_id, CancelJob(job_id))
                return await self._await_cancelled(job_id)

    async def explain(self, job_id: str) -> Result[Explanation, NotFound | StoreError]:
        """Tell why the job is where it is."""
        found = await self._find(job_id)
        if found.is_error():
            return Error(found.error)
        record = found.ok.record
        if record.state == "finished":
            detail = record.detail or str(record.status)
            return Ok(Explanation(job_id, record.state, "finished", detail))
        local = self._planners.explain(job_id)
        if local is not None:
            return Ok(local)
        remote = await self._explain_remote(job_id)
        if remote is not None:
            return Ok(remote)
        detail = "no planner has taken the job up yet"
        return Ok(Explanation(job_id, record.state, "no-planner", detail))

    async def handle(self, sender: str, message: Message) -> Message | None:
        """Answer a message of another entry host."""
        if isinstance(message, JobNotice):
            self._planners.wake(message.job_id)
            self._waits.wake(message.job_id)
            return None
        if isinstance(message, CancelJob):
            self._planners.wake(message.job_id)
            found = await self.get(message.job_id)
            record = encode(found.ok) if found.is_ok() else b""
            return CancelReply(message.job_id, record)
        if isinstance(message, ExplainAsk):
            explanation = self._planners.explain(message.job_id)
            return ExplainReply(message.job_id, explanation)
        return None

    def changed(self, record: JobRecord) -> None:
        """Tell every entry host of the data centre that a planner wrote the row."""
        self._waits.wake(record.job_id)
        self._tell_planner(record.job_id, JobNotice(record.job_id, record.state))

    async def _find(self, job_id: str) -> Result[JobRow, NotFound | StoreError]:
        if parse_job_id(job_id) is None:
            return Error(NotFound("job", job_id))
        try:
            row = await get_job(self._tables, job_id)
        except StoreError as error:
            return Error(error)
        return Error(NotFound("job", job_id)) if row is None else Ok(row)

    async def _ask_cancel(self, row: JobRow) -> StoreError | OutcomeUnknown | None:
        """Write the cancellation; a conflict shows when the row is read again."""
        record = row.record._replace(cancel=True)
        if record.state == "queued":
            never = record.attempt == 0
            record = record._replace(
                state="finished",
                status="cancelled",
                detail=CANCELLED_QUEUED if never else CANCELLED_BETWEEN,
                finished_at=self._now(),
            )
        expects = [Expect(job_key(record.job_id), row.revision)]
        writes = [put_job(record)]
        try:
            await commit_settled(
                self._tables, expects, writes, self._new_id(), SETTLE_S
            )
        except StoreUnavailable as error:
            return error
        except StoreAnswerLost:
            return OutcomeUnknown(record.job_id, "the store's answer was lost")
        return None

    async def _await_cancelled(
        self, job_id: str
    ) -> Result[JobRecord, NotFound | StoreError | OutcomeUnknown]:
        found = await self.wait(job_id, CANCEL_WAIT_S)
        if found.is_ok() and found.ok.state == "finished":
            return Ok(found.ok)
        reason = "cancellation was asked for and is not confirmed"
        return Error(OutcomeUnknown(job_id, reason))

    async def _explain_remote(self, job_id: str) -> Explanation | None:
        place = parse_job_id(job_id)
        if place is None:
            return None
        try:
            row = await self._tables.get(planner_key(place.data_centre, place.pool))
            holder = "" if row is None else decode(PlannerRow, row.value).holder
            if holder in ("", self._identity.host):
                return None
            ask = ExplainAsk(job_id)
            reply = await self._link.call(holder, ask, EXPLAIN_TIMEOUT_S)
        except (StoreError, PeerUnsent, PeerTimeout):
            return None
        return reply.explanation if isinstance(reply, ExplainReply) else None

    def _tell_planner(self, job_id: str, message: Message) -> None:
        """Have the planner look at the row; it polls as well, so loss is harmless.

        Every entry host of the data centre is told, because any may plan.
        """
        self._planners.wake(job_id)
        place = parse_job_id(job_id)
        if place is None:
            return
        for host in self._entry_hosts(place.data_centre):
            if host != self._identity.host:
                self._link.send(host, message)
