"""Entry host processes with stand-ins of the platform's store and its workers.

The process tests and the soak test use it on loopback.
"""

import asyncio
import os
import random
import subprocess
import sys
from pathlib import Path

import aiohttp
import msgspec
import pytest
from bilberryhitch_adapter_standins import FleetStandin, StoreStandin
from bilberryhitch_jobs import Resources
from bilberryhitch_standins.simulated_fleet import TaskProfile, WorkerParameters

from tests.path.processes import free_ports

WORKER_PARAMETERS = WorkerParameters(stop_duration_s=0.1)
CALLER_HEADERS = {"Authorization": "Token key-a", "Host": "jobs.example"}
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


class Deployment:
    """A store, workers and entry host processes.

    :param folder: folder of the settings files and logs
    :param work_s: run time of every task in seconds
    :ivar hosts: processes by the name of the entry host
    :ivar ports: ports of the callers' listener, readiness and metrics by host
    """

    def __init__(self, folder: Path, work_s: float):
        rng = random.Random(7)
        self.folder = folder
        self.work_s = work_s
        self.store = StoreStandin(rng)
        self.fleet = FleetStandin(
            self.store,
            self.get_profile,
            rng,
            WORKER_PARAMETERS,
        )
        self.hosts = {}
        self.ports = {}

    def get_profile(self, _task):
        """Return the actual behaviour of a task."""
        return TaskProfile(self.work_s, Resources(1000, 1000, 1), gang_size=1)

    async def start(self, hosts=2, workers=2):
        await self.start_platform(workers)
        for number in range(hosts):
            self.launch(f"host-{number}")
        self.session = aiohttp.ClientSession()
        for name in self.hosts:
            await self.wait_until_ready(name)

    async def start_platform(self, workers):
        """Start the store and the workers."""
        await self.store.start()
        await self.store.put("op", "config", CONFIGURATION)
        await self.fleet.start(workers)

    def get_store_address(self, _name):
        """Return the address at which a host reaches the store."""
        return self.store.listener.address

    def get_settings(self, _name):
        """Return further settings of a host."""
        return {}

    def launch(self, name):
        ports = self.ports.setdefault(name, tuple(free_ports(4)))
        front, ready, metrics, relay = ports
        settings = {
            "node-name": name,
            "zone": "dc",
            "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "metrics-port": metrics,
            "port-range": [relay, relay],
            "platform": {"address": self.get_store_address(name), "row-bytes": 65536},
            "timing-bounds": {"grace-s": 3, "status_s": 120},
            **self.get_settings(name),
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

    async def wait_until_ready(self, name):
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
            method, url, data=data, headers=headers or CALLER_HEADERS
        ) as answer:
            content = await answer.read()
            return answer.status, msgspec.json.decode(content) if content else {}

    async def wait_until_state(self, job, state, name="host-0"):
        answer = None
        for _ in range(400):
            answer = await self.call("GET", f"/fast/{job}", name)
            if answer == (200, {"state": state}):
                return
            await asyncio.sleep(0.05)
        pytest.fail(f"{job} is {answer}, not {state}: {self.log(name)[-3000:]}")

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


def job_id(number):
    return f"{number:016x}"


def job_body(count=2, **fields):
    step = {"count": count, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimate-ms": 300}
    return {"spec": "s", "steps": [{**step, **fields}]}
