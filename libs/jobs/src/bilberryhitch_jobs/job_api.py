"""Job API of an entry host: authenticates calls and runs operations on jobs."""

import asyncio
import time
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from bilberryhitch_model import clock
from bilberryhitch_telemetry import events, log

from .configuration import Configuration, Queue
from .job_operations import JobOperations, OperationResult
from .records import JobRequest, JobState, Schedule, Step
from .retry_delay import ATTEMPT_S, retry_delay_s

# The store counts as unreachable after this time without a response: the watch of the
# configuration gets one at least once a second.
STORE_UNREACHABLE_AFTER_S = 2.0
# Readiness ends earlier, as sending new callers to another host costs nothing.
UNREADY_AFTER_S = 1.3
# How often a caller's last attempt is repeated while the store is away.
LAST_ATTEMPT_PERIOD_S = 0.15
# A host without a configuration has just started and will have one soon.
NO_CONFIGURATION_DELAY_S = 1


class ReplyKind(Enum):
    """Kinds of answers to callers."""

    ACCEPTED = auto()
    STATE = auto()
    WAITING = auto()
    CANCELLED = auto()
    NO_JOB = auto()
    NO_QUEUE = auto()
    UNAUTHENTICATED = auto()
    NOT_RUN = auto()
    UNKNOWN = auto()


class JobReply(NamedTuple):
    """A reply to a caller.

    :param state: for ``STATE``
    :param waiting: for ``WAITING``: number of jobs that have not started
    :param retry_after_s: for ``NOT_RUN``: delay before the caller's next attempt; 0 to
        leave it to the caller
    """

    kind: ReplyKind
    state: JobState | None = None
    waiting: int = 0
    retry_after_s: int = 0


class AdmittedCall(NamedTuple):
    """An authenticated call to a queue.

    :param account: empty for a public queue
    :param subpath: path after the queue's prefix: a job's identifier or empty
    """

    queue: Queue
    account: str
    subpath: str


class JobSubmission(NamedTuple):
    """Decoded body of a submission."""

    spec: str
    steps: tuple[Step, ...]
    schedule: Schedule | None


class JobApi:
    """Job API of one entry host.

    Deadlines are times of the monotonic clock in seconds.

    :param configuration: returns the current configuration, or None before the first
    :param store_last_response_at: returns the time of the store's last response on
        the monotonic clock
    """

    def __init__(
        self,
        operations: JobOperations,
        configuration: Callable[[], Configuration | None],
        store_last_response_at: Callable[[], float],
    ) -> None:
        self._operations = operations
        self._configuration = configuration
        self._store_last_response_at = store_last_response_at

    @property
    def store_reachable(self) -> bool:
        """Whether the store has responded recently."""
        return self._store_silence_s < STORE_UNREACHABLE_AFTER_S

    @property
    def ready(self) -> bool:
        """Whether the load balancer should route callers to this host."""
        configured = self._configuration() is not None
        return configured and self._store_silence_s < UNREADY_AFTER_S

    @property
    def _store_silence_s(self) -> float:
        return time.monotonic() - self._store_last_response_at()

    def admit(self, host: str, path: str, key: str | None) -> AdmittedCall | JobReply:
        """Find the queue of a call and authenticate the caller.

        :param host: host name of the request
        :param key: API key, or None
        :returns: the call, or the reply that refuses it
        """
        configuration = self._configuration()
        if configuration is None:
            return _not_run("no_configuration", path, NO_CONFIGURATION_DELAY_S)
        queue = configuration.find_queue(host, path)
        if queue is None:
            return JobReply(ReplyKind.NO_QUEUE)
        subpath = path[len(queue.path_prefix) :]
        if queue.public:
            return AdmittedCall(queue, "", subpath)
        account = configuration.accounts_by_key.get(key or "")
        if account is None:
            log(
                events.UNAUTHENTICATED_CALL,
                request_id=subpath,
                queue=queue.name,
                revision=configuration.version,
            )
            return JobReply(ReplyKind.UNAUTHENTICATED)
        return AdmittedCall(queue, account, subpath)

    async def submit(
        self, call: AdmittedCall, content: JobSubmission, deadline: float
    ) -> JobReply:
        """Accept a job.

        A caller that has no time left to come back is not refused before its time is
        over: the store may be back sooner.
        """
        request = JobRequest(
            call.subpath,
            call.queue,
            call.account,
            content.spec,
            content.steps,
            clock.unix.now_s(),
            content.schedule,
        )
        while True:
            result = OperationResult.REFUSED
            if self.store_reachable:
                result = await self._operations.accept(request, deadline)
            pause_s = self._last_attempt_pause_s(deadline)
            if result is not OperationResult.REFUSED or pause_s <= 0:
                break
            await asyncio.sleep(pause_s)
        return self._to_reply(result, ReplyKind.ACCEPTED, call.subpath, deadline)

    async def cancel(self, call: AdmittedCall, deadline: float) -> JobReply:
        """Cancel a job."""
        if not self.store_reachable:
            return self._refuse("store_unreachable", call.subpath, deadline)
        result = await self._operations.cancel(call.subpath, call.account, deadline)
        return self._to_reply(result, ReplyKind.CANCELLED, call.subpath, deadline)

    async def get_state(self, call: AdmittedCall, deadline: float) -> JobReply:
        """Return a job's state."""
        result, state = await self._operations.get_state(
            call.subpath, call.account, deadline
        )
        reply = self._to_reply(result, ReplyKind.STATE, call.subpath, deadline)
        return reply._replace(state=state)

    async def count_waiting(self, call: AdmittedCall, deadline: float) -> JobReply:
        """Return the number of jobs of a queue that have not started."""
        count = await self._operations.count_waiting(call.queue.name, deadline)
        if count is None:
            return self._refuse("store_unreachable", call.queue.name, deadline)
        return JobReply(ReplyKind.WAITING, waiting=count)

    def _to_reply(
        self,
        result: OperationResult,
        success: ReplyKind,
        request_id: str,
        deadline: float,
    ) -> JobReply:
        if result is OperationResult.REFUSED:
            reason = "store_refused" if self.store_reachable else "store_unreachable"
            return self._refuse(reason, request_id, deadline)
        kinds = {
            OperationResult.DONE: success,
            OperationResult.ABSENT: ReplyKind.NO_JOB,
            OperationResult.UNKNOWN: ReplyKind.UNKNOWN,
        }
        return JobReply(kinds[result])

    def _last_attempt_pause_s(self, deadline: float) -> float:
        """Return the pause before a call on a caller's behalf is repeated.

        :returns: 0 if the caller can come back itself or its time is nearly over
        """
        remaining_s = deadline - time.monotonic()
        if retry_delay_s(remaining_s, self._store_silence_s) > 0:
            return 0.0
        return min(LAST_ATTEMPT_PERIOD_S, max(0.0, remaining_s - ATTEMPT_S))

    def _refuse(self, reason: str, request_id: str, deadline: float) -> JobReply:
        delay_s = retry_delay_s(deadline - time.monotonic(), self._store_silence_s)
        return _not_run(
            reason, request_id, delay_s, round(min(self._store_silence_s, 1e6), 3)
        )


def _not_run(
    reason: str, request_id: str, retry_after_s: int, store_silent_s: float = 0.0
) -> JobReply:
    log(
        events.CALL_REFUSED,
        request_id=request_id,
        reason=reason,
        store_silent_s=store_silent_s,
        retry_after_s=retry_after_s,
    )
    return JobReply(ReplyKind.NOT_RUN, retry_after_s=retry_after_s)
