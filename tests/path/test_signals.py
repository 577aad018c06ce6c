"""Tests of entry host processes that are killed, paused or shut down gracefully."""

import asyncio
import json
import signal
import time

import aiohttp
import pytest

from tests.path.cluster import running_cluster, wait_until

REQUEST_RUN_S = 2.0
REQUEST_COUNT = 24


@pytest.fixture
def cluster(tmp_path):
    with running_cluster(tmp_path) as cluster:
        yield cluster


async def send_request(session, api, route, number, key=""):
    body = json.dumps({"sleep_s": REQUEST_RUN_S, "answer": f"answer {number} " * 1000})
    headers = {"Authorization": "Bearer token-nizwa"}
    if key:
        headers["Idempotency-Key"] = key
    url = f"{api}/v1/requests/{route}"
    async with session.post(url, data=body, headers=headers) as response:
        text = await response.text()
        return response.headers.get("Bilberryhitch-Outcome"), text


async def set_faults(cluster, name, **faults):
    url = f"http://{cluster.address(name)}/faults"
    async with aiohttp.ClientSession() as session:
        method = session.put if name == "platform" else session.post
        async with method(url, json=faults) as response:
            assert response.status == 200


async def get_json(cluster, name, path):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{cluster.address(name)}{path}") as response,
    ):
        return await response.json()


@pytest.mark.parametrize("store_down", [False, True])
def test_requests_in_flight_complete_after_sigterm(cluster, store_down):
    # Guards against answers that are lost in a shutdown. The answers are long; there
    # are more requests than slots, so that some wait and some are forwarded; and a
    # second SIGTERM follows.
    terminated = cluster.processes["ruwi-1"]

    async def main():
        api = cluster.apis["ruwi-1"]
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            calls = [
                asyncio.create_task(send_request(session, api, "solder-fit", number))
                for number in range(REQUEST_COUNT)
            ]
            await asyncio.sleep(REQUEST_RUN_S / 2)
            if store_down:
                await set_faults(cluster, "platform", down=True)
            terminated.signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            terminated.signal(signal.SIGTERM)
            return await asyncio.gather(*calls)

    answers = asyncio.run(main())
    for number, (outcome, text) in enumerate(answers):
        assert outcome == "completed", (number, outcome, text[:200])
        assert text.count(f"answer {number} ") == 1000
    assert terminated.wait() == 0, terminated.errors[-5:]


def test_gangs_start_once_and_whole_after_a_host_is_killed(cluster):
    # Guards against a second run, a partial gang or a lost job after a takeover.
    jobs = [_submit(cluster, "mutrah-1", "simulation", 4.0) for _ in range(2)]
    wait_until(lambda: _state(cluster, "mutrah-1", jobs[0]) == "started", "started")
    killed = [name for name in cluster.apis if name.startswith("mutrah")][:1]
    for name in killed:
        cluster.processes[name].signal(signal.SIGKILL)
    for job in jobs:
        waited = cluster.cli("mutrah-2", "al-batinah", "wait", job)
        assert json.loads(waited.stdout)["status"] in ("completed", "failed", "unknown")
        _check_runs(cluster, job, accelerators=16)


def test_jobs_complete_once_after_the_planner_host_was_paused(cluster):
    # Guards against a resumed planner that still acts with its old epoch.
    job = _submit(cluster, "ruwi-1", "simulation", 8.0)
    wait_until(lambda: _state(cluster, "ruwi-1", job) == "started", "started")
    paused = cluster.processes["ruwi-1"]
    paused.signal(signal.SIGSTOP)
    time.sleep(5.0)
    later = _submit(cluster, "ruwi-2", "simulation", 1.0)
    paused.signal(signal.SIGCONT)
    for each in (job, later):
        waited = cluster.cli("ruwi-2", "al-batinah", "wait", each)
        assert json.loads(waited.stdout)["status"] == "completed", waited.stdout
        _check_runs(cluster, each, accelerators=16)


def test_restarted_host_gets_the_configuration_from_a_peer(cluster):
    # Guards against a restarted process that serves without a configuration or with
    # an old revision while the store is down.
    revision = cluster.revision_in_force("ruwi-2")
    asyncio.run(set_faults(cluster, "platform", down=True))
    cluster.processes["ruwi-2"].signal(signal.SIGKILL)
    cluster.restart_entry_host("ruwi-2")
    wait_until(
        lambda: cluster.revision_in_force("ruwi-2") == revision, "revision adopted"
    )
    answer = asyncio.run(_one_request(cluster, "ruwi-2"))
    assert answer[0] == "completed"


def test_keyed_non_idempotent_request_runs_once_through_every_host(cluster):
    # Guards against a second run when a caller retries at another host.
    async def main():
        async with aiohttp.ClientSession() as session:
            calls = [
                send_request(session, api, "motion-set", 7, key="round-1")
                for api in cluster.apis.values()
            ]
            return await asyncio.gather(*calls)

    outcomes = [outcome for outcome, _ in asyncio.run(main())]
    assert "completed" in outcomes
    assert set(outcomes) <= {"completed", "unknown", "not_run"}
    ran = [
        entry
        for name in ("ruwi-executor", "mutrah-executor")
        for entry in asyncio.run(get_json(cluster, name, "/v1/ran"))
        if entry["route"] == "motion-set"
    ]
    assert len(ran) == 1


async def _one_request(cluster, host):
    async with aiohttp.ClientSession() as session:
        return await send_request(session, cluster.apis[host], "solder-fit", 1)


def _submit(cluster, host, route, seconds):
    arguments = ("submit", route, "--tasks", "16", "--accelerators", "1")
    run = json.dumps({"seconds": seconds})
    answer = cluster.cli(host, "al-batinah", *arguments, "--run", run)
    assert answer.returncode == 0, answer.stderr
    return json.loads(answer.stdout)["job_id"]


def _state(cluster, host, job):
    answer = cluster.cli(host, "al-batinah", "status", job)
    return json.loads(answer.stdout).get("state")


def _check_runs(cluster, job, accelerators):
    """Check the workers' histories: the gang started at most once, with all tasks."""
    started = []
    for name in cluster.processes:
        if "-worker-" not in name:
            continue
        history = asyncio.run(get_json(cluster, name, "/v1/history"))
        started += [
            event
            for event in history
            if event["kind"] == "start" and event["attempt_id"].startswith(job)
        ]
    attempts = {event["attempt_id"] for event in started}
    assert len(attempts) <= 1, attempts
    used = sum(event["accelerators"] for event in started)
    assert used in (0, accelerators), started
