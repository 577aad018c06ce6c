"""Stand-ins and helpers of the cases 6 to 10: executors, machine API, entry hosts.

They follow the users' page PROTOCOL.md. The store is the project's own stand-in. All
listeners are on loopback addresses and on free ports.
"""

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web
from bilberryhitch_adapter_standins.store import StoreStandin

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
TICK_S = 0.02
HEARTBEAT_S = 1.5
UPKEEP_S = 2.0
STOP_S = 0.2
MAX_LEASE_S = 10.0
READY_ATTEMPTS, READY_PAUSE_S = 300, 0.1
HEADERS = {"Authorization": "Token key-a", "Host": "jobs.example"}
OK, REFUSED, GONE, MISDIRECTED = 200, 503, 410, 421
# Outside the ports that the kernel gives to outgoing connections.
PORTS = (15_000, 32_000)


def troubled() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def job_id(number: int) -> str:
    """Return an identifier of 16 hexadecimal digits."""
    return f"{number:016x}"


def free_port() -> int:
    """Return a free port on loopback."""
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._began_at

    def add(self, kind: str, **fields: Any) -> float:
        """Write a line and return its time."""
        now = self.now
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now:8.3f} {kind} {text}\n")
        self._file.flush()
        return now


class Run:
    """A run of a task on an executor."""

    def __init__(self, task: str, number: int, spec: dict[str, Any]) -> None:
        self.task = task
        self.number = number
        self.work_s = float(spec.get("work_s", 1.0))
        self.lasting = bool(spec.get("lasting"))
        self.fail_s = float(spec.get("fail_s", 0.0))
        self.save_s = float(spec.get("save_s", 0.0))
        self.saved_chars = int(spec.get("saved_chars", 16))
        self.began_at = time.monotonic()
        self.stop_at: float | None = None

    @property
    def percent(self) -> int:
        """Work done; that of a lasting task is its share at work."""
        return min(100, int(100 * (time.monotonic() - self.began_at) / self.work_s))

    @property
    def saved(self) -> str:
        """Name of the last saved state; empty without one."""
        saves = (
            int((time.monotonic() - self.began_at) / self.save_s) if self.save_s else 0
        )
        if not saves:
            return ""
        text = f"{self.task}/{self.number}/{saves}".encode()
        return hashlib.sha256(text).hexdigest()[: self.saved_chars]


