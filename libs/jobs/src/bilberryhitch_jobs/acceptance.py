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
    encode_progress,
    encode_request,
)
from .records import FINISHED, JobRequest, JobState
from .rows import Expected, Store, Write

JOBS = "jobs"
SUMMARY = "summary"
WAITING_KEY = "waiting"
# A cancelled job keeps its request; the mark and the progress lie beside it.
CANCEL_SUFFIX = ".c"
PROGRESS_SUFFIX = ".s"
# First key after every key that begins with "JOB.".
RANGE_END = "/"

# One lost answer must leave time for a second try within a caller's 3 s.
CALL_TIMEOUT_S = 0.9
READ_TIMEOUT_S = 0.6
RETRY_PAUSE_S = 0.05
# Below this the store's answer would come after the caller has left.
MIN_CALL_S = 0.02


class Verdict(Enum):
    """How an attempt to change a job ended.

    ``REFUSED``: nothing was stored and nothing will be.
    ``UNKNOWN``: the store may have taken it.
    """

    DONE = auto()
    ABSENT = auto()
    REFUSED = auto()
    UNKNOWN = auto()


class Acceptance:
    """Callers' operations on jobs, on any entry host.

    :param now: steady clock in seconds
    """

    def __init__(self, store: Store, now: Callable[[], float] = time.monotonic) -> None:
        self._store = store
        self._now = now

    async def accept(self, request: JobRequest, deadline: float) -> Verdict:
        """Store a job unless its identifier is taken.

        :param deadline: steady time at which the caller gives up
        :returns: ``DONE`` also for a job that is already there
        """
        job = request.job
        fresh = encode_progress(JobProgress(JobState.PENDING, request.account, {}))
        writes = (
            Write(JOBS, job, encode_request(request)),
            Write(JOBS, job + PROGRESS_SUFFIX, fresh),
        )

        async def attempt(timeout_s: float) -> Verdict:
            # A conflict means that the job is there already.
            with suppress(CommitConflict):
                await self._store.commit(
                    (Expected(JOBS, job, 0),), writes, timeout_s=timeout_s
                )
            return Verdict.DONE

        verdict = await self._retry(attempt, deadline, CALL_TIMEOUT_S, job)
        log(
            events.JOB_SUBMITTED,
            request_id=job,
            queue=request.queue.name,
            client_account=request.account,
            outcome=verdict.name.lower(),
        )
        return verdict

    async def cancel(self, job: str, account: str, deadline: float) -> Verdict:
        """Mark a job as cancelled; the planner stops its tasks.

        :param account: the caller's account; empty for a public queue
        """

        async def attempt(timeout_s: float) -> Verdict:
            state = await self._view(job, account, timeout_s)
            if state is None:
                return Verdict.ABSENT
            if state not in FINISHED:
                mark = Write(JOBS, job + CANCEL_SUFFIX, b"1")
                await self._store.commit((), (mark,), timeout_s=timeout_s)
            return Verdict.DONE

        verdict = await self._retry(attempt, deadline, CALL_TIMEOUT_S, job)
        log(events.JOB_CANCEL_ASKED, request_id=job, outcome=verdict.name.lower())
        return verdict

    async def state(
        self, job: str, account: str, deadline: float
    ) -> tuple[Verdict, JobState | None]:
        """Read a job's state from its rows."""
        state: JobState | None = None

        async def attempt(timeout_s: float) -> Verdict:
            nonlocal state
            state = await self._view(job, account, timeout_s)
            return Verdict.ABSENT if state is None else Verdict.DONE

        verdict = await self._retry(attempt, deadline, READ_TIMEOUT_S, job)
        return (Verdict.REFUSED if verdict is Verdict.UNKNOWN else verdict), state

    async def waiting(self, queue: str, deadline: float) -> int | None:
        """Return how many jobs of a queue have not begun, or None if unknown."""
        found: dict[str, int] = {}

        async def attempt(timeout_s: float) -> Verdict:
            nonlocal found
            snapshot = await self._store.read(
                SUMMARY, WAITING_KEY, WAITING_KEY + RANGE_END, timeout_s=timeout_s
            )
            if snapshot.rows:
                found = msgspec.json.decode(snapshot.rows[0].value, type=dict[str, int])
            return Verdict.DONE

        verdict = await self._retry(attempt, deadline, READ_TIMEOUT_S, queue)
        return found.get(queue, 0) if verdict is Verdict.DONE else None

    async def _view(self, job: str, account: str, timeout_s: float) -> JobState | None:
        """Return the state, or None for a job that the account may not see."""
        snapshot = await self._store.read(
            JOBS, job + ".", job + RANGE_END, timeout_s=timeout_s
        )
        rows = {row.key: row.value for row in snapshot.rows}
        value = rows.get(job + PROGRESS_SUFFIX)
        if value is None:
            return None
        progress = decode_progress(job, value)
        if account and progress.account not in ("", account):
            return None
        if progress.state not in FINISHED and job + CANCEL_SUFFIX in rows:
            return JobState.CANCELLED
        return progress.state

    async def _retry(
        self,
        attempt: Callable[[float], Awaitable[Verdict]],
        deadline: float,
        timeout_s: float,
        request_id: str,
    ) -> Verdict:
        """Repeat an idempotent attempt until it is certain or time is up.

        A refusal ends the attempts unless an earlier one may have taken effect.
        """
        worst = Verdict.REFUSED
        while (left := deadline - self._now()) > MIN_CALL_S:
            try:
                return await attempt(min(timeout_s, left))
            except StoreRefused as error:
                _log_store_error(request_id, error)
                if worst is Verdict.REFUSED:
                    return Verdict.REFUSED
            except StoreUnknown as error:
                _log_store_error(request_id, error)
                worst = Verdict.UNKNOWN
            await asyncio.sleep(RETRY_PAUSE_S)
        return worst


def _log_store_error(request_id: str, error: StoreRefused | StoreUnknown) -> None:
    log(
        events.STORE_CALL_FAILED,
        request_id=request_id,
        call=error.call,
        reason=error.reason,
        certain=isinstance(error, StoreRefused),
    )
