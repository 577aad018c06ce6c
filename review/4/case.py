"""A gang that can never be started keeps most of the pool from later jobs.

Tasks that last run on every executor, so the gang, which needs six whole ones, waits
for ever. The six that it reserves take nothing else for as long.
"""

import asyncio
import sys
import time

from standins import FOREVER, OK, Deployment, run_case, trouble

LASTING, GANG = "2e6b09d4c817fa35", "9a4d17e0b3c6f852"
WIDE, JOB = "70f3e8b25d19c46a", "b16c4fe92a0783d5"
# The gang is one of 20 jobs of its queue (0.05).
OTHERS = 18
# ``finish_s`` after the end of the traffic, and the 3 s that follow it.
FINISH_S, IDLE_S = 14.0, 3.0


async def _submit(
    deployment: Deployment, path: str, spec: str, tenant: str, **step: object
) -> None:
    """Submit a job of one step; an error if it is not accepted."""
    small = {"cpu": 1_000, "mem-mb": 500, "estimate-ms": 1_000}
    body = {"spec": spec, "steps": [{**small, **step}]}
    if not await deployment.submit(path, body, tenant=tenant):
        raise RuntimeError(f"{path} was not accepted")


async def case(deployment: Deployment) -> str:
    """Play the case and return how the rule was broken."""
    fleet, record = deployment.fleet, deployment.record
    await deployment.start(hosts=2)
    count = len(fleet.executors)
    lasting = {"anti-affinity": 1, "long-running": True}
    await _submit(
        deployment, f"/batch/{LASTING}", FOREVER, "a", count=count, gpu=1, **lasting
    )
    await asyncio.sleep(2.0)
    for number in range(OTHERS):
        path = f"/batch/{number:016x}"
        await _submit(deployment, path, "0.5", "a", count=1, gpu=1)
    if trouble():
        gang = {"gang": True, "gpu": 8, "estimate-ms": 10_000}
        await _submit(deployment, f"/batch/{GANG}", "10", "a", count=6, **gang)
        await asyncio.sleep(1.0)
    await asyncio.sleep(1.0)
    await _submit(deployment, f"/late/{WIDE}", FOREVER, "a", count=2, gpu=7, **lasting)
    await asyncio.sleep(2.0)
    await _submit(deployment, f"/late/{JOB}", "1.0", "b", count=1, gpu=1)
    ended_at = time.monotonic()
    record.write("end of the traffic")
    while time.monotonic() < ended_at + FINISH_S + IDLE_S:
        await asyncio.sleep(1.0)
        status, answer = await deployment.call("GET", f"/late/{JOB}", tenant="b")
        if status == OK and answer["state"] == "completed":
            return ""
    runs = {each.identifier: len(each.runs) for each in fleet.executors}
    record.write(f"runs by executor: {runs}")
    if fleet.has_begun(JOB):
        return ""
    return (
        f"LOST: {JOB} had nothing running from its acceptance to {IDLE_S} s after"
        f" {FINISH_S} s from the end of the traffic, with {count + 14} of {8 * count}"
        f" accelerators in use; state: {answer}"
    )


if __name__ == "__main__":
    sys.exit(run_case(__file__, case, executors=8))
