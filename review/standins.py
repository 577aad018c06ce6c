"""Stand-ins of a small deployment for the scripts of this review, on loopback.

The platform's store, the machine list, executors and clients follow PROTOCOL.md of the
users' pages. The entry hosts are the project's own processes, started as the deploy
file says. A stand-in misbehaves only where a case tells it to.
"""

import asyncio
import base64
import bisect
import json
import logging
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import msgspec
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
# Below the ports that Linux gives to outgoing connections.
PORTS = (15_000, 32_000)
OK, BAD_REQUEST, CONFLICT, GONE, MISDIRECTED, PRECONDITION, THROTTLED = (
    200,
    400,
    409,
    410,
    421,
    412,
    429,
)
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
MAX_PAGE_ROWS = 500
MAX_ENDS = 500
ROW_BYTES = 65_536
TRANSACTION_S = 0.003
HEARTBEAT_S = 1.5
HOLD_MAX_S = 10.0
STOP_S = 0.1
UPKEEP_S = 2.0
# A task that lasts is at work this long after its start.
STARTUP_S = 1.0
TICK_S = 0.01
FOREVER = "forever"
BODY_TYPE = "application/json"
SCRIPT_LIMIT_S = 115.0
KEYS = {"a": "key-a", "b": "key-b"}
given_ports: set[int] = set()


def trouble() -> bool:
    """Return whether the script is to cause its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start of the script."""
        at = time.monotonic() - self._began_at
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Listener:
    """An HTTP server whose process can be ended and started again on its port."""

    def __init__(self, handle: Callable[[web.Request], Awaitable[web.Response]]):
        self._handle = handle
        self._runner: web.AppRunner | None = None
        self._transports: set[asyncio.Transport] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Return ``ip:port``."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Listen, on the same port as before."""
        app = web.Application(client_max_size=1 << 24)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
        await self._runner.setup()
        await web.TCPSite(
            self._runner, LOOPBACK, self.port, reuse_address=True, backlog=512
        ).start()
        self.port = self._runner.addresses[0][1]

    async def kill(self) -> None:
        """Stop listening and reset all connections, like the end of a process."""
        runner, self._runner = self._runner, None
        for transport in self._transports:
            transport.abort()
        self._transports.clear()
        if runner is not None:
            await runner.cleanup()

    async def _serve(self, request: web.Request) -> web.Response:
        if isinstance(request.transport, asyncio.Transport):
            self._transports.add(request.transport)
        return await self._handle(request)


def reply(status: int, document: dict[str, Any] | None = None) -> web.Response:
    """Return a response with a JSON body."""
    body = msgspec.json.encode(document or {})
    return web.Response(status=status, body=body, content_type=BODY_TYPE)


class Change(NamedTuple):
    """A change of a row; ``value`` is None for a removal."""

    revision: int
    path: tuple[str, str, str]
    value: str | None