class Executor:
    """One executor; ``restart`` begins another life under its identifier."""

    def __init__(
        self, fleet: "Fleet", name: str, machine: str, rack: str, kind: str = "a"
    ) -> None:
        self.name = name
        self.machine = machine
        self.rack = rack
        self.kind = kind
        self.port = 0
        self.alive = False
        self.runs: dict[str, Run] = {}
        self._fleet = fleet
        self._runner: web.AppRunner | None = None
        self._transports: set[asyncio.BaseTransport] = set()
        self._life = 0
        self._begin_life()

    def _begin_life(self) -> None:
        self._life += 1
        self.born = int(time.time() * 1000)
        self._clock_base = time.monotonic()
        self._ends: list[list[Any]] = []
        self._end_count = 0
        self._closed: dict[str, int] = {}
        self._token = 0
        self._lease_until = time.monotonic()

    @property
    def entry(self) -> dict[str, Any]:
        """Its registration."""
        return {
            "backend": "pool",
            "address": f"127.0.0.1:{self.port}",
            "zone": "dc",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": {"cpu": 32_000, "mem-mb": 64_000, "gpu": 8},
            "labels": [self.kind, self.rack],
            "machine": self.machine,
            "born": self.born,
            "clock-ms": self._clock_ms(),
            "sequence": 1,
        }

    async def start(self) -> None:
        """Listen and register."""
        self._begin_life()
        app = web.Application()
        app.router.add_post("/bilberryhitch/{call}", self._handle)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await self._runner.setup()
        self.port = self.port or free_port()
        await web.TCPSite(
            self._runner, "127.0.0.1", self.port, reuse_address=True
        ).start()
        self.alive = True
        await self._fleet.store.put("servers", self.name, self.entry)
        self._fleet.record.add("executor-up", executor=self.name, machine=self.machine)

    async def crash(self, why: str) -> None:
        """End at once, with everything that runs here."""
        self.alive = False
        # Nothing is answered any more, not even a call that is held open.
        self._life += 1
        for transport in self._transports:
            transport.abort()  # type: ignore[attr-defined]
        self._transports.clear()
        self._fleet.record.add(
            "executor-ends", executor=self.name, why=why, runs=sorted(self.runs)
        )
        for run in list(self.runs.values()):
            del self.runs[run.task]
            self._fleet.note_end(self, run, "with its executor")
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def advance(self) -> None:
        """End the runs whose work, stop or lease is over."""
        now = time.monotonic()
        for run in list(self.runs.values()):
            if now > self._lease_until:
                self._end(run, "lapsed")
            elif run.stop_at is not None and now >= run.stop_at:
                self._end(run, "stopped")
            elif run.fail_s and now - run.began_at >= run.fail_s:
                self._end(run, "failed")
            elif not run.lasting and now - run.began_at >= run.work_s:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        self._end_count += 1
        saved = "" if how == "done" else run.saved
        self._ends.append([self._end_count, run.task, run.number, how, saved])
        self._fleet.note_end(self, run, how)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_base) * 1000) + 1000

    def _reply(self, status: int = OK, **fields: Any) -> web.Response:
        body = {"clock-ms": self._clock_ms(), "born": self.born, **fields}
        return web.json_response(body, status=status)

    def _extend(self, deadline_ms: int) -> None:
        now = time.monotonic()
        until = now + (deadline_ms - self._clock_ms()) / 1000
        self._lease_until = max(self._lease_until, min(until, now + MAX_LEASE_S))

    async def _handle(self, request: web.Request) -> web.Response:
        life = self._life
        if request.transport is not None:
            self._transports.add(request.transport)
        if request.headers.get("Target-Instance") != self.name:
            return web.Response(status=MISDIRECTED)
        body = await request.json()
        if life != self._life:
            raise ConnectionResetError
        token = body.get("fencing-token", 0)
        if token < self._token:
            return self._reply(409, reason="fence")
        self._token = token
        call = request.match_info["call"]
        if call == "run-start":
            return self._start_run(body)
        if call == "run-stop":
            return self._stop_run(body)
        if call == "hold":
            return await self._hold(body)
        return self._reply()

    def _start_run(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        if body["deadline-ms"] <= self._clock_ms():
            return self._reply(409, reason="late")
        self._extend(body["deadline-ms"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return self._reply()
        if present is not None or number <= self._closed.get(task, 0):
            return self._reply(409, reason="old")
        run = self.runs[task] = Run(task, number, json.loads(body["spec"]))
        self._fleet.note_start(self, run)
        return self._reply()

    def _stop_run(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        self._closed[task] = max(number, self._closed.get(task, 0))
        run = self.runs.get(task)
        self._fleet.record.add("stop-order", executor=self.name, task=task, run=number)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
        return self._reply()

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        if body.get("deadline-ms"):
            self._extend(body["deadline-ms"])
        acknowledged = body.get("ack-seq", 0)
        self._ends = [end for end in self._ends if end[0] > acknowledged]
        for _ in range(int(body.get("wait-ms", 0) / 1000 / TICK_S)):
            if self._ends:
                break
            await asyncio.sleep(TICK_S)
        running = [
            [run.task, run.number, run.saved, run.percent, 0]
            for run in self.runs.values()
        ]
        return self._reply(running=running, finished=self._ends[:500])


class Fleet:
    """All executors; notes each start and end of a run."""

    def __init__(self, store: StoreStandin, record: Record) -> None:
        self.store = store
        self.record = record
        self.executors: dict[str, Executor] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.on_start: Callable[[Executor, Run], None] = lambda _executor, _run: None
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, count: int) -> None:
        """Start executors, two a rack."""
        for number in range(count):
            await self.add(f"m-{number}", f"r{number // 2}")
        self._spawn(self._advance())

    async def close(self) -> None:
        """End all executors."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for executor in self.executors.values():
            if executor.alive:
                await executor.crash("close")

    async def add(self, machine: str, rack: str, kind: str = "a") -> Executor:
        """Start an executor with a new identifier on a machine."""
        self._count += 1
        executor = Executor(self, f"i-{self._count:04d}", machine, rack, kind)
        self.executors[executor.name] = executor
        await executor.start()
        return executor

    async def lose(self, executor: Executor, why: str) -> None:
        """Crash an executor; its entry is removed after three heartbeats of silence."""
        await executor.crash(why)
        self._spawn(self._expire(executor))

    async def restart(self, executor: Executor, down_s: float) -> None:
        """Crash an executor, which starts again under its identifier."""
        await executor.crash("crash")
        await asyncio.sleep(down_s)
        await executor.start()

    def where(self, task: str) -> Executor | None:
        """Return the executor on which a task runs."""
        found = [each for each in self.executors.values() if task in each.runs]
        return found[0] if found else None

    def note_start(self, executor: Executor, run: Run) -> None:
        """Note the start of a run."""
        at = self.record.add(
            "run-starts", executor=executor.name, task=run.task, run=run.number
        )
        self.starts.append((at, run.task, run.number, executor.name))
        self.on_start(executor, run)

    def note_end(self, executor: Executor, run: Run, how: str) -> None:
        """Note the end of a run."""
        at = self.record.add(
            "run-ends", executor=executor.name, task=run.task, run=run.number, how=how
        )
        self.ends.append((at, run.task, run.number, executor.name, how))

    def spawn(self, work: Any) -> None:
        """Run a coroutine until the fleet is closed."""
        self._spawn(work)

    def _spawn(self, work: Any) -> None:
        self._tasks.add(asyncio.create_task(work))

    async def _expire(self, executor: Executor) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.drop("servers", executor.name)
        self.record.add("entry-removed", executor=executor.name)

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for executor in list(self.executors.values()):
                if executor.alive:
                    executor.advance()


class MachineApi:
    """The platform's list of machines and its order of upkeep; it checks no fences.

    :ivar begun: time, machine and tasks of each upkeep that has begun
    :ivar orders: time, machine, holder and fencing token of each order
    """

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.address = f"127.0.0.1:{free_port()}"
        self.wave: dict[str, Any] = {}
        self.begun: list[tuple[float, str, list[str]]] = []
        self.orders: list[tuple[float, str, str, int]] = []
        self._fleet = fleet
        self._record = record
        self._done: set[str] = set()
        self._down: set[str] = set()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen."""
        app = web.Application()
        app.router.add_get("/bilberryhitch/machines", self._list)
        app.router.add_post("/bilberryhitch/machine-upkeep", self._begin)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _machines(self) -> dict[str, Executor]:
        # Of several executors of one machine the last is the present one.
        return {each.machine: each for each in self._fleet.executors.values()}

    async def _list(self, _request: web.Request) -> web.Response:
        machines = [
            {
                "machine": name,
                "pool": "pool",
                "state": "upkeep" if name in self._down else "up",
                "zone": "dc",
                "labels": ["a", executor.rack],
                "capacity": {"cpu": 32_000, "mem-mb": 64_000, "gpu": 8},
                "id": executor.name if executor.alive else "",
            }
            for name, executor in self._machines().items()
        ]
        return web.json_response({"machines": machines, "next-token": None})

    async def _begin(self, request: web.Request) -> web.Response:
        body = await request.json()
        name = body["machine"]
        status, reason = self._judge(name, body["wave"])
        holder = request.headers.get("Lease-Holder", "")
        token = int(request.headers.get("Fencing-Token", 0))
        at = self._record.add(
            "upkeep-order",
            machine=name,
            holder=holder,
            token=token,
            status=status,
            reason=reason,
        )
        self.orders.append((at, name, holder, token))
        if status == OK and name not in self._done:
            self._done.add(name)
            self._down.add(name)
            executor = self._machines()[name]
            self.begun.append((self._record.now, name, sorted(executor.runs)))
            await self._fleet.lose(executor, "upkeep")
            self._fleet.spawn(self._return(executor))
        return web.json_response({"reason": reason} if reason else {}, status=status)

    def _judge(self, name: str, wave: int) -> tuple[int, str]:
        if name not in self._machines():
            return 400, "none"
        if name in self._done:
            return OK, ""
        if wave != self.wave.get("wave") or name not in self.wave["machines"]:
            return 409, "wave"
        return (409, "busy") if name in self._down else (OK, "")

    async def _return(self, executor: Executor) -> None:
        await asyncio.sleep(UPKEEP_S)
        await self._fleet.add(executor.machine, executor.rack)
        self._down.discard(executor.machine)


class Hosts:
    """Processes of the entry hosts, started by the command of the deploy file.

    :param between: addresses of the store and the machine API for single hosts, as
        for those behind a proxy
    """

    def __init__(
        self,
        record: Record,
        store: str,
        cloud: str = "",
        between: dict[str, tuple[str, str]] | None = None,
    ) -> None:
        self.record = record
        self._between = between or {}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.session = aiohttp.ClientSession()
        self._store = store
        self._cloud = cloud
        self._ports: dict[str, tuple[int, int, int, int]] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    async def start(self, count: int) -> None:
        """Start hosts ``host-0`` and so on and wait until they are ready."""
        for number in range(count):
            self.launch(f"host-{number}")
        for name in self._processes:
            await self._wait_until_ready(name)

    def launch(self, name: str) -> None:
        """Start the process of a host."""
        if name not in self._ports:
            self._ports[name] = tuple(free_port() for _ in range(4))  # type: ignore
        front, ready, metrics, between = self._ports[name]
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(self._settings(name, front, ready, metrics)))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SSL_CERT_FILE": "/dev/null",
            "BILBERRYHITCH_NODE_FILE": str(path),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                ["python3", "-m", "bilberryhitch_adapter"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.add("host-starts", host=name, relay=between)

    def kill(self, name: str) -> None:
        """Kill a host's process."""
        self._processes[name].send_signal(signal.SIGKILL)
        self._processes[name].wait()
        self.record.add("host-killed", host=name)

    def log(self, name: str) -> str:
        """Return what a host has written."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        host: str = "host-0",
        headers: dict[str, str] | None = None,
        give_up_s: float = 10.0,
    ) -> tuple[int, Any]:
        """Make a client's call; the status is 0 without an answer."""
        url = f"http://127.0.0.1:{self._ports[host][0]}{path}"
        self.record.add("call", method=method, path=path, host=host)
        timeout = aiohttp.ClientTimeout(total=give_up_s)
        data = None if body is None else json.dumps(body)
        try:
            async with self.session.request(
                method, url, data=data, headers=headers or HEADERS, timeout=timeout
            ) as answer:
                text = await answer.text()
                status, content = answer.status, json.loads(text) if text else {}
        except (aiohttp.ClientError, TimeoutError) as error:
            status, content = 0, repr(error)[:80]
        self.record.add("answer", method=method, path=path, status=status, body=content)
        return status, content

    async def close(self) -> None:
        """End all processes and remove the settings and logs."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        await self.session.close()
        if os.environ.get("KEEP_LOGS"):
            sys.stderr.write(f"{self.folder}\n")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(
        self, name: str, front: int, ready: int, metrics: int
    ) -> dict[str, Any]:
        between = self._ports[name][3]
        store, cloud = self._between.get(name, (self._store, self._cloud))
        return {
            "node-name": name,
            "role": "entry-host",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": "dc",
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "metrics-port": metrics,
            "port-range": [between, between],
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
            },
            "timing-bounds": {
                "liveness-ms": 3000,
                "ack-ms": 4000,
                "grace-s": 6,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "stop-ms": 400,
                "notice-ms": 4500,
                "upkeep-s": 2,
                "status_s": 120,
            },
            "orders": "invoke",
            "platform": {
                "address": store,
                "form": "table",
                "row-bytes": 65536,
                "tx-ms": 3.0,
            },
            "cloud-api": {"address": cloud} if cloud else {},
        }

    async def _wait_until_ready(self, name: str) -> None:
        url = f"http://127.0.0.1:{self._ports[name][1]}/bilberryhitch/readyz"
        for _ in range(READY_ATTEMPTS):
            try:
                async with self.session.get(url) as answer:
                    if answer.status == OK:
                        self.record.add("host-ready", host=name)
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(READY_PAUSE_S)
        raise RuntimeError(f"{name} is not ready: {self.log(name)[-500:]}")


def configuration(*routes: dict[str, Any], gpu: int = 8) -> dict[str, Any]:
    """Return the operator's configuration; ``routes`` replace the usual two."""
    usual = (
        {"name": "batch", "path-prefix": "/batch/", "priority": 1, "max-attempts": 3},
        {"name": "fast", "path-prefix": "/fast/", "priority": 0, "max-attempts": 2},
    )
    common = {
        "host": "jobs.example",
        "kind": "non_idempotent",
        "timeout-ms": 3000,
        "backend": "pool",
        "stretch": 3.0,
        "target-runtime-ms": 1000,
        "public": False,
    }
    return {
        "version": 1,
        "routes": [{**common, **route} for route in routes or usual],
        "services": [{"name": "pool", "rejects-overload": False, "spare": False}],
        "tenants": [
            {"name": "a", "keys": ["key-a"], "guaranteed": {"gpu": gpu}},
            {"name": "b", "keys": ["key-b"], "guaranteed": {"gpu": gpu}},
        ],
        "limits": {"max-body-bytes": 262144},
    }


def main(case: Callable[[Record], Awaitable[int]], folder: Path) -> None:
    """Run a case and end with its exit code."""
    record = Record(folder)
    # The case ends its processes also if it is told to stop.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = asyncio.run(asyncio.wait_for(case(record), 115))
    except (Exception, KeyboardInterrupt) as error:
        record.add("not-run", error=repr(error))
        code = NOT_RUN
    record.add("exit", code=code, trouble=int(troubled()))
    sys.exit(code)
