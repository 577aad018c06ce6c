"""The job service of an entry host: accept, get, wait, cancel and explain."""

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

from .commit_resolution import commit_and_resolve
from .gang_stop import CANCELLED_BETWEEN_ATTEMPTS, CANCELLED_QUEUED
from .job_acceptance import RESOLVE_TIMEOUT_S, AcceptError, JobAcceptance
from .job_rows import (
    JobRow,
    get_job,
    job_key,
    parse_job_id,
    put_job,
)
from .job_waiters import JobWaiters
from .planner_lease import PlannerRow, planner_key

# A task has certainly stopped one lease term (10 s) and one call timeout (1 s)
# after the last renewal.
CANCEL_TIMEOUT_S = 12.0
EXPLAIN_TIMEOUT_S = 1.0
WAIT_POLL_INTERVAL_S = 1.0


class LocalPlanners(Protocol):
    """The planners of this process."""

    def wake(self, job_id: str) -> None:
        """Make the job's planner read the job rows now."""

    def explain(self, job_id: str) -> Explanation | None:
        """Explain a job's state; ``None`` if this process does not plan the job."""


class PeerChannel(Protocol):
    """Peer link operations that the job service needs."""

    def send(self, host: str, message: Message) -> bool:
        """Queue a message; return whether it was queued."""

    async def call(self, host: str, message: Message, timeout_s: float) -> Message:
        """Send a message and return its reply."""


class JobService:
    """Serves callers' job operations; every answer comes from the job's row.

    :param tables_view: returns the configuration in force
    :param hosts: returns every known host, in any state
    :param entry_hosts: returns the names of the live entry hosts of a data centre
    :param now: returns wall-clock time in seconds
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
        link: PeerChannel,
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
        self._waiters = JobWaiters()
        self._closed = False

    async def start(self) -> None:
        """Begin to accept jobs."""
        self._closed = False

    async def close(self) -> None:
        """Refuse new jobs and make waiting calls return the current state."""
        self._closed = True
        self._waiters.wake_all()

    async def accept(self, call: JobCall) -> Result[JobRecord, AcceptError]:
        """Accept a job durably.

        A call whose idempotency key was used before returns the first call's job.

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
            self._notify_planners(record.job_id, notice)
        return accepted

    async def get(self, job_id: str) -> Result[JobRecord, NotFound | StoreError]:
        """Return the job as stored in its row."""
        found = await self._find(job_id)
        return Ok(found.ok.record) if found.is_ok() else Error(found.error)

    async def wait(
        self, job_id: str, timeout_s: float
    ) -> Result[JobRecord, NotFound | StoreError]:
        """Return the job once it is finished, or its state after ``timeout_s``."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            found = await self.get(job_id)
            left = deadline - loop.time()
            done = found.is_ok() and found.ok.state == "finished"
            missing = found.is_error() and isinstance(found.error, NotFound)
            if done or missing or left <= 0 or self._closed:
                return found
            await self._waiters.wait(job_id, min(left, WAIT_POLL_INTERVAL_S))

    async def cancel(
        self, job_id: str
    ) -> Result[JobRecord, NotFound | StoreError | OutcomeUnknown]:
        """Cancel a job that is not finished.

        :returns: the finished record; its status says whether it was cancelled
            or ended otherwise, and its detail whether it ever ran
        """
        while True:
            found = await self._find(job_id)
            if found.is_error():
                return Error(found.error)
            row = found.ok
            if row.record.state == "finished":
                return Ok(row.record)
            if not row.record.cancel:
                error = await self._request_cancel(row)
                if error is not None:
                    return Error(error)
            if row.record.state == "started":
                self._notify_planners(job_id, CancelJob(job_id))
                return await self._await_cancelled(job_id)

    async def explain(self, job_id: str) -> Result[Explanation, NotFound | StoreError]:
        """Explain the job's state."""
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
        """Handle a message of another entry host; return the reply, if any."""
        if isinstance(message, JobNotice):
            self._planners.wake(message.job_id)
            self._waiters.wake(message.job_id)
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

    def notify_changed(self, record: JobRecord) -> None:
        """Notify the entry hosts of the job's data centre of a changed job row."""
        self._waiters.wake(record.job_id)
        self._notify_planners(record.job_id, JobNotice(record.job_id, record.state))

    async def _find(self, job_id: str) -> Result[JobRow, NotFound | StoreError]:
        if parse_job_id(job_id) is None:
            return Error(NotFound("job", job_id))
        try:
            row = await get_job(self._tables, job_id)
        except StoreError as error:
            return Error(error)
        return Error(NotFound("job", job_id)) if row is None else Ok(row)

    async def _request_cancel(self, row: JobRow) -> StoreError | OutcomeUnknown | None:
        """Write the cancellation to the job row.

        On a conflict the caller reads the row again.
        """
        record = row.record._replace(cancel=True)
        if record.state == "queued":
            never_attempted = record.attempt == 0
            record = record._replace(
                state="finished",
                status="cancelled",
                detail=CANCELLED_QUEUED
                if never_attempted
                else CANCELLED_BETWEEN_ATTEMPTS,
                finished_at=self._now(),
            )
        expects = [Expect(job_key(record.job_id), row.revision)]
        writes = [put_job(record)]
        try:
            await commit_and_resolve(
                self._tables, expects, writes, self._new_id(), RESOLVE_TIMEOUT_S
            )
        except StoreUnavailable as error:
            return error
        except StoreAnswerLost:
            return OutcomeUnknown(record.job_id, "the store's answer was lost")
        return None

    async def _await_cancelled(
        self, job_id: str
    ) -> Result[JobRecord, NotFound | StoreError | OutcomeUnknown]:
        found = await self.wait(job_id, CANCEL_TIMEOUT_S)
        if found.is_ok() and found.ok.state == "finished":
            return Ok(found.ok)
        reason = "cancellation was asked for and is not confirmed"
        return Error(OutcomeUnknown(job_id, reason))

    async def _explain_remote(self, job_id: str) -> Explanation | None:
        parts = parse_job_id(job_id)
        if parts is None:
            return None
        try:
            row = await self._tables.get(planner_key(parts.data_centre, parts.pool))
            holder = "" if row is None else decode(PlannerRow, row.value).holder
            if holder in ("", self._identity.host):
                return None
            message = ExplainAsk(job_id)
            reply = await self._link.call(holder, message, EXPLAIN_TIMEOUT_S)
        except (StoreError, PeerUnsent, PeerTimeout):
            return None
        return reply.explanation if isinstance(reply, ExplainReply) else None

    def _notify_planners(self, job_id: str, message: Message) -> None:
        """Notify every entry host of the job's data centre, as any may be planner.

        The planner also polls the rows, so a lost message only causes a delay.
        """
        self._planners.wake(job_id)
        parts = parse_job_id(job_id)
        if parts is None:
            return
        for host in self._entry_hosts(parts.data_centre):
            if host != self._identity.host:
                self._link.send(host, message)
