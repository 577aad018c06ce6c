"""Entry hosts as separate processes on the platform's protocol, with faults."""

import asyncio
import signal

from tests.path.platform_deployment import KEY, Deployment, body, job


def play(folder, scene, work_s=0.3, **sizes):
    async def run():
        deployment = Deployment(folder, work_s)
        try:
            await deployment.start(**sizes)
            await scene(deployment)
            assert deployment.fleet.fleet.duplicate_runs == []
            assert deployment.fleet.fleet.overcommitted == []
        finally:
            await deployment.close()

    asyncio.run(run())


def test_a_job_is_accepted_run_and_reported(tmp_path):
    async def scene(deployment):
        assert await deployment.call("POST", f"/fast/{job(1)}", body=body()) == (
            200,
            {},
        )
        await deployment.until_state(job(1), "completed", "host-1")
        assert (await deployment.call("GET", f"/fast/{job(9)}"))[0] == 410
        assert (await deployment.call("GET", "/none/"))[0] == 404
        await asyncio.sleep(1.2)  # the count may be 2 s old
        assert await deployment.call("GET", "/fast/") == (200, {"waiting": 0})
        wrong = {**KEY, "Authorization": "Token other"}
        status, _ = await deployment.call("GET", "/fast/", headers=wrong)
        assert status == 401

    play(tmp_path, scene)


def test_bad_input_names_the_field_and_changes_nothing(tmp_path):
    async def scene(deployment):
        broken = body(count=0)
        status, answer = await deployment.call("POST", f"/fast/{job(1)}", body=broken)
        assert status == 400
        assert answer["field"] == "steps.0.count"
        assert (await deployment.call("GET", f"/fast/{job(1)}"))[0] == 410

    play(tmp_path, scene, hosts=1, workers=1)


def test_a_killed_planner_is_replaced_and_nothing_runs_twice(tmp_path):
    """Guards against LOST and TWICE at a takeover."""

    async def scene(deployment):
        for number in range(6):
            await deployment.call("POST", f"/fast/{job(number)}", body=body())
        await asyncio.sleep(0.5)
        leader = deployment.leader()
        deployment.hosts[leader].kill()
        other = next(name for name in deployment.hosts if name != leader)
        for number in range(6):
            await deployment.until_state(job(number), "completed", other)

    play(tmp_path, scene, work_s=1.5)


def test_a_stopped_host_hands_over_and_answers_until_its_end(tmp_path):
    async def scene(deployment):
        leader = deployment.leader()
        deployment.hosts[leader].send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert deployment.leader() != leader
        status, _ = await deployment.call("POST", f"/fast/{job(1)}", leader, body())
        assert status == 200
        other = next(name for name in deployment.hosts if name != leader)
        await deployment.until_state(job(1), "completed", other)
        assert await asyncio.to_thread(deployment.hosts[leader].wait, 10) == 0

    play(tmp_path, scene)


def test_jobs_are_known_again_after_every_host_was_killed(tmp_path):
    async def scene(deployment):
        await deployment.call("POST", f"/fast/{job(1)}", body=body())
        for name, process in deployment.hosts.items():
            process.kill()
            process.wait()
            deployment.launch(name)
        for name in deployment.hosts:
            await deployment.until_ready(name)
        await deployment.until_state(job(1), "completed")

    play(tmp_path, scene, work_s=1.0)


def test_lost_answers_of_the_store_lose_no_job(tmp_path):
    """Guards against a refusal of a job that the store has taken."""

    async def scene(deployment):
        deployment.store.listener.lost_share = 0.2
        accepted = []
        for number in range(8):
            status, _ = await deployment.call(
                "POST", f"/fast/{job(number)}", body=body()
            )
            assert status in (200, 504)
            accepted.append(status == 200)
        deployment.store.listener.lost_share = 0.0
        for number, was_accepted in enumerate(accepted):
            if was_accepted:
                await deployment.until_state(job(number), "completed")
        assert any(accepted)

    play(tmp_path, scene)


def test_a_refusing_store_refuses_jobs_that_never_run(tmp_path):
    """Guards against REFUSED."""

    async def scene(deployment):
        deployment.store.listener.refusing = True
        status, _ = await deployment.call("POST", f"/fast/{job(1)}", body=body())
        assert status == 503
        deployment.store.listener.refusing = False
        await deployment.until_ready("host-0")
        assert (await deployment.call("GET", f"/fast/{job(1)}"))[0] == 410
        await deployment.call("POST", f"/fast/{job(2)}", body=body())
        await deployment.until_state(job(2), "completed")

    play(tmp_path, scene, hosts=1)


def test_forgotten_history_is_read_anew(tmp_path):
    async def scene(deployment):
        await deployment.call("POST", f"/fast/{job(1)}", body=body())
        deployment.store.forget_history()
        await deployment.call("POST", f"/fast/{job(2)}", body=body())
        for number in (1, 2):
            await deployment.until_state(job(number), "completed")

    play(tmp_path, scene)


def test_a_crashed_worker_is_waited_out_and_its_work_runs_elsewhere(tmp_path):
    async def scene(deployment):
        await deployment.call("POST", f"/fast/{job(1)}", body=body(count=8))
        await asyncio.sleep(0.5)
        await deployment.fleet.crash("w0")
        await deployment.until_state(job(1), "completed")

    play(tmp_path, scene, work_s=2.0, hosts=1)


def test_a_cancelled_job_is_stopped(tmp_path):
    async def scene(deployment):
        await deployment.call("POST", f"/fast/{job(1)}", body=body())
        await asyncio.sleep(0.3)
        assert (await deployment.call("DELETE", f"/fast/{job(1)}"))[0] == 200
        await deployment.until_state(job(1), "cancelled")
        await asyncio.sleep(1.0)
        assert all(
            worker.running == 0 for worker in deployment.fleet.fleet.workers.values()
        )

    play(tmp_path, scene, work_s=5.0)
