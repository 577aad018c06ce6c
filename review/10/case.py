"""A wave of upkeep takes down both tasks of a step of which one may be missing."""

import asyncio
import random
from pathlib import Path

from standins_2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    OK,
    Fleet,
    Hosts,
    MachineApi,
    Record,
    StoreStandin,
    configuration,
    job_id,
    main,
    troubled,
)

WORKERS = 8
JOB = job_id(1)
TASKS = (f"{JOB}.0.0.0", f"{JOB}.0.0.1")
MAY_MISS = 1
# From the start of a lasting task until it is at work.
STARTUP_S = 1.0
BODY = {
    "spec": f'{{"lasting": true, "work_s": {STARTUP_S}}}',
    "steps": [
        {
            "count": 2,
            "cpu": 1000,
            "mem-mb": 1000,
            "gpu": 1,
            "estimate-ms": 1000,
            "anti-affinity": 1,
            "long-running": True,
            "may-miss": MAY_MISS,
        }
    ],
}


async def case(record: Record) -> int:
    """Play the wave and compare the orders of upkeep with ``may-miss``."""
    store = StoreStandin(random.Random(1))
    await store.start()
    await store.put("op", "config", configuration())
    fleet = Fleet(store, record)
    cloud = MachineApi(fleet, record)
    await cloud.start()
    await fleet.start(WORKERS)
    hosts = Hosts(record, store.listener.address, cloud.address)
    try:
        await hosts.start(2)
        status, _ = await hosts.call("POST", f"/batch/{JOB}", BODY)
        if status != OK:
            return NOT_RUN
        # Both tasks are at work for longer than ``notice-ms`` before the wave.
        await asyncio.sleep(8)
        places = [fleet.where(task) for task in TASKS]
        if not all(places):
            return NOT_RUN
        machines = [each.machine for each in places if each]
        record.add("tasks", machines=machines)
        if troubled():
            cloud.wave = {
                "wave": 1,
                "machines": machines,
                "duration-s": 20,
                "max-count": 2,
            }
            record.add("wave", **cloud.wave)
            await store.put("op", "wave/1", cloud.wave)
        await asyncio.sleep(30)
        state = await hosts.call("GET", f"/batch/{JOB}")
        record.add("upkeeps", begun=cloud.begun, state=state)
        return BROKEN if _broken(record, fleet, cloud) else HELD
    finally:
        await hosts.close()
        await fleet.close()
        await cloud.close()
        await store.close()


def _broken(record: Record, fleet: Fleet, cloud: MachineApi) -> bool:
    """Return whether an upkeep ended a task while as many others as may miss were away.

    A task that an order has ended counts as away until it is at work again, which is
    when its percentage is 100.
    """
    broken = False
    for at, machine, tasks in cloud.begun:
        for task in (each for each in tasks if each in TASKS):
            away = [
                other for other in TASKS if other != task and _away(fleet, other, at)
            ]
            record.add("upkeep-ends", machine=machine, task=task, away=away)
            broken = broken or len(away) >= MAY_MISS
    return broken


def _away(fleet: Fleet, task: str, at: float) -> bool:
    """Return whether a task had ended and was not at work again at a time."""
    starts = [when for when, name, *_ in fleet.starts if name == task and when < at]
    ends = [when for when, name, *_ in fleet.ends if name == task and when < at]
    if not ends:
        return False
    return len(ends) >= len(starts) or at - starts[-1] < STARTUP_S


if __name__ == "__main__":
    main(case, Path(__file__).parent)
