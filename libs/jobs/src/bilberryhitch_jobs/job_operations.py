"""Accepts, cancels and reports jobs through the store alone.

A job is accepted by the row that holds its request. An answer that the store
loses is resolved by repeating the same conditional transaction: whichever copy
takes effect first, the row is there once.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum, auto

import msgspec
from bilberryhitch_telemetry import events, log

from .errors import CommitConflict, StoreRefused, StoreUnknown
from .progress import (
    JobProgress,
    decode_progress,
    decode_request,
    encode_request,
)
from .records import FINISHED_STATES, JobRequest, JobState
from .rows import ExpectedRevision, RowWrite, Store

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
SUMMARY_TABLE = "summary"
WAITING_KEY = "waiting"
# A cancelled job keeps its request; the mark lies beside it.
CANCEL_SUFFIX = ".c"
# First key after every key that begins with "JOB.".
RANGE_END = "/"
# The store applies the changes of a part one after another. Jobs are spread over these
# parts by their last digit, so that a slow store takes many at a time.
JOB_PARTITIONS = tuple("0123456789abcdef")

# One lost answer must leave time for a second try within a caller's 3 s.
CALL_TIMEOUT_S = 0.9
READ_TIMEOUT_S = 0.6
RETRY_PAUSE_S = 0.05
# Below this the store's answer would come after the caller has left.
MIN_CALL_S = 0.02


def job_partition(job: str) -> str:
    """Return the part that holds a job's request and its cancellation."""
    return job[-1:].lower()


class OperationResult(Enum):
    """How an attempt to change a job ended.

    ``REFUSED``: nothing was stored and nothing will be.
    ``UNKNOWN``: the store may have taken it.
    """

    DONE = auto()
    ABSENT = auto()
    REFUSED = auto()
    UNKNOWN = auto()


class JobOperations:
    """Callers' operations on jobs, on any entry host.

    :param now: steady clock in seconds
    """

    def __init__(self, store: Store, now: Callable[[], float] = time.monotonic) -> None:
        self._store = store
        self._now = now

    async def accept(self, request: JobRequest, deadline: float) -> OperationResult:
        """Store a job unless its identifier is taken.

        :param deadline: steady time at which the caller gives up
        :returns: ``DONE`` also for a job that is already there
        """
        job = request.job
        write = RowWrite(JOBS_TABLE, job, encode_request(request))

        async def attempt(timeout_s: float) -> OperationResult:
            # A conflict means that the job is there already.
            with suppress(CommitConflict):
                await self._store.commit(
                    (ExpectedRevision(JOBS_TABLE, job, 0),),
                    (write,),
                    partition=job_partition(job),
                    timeout_s=timeout_s,
                )
            return OperationResult.DONE

        verdict = await self._retry(attempt, deadline, CALL_TIMEOUT_S, job)
        log(
            events.JOB_SUBMITTED,
            request_id=job,
            queue=request.queue.name,
            client_account=request.account,
            outcome=verdict.name.lower(),
        )
        return verdict

    async def cancel(self, job: str, account: str, deadline: float) -> OperationResult:
        """Mark a job as cancelled; the planner stops its tasks.

        :param account: the caller's account; empty for a public queue
        """

        async def attempt(timeout_s: float) -> OperationResult:
            state = await self._view(job, account, timeout_s)
            if state is None:
                return OperationResult.ABSENT
            if state not in FINISHED_STATES:
                mark = RowWrite(JOBS_TABLE, job + CANCEL_SUFFIX, b"1")
                await self._store.commit(
                    (), (mark,), partition=job_partition(job), timeout_s=timeout_s
                )
            return OperationResult.DONE

        verdict = await self._retry(attempt, deadline, CALL_TIMEOUT_S, job)
        log(events.JOB_CANCEL_ASKED, request_id=job, outcome=verdict.name.lower())
        return verdict

    async def state(
        self, job: str, account: str, deadline: float
    ) -> tuple[OperationResult, JobState | None]:
        """Read a job's state from its rows."""
        state: JobState | None = None

        async def attempt(timeout_s: float) -> OperationResult:
            nonlocal state
            state = await self._view(job, account, timeout_s)
            return OperationResult.ABSENT if state is None else OperationResult.DONE

        verdict = await self._retry(attempt, deadline, READ_TIMEOUT_S, job)
        return (
            OperationResult.REFUSED if verdict is OperationResult.UNKNOWN else verdict
        ), state

    async def waiting(self, queue: str, deadline: float) -> int | None:
        """Return how many jobs of a queue have not begun, or None if unknown."""
        found: dict[str, int] = {}

        async def attempt(timeout_s: float) -> OperationResult:
            nonlocal found
            snapshot = await self._store.read(
                SUMMARY_TABLE, WAITING_KEY, WAITING_KEY + RANGE_END, timeout_s=timeout_s
            )
            if snapshot.rows:
                found = msgspec.json.decode(snapshot.rows[0].value, type=dict[str, int])
            return OperationResult.DONE

        verdict = await self._retry(attempt, deadline, READ_TIMEOUT_S, queue)
        return found.get(queue, 0) if verdict is OperationResult.DONE else None

    async def _view(self, job: str, account: str, timeout_s: float) -> JobState | None:
        """Return the state, or None for a job that the account may not see."""
        progress = await self._progress(job, timeout_s)
        if progress is not None and progress.state in FINISHED_STATES:
            visible = _may_see(account, progress.account)
            return progress.state if visible else None
        snapshot = await self._store.read(
            JOBS_TABLE,
            job,
            job + RANGE_END,
            partition=job_partition(job),
            timeout_s=timeout_s,
        )
        rows = {row.key: row.value for row in snapshot.rows}
        if job not in rows:
            return None
        if not _may_see(account, decode_request(job, rows[job]).account):
            return None
        if job + CANCEL_SUFFIX in rows:
            return JobState.CANCELLED
        # The planner writes a job's progress when its first task is started.
        return progress.state if progress is not None else JobState.PENDING

    async def _progress(self, job: str, timeout_s: float) -> JobProgress | None:
        snapshot = await self._store.read(
            PROGRESS_TABLE, job, job + RANGE_END, timeout_s=timeout_s
        )
        if not snapshot.rows:
            return None
        return decode_progress(job, snapshot.rows[0].value)

    async def _retry(
        self,
        attempt: Callable[[float], Awaitable[OperationResult]],
        deadline: float,
        timeout_s: float,
        request_id: str,
    ) -> OperationResult:
        """Repeat an idempotent attempt until it is certain or time is up.

        A refusal ends the attempts unless an earlier one may have taken effect.
        """
        worst = OperationResult.REFUSED
        while (left := deadline - self._now()) > MIN_CALL_S:
            try:
                return await attempt(min(timeout_s, left))
            except StoreRefused as error:
                _log_store_error(request_id, error)
                if worst is OperationResult.REFUSED:
                    return OperationResult.REFUSED
            except StoreUnknown as error:
                _log_store_error(request_id, error)
                worst = OperationResult.UNKNOWN
            await asyncio.sleep(RETRY_PAUSE_S)
        return worst


def _may_see(asking: str, owner: str) -> bool:
    """Return whether an account may see a job; public routes have none."""
    return not asking or owner in ("", asking)


def _log_store_error(request_id: str, error: StoreRefused | StoreUnknown) -> None:
    log(
        events.STORE_CALL_FAILED,
        request_id=request_id,
        call=error.call,
        reason=error.reason,
        certain=isinstance(error, StoreRefused),
    )
