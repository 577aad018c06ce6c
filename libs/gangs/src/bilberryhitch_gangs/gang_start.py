"""Two-phase start of a gang: reserve everywhere, mark, start everywhere."""

import asyncio
from collections.abc import Awaitable, Callable

from bilberryhitch_model.errors import StaleToken, WorkerRefused
from bilberryhitch_platform import Expect

from .context import WORKER_ERRORS, PlannerContext
from .gang import TERM_S, Ending, Gang, MemberState
from .job_rows import JobRow, job_key, put_job
from .worker_client import LeaseView, Reservation


async def reserve_all(context: PlannerContext, gang: Gang) -> str | None:
    """Reserve a lease on every worker; nothing runs yet.

    :returns: a worker that did not confirm, or ``None`` when all did
    """
    answers = await _on_members(gang, lambda state: _reserve(context, gang, state))
    for host, answer in zip(gang.members, answers, strict=True):
        if not isinstance(answer, LeaseView):
            note_stale(context, answer)
            return host
    leases = [answer for answer in answers if isinstance(answer, LeaseView)]
    gang.set_boot_ids([lease.boot_id for lease in leases])
    return None


async def mark_started(context: PlannerContext, gang: Gang) -> bool:
    """Write the start mark.

    The transaction expects the revisions of the job row and of the planner
    row, so it fails for a cancelled job and for a planner that was replaced.

    :raises PlannerLost: another planner has taken over
    :raises StoreUnavailable: the mark was not written and never will be
    """
    record = gang.record._replace(started_at=context.now())
    expects = [Expect(job_key(record.job_id), gang.row.revision)]
    result = await context.lease.transact(expects, [put_job(record)])
    if result.is_error():
        return False
    gang.row = JobRow(record, result.ok)
    context.note_row(gang.row)
    return True


async def start_all(context: PlannerContext, gang: Gang) -> None:
    """Start every task; a member that does not confirm ends the gang."""
    sent_at = asyncio.get_running_loop().time()
    answers = await _on_members(gang, lambda state: _start(context, gang, state))
    gang.running = True
    gang.running_since = asyncio.get_running_loop().time()
    for host in gang.members:
        context.gang_started(host).set()
    for state, answer in zip(gang.members.values(), answers, strict=True):
        if isinstance(answer, LeaseView):
            gang.observe_lease(state.host.name, answer.boot_id, answer, sent_at)
            continue
        note_stale(context, answer)
        if isinstance(answer, WorkerRefused):
            gang.finish(Ending("unstarted", state.host.name))
        else:
            gang.finish(Ending("lost", state.host.name))


async def release_all(context: PlannerContext, gang: Gang) -> None:
    """Let every worker forget the leases; one that misses it is told later."""
    await _on_members(
        gang,
        lambda state: context.workers.release(
            state.host, context.lease.epoch, gang.attempt_id
        ),
    )


def note_stale(context: PlannerContext, answer: object) -> None:
    """Have the epoch checked when a worker refused the current one."""
    if isinstance(answer, StaleToken) and answer.highest > context.lease.epoch:
        context.stale.set()


async def _reserve(
    context: PlannerContext, gang: Gang, state: MemberState
) -> LeaseView:
    shape = gang.record.shape
    wanted = Reservation(
        gang.attempt_id,
        state.member.accelerators,
        shape.cores * state.member.tasks,
        shape.memory_gb * state.member.tasks,
        TERM_S,
    )
    state.lease_sent(asyncio.get_running_loop().time(), TERM_S)
    return await context.workers.reserve(state.host, context.lease.epoch, wanted)


async def _start(context: PlannerContext, gang: Gang, state: MemberState) -> LeaseView:
    record = gang.record
    return await context.workers.start_task(
        state.host, context.lease.epoch, gang.attempt_id, record.run, record.saved
    )


async def _on_members(
    gang: Gang, call: Callable[[MemberState], Awaitable[LeaseView | None]]
) -> list[LeaseView | BaseException | None]:
    """Call every member at once; failures of workers are returned in place."""

    async def guarded(state: MemberState) -> LeaseView | BaseException | None:
        try:
            return await call(state)
        except WORKER_ERRORS as error:
            return error

    return list(await asyncio.gather(*map(guarded, gang.members.values())))
