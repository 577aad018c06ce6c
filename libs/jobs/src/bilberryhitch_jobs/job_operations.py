"""Accepts, cancels and reports jobs; the store holds all of their state.

A job is accepted once the row with its request is stored. If the response of the
store is lost, the same conditional transaction is repeated; whichever attempt takes
effect first, the row is written once.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum, auto

from bilberryhitch_model.errors import BadInput
from bilberryhitch_telemetry import events, log

from .errors import CommitConflict, RowUnreadable, StoreRefused, StoreUnknown
from .progress import (
    JobProgress,
    decode_progress,
    decode_request,
    encode_request,
)
from .records import FINISHED_STATES, JobRequest, JobState
from .row_values import decode_json_row
from .rows import ExpectedRevision, RowWrite, Store

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
SUMMARY_TABLE = "summary"
WAITING_KEY = "waiting"
DEFAULT_MAX_ROW_BYTES = 65_536
# A cancellation is a row of its own beside the request, under "JOB.c".
CANCEL_SUFFIX = ".c"
# "/" follows "." in the order of keys, so this bounds the range of "JOB" and "JOB.c".
PREFIX_END = "/"
# The store serialises the transactions of a partition. Jobs are partitioned by their
# last digit, so that a slow store still applies several transactions at a time.
JOB_PARTITIONS = tuple("0123456789abcdef")

# Allows a second attempt after a lost response within the caller's timeout of 3 s.
CALL_TIMEOUT_S = 0.9
READ_TIMEOUT_S = 0.6
CALL_RETRY_DELAY_S = 0.05
# With less time left the response would arrive after the caller's deadline.
MIN_CALL_TIMEOUT_S = 0.02


def job_partition(job: str) -> str:
    """Return the partition that holds a job's request and its cancellation."""
    return job[-1:].lower()


class OperationResult(Enum):
    """Result of an operation on a job.

    ``DONE``: the operation took effect, now or earlier.
    ``ABSENT``: there is no such job that the caller may read.
    ``REFUSED``: nothing was stored and nothing will be.
    ``UNKNOWN``: the store may have applied the operation.
    """

    DONE = auto()
    ABSENT = auto()
    REFUSED = auto()
    UNKNOWN = auto()


