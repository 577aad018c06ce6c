"""The life of one gang, from its placement to its outcome."""

import asyncio

from bilberryhitch_model import JobRecord, Start
from bilberryhitch_model.errors import StoreUnavailable
from bilberryhitch_telemetry import events, log, metrics

from .context import PlannerContext
from .gang import Ending, Gang
from .gang_start import mark_started, release_all, reserve_all, start_all
from .job_rows import JobRow, get_job
from .reclaim import (
    CANCELLED_BETWEEN,
    CANCELLED_QUEUED,
    Verdict,
    checkpoint_all,
    judge,
    stop_all,
)


async def launch(context: PlannerContext, start: Start) -> None:
    """Start a gang and follow it to its end, or put the job back."""
    gang = _prepare(context, start)
    if gang is None:
        _put_back(context, start.job_id, "")
        return
    context.add_gang(gang)
    failed_host = await reserve_all(context, gang)
    if failed_host is not None or not await _mark(context, gang):
        log(events.GANG_START_UNDONE, attempt=gang.attempt_id, host=failed_host)
        await release_all(context, gang)
        context.remove_gang(gang)
        context.cool(failed_host or "")
        _put_back(context, start.job_id, failed_host or "")
        return
    log(events.GANG_RESERVED, attempt=gang.attempt_id, hosts=list(gang.members))
    await start_all(context, gang)
    if not gang.end.done():
        log(events.GANG_STARTED, attempt=gang.attempt_id, hosts=list(gang.members))
        context.scheduler.started(start.job_id, _loop_time())
    await follow(context, gang)


async def follow(context: PlannerContext, gang: Gang) -> None:
    """Wait for the gang's end and write what became of the job."""
    ending = await gang.end
    if ending.cause in ("lost", "unstarted"):
        log(events.GANG_PARTIAL_STOPPED, attempt=gang.attempt_id, host=ending.host)
    elif ending.cause == "evict":
        log(events.GANG_EVICTED, attempt=gang.attempt_id)
    saved = ""
    if ending.cause == "evict" and gang.record.checkpoint:
        saved = await checkpoint_all(context, gang)
    stops = await stop_all(context, gang)
    _note_health(context, gang, ending)
    verdict = judge(context, gang, ending, stops, saved)
    row = await context.change_row(
        gang.row, lambda found: _with_cancel(context, verdict, found)
    )
    context.remove_gang(gang)
    _settle(context, gang, ending, row)
    # A worker's result is the only proof of what ran, so it is released only
    # after the row is written.
    await release_all(context, gang)
    context.wake.set()


def _prepare(context: PlannerContext, start: Start) -> Gang | None:
    row = context.rows.get(start.job_id)
    if row is None or row.record.state != "queued" or start.job_id in context.gangs:
        return None
    members = start.placement.members
    if any(member.host not in context.hosts for member in members):
        return None
    record = row.record._replace(
        state="started",
        attempt=context.next_attempt(row.record),
        epoch=context.lease.epoch,
        members=members,
        borrowed=start.borrowed,
        cell=start.placement.cell,
    )
    return Gang(JobRow(record, row.revision), context.hosts)


async def _mark(context: PlannerContext, gang: Gang) -> bool:
    if gang.end.done():
        return False
    try:
        if await mark_started(context, gang):
            return True
        fresh = await get_job(context.tables, gang.record.job_id)
    except StoreUnavailable:
        return False
    if fresh is not None:
        context.note_row(fresh)
    return False


def _put_back(context: PlannerContext, job_id: str, host: str) -> None:
    """Queue a job again that got no start mark, unless it ended meanwhile."""
    context.scheduler.start_failed(job_id, host, _loop_time())
    row = context.rows.get(job_id)
    if row is None or row.record.state == "finished":
        context.scheduler.cancel(job_id)
        context.forget_job(job_id)
    context.wake.set()


def _with_cancel(
    context: PlannerContext, verdict: Verdict, found: JobRecord
) -> JobRecord:
    """Apply the verdict to the row found, which may ask to cancel by now."""
    record = verdict.record._replace(cancel=found.cancel)
    if not (found.cancel and verdict.requeued):
        return record
    detail = CANCELLED_BETWEEN
    if verdict.unstarted and record.attempt == 1:
        detail = CANCELLED_QUEUED
    return record._replace(
        state="finished",
        status="cancelled",
        detail=detail,
        finished_at=context.now(),
    )


def _note_health(context: PlannerContext, gang: Gang, ending: Ending) -> None:
    for name, state in gang.members.items():
        if state.done:
            context.health.task_finished(name)
    if ending.cause not in ("failed", "unstarted"):
        return
    if context.health.task_failed(ending.host, gang.record.job_id):
        context.scheduler.quarantine(ending.host)
        log(events.WORKER_QUARANTINED, host=ending.host)


def _settle(
    context: PlannerContext, gang: Gang, ending: Ending, row: JobRow | None
) -> None:
    """Tell the scheduler what became of the job."""
    job_id = gang.record.job_id
    if row is None or row.record.state == "finished":
        if row is not None:
            _log_outcome(row.record)
        if row is not None and row.record.status == "failed":
            context.health.clear_job(job_id)
        completed = row is not None and row.record.status == "completed"
        context.scheduler.finished(job_id, _loop_time(), completed=completed)
        context.forget_job(job_id)
        return
    context.note_row(row)
    log(events.JOB_REQUEUED, job_id=job_id, cause=ending.cause)
    if ending.cause == "evict":
        context.scheduler.evicted(job_id, _loop_time())
    else:
        context.cool(ending.host)
        context.scheduler.start_failed(job_id, ending.host, _loop_time())


def _log_outcome(record: JobRecord) -> None:
    event = events.JOB_FINISHED
    if record.status == "cancelled":
        event = events.JOB_CANCELLED
    log(event, job_id=record.job_id, status=record.status, detail=record.detail)
    metrics.JOBS.add(1, {"pool": record.pool, "outcome": record.status or ""})


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
