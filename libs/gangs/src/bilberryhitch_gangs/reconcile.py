"""Reconciliation after a takeover, before the first scheduling decision."""

import asyncio

from bilberryhitch_model import Host, JobRecord, Placement, QueuedJob
from bilberryhitch_model.errors import StoreUnavailable

from .commit_resolution import STORE_RETRY_DELAY_S
from .context import WORKER_ERRORS, PlannerContext
from .gang import LEASE_TERM_S, Gang
from .gang_run import supervise
from .gang_start import flag_stale_epoch
from .job_rows import JobRow, scan_jobs
from .worker_client import WorkerView


async def reconcile(context: PlannerContext, at: float) -> int:
    """Read unfinished jobs, fence the workers of started ones, adopt or end gangs.

    The rows are read after the lease was acquired, so no start mark of a previous
    planner can appear later. The workers are fenced before their leases are
    evaluated, so no task of a previous planner can start later.

    :param at: loop time
    :returns: the store revision up to which rows were read
    """
    rows, revision = await _read_rows(context)
    for row in rows:
        context.update_row(row)
    started = [row for row in rows if row.record.state == "started"]
    views = await _fence(context, started)
    for row in started:
        _adopt(context, row, views, at)
    return revision


def queued_job(record: JobRecord, at: float) -> QueuedJob:
    """Return the scheduler's view of a job.

    :param at: loop time of submission
    """
    return QueuedJob(
        record.job_id,
        record.client_account,
        record.kind,
        record.caller,
        record.shape,
        record.urgency,
        # A job that can be neither repeated nor resumed would fail if it were evicted.
        may_borrow=record.idempotent or record.checkpoint,
        declared_s=record.declared_s,
        submitted_at=at,
    )


async def _read_rows(context: PlannerContext) -> tuple[list[JobRow], int]:
    while True:
        try:
            return await scan_jobs(
                context.tables, context.row_prefix, 0, unfinished=True
            )
        except StoreUnavailable:
            await asyncio.sleep(STORE_RETRY_DELAY_S)


async def _fence(
    context: PlannerContext, started: list[JobRow]
) -> dict[str, tuple[WorkerView, float] | None]:
    """Present the new epoch to every worker that holds a part of a gang.

    :returns: by worker, its answer and the loop time at which the call was sent;
        ``None`` if the worker did not answer
    """
    names = {member.host for row in started for member in row.record.members}
    hosts = [context.host(name) for name in sorted(names)]
    answers = await asyncio.gather(*(_fence_worker(context, host) for host in hosts))
    return {host.name: answer for host, answer in zip(hosts, answers, strict=True)}


async def _fence_worker(
    context: PlannerContext, host: Host
) -> tuple[WorkerView, float] | None:
    sent_at = asyncio.get_running_loop().time()
    try:
        view = await context.workers.renew(host, context.lease.epoch, (), 0.0)
    except WORKER_ERRORS as error:
        flag_stale_epoch(context, error)
        return None
    return view, sent_at


def _adopt(
    context: PlannerContext,
    row: JobRow,
    views: dict[str, tuple[WorkerView, float] | None],
    at: float,
) -> None:
    """Adopt a started gang; it ends if the workers' answers show a loss."""
    record = row.record
    for member in record.members:
        context.host(member.host)
    gang = Gang(row, context.hosts)
    gang.running = True
    context.add_gang(gang)
    placement = Placement(record.members, record.cell)
    context.scheduler.adopt(queued_job(record, at), placement, record.borrowed, at)
    for name, state in gang.members.items():
        # The previous planner may have renewed until it was replaced.
        state.extend_lease_expiry(at, LEASE_TERM_S)
        answer = views[name]
        if answer is not None:
            gang.observe(name, *answer)
    context.spawn(supervise(context, gang))
