"""Test of a planner that cannot give up its lease and plans again under its name."""

import asyncio

import msgspec
import pytest

from tests.path.platform_deployment import Deployment, job_body, job_id

HOST = "host-0"
WORKERS = 5
# The first run outlasts the former term, the pause after it and the start of the next,
# and ends before its lease of 10 s does.
WORK_S = 8.5
# A new planner overlooks silent workers for 3 s.
SETTLE_S = 3.5
# An isolated planner tries to release its lease for 1.5 s, and pauses for 2 s then.
STORE_BACK_S = 2.5
TERM_TIMEOUT_S = 12.0
POLL_S = 0.05
ATTEMPTS = 20


@pytest.mark.parametrize("store_fault", ["refusing", "silent"])
def test_task_runs_once_if_the_isolated_planner_is_the_next_one(tmp_path, store_fault):
    """Guards against a second run of a task that was accepted and started after the
    last renewal of the lease, when the isolated planner finds its own lease row.
    """

    async def run():
        deployment = Deployment(tmp_path, WORK_S)
        try:
            await deployment.start(hosts=1, workers=WORKERS)
            await asyncio.sleep(SETTLE_S)
            job, worker = await start_between_renewals(deployment)
            setattr(deployment.store.listener, store_fault, True)
            others = [name for name in deployment.fleet.listeners if name != worker]
            cut = [worker, *others[: WORKERS // 2]]
            for name in cut:
                deployment.fleet.listeners[name].silent = True
            terms = deployment.log(HOST).count('"planner_ended"') + 1
            await wait_for_log(deployment, "planner_ended", terms)
            await asyncio.sleep(STORE_BACK_S)
            setattr(deployment.store.listener, store_fault, False)
            await wait_for_log(deployment, "planner_started", terms + 1)
            await wait_for_end(deployment, worker)
            for name in cut:
                deployment.fleet.listeners[name].silent = False
            await deployment.wait_until_state(job, "completed", HOST)
            assert deployment.fleet.fleet.duplicate_runs == []
        finally:
            await deployment.close()

    asyncio.run(run())


async def start_between_renewals(deployment):
    """Return a job that was accepted and started since the lease was last renewed, and
    the worker of its run.
    """
    for number in range(ATTEMPTS):
        renewal = lease_renewal(deployment)
        name = job_id(number)
        path, content = f"/fast/{name}", job_body(count=1)
        status, _ = await deployment.call("POST", path, HOST, content)
        worker = await wait_for_run(deployment, name) if status == 200 else None
        if worker and lease_renewal(deployment) == renewal:
            return name, worker
    return pytest.fail("no run was started between two renewals")


def lease_renewal(deployment):
    return msgspec.json.decode(deployment.store.rows("planner")["lease"])["renewal"]


async def wait_for_run(deployment, job):
    """Return the worker that runs a job; None if none does within a second."""
    for _ in range(500):
        for name, worker in deployment.fleet.fleet.workers.items():
            if any(task.job == job for task in worker.tasks):
                return name
        await asyncio.sleep(0.002)
    return None


async def wait_for_end(deployment, worker):
    """Wait until a worker that is cut off runs nothing."""
    for _ in range(int(2 * WORK_S / POLL_S)):
        if not deployment.fleet.fleet.workers[worker].running:
            return
        await asyncio.sleep(POLL_S)
    pytest.fail(f"{worker} still runs something")


async def wait_for_log(deployment, event, count):
    for _ in range(int(TERM_TIMEOUT_S / POLL_S)):
        if deployment.log(HOST).count(f'"{event}"') >= count:
            return
        await asyncio.sleep(POLL_S)
    pytest.fail(f"{event} is not logged: {deployment.log(HOST)[-3000:]}")
