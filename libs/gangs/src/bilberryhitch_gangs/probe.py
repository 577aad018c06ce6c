"""Probe of a quarantined worker with a task that belongs to no job."""

import asyncio

from bilberryhitch_model import Host
from bilberryhitch_telemetry import events, log

from .context import WORKER_ERRORS, PlannerContext
from .worker_client import Reservation

PROBE_PREFIX = "probe/"
PROBE_TASK = '{"seconds": 0, "fail": false}'
PROBE_TERM_S = 5.0
PROBE_WAIT_S = 2.0


async def probe_worker(context: PlannerContext, host: Host) -> None:
    """Run the probe; end the quarantine if it succeeds."""
    attempt = f"{PROBE_PREFIX}{host.name}/{context.lease.epoch}"
    try:
        passed = await _run_probe(context, host, attempt)
        await context.workers.release(host, context.lease.epoch, attempt)
    except WORKER_ERRORS:
        return
    if passed:
        context.health.release(host.name)
        context.resume_placement(host.name)
        log(events.WORKER_RELEASED, host=host.name)
        context.decision_due.set()


async def _run_probe(context: PlannerContext, host: Host, attempt: str) -> bool:
    """Run a task without accelerators; return whether it finished."""
    token = context.lease.epoch
    await context.workers.release(host, token, attempt)
    wanted = Reservation(attempt, (), 0, 0, PROBE_TERM_S)
    await context.workers.reserve(host, token, wanted)
    await context.workers.start_task(host, token, attempt, PROBE_TASK, "")
    await asyncio.sleep(PROBE_WAIT_S)
    view = await context.workers.state(host)
    states = {lease.attempt_id: lease.state for lease in view.leases}
    return states.get(attempt) == "finished"
