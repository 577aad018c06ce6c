"""Tests of entry host processes with the platform's protocol, under faults."""

import asyncio
import signal

from tests.path.platform_deployment import CALLER_HEADERS, Deployment, job_body, job_id


def run_scenario(folder, scenario, work_s=0.3, deployment_type=Deployment, **sizes):
    async def run():
        deployment = deployment_type(folder, work_s)
        try:
            await deployment.start(**sizes)
            await scenario(deployment)
            assert deployment.fleet.fleet.duplicate_runs == []
            assert deployment.fleet.fleet.overcommitted == []
        finally:
            await deployment.close()

    asyncio.run(run())


def test_job_runs_and_its_state_is_read_at_another_host(tmp_path):
    async def scenario(deployment):
        assert await deployment.call("POST", f"/fast/{job_id(1)}", body=job_body()) == (
            200,
            {},
        )
        await deployment.wait_until_state(job_id(1), "completed", "host-1")
        assert (await deployment.call("GET", f"/fast/{job_id(9)}"))[0] == 410
        assert (await deployment.call("GET", "/none/"))[0] == 404
        await asyncio.sleep(1.2)  # the count may lag by 2 s
        assert await deployment.call("GET", "/fast/") == (200, {"waiting": 0})
        wrong = {**CALLER_HEADERS, "Authorization": "Token other"}
        status, _ = await deployment.call("GET", "/fast/", headers=wrong)
        assert status == 401

    run_scenario(tmp_path, scenario)


def test_error_of_invalid_job_names_the_field_and_stores_nothing(tmp_path):
    async def scenario(deployment):
        invalid = job_body(count=0)
        status, answer = await deployment.call(
            "POST", f"/fast/{job_id(1)}", body=invalid
        )
        assert status == 400
        assert answer["field"] == "steps.0.count"
        assert (await deployment.call("GET", f"/fast/{job_id(1)}"))[0] == 410

    run_scenario(tmp_path, scenario, hosts=1, workers=1)


def test_jobs_complete_after_the_planner_host_is_killed(tmp_path):
    """Guards against jobs that are lost or run twice after a takeover."""

    async def scenario(deployment):
        for number in range(6):
            await deployment.call("POST", f"/fast/{job_id(number)}", body=job_body())
        await asyncio.sleep(0.5)
        leader = deployment.leader()
        deployment.hosts[leader].kill()
        other = next(name for name in deployment.hosts if name != leader)
        for number in range(6):
            await deployment.wait_until_state(job_id(number), "completed", other)

    run_scenario(tmp_path, scenario, work_s=1.5)


def test_terminated_host_passes_on_the_planner_and_serves_until_it_exits(tmp_path):
    async def scenario(deployment):
        leader = deployment.leader()
        deployment.hosts[leader].send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert deployment.leader() != leader
        status, _ = await deployment.call(
            "POST", f"/fast/{job_id(1)}", leader, job_body()
        )
        assert status == 200
        other = next(name for name in deployment.hosts if name != leader)
        await deployment.wait_until_state(job_id(1), "completed", other)
        assert await asyncio.to_thread(deployment.hosts[leader].wait, 10) == 0

    run_scenario(tmp_path, scenario)


def test_job_completes_after_all_hosts_are_killed(tmp_path):
    async def scenario(deployment):
        await deployment.call("POST", f"/fast/{job_id(1)}", body=job_body())
        for name, process in deployment.hosts.items():
            process.kill()
            process.wait()
            deployment.launch(name)
        for name in deployment.hosts:
            await deployment.wait_until_ready(name)
        await deployment.wait_until_state(job_id(1), "completed")

    run_scenario(tmp_path, scenario, work_s=1.0)


def test_accepted_jobs_complete_despite_lost_answers_of_the_store(tmp_path):
    """Guards against a job that is refused although the store has it."""

    async def scenario(deployment):
        deployment.store.listener.lost_share = 0.2
        accepted = []
        for number in range(8):
            status, _ = await deployment.call(
                "POST", f"/fast/{job_id(number)}", body=job_body()
            )
            assert status in (200, 504)
            accepted.append(status == 200)
        deployment.store.listener.lost_share = 0.0
        for number, was_accepted in enumerate(accepted):
            if was_accepted:
                await deployment.wait_until_state(job_id(number), "completed")
        assert any(accepted)

    run_scenario(tmp_path, scenario)


def test_job_is_refused_while_the_store_refuses_writes(tmp_path):
    """Guards against a refused job that runs nevertheless."""

    async def scenario(deployment):
        deployment.store.listener.refusing = True
        status, _ = await deployment.call("POST", f"/fast/{job_id(1)}", body=job_body())
        assert status == 503
        deployment.store.listener.refusing = False
        await deployment.wait_until_ready("host-0")
        assert (await deployment.call("GET", f"/fast/{job_id(1)}"))[0] == 410
        await deployment.call("POST", f"/fast/{job_id(2)}", body=job_body())
        await deployment.wait_until_state(job_id(2), "completed")

    run_scenario(tmp_path, scenario, hosts=1)


def test_jobs_complete_after_the_store_drops_its_history(tmp_path):
    async def scenario(deployment):
        await deployment.call("POST", f"/fast/{job_id(1)}", body=job_body())
        deployment.store.forget_history()
        await deployment.call("POST", f"/fast/{job_id(2)}", body=job_body())
        for number in (1, 2):
            await deployment.wait_until_state(job_id(number), "completed")

    run_scenario(tmp_path, scenario)


def test_tasks_of_a_crashed_worker_run_on_another_worker(tmp_path):
    async def scenario(deployment):
        await deployment.call("POST", f"/fast/{job_id(1)}", body=job_body(count=8))
        await asyncio.sleep(0.5)
        await deployment.fleet.crash("w0")
        await deployment.wait_until_state(job_id(1), "completed")

    run_scenario(tmp_path, scenario, work_s=2.0, hosts=1)


def test_tasks_of_a_cancelled_job_are_stopped(tmp_path):
    async def scenario(deployment):
        await deployment.call("POST", f"/fast/{job_id(1)}", body=job_body())
        await asyncio.sleep(0.3)
        assert (await deployment.call("DELETE", f"/fast/{job_id(1)}"))[0] == 200
        await deployment.wait_until_state(job_id(1), "cancelled")
        await asyncio.sleep(1.0)
        assert all(
            worker.running == 0 for worker in deployment.fleet.fleet.workers.values()
        )

    run_scenario(tmp_path, scenario, work_s=5.0)