class JobOperations:
    """Operations on jobs on behalf of callers; any entry host may run them.

    Deadlines are times of the monotonic clock in seconds.

    :param now: monotonic clock in seconds
    :param max_row_bytes: largest value of a row that the store takes
    """

    def __init__(
        self,
        store: Store,
        now: Callable[[], float] = time.monotonic,
        max_row_bytes: int = DEFAULT_MAX_ROW_BYTES,
    ) -> None:
        self._store = store
        self._now = now
        self._max_row_bytes = max_row_bytes

    async def accept(self, request: JobRequest, deadline: float) -> OperationResult:
        """Store a job unless its identifier is taken.

        :param deadline: time at which the caller stops waiting
        :returns: ``DONE`` also if a job of that identifier is already stored
        :raises BadInput: if the job is larger than a row, so that no host can store it
        """
        job = request.job
        write = RowWrite(JOBS_TABLE, job, encode_request(request))
        if len(write.value) > self._max_row_bytes:
            rule = f"takes at most {self._max_row_bytes} bytes when stored"
            raise BadInput("steps", len(write.value), rule)

        async def attempt(timeout_s: float) -> OperationResult:
            # A conflict means that the job is already stored.
            with suppress(CommitConflict):
                await self._store.commit(
                    (ExpectedRevision(JOBS_TABLE, job, 0),),
                    (write,),
                    partition=job_partition(job),
                    timeout_s=timeout_s,
                )
            return OperationResult.DONE

        result = await self._retry(attempt, deadline, CALL_TIMEOUT_S, job)
        log(
            events.JOB_SUBMITTED,
            request_id=job,
            queue=request.queue.name,
            client_account=request.account,
            outcome=result.name.lower(),
        )
        return result

    async def cancel(self, job: str, account: str, deadline: float) -> OperationResult:
        """Record the cancellation of a job; the planner stops its tasks.

        :param account: account of the caller; empty for a public queue
        :returns: ``DONE`` also for a finished job, which is left unchanged
        """

        async def attempt(timeout_s: float) -> OperationResult:
            state = await self._read_state(job, account, timeout_s)
            if state is None:
                return OperationResult.ABSENT
            if state not in FINISHED_STATES:
                cancellation = RowWrite(JOBS_TABLE, job + CANCEL_SUFFIX, b"1")
                await self._store.commit(
                    (),
                    (cancellation,),
                    partition=job_partition(job),
                    timeout_s=timeout_s,
                )
            return OperationResult.DONE

        result = await self._retry(attempt, deadline, CALL_TIMEOUT_S, job)
        log(events.JOB_CANCEL_ASKED, request_id=job, outcome=result.name.lower())
        return result

    async def get_state(
        self, job: str, account: str, deadline: float
    ) -> tuple[OperationResult, JobState | None]:
        """Return a job's state, read from its rows.

        :returns: the result, which is never ``UNKNOWN``, and the state if it is
            ``DONE``
        """
        state: JobState | None = None

        async def attempt(timeout_s: float) -> OperationResult:
            nonlocal state
            state = await self._read_state(job, account, timeout_s)
            return OperationResult.ABSENT if state is None else OperationResult.DONE

        result = await self._retry(attempt, deadline, READ_TIMEOUT_S, job)
        return (
            OperationResult.REFUSED if result is OperationResult.UNKNOWN else result
        ), state

    async def count_waiting(self, queue: str, deadline: float) -> int | None:
        """Return the number of jobs of a queue that have not started.

        :returns: None if the number could not be read from the store
        """
        counts: dict[str, int] = {}

        async def attempt(timeout_s: float) -> OperationResult:
            nonlocal counts
            snapshot = await self._store.read(
                SUMMARY_TABLE,
                WAITING_KEY,
                WAITING_KEY + PREFIX_END,
                timeout_s=timeout_s,
            )
            for row in snapshot.rows:
                if row.key == WAITING_KEY:
                    counts = decode_json_row(row, dict[str, int])
            return OperationResult.DONE

        result = await self._retry(attempt, deadline, READ_TIMEOUT_S, queue)
        return counts.get(queue, 0) if result is OperationResult.DONE else None

    async def _read_state(
        self, job: str, account: str, timeout_s: float
    ) -> JobState | None:
        """Return the state, or None if the account may not read the job."""
        progress = await self._read_progress(job, timeout_s)
        if progress is not None and progress.state in FINISHED_STATES:
            readable = _may_read(account, progress.account)
            return progress.state if readable else None
        snapshot = await self._store.read(
            JOBS_TABLE,
            job,
            job + PREFIX_END,
            partition=job_partition(job),
            timeout_s=timeout_s,
        )
        rows = {row.key: row.value for row in snapshot.rows}
        if job not in rows:
            return None
        if not _may_read(account, decode_request(job, rows[job]).account):
            return None
        if job + CANCEL_SUFFIX in rows:
            return JobState.CANCELLED
        # The planner writes the progress row when the first task of a job is started.
        return progress.state if progress is not None else JobState.PENDING

    async def _read_progress(self, job: str, timeout_s: float) -> JobProgress | None:
        snapshot = await self._store.read(
            PROGRESS_TABLE, job, job + PREFIX_END, timeout_s=timeout_s
        )
        values = [row.value for row in snapshot.rows if row.key == job]
        return decode_progress(job, values[0]) if values else None

    async def _retry(
        self,
        attempt: Callable[[float], Awaitable[OperationResult]],
        deadline: float,
        timeout_s: float,
        request_id: str,
    ) -> OperationResult:
        """Repeat an idempotent attempt until its result is certain or the deadline.

        A refusal ends the retries unless an earlier attempt may have taken effect.

        :param timeout_s: limit of each attempt
        """
        result = OperationResult.REFUSED
        while (remaining_s := deadline - self._now()) > MIN_CALL_TIMEOUT_S:
            try:
                # A response that is still arriving is given up at the deadline.
                async with asyncio.timeout(remaining_s):
                    return await attempt(min(timeout_s, remaining_s))
            except TimeoutError:
                result = OperationResult.UNKNOWN
            except StoreRefused as error:
                _log_store_error(request_id, error)
                if result is OperationResult.REFUSED:
                    return OperationResult.REFUSED
            except StoreUnknown as error:
                _log_store_error(request_id, error)
                result = OperationResult.UNKNOWN
            except RowUnreadable as error:
                log(events.ROW_UNREADABLE, key=error.key, error=error)
                return OperationResult.REFUSED
            await asyncio.sleep(CALL_RETRY_DELAY_S)
        return result


def _may_read(account: str, owner: str) -> bool:
    """Return whether an account may read a job of ``owner``.

    An account is empty if the queue is public: such a caller may read any job, and
    such a job may be read by any caller.
    """
    return not account or owner in ("", account)


def _log_store_error(request_id: str, error: StoreRefused | StoreUnknown) -> None:
    log(
        events.STORE_CALL_FAILED,
        request_id=request_id,
        call=error.call,
        reason=error.reason,
        certain=isinstance(error, StoreRefused),
    )