class Store:
    """The platform's metadata store: rows, transactions and feeds.

    :ivar refused: transactions that were refused as too large, with the reason
    """

    def __init__(self, record: Record) -> None:
        self.listener = Listener(self._handle)
        self.refused: list[str] = []
        self._record = record
        self._rows: dict[tuple[str, str, str], Change] = {}
        self._history: list[Change] = []
        self._revision = 0
        self._parts: dict[str, asyncio.Lock] = {}
        self._changed = asyncio.Event()

    def value(self, table: str, key: str, part: str = "") -> Any:
        """Return the JSON value of a row, or None."""
        row = self._rows.get((table, part, key))
        if row is None or row.value is None:
            return None
        return json.loads(base64.b64decode(row.value))

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a row in the name of the operator or of an executor."""
        value = base64.b64encode(msgspec.json.encode(document)).decode()
        self._apply([((table, "", key), value)])

    def drop(self, table: str, key: str) -> None:
        """Remove a row in the name of the platform."""
        self._apply([((table, "", key), None)])

    def _apply(self, changes: list[tuple[tuple[str, str, str], str | None]]) -> None:
        self._revision += 1
        for path, value in changes:
            change = Change(self._revision, path, value)
            self._history.append(change)
            if value is None:
                self._rows.pop(path, None)
            else:
                self._rows[path] = change
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: web.Request) -> web.Response:
        calls = {
            "rows-tx": self._transact,
            "rows-get": self._get,
            "rows-feed": self._feed,
        }
        call = calls.get(request.path.rpartition("/")[2])
        return reply(404) if call is None else await call(request)

    async def _transact(self, request: web.Request) -> web.Response:
        content = await request.read()
        body = msgspec.json.decode(content)
        expected, writes = body.get("expected-rev", []), body.get("writes", [])
        entries = [*expected, *writes, *body.get("remove", [])]
        largest = max((len(each["value"]) * 3 // 4 for each in writes), default=0)
        reason = ""
        if len(entries) > MAX_ENTRIES:
            reason = f"{len(entries)} entries"
        elif len(content) > MAX_TRANSACTION_BYTES:
            reason = f"{len(content)} bytes"
        elif largest > ROW_BYTES + 2:
            reason = f"a value of {largest} bytes"
        if reason:
            self.refused.append(reason)
            if len(self.refused) in (1, 10, 100):
                self._record.write(
                    f"store refuses a transaction as too large ({reason});"
                    f" refused so far: {len(self.refused)}"
                )
            return reply(BAD_REQUEST, {"reason": reason})
        async with self._parts.setdefault(entries[0].get("part", ""), asyncio.Lock()):
            await asyncio.sleep(TRANSACTION_S)
            for each in expected:
                row = self._rows.get(_path(each))
                if (row.revision if row else 0) != each["schema-version"]:
                    present = [
                        _encode(self._rows[path])
                        for path in map(_path, expected)
                        if path in self._rows
                    ]
                    return self._reply(PRECONDITION, {"rows": present})
            self._apply(
                [(_path(each), each["value"]) for each in writes]
                + [(_path(each), None) for each in body.get("remove", [])]
            )
        return self._reply(OK, {})

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        wanted = (query["table"], query.get("part", ""))
        last = query.get("to")
        paths = sorted(
            path
            for path in self._rows
            if path[:2] == wanted
            and path[2] >= query.get("from", "")
            and (last is None or path[2] < last)
        )
        page = [_encode(self._rows[path]) for path in paths[:MAX_PAGE_ROWS]]
        return self._reply(OK, {"rows": page, "has-more": len(paths) > MAX_PAGE_ROWS})

    async def _feed(self, request: web.Request) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        ends_at = time.monotonic() + int(request.query["wait-ms"]) / 1000
        while True:
            first = bisect.bisect_right(
                self._history, after, key=lambda change: change.revision
            )
            rows = [_encode(c) for c in self._history[first:] if c.path[0] == table]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return self._reply(OK, {"rows": rows})
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _reply(self, status: int, document: dict[str, Any]) -> web.Response:
        now_ms = int(time.monotonic() * 1000)
        return reply(
            status, {**document, "schema-version": self._revision, "now-ms": now_ms}
        )


def _path(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]


def _encode(change: Change) -> dict[str, Any]:
    table, part, key = change.path
    row: dict[str, Any] = {"table": table, "part": part, "key": key}
    row["schema-version"] = change.revision
    if change.value is None:
        return {**row, "deleted": True}
    return {**row, "value": change.value}


class Run:
    """A run on an executor."""

    def __init__(self, task: str, number: int, spec: str, saved: str) -> None:
        self.task = task
        self.number = number
        self.began_at = time.monotonic()
        self.work_s = float("inf") if spec == FOREVER else float(spec)
        self.done_before_s = float(saved.rpartition("-")[2]) if saved else 0.0
        self.stop_at: float | None = None

    @property
    def done_s(self) -> float:
        """Seconds of work done, those of the checkpoint included."""
        return self.done_before_s + time.monotonic() - self.began_at

    @property
    def percent(self) -> int:
        """Share of the work that is done; 100 for a task that lasts."""
        if self.work_s == float("inf"):
            return 100 if self.done_s >= STARTUP_S else 0
        return min(100, int(100 * self.done_s / self.work_s))


class Executor:
    """One machine with its executor, which may end and start again.

    :param saved: returns the checkpoint of a run; empty for none
    :ivar runs: runs at work by task and number
    :ivar slow_hold_s: how long the next response of ``hold`` is under way
    :ivar listed: set at each response of ``hold``
    :ivar refuses: it is unhealthy and answers starts with 503
    """

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        fleet: "Fleet",
        saved: Callable[[Run], str] = lambda run: "",
    ) -> None:
        self.name = name
        self.machine = f"m-{name}"
        self.identifier = f"i-{name}"
        self.listener = Listener(self._handle)
        self.runs: dict[tuple[str, int], Run] = {}
        self.state = "ready"
        self.machine_state = "down"
        self.slow_hold_s = 0.0
        self.listed = asyncio.Event()
        self.refuses = False
        self.capacity = {"cpu": 32_000, "mem-mb": 65_536, "gpu": 8}
        self._store = store
        self._record = record
        self._fleet = fleet
        self._saved = saved
        self._tasks: list[asyncio.Task[None]] = []
        self._new_life()

    def _new_life(self) -> None:
        self._born_ms = int(time.time() * 1000)
        self._clock_from = time.monotonic() - 5.0
        self._token = 0
        self._lease_until = float("inf")
        self._ends: list[list[Any]] = []
        self._last_end = 0
        self._closed: dict[str, int] = {}
        self._sequence = 0

    @property
    def _clock_s(self) -> float:
        return time.monotonic() - self._clock_from

    async def start(self) -> None:
        """Start the executor and register it."""
        self._new_life()
        await self.listener.start()
        self.state, self.machine_state = "ready", "up"
        self._record.write(f"{self.identifier} up, born {self._born_ms}")
        self.register()
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._beat()),
        ]

    async def end(self, why: str) -> None:
        """End the executor with everything that runs on it."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.machine_state = "down"
        self._record.write(f"{self.identifier} ends ({why}), runs: {len(self.runs)}")
        for run in list(self.runs.values()):
            self._fleet.note_end(self, run, "lost")
        self.runs.clear()
        await self.listener.kill()

    async def crash(self, down_s: float) -> None:
        """Crash and start again under the same identifier after ``down_s``."""
        await self.end("crash")
        await asyncio.sleep(down_s)
        await self.start()

    def register(self) -> None:
        """Write the executor's entry into the store."""
        self._sequence += 1
        entry = {
            "backend": "pool",
            "address": self.listener.address,
            "zone": "ruwi",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "sequence": self._sequence,
            "born": self._born_ms,
            "capacity": self.capacity,
            "labels": ["a", "r1"],
        }
        self._store.put("servers", self.identifier, entry)

    def unregister(self) -> None:
        """Remove the executor's entry from the store."""
        self._store.drop("servers", self.identifier)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            lapsed = self._clock_s > self._lease_until
            for run in list(self.runs.values()):
                if run.stop_at is not None and time.monotonic() >= run.stop_at:
                    self._end_run(run, "stopped")
                elif lapsed:
                    self._end_run(run, "lapsed")
                elif run.done_s >= run.work_s:
                    self._end_run(run, "done")

    def _end_run(self, run: Run, how: str) -> None:
        del self.runs[run.task, run.number]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.number)
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.number, how, self._saved(run)])
        self._fleet.note_end(self, run, how)

    async def _handle(self, request: web.Request) -> web.Response:
        if request.headers.get("Target-Instance") != self.identifier:
            return self._reply(MISDIRECTED)
        calls = {
            "hold": self._hold,
            "run-start": self._start_run,
            "run-stop": self._stop_run,
        }
        call = calls.get(request.path.rpartition("/")[2])
        if call is None:
            return self._reply(404)
        body = msgspec.json.decode(await request.read())
        token = body.get("fencing-token", 0)
        if token < self._token:
            return self._reply(CONFLICT, {"reason": "fence"})
        self._token = token
        return await call(body)

    def _extend_lease(self, body: dict[str, Any]) -> None:
        if "deadline-ms" not in body:
            return
        until = min(body["deadline-ms"] / 1000, self._clock_s + HOLD_MAX_S)
        if self._lease_until == float("inf"):
            self._lease_until = until
        self._lease_until = max(self._lease_until, until)

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        for sequence, task, number, _, _ in self._ends:
            if sequence <= body["ack-seq"]:
                self._fleet.noted.add((self.identifier, task, number))
        self._ends = [end for end in self._ends if end[0] > body["ack-seq"]]
        self._extend_lease(body)
        ends_at = time.monotonic() + body.get("wait-ms", 0) / 1000
        while not self._ends and time.monotonic() < ends_at:  # noqa: ASYNC110
            await asyncio.sleep(TICK_S)
        response = self._reply(
            OK,
            {
                "born": self._born_ms,
                "running": [
                    [run.task, run.number, self._saved(run), run.percent, 0]
                    for run in self.runs.values()
                ],
                "finished": self._ends[:MAX_ENDS],
            },
        )
        if self.slow_hold_s:
            delay_s, self.slow_hold_s = self.slow_hold_s, 0.0
            self._record.write(
                f"{self.identifier} lists {len(self.runs)} runs in a response that"
                f" is {delay_s} s under way"
            )
            await asyncio.sleep(delay_s)
        self.listed.set()
        return response

    async def _start_run(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        if self.refuses:
            self._fleet.note_refusal(self, task, number)
            return self._reply(503)
        if body["deadline-ms"] / 1000 <= self._clock_s:
            return self._reply(CONFLICT, {"reason": "late"})
        self._extend_lease(body)
        if (task, number) in self.runs:
            return self._reply(OK)
        if number <= self._closed.get(task, 0):
            return self._reply(CONFLICT, {"reason": "old"})
        run = Run(task, number, body["spec"], body.get("saved", ""))
        self.runs[task, number] = run
        self._fleet.note_start(self, run)
        return self._reply(OK)

    async def _stop_run(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        self._closed[task] = max(self._closed.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
            self._record.write(f"{self.identifier} stops {task} run {number}")
        return self._reply(OK)

    def _reply(
        self, status: int, document: dict[str, Any] | None = None
    ) -> web.Response:
        clock_ms = int(self._clock_s * 1000)
        return reply(status, {**(document or {}), "clock-ms": clock_ms})


class Fleet:
    """The executors, and what was seen on them.

    :param quiet: job of which the starts and ends of runs are not written
    :ivar twice: runs of one task that were at work at the same time
    :ivar started: number of starts
    :ivar began: tasks that were started
    :ivar ends: ends by task, as ``(number, how)``
    :ivar noted: ends that were acknowledged, as ``(executor, task, number)``
    :ivar again: starts of tasks of which a run had ended ``done``: the run that had,
        as in ``noted``, and a text
    """

    def __init__(self, record: Record, *, quiet: str = "") -> None:
        self.executors: list[Executor] = []
        self.twice: list[str] = []
        self.started = 0
        self.began: set[str] = set()
        self.ends: dict[str, list[tuple[int, str]]] = {}
        self.noted: set[tuple[str, str, int]] = set()
        self.again: list[tuple[tuple[str, str, int], str]] = []
        self._done: dict[str, tuple[str, str, int]] = {}
        self._record = record
        self._quiet = quiet

    def find(self, job: str) -> tuple[Executor, Run] | None:
        """Return a run of a job that is at work, with its executor."""
        for executor in self.executors:
            for run in executor.runs.values():
                if run.task.startswith(job):
                    return executor, run
        return None

    def has_begun(self, job: str) -> bool:
        """Return whether a task of a job was started."""
        return any(task.startswith(job) for task in self.began)

    async def wait_for(self, job: str, limit_s: float = 20.0) -> tuple[Executor, Run]:
        """Wait until a task of a job is at work."""
        async with asyncio.timeout(limit_s):
            while (found := self.find(job)) is None:  # noqa: ASYNC110
                await asyncio.sleep(TICK_S)
        return found

    def running(self, job: str) -> int:
        """Return the number of runs of a job that are at work."""
        return sum(
            task.startswith(job)
            for executor in self.executors
            for task, _ in executor.runs
        )

    def note_start(self, executor: Executor, run: Run) -> None:
        """Record the start of a run."""
        self.started += 1
        self.began.add(run.task)
        others = [
            (other.identifier, number)
            for other in self.executors
            for task, number in other.runs
            if task == run.task and (other, number) != (executor, run.number)
        ]
        if not self._quiet or not run.task.startswith(self._quiet):
            self._record.write(
                f"{executor.identifier} starts {run.task} run {run.number}"
            )
        done = self._done.get(run.task)
        if done is not None:
            text = (
                f"{run.task} run {run.number} starts on {executor.identifier} after run"
                f" {done[2]} has ended done on {done[0]}"
            )
            self.again.append((done, text))
            self._record.write(text)
        for identifier, number in others:
            text = (
                f"{run.task} run {run.number} starts on {executor.identifier} while"
                f" run {number} is at work on {identifier}"
            )
            self.twice.append(text)
            self._record.write(f"TWICE: {text}")

    def note_end(self, executor: Executor, run: Run, how: str) -> None:
        """Record the end of a run."""
        self.ends.setdefault(run.task, []).append((run.number, how))
        if how == "done":
            self._done.setdefault(run.task, (executor.identifier, run.task, run.number))
        if not self._quiet or not run.task.startswith(self._quiet):
            self._record.write(
                f"{executor.identifier} ends {run.task} run {run.number}: {how}"
            )

    def note_refusal(self, executor: Executor, task: str, number: int) -> None:
        """Record a start that an unhealthy executor refused."""
        if not self._quiet or not task.startswith(self._quiet):
            self._record.write(
                f"{executor.identifier} answers 503 to the start of {task} run {number}"
            )


class MachineApi:
    """The platform's list of machines, and their upkeep.

    :ivar upkeeps: upkeeps begun, as ``(machine, runs that it ended)``
    """

    def __init__(self, record: Record, fleet: Fleet) -> None:
        self.listener = Listener(self._handle)
        self.on_upkeep: Callable[[Executor], None] = lambda executor: None
        self._record = record
        self._fleet = fleet
        self._done: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def _handle(self, request: web.Request) -> web.Response:
        call = request.path.rpartition("/")[2]
        if call == "machines":
            return reply(
                OK, {"machines": [self._row(e) for e in self._fleet.executors]}
            )
        if call != "machine-upkeep":
            return reply(404)
        machine = msgspec.json.decode(await request.read())["machine"]
        found = [e for e in self._fleet.executors if e.machine == machine]
        if not found:
            return reply(BAD_REQUEST)
        executor = found[0]
        if machine in self._done:
            return reply(OK)
        if executor.machine_state != "up" or executor.state != "ready":
            return reply(CONFLICT, {"reason": "busy"})
        self._done.add(machine)
        holder = request.headers.get("Lease-Holder")
        self._record.write(f"upkeep of {machine} begins, ordered by {holder}")
        self.on_upkeep(executor)
        task = asyncio.create_task(self._upkeep(executor))
        self._tasks.add(task)
        return reply(OK)

    async def _upkeep(self, executor: Executor) -> None:
        await executor.end("upkeep")
        executor.machine_state = "upkeep"
        executor.unregister()
        await asyncio.sleep(UPKEEP_S)
        executor.identifier += "x"
        await executor.start()
        self._record.write(f"upkeep of {executor.machine} is over")

    def _row(self, executor: Executor) -> dict[str, Any]:
        row: dict[str, Any] = {
            "machine": executor.machine,
            "pool": "pool",
            "state": executor.machine_state,
            "zone": "ruwi",
            "labels": ["a", "r1"],
            "capacity": executor.capacity,
        }
        if executor.machine_state == "up":
            row["id"] = executor.identifier
        return row


class Hosts:
    """Entry hosts: the project's own processes, as the deploy file starts them."""

    def __init__(self, folder: Path, record: Record, store: str, cloud: str) -> None:
        self._folder = folder
        self._record = record
        self._store = store
        self._cloud = cloud
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, dict[str, int]] = {}

    def start(self, name: str) -> None:
        """Start the process of an entry host."""
        ports = self.ports.setdefault(
            name,
            {each: free_port() for each in ("front", "ready", "metrics", "relay")},
        )
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(self._settings(name, ports)))
        environment = {
            each: os.environ[each]
            for each in ("PATH", "HOME", "LANG")
            if each in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["SSL_CERT_FILE"] = "/dev/null"
        environment["BILBERRYHITCH_NODE_FILE"] = str(path)
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                ["python3", "-m", "bilberryhitch_adapter"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"{name} started")

    def kill(self, name: str) -> None:
        """Kill the process of an entry host."""
        process = self._processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self._record.write(f"{name} killed")

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of all hosts with an event."""
        found = []
        for path in sorted(self._folder.glob("*.log")):
            for line in path.read_text(encoding="utf-8").splitlines():
                if f'"event":"{event}"' in line:
                    found.append(json.loads(line))
        return found

    def close(self) -> None:
        """End all processes that were started."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()

    def _settings(self, name: str, ports: dict[str, int]) -> dict[str, Any]:
        return {
            "node-name": name,
            "role": "entry-host",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": LOOPBACK,
            "zone": "ruwi",
            "region": "muscat",
            "zones": {"ruwi": "muscat"},
            "listen": {
                "front": f"{LOOPBACK}:{ports['front']}",
                "ready": f"{LOOPBACK}:{ports['ready']}",
            },
            "port-range": [ports["relay"], ports["relay"]],
            # Several hosts share one address here, so the port of the deploy file is
            # replaced by free ones.
            "metrics-port": ports["metrics"],
            "limits": {"cpu-share": 0.537, "cores": 2, "memory-mb": 300},
            "orders": "invoke",
            "timing-bounds": {"grace-s": 6, "status_s": 120, "liveness-ms": 3000},
            "platform": {"address": self._store, "row-bytes": ROW_BYTES},
            "cloud-api": {"address": self._cloud, "rate-per-s": 60.0},
        }


def free_port() -> int:
    """Return a free port outside the range that outgoing connections use."""
    for port in random.sample(range(*PORTS), 100):
        if port in given_ports:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        given_ports.add(port)
        return port
    raise RuntimeError("no free port")


def route(name: str, prefix: str, priority: int, max_attempts: int) -> dict[str, Any]:
    """Return a queue of the operator's configuration."""
    return {
        "name": name,
        "host": "jobs.example",
        "path-prefix": prefix,
        "timeout-ms": 3000,
        "priority": priority,
        "backend": "pool",
        "max-attempts": max_attempts,
        "stretch": 3.0,
        "target-runtime-ms": 1000,
    }


CONFIGURATION = {
    "version": 3,
    "routes": [
        route("quick", "/quick/", 0, 4),
        route("batch", "/batch/", 1, 3),
        route("batch-b", "/batch-b/", 1, 3),
        route("late", "/late/", 2, 2),
    ],
    "services": [{"name": "pool", "rejects-overload": False}],
    "tenants": [
        {"name": name, "keys": [key], "guaranteed": {"gpu": 8}}
        for name, key in KEYS.items()
    ],
    "limits": {"max-body-bytes": 262_144},
}


class Deployment:
    """A store, executors, a machine list, entry hosts and a client."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        *,
        executors: int,
        saved: Callable[[Run], str] = lambda run: "",
        quiet: str = "",
    ) -> None:
        self.record = record
        self.store = Store(record)
        self.fleet = Fleet(record, quiet=quiet)
        self.cloud = MachineApi(record, self.fleet)
        for number in range(executors):
            self.fleet.executors.append(
                Executor(f"w{number}", self.store, record, self.fleet, saved)
            )
        self._folder = folder
        self._hosts: Hosts | None = None
        self._session: aiohttp.ClientSession | None = None

    @property
    def hosts(self) -> Hosts:
        """The entry hosts."""
        assert self._hosts is not None
        return self._hosts

    async def start(self, hosts: int = 2) -> None:
        """Start everything and wait until the hosts are ready."""
        await self.store.listener.start()
        await self.cloud.listener.start()
        self.store.put("op", "config", CONFIGURATION)
        for executor in self.fleet.executors:
            await executor.start()
        self._hosts = Hosts(
            self._folder,
            self.record,
            self.store.listener.address,
            self.cloud.listener.address,
        )
        self._session = aiohttp.ClientSession()
        for number in range(hosts):
            self.hosts.start(f"host-{number}")
        await self.wait_until_ready()

    async def wait_until_ready(self, limit_s: float = 15.0) -> None:
        """Wait until every host is ready; an error if one is not in time."""
        assert self._session is not None
        ends_at = time.monotonic() + limit_s
        for name, ports in self.hosts.ports.items():
            url = f"http://{LOOPBACK}:{ports['ready']}/bilberryhitch/readyz"
            while True:
                try:
                    async with self._session.get(url) as answer:
                        if answer.status == OK:
                            break
                except aiohttp.ClientError:
                    pass
                if time.monotonic() > ends_at:
                    raise RuntimeError(f"{name} is not ready")
                await asyncio.sleep(0.05)
        self.record.write("all hosts ready")

    async def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        host: str = "host-0",
        tenant: str = "a",
    ) -> tuple[int, dict[str, Any]]:
        """Make one call of a client; the status is 0 without a response."""
        assert self._session is not None
        url = f"http://{LOOPBACK}:{self.hosts.ports[host]['front']}{path}"
        headers = {
            "Host": "jobs.example",
            "Authorization": f"Token {KEYS[tenant]}",
            "Timeout-Ms": "3000",
            "Content-Type": BODY_TYPE,
        }
        data = None if body is None else msgspec.json.encode(body)
        timeout = aiohttp.ClientTimeout(total=3.5)
        try:
            async with self._session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as answer:
                content = await answer.read()
                status = answer.status
                document = msgspec.json.decode(content) if content else {}
        except (aiohttp.ClientError, TimeoutError) as error:
            status, document = 0, {"error": type(error).__name__}
        sent = "" if body is None else f" {len(body['steps'])} step(s)"
        self.record.write(
            f"{tenant}: {method} {path}{sent} to {host} -> {status} {document}"
        )
        return status, document

    async def submit(self, path: str, body: dict[str, Any], **how: str) -> bool:
        """Submit a job as a client does: again after 503, 504 or no answer."""
        for _ in range(5):
            status, _document = await self.call("POST", path, body, **how)
            if status == OK:
                return True
            await asyncio.sleep(1.0)
        return False

    async def close(self) -> None:
        """End all processes and servers."""
        if self._hosts is not None:
            self._hosts.close()
        if self._session is not None:
            await self._session.close()
        for executor in self.fleet.executors:
            await executor.end("end of the script")
        await self.store.listener.kill()
        await self.cloud.listener.kill()


def run_case(
    case_file: str,
    case: Callable[[Deployment], Awaitable[str]],
    **options: Any,
) -> int:
    """Run a case and return the exit code of its script.

    :param case: returns how the rule was broken, empty if it held
    :param options: passed to ``Deployment``
    """

    async def play(record: Record) -> str:
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(record, Path(folder), **options)
            try:
                async with asyncio.timeout(SCRIPT_LIMIT_S):
                    return await case(deployment)
            finally:
                await deployment.close()

    # A handler that ends with its executor is no error of the script.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    record = Record(Path(case_file).resolve().parent)
    record.write(f"TROUBLE={int(trouble())}")
    try:
        broken = asyncio.run(play(record))
    except Exception as error:
        record.write(f"result: could not run: {error!r}")
        return NOT_RUN
    record.write(f"result: rule broken: {broken}" if broken else "result: rule held")
    record.close()
    return BROKEN if broken else HELD
