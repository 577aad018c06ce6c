"""Patient work fills the service; an urgent job has its data in one rack."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "target/review-3"))
from standins.standins_3 import CouldNotRun, main, trouble

PATIENT = "5c0e7a21d94b36f8"
URGENT = "00000000000000a1"
# The last of the four racks of two executors each.
RACK = "r1-3"
MACHINES = 8
GPUS = 8
PATIENT_TASKS = 94
PATIENT_S = 40.0
URGENT_S = 2.5
PREEMPT_S = 2.9
WATCHED_S = 25.0


def profile(task, _run):
    """Return how a task behaves: patient ones take 40 to 47 s, the urgent one 2.5 s."""
    if task.startswith(URGENT):
        return URGENT_S, False, ""
    return PATIENT_S + int(task.rpartition(".")[2]) % 8, False, ""


async def fill(fleet, hosts, step):
    """Hand in the patient job and wait until it has all accelerators."""
    patient = {"steps": [step | {"count": PATIENT_TASKS, "estimate-ms": 40000}]}
    await hosts.submit(f"/render/{PATIENT}", patient, key="key-b")
    for _ in range(200):
        await asyncio.sleep(0.1)
        if len(fleet.at_work(PATIENT)) == MACHINES * GPUS:
            return
    raise CouldNotRun("the service isn't full")


async def case(record, _store, fleet, hosts):
    """Hand in the patient job, then the urgent one, and see when it begins."""
    step = {"cpu": 3700, "mem-mb": 5500, "gpu": 1}
    if trouble():
        await fill(fleet, hosts, step)
    await asyncio.sleep(5.0)
    urgent = step | {"count": 1, "gpu": GPUS, "cpu": 29600, "mem-mb": 44000}
    urgent |= {"estimate-ms": 2500, "affinity": RACK}
    await hosts.submit(f"/fitcheck/{URGENT}", {"steps": [urgent]})
    accepted_at = asyncio.get_running_loop().time()
    begun_s, passed_s = None, 0.0
    while begun_s is None and passed_s < WATCHED_S:
        await asyncio.sleep(0.05)
        passed_s = asyncio.get_running_loop().time() - accepted_at
        if any(e[1] == "started" and URGENT in e[2] for e in fleet.events):
            begun_s = passed_s
    stops = [event for event in fleet.events if event[1] == "told to stop"]
    racks = sorted({fleet.rack_of(event[4]) for event in stops})
    record("begun after", begun_s, "s; patient runs stopped:", len(stops), "in", racks)
    await hosts.call("GET", f"/fitcheck/{URGENT}")
    if begun_s is not None and begun_s <= PREEMPT_S:
        return []
    seen = f"the task hasn't begun after {WATCHED_S} s"
    if begun_s is not None:
        seen = f"the task has begun only after {begun_s:.1f} s"
    return [
        f"RECLAIM: {seen}; the tenant is guaranteed {GPUS} and uses none;"
        f" {len(stops)} runs were stopped in {racks}, its data is in {RACK}"
    ]


if __name__ == "__main__":
    main(__file__, case, profile, hosts=3, machines=MACHINES)
