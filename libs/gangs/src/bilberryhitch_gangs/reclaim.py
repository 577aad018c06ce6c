"""Ends a gang: checkpoint with a deadline, stop, and judge the outcome."""

import asyncio
from typing import NamedTuple

from bilberryhitch_model import JobRecord, OutcomeStatus

from .context import WORKER_ERRORS, PlannerContext
from .gang import Ending, Gang, MemberState
from .gang_start import note_stale
from .worker_client import LeaseView

CHECKPOINT_S = 2.0
STOP_RETRY_S = 1.0
FAILED_WORKERS = 2
MAX_FAILURES = 5

CANCELLED_QUEUED = "cancelled before any task started"
CANCELLED_BETWEEN = "stopped between two attempts"
CANCELLED_STOPPED = "stopped after it had started"
CANCELLED_LAPSED = "stopped; a worker did not confirm, its lease has lapsed"
RECLAIMED = "stopped to reclaim capacity; no checkpoint was confirmed"


class Verdict(NamedTuple):
    """What becomes of the job.

    :param record: the record to write, but for a cancellation meanwhile
    :param requeued: whether the job waits for another attempt
    :param unstarted: whether no task of this attempt ever started
    """

    record: JobRecord
    requeued: bool
    unstarted: bool


async def checkpoint_all(context: PlannerContext, gang: Gang) -> str:
    """Save the state of every task.

    A gang with a member that is done has no checkpoint of the whole, and a
    resume would run the finished tasks again.

    :returns: the key of the checkpoint, or empty unless all confirmed in time
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
        async with asyncio.timeout(CHECKPOINT_S):
            confirmed = await asyncio.gather(*calls)
    except TimeoutError:
        return ""
    return saved if all(confirmed) else ""


async def stop_all(context: PlannerContext, gang: Gang) -> dict[str, LeaseView | None]:
    """Stop every task that is not known to be done.

    :returns: each worker's answer, ``None`` where there was none before the
        lease must have lapsed
    """
    states = [state for state in gang.members.values() if not state.done]
    answers = await asyncio.gather(*(_stop(context, gang, item) for item in states))
    return {
        state.host.name: answer for state, answer in zip(states, answers, strict=True)
    }


def judge(
    context: PlannerContext,
    gang: Gang,
    ending: Ending,
    stops: dict[str, LeaseView | None],
    saved: str,
) -> Verdict:
    """Decide the job's future from what the workers confirmed."""
    record = gang.record
    if _all_finished(gang, stops):
        return _finished(context, record, "completed", "")
    started = _known_started(gang, stops)
    if _never_started(gang, stops):
        return _requeued(record._replace(members=()), unstarted=True)
    if ending.cause == "cancel":
        lapsed = any(answer is None for answer in stops.values())
        detail = CANCELLED_LAPSED if lapsed else CANCELLED_STOPPED
        return _finished(context, record, "cancelled", detail)
    if saved:
        return _requeued(record._replace(members=(), saved=saved))
    if ending.cause == "failed":
        return _judge_failure(context, record, ending.host)
    if record.idempotent:
        return _requeued(record._replace(members=()))
    if ending.cause == "evict":
        return _finished(context, record, "failed", RECLAIMED)
    status: OutcomeStatus = "failed" if started else "unknown"
    return _finished(context, record, status, f"lost on worker {ending.host}")


def _judge_failure(context: PlannerContext, record: JobRecord, host: str) -> Verdict:
    """Tell a job's own failure from a worker's.

    Failures on quarantined workers do not count. The number of failures is
    limited all the same, because two faulty jobs can keep every worker that
    they run on in quarantine.
    """
    record = record._replace(failed_on=(*record.failed_on, host))
    healthy = set(record.failed_on) - context.health.quarantined
    limited = len(record.failed_on) < MAX_FAILURES
    if record.idempotent and limited and len(healthy) < FAILED_WORKERS:
        return _requeued(record._replace(members=()))
    return _finished(context, record, "failed", f"a task failed on worker {host}")


def _finished(
    context: PlannerContext, record: JobRecord, status: OutcomeStatus, detail: str
) -> Verdict:
    done = record._replace(
        state="finished",
        status=status,
        detail=detail,
        finished_at=context.now(),
    )
    return Verdict(done, requeued=False, unstarted=False)


def _requeued(record: JobRecord, *, unstarted: bool = False) -> Verdict:
    queued = record._replace(state="queued", borrowed=False)
    return Verdict(queued, requeued=True, unstarted=unstarted)


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
            note_stale(context, error)
        if loop.time() >= state.alive_until:
            return None
        await asyncio.sleep(STOP_RETRY_S)


def _all_finished(gang: Gang, stops: dict[str, LeaseView | None]) -> bool:
    return all(
        state.done or _same_run(state, stops.get(name), "finished")
        for name, state in gang.members.items()
    )


def _same_run(state: MemberState, answer: LeaseView | None, phase: str) -> bool:
    return (
        answer is not None
        and answer.boot_id == state.member.boot_id
        and answer.state == phase
    )


def _known_started(gang: Gang, stops: dict[str, LeaseView | None]) -> bool:
    if any(state.done or state.started for state in gang.members.values()):
        return True
    return any(answer is not None and answer.started for answer in stops.values())


def _never_started(gang: Gang, stops: dict[str, LeaseView | None]) -> bool:
    """Whether each worker confirmed in the same run that nothing started.

    The stop carried the planner's token, so a late start is refused as well.
    """
    return all(
        not state.done
        and not state.started
        and (answer := stops.get(name)) is not None
        and answer.boot_id == state.member.boot_id
        and not answer.started
        for name, state in gang.members.items()
    )
