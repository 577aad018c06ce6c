"""Simulates entry hosts in one process, with fake executors, links and faults."""

import asyncio
import random
from collections import defaultdict
from itertools import count

from bilberryhitch_model import (
    Host,
    Identity,
    Outcome,
    Pool,
    RequestCall,
    Route,
    Tables,
)
from bilberryhitch_model.errors import (
    BadInput,
    ExecutorLost,
    ExecutorNotAccepted,
    PeerTimeout,
    PeerUnsent,
)
from bilberryhitch_platform import MemoryTables
from bilberryhitch_requests import ExecutorAnswer, RequestService
from bilberryhitch_testing import FaultyTables, VirtualTimeLoop

TIMEOUT_S = 2.0
SLOTS = 2
# Run times as fractions of the time-out: a "late" run exceeds the caller's time-out
# if the request waited for a slot, a "slow" run exceeds that of the executor call.
RUN_TIME_FRACTIONS = {"late": 0.95, "slow": 1.3}
ROUTE_MAX_BODY_BYTES = 400
CENTRES = {"e1": "ruwi", "e2": "ruwi", "e3": "ruwi", "s1": "seeb"}
EXECUTORS = [Host(n, "executor", d, n) for n, d in (("x1", "ruwi"), ("y1", "seeb"))]
TABLES = Tables(
    1,
    {
        name: Route(
            name, "request", "k", "acme", "p",
            idempotent=name == "twice", timeout_s=TIMEOUT_S,
            max_body_bytes=ROUTE_MAX_BODY_BYTES,
        )
        for name in ("once", "twice")
    },
    {"p": Pool("p", "request", ("x1", "y1"), max_queued=6)},
)  # fmt: skip


def answer_to(body):
    return b"whole answer to " + body + b"." * 20


class Executor:
    """A fake executor: a run that it has started ends even if the caller is gone."""

    def __init__(self, world):
        self.world = world
        self.running = self.most_running = 0
        self.faults = []
        self.answers = []

    async def run(self, attempt, body):
        fault = self.faults.pop() if self.faults else ""
        await asyncio.sleep(0.001)
        if fault == "refuse" or self.running >= SLOTS:
            raise ExecutorNotAccepted("x", "full")
        if fault == "drop_before":
            raise ExecutorLost("x", "dropped")
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.world.record_event("ran", body=body)
        await asyncio.sleep(TIMEOUT_S * RUN_TIME_FRACTIONS.get(fault, 0.15))
        self.running -= 1
        return self._answer(fault, attempt, answer_to(body))

    def _answer(self, fault, attempt, whole):
        answer = ExecutorAnswer(attempt, 200, len(whole), whole)
        self.answers.append(answer)
        if fault == "drop_after":
            raise ExecutorLost("x", "dropped")
        if fault in ("crossed", "duplicate"):  # answer of an earlier run
            return self.answers[0]
        if fault == "truncated":
            return answer._replace(body=whole[:-5])
        if fault == "over_long":
            long = whole + b"+" * ROUTE_MAX_BODY_BYTES
            return answer._replace(content_length=len(long), body=long)
        return answer


class Process:
    """One incarnation of an entry host.

    :ivar gate: closed while the process is stopped; outputs wait for it
    :ivar hidden: entry hosts that it does not see as live
    """

    def __init__(self, world, name, number):
        self.world, self.name = world, name
        self.gate = asyncio.Event()
        self.gate.set()
        self.dead = False
        self.tables = FaultyTables(world.rows)
        self.hidden = set()
        identity = Identity(name, CENTRES[name], f"i{number}")
        self.service = RequestService(
            identity, self.tables, config=self, membership=self, peers=self,
            executors=self, now=lambda: 0.0, new_id=world.new_id,
            rng=random.Random(number), slots_per_executor=SLOTS,
        )  # fmt: skip

    tables_view = TABLES

    def entry_hosts(self, data_centre):
        live = [n for n, p in self.world.hosts.items() if not p.dead or p is self]
        return [n for n in live if CENTRES[n] == data_centre and n not in self.hidden]

    def endpoints(self, kind, data_centre):
        return [host for host in EXECUTORS if host.data_centre == data_centre]

    def is_leaving(self, host):
        return False

    async def probe(self, host, timeout_s):
        return True

    async def call(self, *arguments, **options):
        await self.gate.wait()
        if isinstance(arguments[0], Host):
            return await self._call_executor(*arguments)
        return await self.world.deliver(self, *arguments, **options)

    async def _call_executor(self, host, attempt, route, body, *limits):
        run = asyncio.ensure_future(self.world.executors[host.name].run(attempt, body))
        run.add_done_callback(lambda task: task.cancelled() or task.exception())
        answer = await asyncio.shield(run)
        await self.gate.wait()
        return answer

    def stop(self, *, for_good):
        self.gate.clear()
        self.tables.pause()
        self.dead = for_good

    def resume(self):
        self.gate.set()
        self.tables.resume()


