"""Answers callers' requests about jobs: who may ask, what is asked, what is so."""

import time
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from bilberryhitch_telemetry import events, log

from .configuration import Configuration, Queue
from .job_operations import JobOperations, OperationResult
from .records import JobRequest, JobState, Schedule, Step

# Without contact for this long the store is taken to be out of reach: the
# configuration's feed answers at least once a second.
STORE_SILENCE_S = 2.0
# Sooner than that, new callers are sent elsewhere: it costs nobody anything.
READY_SILENCE_S = 1.3
# A short disturbance is over within a second, and another host may answer then.
RETRY_AFTER_S = 1
# An outage that has lasted this long goes on for seconds: callers that give up after
# a few attempts must not spend them all within it.
LONG_SILENCE_S = 1.2
LONG_RETRY_AFTER_S = 2


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
    """An answer to a caller.

    :param state: for ``STATE``
    :param waiting: for ``WAITING``: jobs that have not begun
    :param retry_after_s: for ``NOT_RUN``: when another attempt may succeed
    """

    kind: ReplyKind
    state: JobState | None = None
    waiting: int = 0
    retry_after_s: int = 0


class AdmittedCall(NamedTuple):
    """A call that may be made.

    :param account: empty for a public queue
    :param rest: what follows the queue's prefix
    """

    queue: Queue
    account: str
    rest: str


class JobSubmission(NamedTuple):
    """What a caller submits."""

    spec: str
    steps: tuple[Step, ...]
    schedule: Schedule | None


class JobApi:
    """One entry host's answers.

    :param configuration: the configuration in force, or None before the first
    :param store_heard_at: steady time of the store's last answer
    """

    def __init__(
        self,
        acceptance: JobOperations,
        configuration: Callable[[], Configuration | None],
        store_heard_at: Callable[[], float],
    ) -> None:
        self._acceptance = acceptance
        self._configuration = configuration
        self._store_heard_at = store_heard_at

    @property
    def store_reachable(self) -> bool:
        """Whether the store has answered lately."""
        return self._store_silence_s < STORE_SILENCE_S

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        known = self._configuration() is not None
        return known and self._store_silence_s < READY_SILENCE_S

    @property
    def _store_silence_s(self) -> float:
        return time.monotonic() - self._store_heard_at()

    def admit(self, host: str, path: str, key: str | None) -> AdmittedCall | JobReply:
        """Find the queue of a call and the account of its caller."""
        configuration = self._configuration()
        if configuration is None:
            return self._not_run("no_configuration", path)
        queue = configuration.find_queue(host, path)
        if queue is None:
            return JobReply(ReplyKind.NO_QUEUE)
        rest = path[len(queue.path_prefix) :]
        if queue.public:
            return AdmittedCall(queue, "", rest)
        account = configuration.accounts_by_key.get(key or "")
        if account is None:
            log(
                events.UNAUTHENTICATED_CALL,
                request_id=rest,
                queue=queue.name,
                revision=configuration.version,
            )
            return JobReply(ReplyKind.UNAUTHENTICATED)
        return AdmittedCall(queue, account, rest)

    async def submit(
        self, call: AdmittedCall, content: JobSubmission, deadline: float
    ) -> JobReply:
        """Accept a job."""
        if not self.store_reachable:
            return self._not_run("store_unreachable", call.rest)
        request = JobRequest(
            call.rest,
            call.queue,
            call.account,
            content.spec,
            content.steps,
            time.time(),
            content.schedule,
        )
        verdict = await self._acceptance.accept(request, deadline)
        return self._reply(verdict, ReplyKind.ACCEPTED, call.rest)

    async def cancel(self, call: AdmittedCall, deadline: float) -> JobReply:
        """Cancel a job."""
        if not self.store_reachable:
            return self._not_run("store_unreachable", call.rest)
        verdict = await self._acceptance.cancel(call.rest, call.account, deadline)
        return self._reply(verdict, ReplyKind.CANCELLED, call.rest)

    async def state(self, call: AdmittedCall, deadline: float) -> JobReply:
        """Tell a job's state."""
        verdict, state = await self._acceptance.state(call.rest, call.account, deadline)
        return self._reply(verdict, ReplyKind.STATE, call.rest)._replace(state=state)

    async def waiting(self, call: AdmittedCall, deadline: float) -> JobReply:
        """Tell how many jobs of a queue have not begun."""
        count = await self._acceptance.waiting(call.queue.name, deadline)
        if count is None:
            return self._not_run("store_unreachable", call.queue.name)
        return JobReply(ReplyKind.WAITING, waiting=count)

    def _reply(
        self, verdict: OperationResult, done: ReplyKind, request_id: str
    ) -> JobReply:
        if verdict is OperationResult.REFUSED:
            return self._not_run("store_refused", request_id)
        outcomes = {
            OperationResult.DONE: done,
            OperationResult.ABSENT: ReplyKind.NO_JOB,
            OperationResult.UNKNOWN: ReplyKind.UNKNOWN,
        }
        return JobReply(outcomes[verdict])

    def _not_run(self, reason: str, request_id: str) -> JobReply:
        silence_s = self._store_silence_s
        retry_after_s = RETRY_AFTER_S
        if silence_s > LONG_SILENCE_S:
            retry_after_s = LONG_RETRY_AFTER_S
        log(
            events.CALL_REFUSED,
            request_id=request_id,
            reason=reason,
            store_silent_s=round(min(silence_s, 1e6), 3),
            retry_after_s=retry_after_s,
        )
        return JobReply(ReplyKind.NOT_RUN, retry_after_s=retry_after_s)
