"""Executors crash one at a time; jobs whose tasks never failed are shown as failed."""

import asyncio
import sys
import time

from standins import FOREVER, OK, Deployment, run_case, trouble

SHORT, LASTING = "3f9a51c07be2d864", "a84e02d19c6b7f53"
# One executor of seven is down at a time, for less than the 4.4 s that the pages name.
DOWN_S = 1.5
WORK_S = 8.0
CRASHES = {SHORT: 2, LASTING: 4}
# The short job's task is hit soon after its start, the lasting one's well after it.
CRASH_AFTER_S = {SHORT: 1.0, LASTING: 3.0}


async def _crash(deployment: Deployment, job: str) -> None:
    """Crash the executor that runs a job's task, several times, one after another."""
    for _ in range(CRASHES[job]):
        try:
            executor, run = await deployment.fleet.wait_for(job, limit_s=10.0)
        except TimeoutError:
            return
        await asyncio.sleep(
            max(0.0, run.began_at + CRASH_AFTER_S[job] - time.monotonic())
        )
        await executor.crash(DOWN_S)


async def case(deployment: Deployment) -> str:
    """Play the case and return how the rule was broken."""
    fleet = deployment.fleet
    await deployment.start(hosts=2)
    step = {"count": 1, "cpu": 1_000, "mem-mb": 500, "gpu": 8}
    short = {**step, "estimate-ms": WORK_S * 1000}
    lasting = {**step, "estimate-ms": 1_000, "long-running": True}
    bodies = {
        SHORT: {"spec": str(WORK_S), "steps": [short]},
        LASTING: {"spec": FOREVER, "steps": [lasting]},
    }
    failed = []
    for job, body in bodies.items():
        if not await deployment.submit(f"/batch/{job}", body):
            raise RuntimeError(f"{job} was not accepted")
        if trouble():
            await _crash(deployment, job)
        await asyncio.sleep(WORK_S + 4.0)
        status, document = await deployment.call("GET", f"/batch/{job}")
        ends = [end for task in fleet.ends if job in task for end in fleet.ends[task]]
        deployment.record.write(f"ends of {job}: {ends}")
        own_failures = [end for end in ends if end[1] == "failed"]
        if status == OK and document["state"] == "failed" and not own_failures:
            failed.append(job)
    if not failed:
        return ""
    return f"LOST: shown as failed without an end `failed`: {', '.join(failed)}"


if __name__ == "__main__":
    sys.exit(run_case(__file__, case, executors=7))
