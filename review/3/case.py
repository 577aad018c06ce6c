"""An executor starts again under its identifier; two of its answers change places.

The planner learns of the restart from a list of runs. It then releases all runs there,
also one that it has started in the new life, after the list was made.
"""

import asyncio
import sys

from standins import Deployment, run_case, trouble

FILLER, JOB = "0b1d6f2c93e85a47", "7d20c4e1f85b9a36"
DOWN_S = 0.35
# The restarted executor's first list is under way for this long.
LIST_DELAY_S = 0.5
# The job is submitted this long after the crash.
SUBMIT_AFTER_S = 0.45


def job(work_s: float, gpu: int) -> dict[str, object]:
    """Return the body of a job of one task."""
    step = {"count": 1, "cpu": 1_000, "mem-mb": 500, "gpu": gpu}
    return {"spec": str(work_s), "steps": [{**step, "estimate-ms": work_s * 1000}]}


async def case(deployment: Deployment) -> str:
    """Play the case and return how the rule was broken."""
    fleet = deployment.fleet
    await deployment.start(hosts=2)
    # Tasks go to the fullest executor, which is the one that this job runs on.
    if not await deployment.submit(f"/batch/{FILLER}", job(60.0, 4)):
        raise RuntimeError("the first job was not accepted")
    executor, _ = await fleet.wait_for(FILLER)
    await asyncio.sleep(2.0)
    if trouble():
        executor.listed.clear()
        await executor.listed.wait()
        executor.slow_hold_s = LIST_DELAY_S
        restart = asyncio.create_task(executor.crash(DOWN_S))
        await asyncio.sleep(SUBMIT_AFTER_S)
        await restart
    if not await deployment.submit(f"/batch/{JOB}", job(4.0, 1)):
        raise RuntimeError("the second job was not accepted")
    await asyncio.sleep(8.0)
    await deployment.call("GET", f"/batch/{JOB}")
    await deployment.call("GET", f"/batch/{FILLER}")
    return f"TWICE: {fleet.twice[0]}" if fleet.twice else ""


if __name__ == "__main__":
    sys.exit(run_case(__file__, case, executors=7))
