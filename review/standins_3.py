"""Stand-ins of the platform's store, executors and machine list for ``review/11`` on.

They follow PROTOCOL.md. Everything runs in the one process of a case; the entry hosts
are processes of their own, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from aiohttp import web

# The scripts start the cases at the root of the repository.
ROOT = Path.cwd()
HOST = "jobs.example"
TX_S = 0.003
ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
HOLD_MAX_S = 10.0
STOP_S = 0.4
BEAT_S = 1.5
UPKEEP_S = 2.0
STARTUP_S = 0.3
NO_ANSWER_S = 3600.0
DECIDE_S, EACH_S, VALID_S = 0.1, 0.005, 5.0
RESTORE_S = 0.1
SAVE_S = 0.5
OK = 200
BOUNDS = {
    "seed-staleness-s": 3,
    "addr-reuse-s": 2,
    "liveness-ms": 3000,
    "ack-ms": 4000,
    "sync-s": 4,
    "drain-ms": 2000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "max-skew-ms": 5000,
    "recovery-s": 12,
    "hold-max-ms": 10000,
    "stop-ms": 400,
    "gang-ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "save-s": 0.5,
    "restore-ms": 100,
    "notice-ms": 4500,
    "move-s": 1.5,
    "upkeep-s": 2,
    "enforce-fencing": False,
    "lease-ms": 3000,
    "preempt-ms": 2900,
}


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, *words):
        """Write one line."""
        text = " ".join(str(word) for word in words)
        self._file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self._file.flush()


def free_port():
    """Return a port that nobody listens on, below those of outgoing connections."""
    while True:
        port = random.randint(15_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


async def serve(handler, port=0):
    """Serve all requests of a loopback port; return the server and the port."""
    app = web.Application(client_max_size=1 << 24)
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port, reuse_address=True)
    await site.start()
    return runner, runner.addresses[0][1]


def reply(document, status=200):
    """Return a response with a JSON body."""
    return web.Response(
        status=status, body=json.dumps(document), content_type="application/json"
    )


class Store:
    """The platform's store, without faults."""

    def __init__(self, record):
        self.rows = {}
        self.revision = 0
        self.refused = []
        self._record = record
        self._history = []
        self._changed = asyncio.Condition()
        self._turns = {}

    async def start(self):
        """Start serving."""
        self._runner, port = await serve(self._handle)
        self.address = f"127.0.0.1:{port}"

    async def close(self):
        """End everything that was started."""
        await self._runner.cleanup()

    def value(self, table, key):
        """Return the JSON value of a row; None if it is absent."""
        found = self.rows.get((table, "", key))
        return None if found is None else json.loads(base64.b64decode(found[0]))

    async def put(self, table, key, document):
        """Write a row in the name of the operator or an executor."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._apply([((table, "", key), value)])

    async def drop(self, table, key):
        """Remove a row in the name of the platform."""
        if (table, "", key) in self.rows:
            await self._apply([((table, "", key), None)])

    async def _apply(self, changes):
        self.revision += 1
        for path, value in changes:
            if value is None:
                self.rows.pop(path, None)
            else:
                self.rows[path] = (value, self.revision)
            self._history.append((self.revision, path, value))
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request):
        call = request.path.rpartition("/")[2]
        if call == "rows-tx":
            return await self._transact(await request.read())
        if call == "rows-get":
            return self._read(request.query)
        if call == "rows-feed":
            return await self._feed(request.query)
        return web.Response(status=404)

    async def _transact(self, data):
        body = json.loads(data)
        expected, writes = body.get("expected-rev", []), body.get("writes", [])
        removed = body.get("remove", [])
        size = max((len(base64.b64decode(each["value"])) for each in writes), default=0)
        entries = len(expected) + len(writes) + len(removed)
        if size > ROW_BYTES or entries > MAX_ENTRIES or len(data) > MAX_CALL_BYTES:
            self.refused.append((size, entries))
            self._record("store refuses: largest value", size, "entries", entries)
            return reply({"error": "over the limit"}, 400)
        part = next((each["part"] for each in [*expected, *writes, *removed]), "")
        async with self._turns.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TX_S)
            if any(
                self.rows.get(_path(each), ("", 0))[1] != each["schema-version"]
                for each in expected
            ):
                rows = [self._row(_path(e)) for e in expected if _path(e) in self.rows]
                return self._reply({"rows": rows}, 412)
            await self._apply(
                [(_path(each), each["value"]) for each in writes]
                + [(_path(each), None) for each in removed]
            )
            return self._reply({})

    def _read(self, query):
        paths = sorted(
            path
            for path in self.rows
            if path[:2] == (query["table"], query.get("part", ""))
            and path[2] >= query.get("from", "")
            and ("to" not in query or path[2] < query["to"])
        )
        limit = min(500, int(query.get("limit", 500)))
        page = [self._row(path) for path in paths[:limit]]
        return self._reply({"rows": page, "has-more": len(paths) > limit})

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            found = [
                change
                for change in self._history
                if change[0] > after and change[1][0] == table
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    continue
        return self._reply({"rows": [_encode(*change) for change in found]})

    def _row(self, path):
        value, revision = self.rows[path]
        return _encode(revision, path, value)

    def _reply(self, document, status=200):
        now_ms = int(time.monotonic() * 1000)
        return reply(
            {**document, "schema-version": self.revision, "now-ms": now_ms}, status
        )


def _path(entry):
    return entry["table"], entry.get("part", ""), entry["key"]


def _encode(revision, path, value):
    row = dict(zip(("table", "part", "key"), path, strict=True))
    row["schema-version"] = revision
    return row | ({"deleted": True} if value is None else {"value": value})


class Run:
    """A run of a task on an executor."""

    def __init__(self, task, number, profile, saved, now):
        self.task, self.number, self.profile = task, number, profile
        self.began = now + (RESTORE_S if saved else 0.0)
        self.saved = saved
        self.stop_at = None


class Executor:
    """One life of a machine.

    :param profile: returns for a task and the number of a run: seconds of work (None:
        it lasts), whether it fails, and the text that it saves
    """

    def __init__(self, fleet, name, machine, rack, port=0):
        self.fleet, self.name, self.machine = fleet, name, machine
        self.rack = rack
        self.port = port
        self.runs = {}
        self.ends = []
        self.sequence = 0
        self.token = 0
        self.closed = {}
        self.lease_until = 0.0
        self.alive = True
        # Until then it answers 503 to starts and does nothing.
        self.refuses_until = 0.0
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - 5.0
        self._beats = 0
        self._tasks = []

    async def start(self):
        """Start serving."""
        self._runner, self.port = await serve(self._handle, self.port)
        await self._register()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]

    async def end(self, *, listed_s=0.0):
        """End at once; the entry goes after some silence."""
        self.alive = False
        for task in self._tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self.fleet.note("ended with its executor", run.task, run.number, self.name)
        self.runs.clear()
        await self._runner.cleanup()
        if listed_s:
            await asyncio.sleep(listed_s)
        await self.fleet.store.drop("servers", self.name)

    async def _register(self):
        self._beats += 1
        await self.fleet.store.put(
            "servers",
            self.name,
            {
                "backend": "pool",
                "address": f"127.0.0.1:{self.port}",
                "zone": "ruwi",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": self._beats,
                "born": self.born,
                "machine": self.machine,
                "capacity": self.fleet.capacity,
                "labels": [self.fleet.kinds.get(self.machine, "a"), self.rack],
            },
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            await self._register()

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for run in list(self.runs.values()):
                seconds, fails, text = run.profile
                if text and now - run.began > SAVE_S:
                    run.saved = text
                if now > self.lease_until:
                    self._finish(run, "lapsed")
                elif run.stop_at is not None and now >= run.stop_at:
                    self._finish(run, "stopped")
                elif seconds is not None and now - run.began >= seconds:
                    self._finish(run, "failed" if fails else "done")

    def _finish(self, run, how):
        del self.runs[run.task]
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self.sequence += 1
        self.ends.append([self.sequence, run.task, run.number, how, run.saved])
        self.fleet.note(how, run.task, run.number, self.name)

    def _clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def _answer(self, status=200, **fields):
        return reply({"clock-ms": self._clock(), "born": self.born, **fields}, status)

    def _extend(self, deadline_ms):
        now = time.monotonic()
        until = min(self.zero + deadline_ms / 1000, now + HOLD_MAX_S)
        self.lease_until = max(self.lease_until, until)

    async def _handle(self, request):
        if request.headers.get("Target-Instance") != self.name:
            return web.Response(status=421)
        body = json.loads(await request.read())
        call = request.path.rpartition("/")[2]
        token = body.get("fencing-token", 0)
        if token < self.token:
            return self._answer(409, reason="fence")
        self.token = token
        if call == "run-start":
            if time.monotonic() < self.refuses_until:
                self.fleet.note("refuses", body["task"], body["run"], self.name)
                return self._answer(503)
            return self._start(body)
        if call == "run-stop":
            return self._stop(body)
        if call == "hold":
            return await self._hold(body)
        return self._answer()

    def _start(self, body):
        task, number = body["task"], body["run"]
        if self.zero + body["deadline-ms"] / 1000 <= time.monotonic():
            return self._answer(409, reason="late")
        self._extend(body["deadline-ms"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return self._answer()
        if present is not None or number <= self.closed.get(task, 0):
            return self._answer(409, reason="old")
        if not self.fleet.has_ticket(task, self.name, body.get("ticket", "")):
            return self._answer(409, reason="ticket")
        profile = self.fleet.profile(task, number)
        saved = body.get("saved", "")
        self.runs[task] = Run(task, number, profile, saved, time.monotonic())
        self.fleet.note("started", task, number, self.name)
        return self._answer()

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.closed[task] = max(number, self.closed.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S / 2
            self.fleet.note("told to stop", task, number, self.name)
        return self._answer()

    async def _hold(self, body):
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        self.ends = [each for each in self.ends if each[0] > body.get("ack-seq", 0)]
        until = time.monotonic() + min(2000, body.get("wait-ms", 0)) / 1000
        while not self.ends and time.monotonic() < until:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        if not self.alive:
            await asyncio.sleep(NO_ANSWER_S)
        running = [
            [run.task, run.number, run.saved, self.percent(run), 0]
            for run in self.runs.values()
        ]
        return self._answer(running=running, finished=self.ends[:500])

    def percent(self, run):
        """Return how much of its work a run has done."""
        elapsed = max(0.0, time.monotonic() - run.began)
        seconds = run.profile[0]
        if seconds is None:
            return 100 if elapsed >= STARTUP_S else int(100 * elapsed / STARTUP_S)
        return min(99, int(100 * elapsed / seconds))


class Fleet:
    """Machines, their executors and the list of machines."""

    def __init__(self, store, record, profile):
        self.store, self.record, self.profile = store, record, profile
        self.capacity = {"cpu": 32000, "mem-mb": 65536, "gpu": 8}
        self.machines = {}
        # Kinds of the machines that are not of kind "a".
        self.kinds = {}
        self.racks = {}
        self.lives = {}
        self.states = {}
        # The interface of the machines: seconds before an answer arrives, and the time
        # until which it answers 503.
        self.slow_s = 0.0
        self.busy_until = 0.0
        self.events = []
        # Jobs of queues with ``advice``, and until when the tickets are valid.
        self.advised = set()
        self.tickets = {}
        self._advice_turn = asyncio.Lock()
        self.orders = []
        # Called with the machine whose upkeep begins.
        self.before_upkeep = lambda machine: None
        self._lives = 0
        self._later = set()

    def note(self, *words):
        """Record an event for the check of the rule."""
        self.events.append((time.monotonic() - self.record.began, *words))
        self.record(*words)

    async def start(self, count):
        """Start machines with an executor each, and the list of machines."""
        for number in range(count):
            await self._add(f"m-{number}", f"r1-{number // 2}")
        self._runner, port = await serve(self._handle)
        self.address = f"127.0.0.1:{port}"

    async def close(self):
        """End everything that was started."""
        for task in self._later:
            task.cancel()
        for executor in list(self.machines.values()):
            if executor is not None and executor.alive:
                await executor.end()
        await self._runner.cleanup()

    async def _add(self, machine, rack, port=0):
        self._lives += 1
        executor = Executor(self, f"x{self._lives:03d}", machine, rack, port)
        self.machines[machine], self.racks[machine] = executor, rack
        self.lives[executor.name] = rack
        await executor.start()

    def at_work(self, job):
        """Return the tasks of a job that run now, with their executors' machines."""
        return {
            run.task: machine
            for machine, executor in self.machines.items()
            if executor is not None
            for run in executor.runs.values()
            if run.task.startswith(job)
        }

    def rack_of(self, name):
        """Return the rack of an executor that has been started."""
        return self.lives[name]

    def spawn(self, work):
        """Run something in the background."""
        task = asyncio.create_task(work)
        self._later.add(task)

    async def crash(self, machine, down_s):
        """An executor sends nothing any more; the machine has a new one later."""
        executor = self.machines[machine]
        self.note("crash", executor.name, machine)
        self.machines[machine], self.states[machine] = None, "down"
        self.spawn(executor.end(listed_s=3 * BEAT_S))
        await asyncio.sleep(down_s)
        await self._add(machine, executor.rack, executor.port)
        self.note("back", self.machines[machine].name, machine)

    async def _upkeep(self, machine):
        executor = self.machines[machine]
        self.machines[machine], self.states[machine] = None, "upkeep"
        await executor.end()
        await asyncio.sleep(UPKEEP_S)
        await self._add(machine, executor.rack)
        self.note("upkeep is over", machine)

    async def _handle(self, request):
        call = request.path.rpartition("/")[2]
        if call != "advise" and time.monotonic() < self.busy_until:
            return reply({}, 503)
        answer = await self._answer(call, request)
        if call != "advise":
            await asyncio.sleep(self.slow_s)
        return answer

    async def _answer(self, call, request):
        if call == "machines":
            machines = [self._entry(name) for name in self.machines]
            return reply({"machines": machines, "next-token": None})
        if call == "advise":
            return await self._advise(json.loads(await request.read()))
        if call != "machine-upkeep":
            return web.Response(status=404)
        body = json.loads(await request.read())
        machine = body["machine"]
        holder = request.headers.get("Lease-Holder")
        token = request.headers.get("Fencing-Token")
        wave = self.store.value("op", f"wave/{body['wave']}") or {}
        if machine not in self.machines:
            return reply({"error": "no such machine"}, 400)
        if machine not in wave.get("machines", ()):
            return reply({"reason": "wave"}, 409)
        if any(each[1:3] == (machine, body["wave"]) for each in self.orders):
            self.note("upkeep ordered again", machine, holder, token)
            return reply({})
        if self.machines[machine] is None:
            return reply({"reason": "busy"}, 409)
        self.orders.append((time.monotonic(), machine, body["wave"]))
        self.before_upkeep(machine)
        self.note("upkeep begins", machine, holder, token)
        self.spawn(self._upkeep(machine))
        await asyncio.sleep(0)
        return reply({})

    async def _advise(self, body):
        """Grant all executors that are asked for; one call at a time."""
        workers = body["workers"]
        async with self._advice_turn:
            await asyncio.sleep(DECIDE_S + EACH_S * len(workers))
        granted = [[each, f"t-{body['step']}-{each}"] for each in workers]
        for each in workers:
            self.tickets[body["step"], each] = time.monotonic() + VALID_S
        self.note("advice", body["step"], len(workers))
        return reply({"granted": granted, "valid-ms": int(VALID_S * 1000)})

    def has_ticket(self, task, executor, ticket):
        """Return whether a start may go ahead as far as the queue's policy goes."""
        step = task.rpartition(".")[0]
        if step.partition(".")[0] not in self.advised:
            return True
        valid = self.tickets.get((step, executor), 0.0) > time.monotonic()
        return valid and ticket == f"t-{step}-{executor}"

    def _entry(self, name):
        executor = self.machines[name]
        entry = {"machine": name, "pool": "pool", "zone": "ruwi"}
        entry["labels"] = [self.kinds.get(name, "a"), self.racks[name]]
        entry["capacity"] = self.capacity
        if executor is None:
            return entry | {"state": self.states[name]}
        return entry | {"state": "up", "id": executor.name}