class World:
    """All processes, the links between them and the history of events."""

    def __init__(self):
        self.loop = VirtualTimeLoop()
        self.rows = MemoryTables()
        self.executors = {host.name: Executor(self) for host in EXECUTORS}
        self.cuts, self.link_faults, self.replies = set(), [], []
        self.history, self.calls, self.handles = [], {}, {}
        self.numbers = count(1)
        self.hosts = {}
        for name in CENTRES:
            self.start(name)
        self.heartbeat_task = self.loop.create_task(self._heartbeats())
        self.advance(1.0)

    def new_id(self):
        return f"n{next(self.numbers)}"

    def record_event(self, event, **fields):
        self.history.append({"event": event, **fields})

    def start(self, name):
        process = self.hosts[name] = Process(self, name, next(self.numbers))
        self.loop.run_until_complete(process.service.start())

    def advance(self, seconds):
        self.loop.advance(seconds)

    def submit(self, host, route, key="", body=None):
        number = next(self.numbers)
        body = body or f"body {key or number}".encode()
        self.record_event(
            "submitted", call=number, body=body, once=route == "once", key=key
        )
        call = RequestCall("acme", "c", route, body, key)
        self.loop.create_task(self._submit(self.hosts[host], number, call))
        return number

    async def _submit(self, process, number, call):
        try:
            outcome = await process.service.submit(call)
        except BadInput:
            return
        await process.gate.wait()
        self.calls[number] = outcome
        if outcome.handle:
            self.handles[outcome.handle] = (number, call.body)
        self.record_event(
            "answered", call=number, status=outcome.status, body=outcome.body,
            request=call.body,
        )  # fmt: skip

    def request_status(self, host, handle):
        self.loop.create_task(self._ask(self.hosts[host], handle))

    async def _ask(self, process, handle):
        result = await process.service.status(handle, "acme")
        await process.gate.wait()
        number, request = self.handles[handle]
        outcome = result.ok if result.is_ok() else Outcome("unknown")
        self.record_event(
            "answered", call=number, status=outcome.status, body=outcome.body,
            request=request,
        )  # fmt: skip

    async def deliver(self, sender, host, message, timeout_s):
        """Deliver a call to the incarnation that runs on the host when it arrives."""
        if frozenset((sender.name, host)) in self.cuts:
            raise PeerUnsent(host)
        fault = self.link_faults.pop() if self.link_faults else ""
        if fault == "duplicate":
            for delay_s in (0.002, 0.4, 3.0):
                self.loop.create_task(self._arrive(sender, host, message, delay_s))
        try:
            async with asyncio.timeout(timeout_s):
                delay_s = 1.5 if fault == "delay" else 0.0005
                reply = await self._arrive(sender, host, message, delay_s)
                await asyncio.sleep(0.0005)
                if fault == "lose_reply" or frozenset((sender.name, host)) in self.cuts:
                    await asyncio.Event().wait()
                self.replies.append(reply)
                if fault == "crossed":
                    same = [each for each in self.replies if type(each) is type(reply)]
                    reply = same[0]
                await sender.gate.wait()
                return reply
        except TimeoutError:
            raise PeerTimeout(host) from None

    async def _arrive(self, sender, host, message, delay_s):
        await asyncio.sleep(delay_s)
        target = self.hosts[host]
        await target.gate.wait()
        reply = await target.service.handle(sender.name, message)
        await target.gate.wait()
        return reply

    async def _heartbeats(self):
        while True:
            for sender in list(self.hosts.values()):
                for other in list(self.hosts.values()):
                    cut = frozenset((sender.name, other.name)) in self.cuts
                    if cut or not (sender.gate.is_set() and other.gate.is_set()):
                        continue
                    other.service.receive_free_slots(
                        sender.name, sender.service.free_slots()
                    )
                    other.service.receive_usage(sender.name, sender.service.usage())
            await asyncio.sleep(0.5)

    def heal(self):
        self.cuts.clear()
        self.link_faults.clear()
        for executor in self.executors.values():
            executor.faults.clear()
        for name, process in list(self.hosts.items()):
            process.hidden.clear()
            process.tables.down, process.tables.slow_s = False, 0.0
            if process.dead:
                self.start(name)
            process.resume() if not process.dead else None

    def finish(self):
        """End all faults, let all requests finish and return the history."""
        self.heal()
        self.advance(6 * TIMEOUT_S)
        for handle in self.handles:
            self.request_status("e1", handle)
        self.advance(3 * TIMEOUT_S)
        return self.history

    def close(self):
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()


def by_request(history):
    """Group events by the body of their request."""
    groups = defaultdict(list)
    for event in history:
        groups[event.get("request") or event["body"]].append(event)
    return groups
