"""Entry hosts as separate processes on the platform's protocol, with faults."""

import asyncio
import os
import random
import signal
import subprocess
import sys
from pathlib import Path

import aiohttp
import msgspec
import pytest
from bilberryhitch_adapter_standins import FleetStandin, StoreStandin
from bilberryhitch_jobs import Demand
from bilberryhitch_standins.task_workers import TaskTruth, WorkerTerms

TERMS = WorkerTerms(stop_s=0.1)
KEY = {"Authorization": "Token key-a", "Host": "jobs.example"}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "fast",
            "host": "jobs.example",
            "path-prefix": "/fast/",
            "kind": "non_idempotent",
            "timeout-ms": 3000,
            "priority": 0,
            "backend": "pool",
            "max-attempts": 2,
            "stretch": 2.0,
            "target-runtime-ms": 1000,
            "public": False,
        }
    ],
    "services": [{"name": "pool", "rejects-overload": False}],
    "tenants": [{"name": "a", "keys": ["key-a"], "guaranteed": {"gpu": 8}}],
    "limits": {"max-body-bytes": 262144},
}


def free_port():
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Deployment:
    """A store, workers and entry hosts."""

    def __init__(self, folder: Path, work_s: float):
        rng = random.Random(7)
        self.folder = folder
        self.store = StoreStandin(rng)
        self.fleet = FleetStandin(
            self.store,
            lambda task: TaskTruth(work_s, Demand(1000, 1000, 1), gang_size=1),
            rng,
            TERMS,
        )
        self.hosts = {}
        self.ports = {}

    async def start(self, hosts=2, workers=2):
        await self.store.start()
        await self.store.put("op", "config", CONFIGURATION)
        await self.fleet.start(workers)
        for number in range(hosts):
            self.launch(f"host-{number}")
        self.session = aiohttp.ClientSession()
        for name in self.hosts:
            await self.until_ready(name)

    def launch(self, name):
        ports = self.ports.setdefault(name, (free_port(), free_port(), free_port()))
        front, ready, metrics = ports
        settings = {
            "node-name": name,
            "zone": "dc",
            "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "metrics-port": metrics,
            "platform": {"address": self.store.listener.address, "row-bytes": 65536},
            "timing-bounds": {"grace-s": 3, "status_s": 120},
        }
        path = self.folder / f"{name}.jsonc"
        path.write_bytes(msgspec.json.encode(settings))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.hosts[name] = subprocess.Popen(
                [sys.executable, "-m", "bilberryhitch_adapter"],
                env={**os.environ, "BILBERRYHITCH_NODE_FILE": str(path)},
                stdout=log,
                stderr=log,
            )

    async def until_ready(self, name):
        url = f"http://127.0.0.1:{self.ports[name][1]}/bilberryhitch/readyz"
        for _ in range(200):
            try:
                async with self.session.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)
        pytest.fail(f"{name} is not ready: {self.log(name)[-2000:]}")

    async def call(self, method, path, name="host-0", body=None, headers=None):
        url = f"http://127.0.0.1:{self.ports[name][0]}{path}"
        data = None if body is None else msgspec.json.encode(body)
        async with self.session.request(
            method, url, data=data, headers=headers or KEY
        ) as answer:
            content = await answer.read()
            return answer.status, msgspec.json.decode(content) if content else {}

    async def until_state(self, job, state, name="host-0"):
        seen = None
        for _ in range(400):
            seen = await self.call("GET", f"/fast/{job}", name)
            if seen == (200, {"state": state}):
                return
            await asyncio.sleep(0.05)
        pytest.fail(f"{job} is {seen}, not {state}: {self.log(name)[-3000:]}")

    def log(self, name):
        return (self.folder / f"{name}.log").read_text()

    def leader(self):
        value = msgspec.json.decode(self.store.rows("planner")["lease"])
        return value["holder"].partition("/")[0]

    async def close(self):
        for process in self.hosts.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        await self.session.close()
        await self.fleet.close()
        await self.store.close()


def job(number):
    return f"{number:016x}"


def body(count=2, **terms):
    step = {"count": count, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimate-ms": 300}
    return {"spec": "s", "steps": [{**step, **terms}]}


def play(folder, scene, work_s=0.3, **sizes):
    async def run():
        deployment = Deployment(folder, work_s)
        try:
            await deployment.start(**sizes)
            await scene(deployment)
            assert deployment.fleet.fleet.overlaps == []
            assert deployment.fleet.fleet.overbooked == []
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
