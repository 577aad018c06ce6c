"""Stops a gang: checkpoint with a deadline, stop, and decide the outcome."""

import asyncio
from typing import NamedTuple

from bilberryhitch_model import JobRecord, OutcomeStatus

from .context import WORKER_ERRORS, PlannerContext
from .gang import EndReason, Gang, MemberState
from .gang_start import flag_stale_epoch
from .worker_client import LeaseView

CHECKPOINT_TIMEOUT_S = 2.0
STOP_RETRY_DELAY_S = 1.0
# After failures on this many healthy workers the job itself is at fault.
MAX_FAILED_WORKERS = 2
MAX_FAILED_ATTEMPTS = 5

CANCELLED_QUEUED = "cancelled before any task started"
CANCELLED_BETWEEN_ATTEMPTS = "stopped between two attempts"
CANCELLED_AFTER_START = "stopped after it had started"
CANCELLED_LEASE_EXPIRED = "stopped; a worker did not confirm, its lease has lapsed"
EVICTED_WITHOUT_CHECKPOINT = "stopped to reclaim capacity; no checkpoint was confirmed"


class AttemptOutcome(NamedTuple):
    """The job's state after an attempt.

    :param record: the record to write, unless the job is cancelled meanwhile
    :param requeued: whether the job waits for another attempt
    :param unstarted: whether no task of this attempt ever started
    """

    record: JobRecord
    requeued: bool
    unstarted: bool


async def checkpoint_all(context: PlannerContext, gang: Gang) -> str:
    """Save the state of every task.

    No checkpoint is taken once a member is done: it would not cover the whole
    gang, and a resume would run the finished tasks again.

    :returns: the key of the checkpoint; empty unless all confirmed in time
    """
    if any(state.done for state in gang.members.values()):
        return ""
    saved = f"checkpoints/{gang.attempt_id}"

    async def save(state: MemberState) -> bool:
        try:
            await context.workers.checkpoint(
                state.host, context.lease.epoch, gang.attempt_id, saved
            )
        except WORKER_ERRORS:
            return False
        return True

    calls = [save(state) for state in gang.members.values()]
    try:
        async with asyncio.timeout(CHECKPOINT_TIMEOUT_S):
            confirmed = await asyncio.gather(*calls)
    except TimeoutError:
        return ""
    return saved if all(confirmed) else ""


async def stop_all(context: PlannerContext, gang: Gang) -> dict[str, LeaseView | None]:
    """Stop every task that is not known to be done.

    :returns: answers by worker; ``None`` if a worker did not answer before its
        lease must have expired
    """
    states = [state for state in gang.members.values() if not state.done]
    answers = await asyncio.gather(*(_stop(context, gang, item) for item in states))
    return {
        state.host.name: answer for state, answer in zip(states, answers, strict=True)
    }


def decide_outcome(
    context: PlannerContext,
    gang: Gang,
    reason: EndReason,
    answers: dict[str, LeaseView | None],
    saved: str,
) -> AttemptOutcome:
    """Decide the job's next state from what the workers confirmed.

    :param answers: answers by worker, as :func:`stop_all` returns them
    :param saved: key of the confirmed checkpoint, or empty
    """
    record = gang.record
    if _all_finished(gang, answers):
        return _finished(context, record, "completed", "")
    started = _known_started(gang, answers)
    if _never_started(gang, answers):
        return _requeued(record._replace(members=()), unstarted=True)
    if reason.cause == "cancel":
        unconfirmed = any(answer is None for answer in answers.values())
        detail = CANCELLED_LEASE_EXPIRED if unconfirmed else CANCELLED_AFTER_START
        return _finished(context, record, "cancelled", detail)
    if saved:
        return _requeued(record._replace(members=(), saved=saved))
    if reason.cause == "failed":
        return _decide_failure(context, record, reason.host)
    if record.idempotent:
        return _requeued(record._replace(members=()))
    if reason.cause == "evict":
        return _finished(context, record, "failed", EVICTED_WITHOUT_CHECKPOINT)
    status: OutcomeStatus = "failed" if started else "unknown"
    return _finished(context, record, status, f"lost on worker {reason.host}")


def _decide_failure(
    context: PlannerContext, record: JobRecord, host: str
) -> AttemptOutcome:
    """Decide whether a failure is the job's fault or the worker's.

    Failures on quarantined workers are not held against the job. The number of
    failures is limited all the same, because two faulty jobs can keep every
    worker that they run on in quarantine.
    """
    record = record._replace(failed_on=(*record.failed_on, host))
    healthy = set(record.failed_on) - context.health.quarantined
    limited = len(record.failed_on) < MAX_FAILED_ATTEMPTS
    if record.idempotent and limited and len(healthy) < MAX_FAILED_WORKERS:
        return _requeued(record._replace(members=()))
    return _finished(context, record, "failed", f"a task failed on worker {host}")


def _finished(
    context: PlannerContext, record: JobRecord, status: OutcomeStatus, detail: str
) -> AttemptOutcome:
    done = record._replace(
        state="finished",
        status=status,
        detail=detail,
        finished_at=context.now(),
    )
    return AttemptOutcome(done, requeued=False, unstarted=False)


def _requeued(record: JobRecord, *, unstarted: bool = False) -> AttemptOutcome:
    queued = record._replace(state="queued", borrowed=False)
    return AttemptOutcome(queued, requeued=True, unstarted=unstarted)


async def _stop(
    context: PlannerContext, gang: Gang, state: MemberState
) -> LeaseView | None:
    loop = asyncio.get_running_loop()
    while True:
        try:
            return await context.workers.stop(
                state.host, context.lease.epoch, gang.attempt_id
            )
        except WORKER_ERRORS as error:
            flag_stale_epoch(context, error)
        if loop.time() >= state.lease_expiry:
            return None
        await asyncio.sleep(STOP_RETRY_DELAY_S)


def _all_finished(gang: Gang, answers: dict[str, LeaseView | None]) -> bool:
    return all(
        state.done or _confirmed_in_state(state, answers.get(name), "finished")
        for name, state in gang.members.items()
    )


def _confirmed_in_state(
    state: MemberState, answer: LeaseView | None, lease_state: str
) -> bool:
    return (
        answer is not None
        and answer.boot_id == state.member.boot_id
        and answer.state == lease_state
    )


def _known_started(gang: Gang, answers: dict[str, LeaseView | None]) -> bool:
    if any(state.done or state.started for state in gang.members.values()):
        return True
    return any(answer is not None and answer.started for answer in answers.values())


def _never_started(gang: Gang, answers: dict[str, LeaseView | None]) -> bool:
    """Whether each worker confirmed, in the same boot, that nothing started.

    The stop carried the planner's fencing token, so a delayed start is refused.
    """
    return all(
        not state.done
        and not state.started
        and (answer := answers.get(name)) is not None
        and answer.boot_id == state.member.boot_id
        and not answer.started
        for name, state in gang.members.items()
    )
