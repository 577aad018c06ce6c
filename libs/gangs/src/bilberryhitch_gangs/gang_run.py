"""Lifecycle of one gang, from its placement to its outcome."""

import asyncio

from bilberryhitch_model import JobRecord, Start
from bilberryhitch_model.errors import StoreUnavailable
from bilberryhitch_telemetry import events, log, metrics

from .context import PlannerContext
from .gang import EndReason, Gang
from .gang_start import mark_started, release_all, reserve_all, start_all
from .gang_stop import (
    CANCELLED_BETWEEN_ATTEMPTS,
    CANCELLED_QUEUED,
    AttemptOutcome,
    checkpoint_all,
    decide_outcome,
    stop_all,
)
from .job_rows import JobRow, get_job


async def launch(context: PlannerContext, start: Start) -> None:
    """Start a gang and supervise it to its end; requeue the job if that fails."""
    gang = _prepare(context, start)
    if gang is None:
        _requeue_unstarted(context, start.job_id, "")
        return
    context.add_gang(gang)
    failed_host = await reserve_all(context, gang)
    if failed_host is not None or not await _write_start_mark(context, gang):
        log(events.GANG_START_UNDONE, attempt=gang.attempt_id, host=failed_host)
        await release_all(context, gang)
        context.remove_gang(gang)
        context.start_cooldown(failed_host or "")
        _requeue_unstarted(context, start.job_id, failed_host or "")
        return
    log(events.GANG_RESERVED, attempt=gang.attempt_id, hosts=list(gang.members))
    await start_all(context, gang)
    if not gang.end.done():
        log(events.GANG_STARTED, attempt=gang.attempt_id, hosts=list(gang.members))
        context.scheduler.started(start.job_id, _loop_time())
    await supervise(context, gang)


async def supervise(context: PlannerContext, gang: Gang) -> None:
    """Wait for the gang's end, stop its tasks and write the job's outcome."""
    reason = await gang.end
    if reason.cause in ("lost", "unstarted"):
        log(events.GANG_PARTIAL_STOPPED, attempt=gang.attempt_id, host=reason.host)
    elif reason.cause == "evict":
        log(events.GANG_EVICTED, attempt=gang.attempt_id)
    saved = ""
    if reason.cause == "evict" and gang.record.checkpoint:
        saved = await checkpoint_all(context, gang)
    answers = await stop_all(context, gang)
    _record_health(context, gang, reason)
    outcome = decide_outcome(context, gang, reason, answers, saved)
    row = await context.change_row(
        gang.row, lambda current: _apply_cancellation(context, outcome, current)
    )
    context.remove_gang(gang)
    _report_outcome(context, gang, reason, row)
    # The workers' results are the only evidence of what ran, so the leases are
    # released only after the job row is written.
    await release_all(context, gang)
    context.decision_due.set()


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


async def _write_start_mark(context: PlannerContext, gang: Gang) -> bool:
    if gang.end.done():
        return False
    try:
        if await mark_started(context, gang):
            return True
        current_row = await get_job(context.tables, gang.record.job_id)
    except StoreUnavailable:
        return False
    if current_row is not None:
        context.update_row(current_row)
    return False


def _requeue_unstarted(context: PlannerContext, job_id: str, host: str) -> None:
    """Requeue a job without a start mark, unless it has finished meanwhile."""
    context.scheduler.start_failed(job_id, host, _loop_time())
    row = context.rows.get(job_id)
    if row is None or row.record.state == "finished":
        context.scheduler.cancel(job_id)
        context.forget_job(job_id)
    context.decision_due.set()


def _apply_cancellation(
    context: PlannerContext, outcome: AttemptOutcome, current: JobRecord
) -> JobRecord:
    """Return the outcome's record; a pending cancellation finishes a requeued job."""
    record = outcome.record._replace(cancel=current.cancel)
    if not (current.cancel and outcome.requeued):
        return record
    detail = CANCELLED_BETWEEN_ATTEMPTS
    if outcome.unstarted and record.attempt == 1:
        detail = CANCELLED_QUEUED
    return record._replace(
        state="finished",
        status="cancelled",
        detail=detail,
        finished_at=context.now(),
    )


def _record_health(context: PlannerContext, gang: Gang, reason: EndReason) -> None:
    for name, state in gang.members.items():
        if state.done:
            context.health.task_finished(name)
    if reason.cause not in ("failed", "unstarted"):
        return
    if context.health.task_failed(reason.host, gang.record.job_id):
        context.scheduler.quarantine(reason.host)
        log(events.WORKER_QUARANTINED, host=reason.host)


def _report_outcome(
    context: PlannerContext, gang: Gang, reason: EndReason, row: JobRow | None
) -> None:
    """Report the job's outcome to the scheduler."""
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
    context.update_row(row)
    log(events.JOB_REQUEUED, job_id=job_id, cause=reason.cause)
    if reason.cause == "evict":
        context.scheduler.evicted(job_id, _loop_time())
    else:
        context.start_cooldown(reason.host)
        context.scheduler.start_failed(job_id, reason.host, _loop_time())


def _log_outcome(record: JobRecord) -> None:
    event = events.JOB_FINISHED
    if record.status == "cancelled":
        event = events.JOB_CANCELLED
    log(event, job_id=record.job_id, status=record.status, detail=record.detail)
    metrics.JOBS.add(1, {"pool": record.pool, "outcome": record.status or ""})


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
