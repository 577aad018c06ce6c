"""Each executor crashes twice, one at a time; then nothing new is started any more."""

import asyncio
import sys
import time

from standins import FOREVER, OK, Deployment, run_case, trouble

LASTING, JOB = "d5b80e36f1a2c974", "83ce57a90b14f6d2"
ROUNDS = 2
# One executor of seven is down at a time, for less than the 4.4 s that the pages name.
DOWN_S, PAUSE_S = 1.5, 1.0
# ``finish_s`` after the end of the traffic, and the 3 s that follow it.
FINISH_S, IDLE_S = 14.0, 3.0


async def _crash_in_turn(deployment: Deployment) -> None:
    """Crash one executor after the other; each is back before the next one crashes."""
    fleet = deployment.fleet
    for _ in range(ROUNDS):
        for executor in fleet.executors:
            await executor.crash(DOWN_S)
            await asyncio.sleep(PAUSE_S)


async def case(deployment: Deployment) -> str:
    """Play the case and return how the rule was broken."""
    fleet, record = deployment.fleet, deployment.record
    await deployment.start(hosts=2)
    count = len(fleet.executors)
    small = {"cpu": 1_000, "mem-mb": 500, "gpu": 1, "estimate-ms": 1_000}
    lasting = {**small, "count": count, "anti-affinity": 1, "long-running": True}
    if not await deployment.submit(
        f"/batch/{LASTING}", {"spec": FOREVER, "steps": [lasting]}
    ):
        raise RuntimeError("the lasting job was not accepted")
    await asyncio.sleep(2.0)
    if trouble():
        await _crash_in_turn(deployment)
    await asyncio.sleep(2.0)
    body = {"spec": "1.0", "steps": [{**small, "count": 1}]}
    if not await deployment.submit(f"/batch-b/{JOB}", body, tenant="b"):
        raise RuntimeError("the job was not accepted")
    ended_at = time.monotonic()
    record.write("end of the traffic")
    while time.monotonic() < ended_at + FINISH_S + IDLE_S:
        await asyncio.sleep(1.0)
        status, answer = await deployment.call("GET", f"/batch-b/{JOB}", tenant="b")
        runs = {each.identifier: len(each.runs) for each in fleet.executors}
        record.write(f"runs by executor, of one of 8 accelerators each: {runs}")
        if status == OK and answer["state"] == "completed":
            return ""
    if fleet.has_begun(JOB):
        return ""
    return (
        f"LOST: {JOB} had nothing running from its acceptance to {IDLE_S} s after"
        f" {FINISH_S} s from the end of the traffic, with {sum(runs.values())} of"
        f" {8 * count} accelerators in use; state: {answer}"
    )


if __name__ == "__main__":
    sys.exit(run_case(__file__, case, executors=7))