class Hosts:
    """Entry hosts: processes with the command of the deploy file."""

    def __init__(self, record, store, fleet, folder):
        self._record, self._store, self._fleet = record, store, fleet
        self._folder = Path(folder)
        self._processes = {}
        self._ports = {}

    def launch(self, name):
        """Start the process of an entry host."""
        front, ready, metrics, first = self._ports.setdefault(
            name, [free_port() for _ in range(4)]
        )
        settings = {
            "node-name": name,
            "role": "entry-host",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": "ruwi",
            "region": "muscat",
            "zones": {"ruwi": "muscat"},
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "port-range": [first, first],
            "metrics-port": metrics,
            "bootstrap": True,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "discovery": "platform",
            "heartbeat-ms": 1500,
            "orders": "invoke",
            "advice": self._fleet.address,
            "timing-bounds": BOUNDS,
            "platform": {
                "address": self._store.address,
                "form": "table",
                "writes-per-s": 600,
                "reads-per-s": 2000,
                "tx-ms": 3.0,
                "row-bytes": ROW_BYTES,
                "across": True,
                "history-s": 20,
            },
            "cloud-api": {
                "address": self._fleet.address,
                "rate-per-s": 60.0,
                "duties": [],
                "duty-per-s": 60.0,
            },
        }
        path = self._folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BILBERRYHITCH_NODE_FILE": str(path),
            "SSL_CERT_FILE": "/dev/null",
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                ["python3", "-m", "bilberryhitch_adapter"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self):
        """Wait until all hosts say that they are ready."""
        for name in list(self._processes):
            url = self._readiness_url(name)
            for _ in range(200):
                try:
                    async with self.session.get(url) as answer:
                        if answer.status == OK:
                            break
                except aiohttp.ClientError:
                    pass
                if self._processes[name].poll() is not None:
                    # Another program was faster on one of its ports.
                    self._ports.pop(name, None)
                    self.launch(name)
                    url = self._readiness_url(name)
                await asyncio.sleep(0.1)
            else:
                raise CouldNotRun(f"{name} is not ready")

    def _readiness_url(self, name):
        return f"http://127.0.0.1:{self._ports[name][1]}/bilberryhitch/readyz"

    def leader(self):
        """Return the host that the row of the planner names."""
        lease = self._store.value("planner", "lease") or {}
        return lease.get("holder", "").partition("/")[0]

    def kill(self, name):
        """Kill the process of a host."""
        self._record("SIGKILL", name)
        self._processes[name].kill()

    def terminate(self, name):
        """Stop the process of a host with SIGTERM."""
        self._record("SIGTERM", name)
        self._processes[name].send_signal(signal.SIGTERM)

    async def call(self, method, path, body=None, *, name="host-0", key="key-a"):
        """Make a client's call."""
        url = f"http://127.0.0.1:{self._ports[name][0]}{path}"
        headers = {"Host": HOST, "Timeout-Ms": "3000"}
        if key is not None:
            headers["Authorization"] = f"Token {key}"
        data = None if body is None else json.dumps(body)
        try:
            async with self.session.request(
                method, url, data=data, headers=headers
            ) as answer:
                content = await answer.read()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError) as error:
            status, content = 0, repr(error).encode()
        document = json.loads(content) if status and content else {}
        self._record("client", method, path, "->", status, document)
        return status, document

    async def submit(self, path, body, **options):
        """Hand in a job until it is accepted."""
        for _ in range(8):
            status, _ = await self.call("POST", path, body, **options)
            if status == OK:
                return
            await asyncio.sleep(1.0)
        raise CouldNotRun(f"{path} was not accepted")

    def close(self):
        """End everything that was started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()


class CouldNotRun(Exception):
    """The case has shown nothing."""


def route(name, priority, attempts=3):
    """Return a queue of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeout-ms": 3000,
        "priority": priority,
        "backend": "pool",
        "max-attempts": attempts,
        "stretch": 3.0,
        "target-runtime-ms": 1000,
        "public": False,
    }


