"""A lasting job whose tasks keep failing keeps all other jobs from ever starting."""

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
    Record,
    StoreStandin,
    configuration,
    job_id,
    main,
    troubled,
)

WORKERS = 8
WORKER_GPUS, WORKER_CPU = 8, 32_000
FAIL_S = 1.0
LASTING = job_id(1)
FAILS = f', "fail_s": {FAIL_S}' if troubled() else ""
LASTING_BODY = {
    "spec": f'{{"lasting": true, "work_s": 0.5{FAILS}}}',
    "steps": [
        {
            "count": WORKERS,
            "cpu": 500,
            "mem-mb": 500,
            "gpu": 1,
            "estimate-ms": 1000,
            "anti-affinity": 1,
            "long-running": True,
        }
    ],
}
JOBS = [job_id(number) for number in range(2, 10)]
BODY = {
    "spec": '{"work_s": 1.0}',
    "steps": [{"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimate-ms": 1000}],
}
TENANT_B = {"Authorization": "Token key-b", "Host": "jobs.example"}
# ``finish_s``, and the time after it in which a job may have nothing running.
FINISH_S = 14.0
IDLE_S = 3.0
WATCH_S = 12.0
SAMPLE_S = 0.1


async def case(record: Record) -> int:
    """Hand jobs in beside the lasting one and see whether they are ever started."""
    store = StoreStandin(random.Random(1))
    await store.start()
    await store.put("op", "config", configuration())
    fleet = Fleet(store, record)
    await fleet.start(WORKERS)
    hosts = Hosts(record, store.listener.address)
    try:
        await hosts.start(2)
        status, _ = await hosts.call("POST", f"/batch/{LASTING}", LASTING_BODY)
        if status != OK:
            return NOT_RUN
        await asyncio.sleep(10)
        for number, job in enumerate(JOBS):
            queue = "fast" if number % 2 else "batch"
            status, _ = await hosts.call(
                "POST", f"/{queue}/{job}", BODY, headers=TENANT_B
            )
            if status != OK:
                return NOT_RUN
            await asyncio.sleep(1)
        await asyncio.sleep(FINISH_S)
        idle_s = await _watch(record, fleet)
        for number, job in enumerate(JOBS):
            queue = "fast" if number % 2 else "batch"
            await hosts.call("GET", f"/{queue}/{job}", headers=TENANT_B)
        return BROKEN if idle_s > IDLE_S else HELD
    finally:
        await hosts.close()
        await fleet.close()
        await store.close()


async def _watch(record: Record, fleet: Fleet) -> float:
    """Return the longest time for which a job had nothing running beside free room.

    A job that has started once counts as served; each has one task.
    """
    longest_s = 0.0
    since: dict[str, float] = {}
    until = record.now + WATCH_S
    worst_use = 0.0
    while record.now < until:
        await asyncio.sleep(SAMPLE_S)
        running = sum(len(each.runs) for each in fleet.executors.values())
        # Each run takes one GPU, of which there are fewer than cores.
        use = running / (WORKERS * WORKER_GPUS)
        worst_use = max(worst_use, use)
        started = {task.partition(".")[0] for _, task, _, _ in fleet.starts}
        for job in JOBS:
            if job in started or use >= 0.5:  # noqa: PLR2004
                since.pop(job, None)
                continue
            since.setdefault(job, record.now)
            longest_s = max(longest_s, record.now - since[job])
    record.add(
        "watched",
        idle_s=round(longest_s, 1),
        never_started=sorted(since),
        largest_use=round(worst_use, 3),
    )
    return longest_s


if __name__ == "__main__":
    main(case, Path(__file__).parent)
