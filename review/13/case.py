"""Lasting work of one tenant fills the service; an urgent job is due to another."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "target/review-3"))
from standins.standins_3 import CouldNotRun, main, trouble

LASTING = "5c0e7a21d94b36f8"
URGENT = "00000000000000a1"
MACHINES = 8
GPUS = 8
PREEMPT_S = 2.9
WATCHED_S = 40.0


def profile(task, _run):
    """Return how a task behaves: the lasting job lasts, the urgent one takes 2.5 s."""
    return (None if task.startswith(LASTING) else 2.5), False, ""


async def case(record, _store, fleet, hosts):
    """Hand in both jobs and see when the urgent one begins."""
    step = {"cpu": 3700, "mem-mb": 5500, "gpu": 1, "estimate-ms": 2500}
    if trouble():
        lasting = step | {"count": MACHINES * GPUS, "long-running": True}
        await hosts.submit(f"/render/{LASTING}", {"steps": [lasting]}, key="key-b")
        for _ in range(200):
            await asyncio.sleep(0.1)
            if len(fleet.at_work(LASTING)) == MACHINES * GPUS:
                break
        else:
            raise CouldNotRun("the service isn't full")
    await asyncio.sleep(5.0)
    urgent = step | {"count": GPUS}
    await hosts.submit(f"/fitcheck/{URGENT}", {"steps": [urgent]})
    accepted_at = asyncio.get_running_loop().time()
    begun_s = None
    while (passed_s := asyncio.get_running_loop().time() - accepted_at) < WATCHED_S:
        await asyncio.sleep(0.05)
        started = {e[2] for e in fleet.events if e[1] == "started" and URGENT in e[2]}
        if len(started) == GPUS:
            begun_s = passed_s
            break
    record("urgent tasks begun:", len(started), "all after", begun_s, "s")
    await hosts.call("GET", f"/fitcheck/{URGENT}")
    if begun_s is not None and begun_s <= PREEMPT_S:
        return []
    seen = f"{len(started)} of {GPUS} tasks have begun after {WATCHED_S} s"
    if begun_s is not None:
        seen = f"all tasks have begun only after {begun_s:.1f} s"
    return [f"RECLAIM: {seen}; the tenant is guaranteed {GPUS} and uses none"]


if __name__ == "__main__":
    main(__file__, case, profile, hosts=3, machines=MACHINES)