CONFIGURATION = {
    "version": 1,
    "routes": [
        route("render", 1),
        route("fitcheck", 0, 2),
        route("open", 2, 2) | {"public": True},
        route("advised", 0, 2)
        | {
            "advice": {
                "decide-ms": DECIDE_S * 1000,
                "each-ms": EACH_S * 1000,
                "valid-ms": VALID_S * 1000,
            }
        },
    ],
    "services": [{"name": "pool", "rejects-overload": False, "spare": False}],
    "tenants": [
        {"name": "a", "keys": ["key-a"], "guaranteed": {"gpu": 8}},
        {"name": "b", "keys": ["key-b"], "guaranteed": {"gpu": 0}},
    ],
    "limits": {"max-body-bytes": 262144},
}


async def run_case(folder, case, profile, *, hosts=3, machines=4, kinds=None):
    """Start everything, run ``case`` and end all processes.

    :param case: called with the record, the store, the fleet and the hosts; returns
        the sentences that say how the rule was broken
    """
    record = Record(folder)
    store = Store(record)
    with tempfile.TemporaryDirectory() as scratch:
        await store.start()
        await store.put("op", "config", CONFIGURATION)
        fleet = Fleet(store, record, profile)
        fleet.kinds.update(kinds or {})
        await fleet.start(machines)
        processes = Hosts(record, store, fleet, os.environ.get("KEEP_LOGS") or scratch)
        try:
            timeout = aiohttp.ClientTimeout(total=4)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                processes.session = session
                for number in range(hosts):
                    processes.launch(f"host-{number}")
                await processes.wait_until_ready()
                broken = await case(record, store, fleet, processes)
        except CouldNotRun as error:
            record("could not run:", error)
            return 2
        finally:
            processes.close()
            await fleet.close()
            await store.close()
    for sentence in broken:
        record("BROKEN:", sentence)
        sys.stdout.write(f"broken: {sentence}\n")
    if not broken:
        record("held")
        sys.stdout.write("held\n")
    return 1 if broken else 0


def trouble():
    """Return whether the case brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(file, case, profile, **options):
    """Run a case and exit with its verdict."""
    folder = os.environ.get("CASE_FOLDER") or Path(file).resolve().parent
    try:
        code = asyncio.run(
            asyncio.wait_for(run_case(folder, case, profile, **options), 118)
        )
    except Exception as error:
        sys.stdout.write(f"could not run: {error!r}\n")
        code = 2
    sys.exit(code)
