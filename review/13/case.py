"""A wave of upkeep with two machines at a time, and a lasting step of four tasks."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "target/review-3"))
from standins.standins_3 import CouldNotRun, main, trouble

JOB = "5c0e7a21d94b36f8"
PATH = f"/render/{JOB}"
TASKS = 4
MAY_MISS = 1
NOTICE_S = 4.5
DURATION_S = 60
MAX_COUNT = 2
LIMIT_S = 80.0
FULL = 100


def profile(_task, _run):
    """Return how a task behaves: it lasts, and never fails by itself."""
    return None, False, ""


class Check:
    """Rule AVAIL, from what the executors and the list of machines have seen."""

    def __init__(self, record, fleet):
        self.broken = []
        self._record, self._fleet = record, fleet
        self._ordered = set()
        self._seen_at = {}

    def watch(self):
        """Note which tasks are at work."""
        for executor in self._fleet.machines.values():
            for run in executor.runs.values() if executor else ():
                if executor.percent(run) == FULL:
                    self._seen_at[run.task] = time.monotonic()
                    self._ordered.discard(run.task)

    def before_upkeep(self, machine):
        """Check an order that ends what runs on a machine."""
        self.watch()
        now = time.monotonic()
        executor = self._fleet.machines[machine]
        for run in executor.runs.values():
            if executor.percent(run) < FULL:
                continue
            away = [
                task
                for task, at in self._seen_at.items()
                if task != run.task and (task in self._ordered or now - at > NOTICE_S)
            ]
            self._record("ends", run.task, "while away are", away)
            self._ordered.add(run.task)
            if len(away) >= MAY_MISS:
                self.broken.append(
                    f"AVAIL: the upkeep of {machine} ends {run.task}, which is at work,"
                    f" while {len(away)} of its step {away} are away; may-miss is"
                    f" {MAY_MISS}"
                )


async def case(record, store, fleet, hosts):
    """Ask for the upkeep of all machines, two at a time."""
    step = {"count": TASKS, "cpu": 13000, "mem-mb": 26000, "gpu": 1}
    step |= {"estimate-ms": 6800, "anti-affinity": 1}
    step |= {"long-running": True, "may-miss": MAY_MISS}
    await hosts.submit(PATH, {"spec": "serve", "steps": [step]})
    check = Check(record, fleet)
    fleet.before_upkeep = check.before_upkeep
    for _ in range(100):
        await asyncio.sleep(0.1)
        check.watch()
        if len(fleet.at_work(JOB)) == TASKS:
            break
    else:
        raise CouldNotRun("the tasks have not started")
    await asyncio.sleep(3.0)
    machines = list(fleet.machines)
    wave = {"wave": 1, "machines": machines, "duration-s": DURATION_S}
    if trouble():
        record("the operator asks for", wave)
        await store.put("op", "wave/1", wave | {"max-count": MAX_COUNT})
    until = time.monotonic() + LIMIT_S
    while time.monotonic() < until:
        await asyncio.sleep(0.05)
        check.watch()
        if (store.value("status", "wave/1") or {}).get("state") == "completed":
            break
    record("status", store.value("status", "wave/1"), "orders", len(fleet.orders))
    return check.broken


if __name__ == "__main__":
    main(__file__, case, profile, hosts=3, machines=8)
