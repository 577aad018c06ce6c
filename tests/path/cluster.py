"""Cluster of real processes on loopback: two data centres of two entry hosts each."""

import hashlib
import json
import os
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from tests.path.processes import Process, free_ports

DATA_CENTRES = ("ruwi", "mutrah")
ENTRY_HOSTS = ("ruwi-1", "ruwi-2", "mutrah-1", "mutrah-2")
OPERATORS = ("salma", "yusuf")
ACCOUNTS = ("al-batinah", "nizwa")
START_TIMEOUT_S = 60.0
WORKERS_PER_DATA_CENTRE = 2
TABLES_REVISION = 2
ROUTES = [
    {
        "name": "solder-fit",
        "work": "request",
        "kind": "fit",
        "client_account": "nizwa",
        "pool": "checks",
        "timeout_s": 20.0,
    },
    {
        "name": "motion-set",
        "work": "request",
        "kind": "motion",
        "client_account": "nizwa",
        "pool": "checks",
        "idempotent": False,
        "timeout_s": 20.0,
    },
    {
        "name": "render",
        "work": "job",
        "kind": "render",
        "client_account": "al-batinah",
        "pool": "gangs",
    },
    {
        "name": "simulation",
        "work": "job",
        "kind": "simulation",
        "client_account": "al-batinah",
        "pool": "gangs",
        "idempotent": False,
    },
]


def digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def wait_until(condition: Callable[[], object], description: str) -> None:
    """Wait for a condition; the timeout only ends a test that hangs."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for: {description}"
        time.sleep(0.1)


@contextmanager
def running_cluster(folder: Path) -> Iterator["Cluster"]:
    """Run a cluster whose entry hosts have all adopted the tables of the tests."""
    cluster = Cluster(folder)
    try:
        cluster.start()
        cluster.put_tables("ruwi-1", "salma")
        for host in cluster.apis:
            wait_until(
                lambda host=host: cluster.revision_in_force(host) >= TABLES_REVISION,
                f"tables in force at {host}",
            )
        yield cluster
    finally:
        cluster.close()


class Cluster:
    """Starts stand-ins and entry hosts, and runs commands against them.

    :ivar processes: processes by name
    :ivar apis: URL of the API by entry host
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.processes: dict[str, Process] = {}
        self.apis: dict[str, str] = {}

    def start(self) -> None:
        self._start("platform", ["standin", "platform"])
        platform = self.address("platform")
        self._start_endpoints(f"http://{platform}")
        ports = free_ports(len(ENTRY_HOSTS))
        for host in ENTRY_HOSTS:
            path = self._folder / f"{host}.jsonc"
            path.write_text(self._settings(host, ports, f"http://{platform}"))
            self._start(host, ["serve", str(path)])
        for host in ENTRY_HOSTS:
            self.apis[host] = f"http://{self.address(host)}"
        for host in ENTRY_HOSTS:
            wait_until(lambda host=host: self._is_ready(host), f"{host} ready")

    def restart_entry_host(self, host: str) -> None:
        """Start a new process with the settings of an entry host that ended."""
        self.processes[host].close()
        self._start(host, ["serve", str(self._folder / f"{host}.jsonc")])
        self.apis[host] = f"http://{self.address(host)}"

    def close(self) -> None:
        for process in reversed(list(self.processes.values())):
            process.close()

    def address(self, name: str) -> str:
        return self.processes[name].wait_until_listening()

    def cli(self, host: str, user: str, *arguments: str) -> subprocess.CompletedProcess:
        """Run a command against an entry host as an operator or a client account."""
        return subprocess.run(
            [sys.executable, "-m", "bilberryhitch", *arguments],
            env={
                **os.environ,
                "BILBERRYHITCH_API": self.apis[host],
                "BILBERRYHITCH_TOKEN": f"token-{user}",
            },
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
            check=False,
        )

    def put_tables(self, host: str, operator: str) -> None:
        """Put the tables of pools and routes, pools first."""
        for base, (table, rows) in enumerate(
            (("pools", self._pools()), ("routes", ROUTES))
        ):
            path = self._folder / f"{table}.json"
            path.write_text(json.dumps(rows))
            arguments = (table, "put", str(path), "--base", str(base))
            wait_until(
                lambda arguments=arguments: (
                    self.cli(host, operator, *arguments).returncode == 0
                ),
                f"{table} put",
            )

    def revision_in_force(self, host: str) -> int:
        found = self.cli(host, "salma", "config", "status")
        return json.loads(found.stdout)["revision"] if found.returncode == 0 else -1

    def _start(self, name: str, arguments: list[str]) -> None:
        self.processes[name] = Process(name, arguments)

    def _is_ready(self, host: str) -> bool:
        arguments = [sys.executable, "-c", _READY_CHECK, self.apis[host]]
        return subprocess.run(arguments, check=False).returncode == 0

    def _start_endpoints(self, platform: str) -> None:
        for data_centre in DATA_CENTRES:
            common = ["--data-centre", data_centre, "--platform", platform]
            for number in range(WORKERS_PER_DATA_CENTRE):
                name = f"{data_centre}-worker-{number}"
                location = ["--rack", f"{data_centre}-rack", "--position", str(number)]
                self._start(
                    name, ["standin", "worker", "--name", name, *common, *location]
                )
            name = f"{data_centre}-executor"
            self._start(name, ["standin", "executor", "--name", name, *common])
        for name in self.processes:
            self.address(name)

    def _pools(self) -> list[dict[str, object]]:
        workers = [name for name in self.processes if "-worker-" in name]
        executors = [name for name in self.processes if name.endswith("-executor")]
        guarantee = {
            "client_account": "al-batinah",
            "data_centre": "ruwi",
            "accelerators": 16,
        }
        return [
            {
                "name": "gangs",
                "work": "job",
                "hosts": workers,
                "guarantees": [guarantee],
            },
            {"name": "checks", "work": "request", "hosts": executors},
        ]

    def _settings(self, host: str, ports: list[int], platform: str) -> str:
        rows = [
            {
                "host": name,
                "data_centre": name.rpartition("-")[0],
                "ip": "127.0.0.1",
                "port": port,
            }
            for name, port in zip(ENTRY_HOSTS, ports, strict=True)
        ]
        own_row = next(row for row in rows if row["host"] == host)
        settings = {
            "identity": {"host": host, "data_centre": own_row["data_centre"]},
            "api": {"ip": "127.0.0.1", "port": 0},
            "peer": {"ip": own_row["ip"], "port": own_row["port"]},
            "peers": [row for row in rows if row is not own_row],
            "platform": {"url": platform, "token": "token-platform"},
            "operators": {name: digest(f"token-{name}") for name in OPERATORS},
            "callers": {
                digest(f"token-{account}"): {
                    "client_account": account,
                    "caller": "desk",
                }
                for account in ACCOUNTS
            },
        }
        return "// Written by the path test.\n" + json.dumps(settings, indent=2)


_READY_CHECK = """
import sys, urllib.request
urllib.request.urlopen(sys.argv[1] + "/readyz", timeout=5)
"""
