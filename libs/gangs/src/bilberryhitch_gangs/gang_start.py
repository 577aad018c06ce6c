"""Two-phase start of a gang: reserve on all workers, write the mark, start all."""

import asyncio
from collections.abc import Awaitable, Callable

from bilberryhitch_model.errors import StaleToken, WorkerRefused
from bilberryhitch_platform import Expect

from .context import WORKER_ERRORS, PlannerContext
from .gang import LEASE_TERM_S, EndReason, Gang, MemberState
from .job_rows import JobRow, job_key, put_job
from .worker_client import LeaseView, Reservation


async def reserve_all(context: PlannerContext, gang: Gang) -> str | None:
    """Reserve a lease on every worker without starting a task.

    :returns: a worker that did not confirm, or ``None`` if all did
    """
    answers = await _on_members(gang, lambda state: _reserve(context, gang, state))
    for host, answer in zip(gang.members, answers, strict=True):
        if not isinstance(answer, LeaseView):
            flag_stale_epoch(context, answer)
            return host
    leases = [answer for answer in answers if isinstance(answer, LeaseView)]
    gang.set_boot_ids([lease.boot_id for lease in leases])
    return None


async def mark_started(context: PlannerContext, gang: Gang) -> bool:
    """Write the start mark, which records the attempt in the job row.

    The transaction expects the revisions of the job row and of the lease row, so
    it fails for a cancelled job and for a planner that was replaced.

    :returns: whether the mark was written
    :raises PlannerLost: another planner has taken over
    :raises StoreUnavailable: the mark was not written and never will be
    """
    record = gang.record._replace(started_at=context.now())
    expects = [Expect(job_key(record.job_id), gang.row.revision)]
    result = await context.lease.transact(expects, [put_job(record)])
    if result.is_error():
        return False
    gang.row = JobRow(record, result.ok)
    context.update_row(gang.row)
    return True


async def start_all(context: PlannerContext, gang: Gang) -> None:
    """Start every task; the gang ends if a worker does not confirm."""
    sent_at = asyncio.get_running_loop().time()
    answers = await _on_members(gang, lambda state: _start(context, gang, state))
    gang.running = True
    gang.running_since = asyncio.get_running_loop().time()
    for host in gang.members:
        context.gang_started_event(host).set()
    for state, answer in zip(gang.members.values(), answers, strict=True):
        if isinstance(answer, LeaseView):
            gang.observe_lease(state.host.name, answer.boot_id, answer, sent_at)
            continue
        flag_stale_epoch(context, answer)
        if isinstance(answer, WorkerRefused):
            gang.finish(EndReason("unstarted", state.host.name))
        else:
            gang.finish(EndReason("lost", state.host.name))


async def release_all(context: PlannerContext, gang: Gang) -> None:
    """Release the gang's lease on every worker.

    A lease whose release fails is released again at a later renewal.
    """
    await _on_members(
        gang,
        lambda state: context.workers.release(
            state.host, context.lease.epoch, gang.attempt_id
        ),
    )


def flag_stale_epoch(context: PlannerContext, answer: object) -> None:
    """Request a new epoch if a worker has seen a higher one than the planner's."""
    if isinstance(answer, StaleToken) and answer.highest > context.lease.epoch:
        context.epoch_stale.set()


async def _reserve(
    context: PlannerContext, gang: Gang, state: MemberState
) -> LeaseView:
    shape = gang.record.shape
    wanted = Reservation(
        gang.attempt_id,
        state.member.accelerators,
        shape.cores * state.member.tasks,
        shape.memory_gb * state.member.tasks,
        LEASE_TERM_S,
    )
    state.extend_lease_expiry(asyncio.get_running_loop().time(), LEASE_TERM_S)
    return await context.workers.reserve(state.host, context.lease.epoch, wanted)


async def _start(context: PlannerContext, gang: Gang, state: MemberState) -> LeaseView:
    record = gang.record
    return await context.workers.start_task(
        state.host, context.lease.epoch, gang.attempt_id, record.run, record.saved
    )


async def _on_members(
    gang: Gang, call: Callable[[MemberState], Awaitable[LeaseView | None]]
) -> list[LeaseView | BaseException | None]:
    """Call every member concurrently; worker errors are returned in its place."""

    async def guarded(state: MemberState) -> LeaseView | BaseException | None:
        try:
            return await call(state)
        except WORKER_ERRORS as error:
            return error

    return list(await asyncio.gather(*map(guarded, gang.members.values())))
