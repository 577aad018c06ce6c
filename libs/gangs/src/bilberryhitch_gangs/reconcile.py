"""What a planner does on taking over, before it decides anything."""

import asyncio

from bilberryhitch_model import Host, JobRecord, Placement, QueuedJob
from bilberryhitch_model.errors import StoreUnavailable

from .context import WORKER_ERRORS, PlannerContext
from .gang import TERM_S, Gang
from .gang_run import follow
from .gang_start import note_stale
from .job_rows import JobRow, scan_jobs
from .settled_commit import STORE_RETRY_S
from .worker_client import WorkerView


async def reconcile(context: PlannerContext, at: float) -> int:
    """Read every job, fence the workers of started ones, adopt or end gangs.

    The rows are read after the lease row was taken, so no start mark of an
    earlier planner can appear later. The workers are fenced before their
    leases are judged, so no task of an earlier planner can start later.

    :param at: loop time
    :returns: the store revision up to which rows were read
    """
    rows, upto = await _read_rows(context)
    unfinished = [row for row in rows if row.record.state != "finished"]
    for row in unfinished:
        context.note_row(row)
    started = [row for row in unfinished if row.record.state == "started"]
    views = await _fence(context, started)
    for row in started:
        _adopt(context, row, views, at)
    return upto


def queued_job(record: JobRecord, at: float) -> QueuedJob:
    """Return what the scheduler is told of a job."""
    return QueuedJob(
        record.job_id,
        record.client_account,
        record.kind,
        record.caller,
        record.shape,
        record.urgency,
        # Reclaim would end a job that can be neither repeated nor resumed.
        may_borrow=record.idempotent or record.checkpoint,
        declared_s=record.declared_s,
        submitted_at=at,
    )


async def _read_rows(context: PlannerContext) -> tuple[list[JobRow], int]:
    while True:
        try:
            return await scan_jobs(context.tables, context.prefix, 0)
        except StoreUnavailable:
            await asyncio.sleep(STORE_RETRY_S)


async def _fence(
    context: PlannerContext, started: list[JobRow]
) -> dict[str, tuple[WorkerView, float] | None]:
    """Present the epoch to every worker that holds a part of a gang."""
    names = {member.host for row in started for member in row.record.members}
    hosts = [context.host(name) for name in sorted(names)]
    answers = await asyncio.gather(*(_fence_one(context, host) for host in hosts))
    return {host.name: answer for host, answer in zip(hosts, answers, strict=True)}


async def _fence_one(
    context: PlannerContext, host: Host
) -> tuple[WorkerView, float] | None:
    sent_at = asyncio.get_running_loop().time()
    try:
        view = await context.workers.renew(host, context.lease.epoch, (), 0.0)
    except WORKER_ERRORS as error:
        note_stale(context, error)
        return None
    return view, sent_at


def _adopt(
    context: PlannerContext,
    row: JobRow,
    views: dict[str, tuple[WorkerView, float] | None],
    at: float,
) -> None:
    """Take over a started gang; what the workers answered may end it."""
    record = row.record
    for member in record.members:
        context.host(member.host)
    gang = Gang(row, context.hosts)
    gang.running = True
    context.add_gang(gang)
    placement = Placement(record.members, record.cell)
    context.scheduler.adopt(queued_job(record, at), placement, record.borrowed, at)
    for name, state in gang.members.items():
        # The earlier planner may have renewed up to the moment it was replaced.
        state.lease_sent(at, TERM_S)
        answer = views[name]
        if answer is not None:
            gang.observe(name, *answer)
    context.spawn(follow(context, gang))
