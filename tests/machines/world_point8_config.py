"""Simulates several configuration services on a virtual clock, with faults."""

import asyncio
import json
import random
from itertools import count

from bilberryhitch_model import Pool, Route, TableChange, encode
from bilberryhitch_model.errors import StoreAnswerLost
from bilberryhitch_peers import ConfigOffer
from bilberryhitch_platform import MemoryTables
from bilberryhitch_testing import FaultyTables, VirtualTimeLoop

from .oracle_point8_config import Oracle

CENTRES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
HEARTBEAT_S = 0.5
SAMPLE_S = 0.25
# With a slower store, reading a snapshot exceeds the limit of point 8.
USABLE_SLOW_S = 0.5
SETTLE_S = 9.0
# Store calls take time, so that other processes act between steps of a commit.
LATENCY_S = 0.01
ROWS = ("r1", "r2", "r3")


def to_plain_data(value):
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: to_plain_data(item) for name, item in value._asdict().items()}
    if isinstance(value, tuple | list):
        return [to_plain_data(item) for item in value]
    return value


class Process:
    """One entry host: its service, its store client and its faults."""

    def __init__(self, name, tables):
        self.name = name
        self.tables = FaultyTables(tables)
        self.tables.slow_s = LATENCY_S
        self.incarnation = 0
        self.service = None
        self.calls = set()
        self.paused = False
        self.held = []


class World:
    def __init__(self, service_type, seed):
        self.loop = VirtualTimeLoop()
        self.random = random.Random(seed)
        self.inner = MemoryTables()
        self.oracle = Oracle()
        self.service_type = service_type
        self.processes = {name: Process(name, self.inner) for name in CENTRES}
        self.cut = set()
        self.max_delay_s = 0.0
        self.duplicate = False
        self.ids = count(1)
        self.operators = count(1)
        self.old_offers = []
        # Errors in callbacks do not propagate to the test.
        self.failures = []
        self.loop.set_exception_handler(
            lambda loop, context: self.failures.append(context.get("exception"))
        )
        for process in self.processes.values():
            self.boot(process)
        self.advance(0.1)

    # Processes

    def boot(self, process):
        process.incarnation += 1
        process.held.clear()
        process.paused = False
        process.tables.resume()
        name, run = process.name, process.incarnation
        others = [other for other in CENTRES if other != name]
        local = [other for other in others if CENTRES[other] == CENTRES[name]]
        process.service = self.service_type(
            process.tables,
            now=self.loop.time,
            new_id=lambda: f"op-{next(self.ids)}",
            broadcast=lambda message: self.send(name, others, message),
            broadcast_local=lambda message: self.send(name, local, message),
            send=lambda host, message: self.send(name, [host], message),
            hosts=list,
        )
        process.service.subscribe(lambda tables: self.on_adopted(name, run, tables))
        self.loop.run_until_complete(process.service.start())

    def kill(self, name):
        process = self.processes[name]
        for call in process.calls:
            call.cancel()
        self.loop.run_until_complete(process.service.close())

    def restart(self, name):
        self.kill(name)
        self.boot(self.processes[name])

    def set_paused(self, name, paused):
        process = self.processes[name]
        process.paused = paused
        if paused:
            process.tables.pause()
            return
        process.tables.resume()
        held, process.held = process.held, []
        for action in held:
            self.loop.call_soon(action)

    def on_adopted(self, name, run, tables):
        try:
            self.check_shown_view(name, run, tables)
        except Exception as error:
            self.failures.append(error)
        self.old_offers.append(ConfigOffer(tables.revision, snapshot=encode(tables)))

    def check_shown_view(self, name, run, tables):
        self.read_store()
        self.oracle.check_view(
            name,
            run,
            tables.revision,
            {key: to_plain_data(row) for key, row in tables.routes.items()},
            {key: to_plain_data(row) for key, row in tables.pools.items()},
        )

    # Operators

    def commit(self, name, change, base):
        process = self.processes[name]
        operator = f"operator-{next(self.operators)}"
        base = process.service.tables_view.revision if base is None else base
        call = self.loop.create_task(self._commit(process, change, base, operator))
        process.calls.add(call)
        call.add_done_callback(process.calls.discard)

    async def _commit(self, process, change, base, operator):
        result = await process.service.commit(change, base, operator)
        if result.is_ok():
            self.oracle.record_answer(operator, "accepted", result.ok.revision)
        elif isinstance(result.error, StoreAnswerLost):
            self.oracle.record_answer(operator, "unknown")
        else:
            self.oracle.record_answer(operator, "refused")

    def change(self, kind):
        """Return a change whose rows all contain a number unique to it."""
        number = next(self.ids)
        pool = Pool("p", "job", max_queued=number)
        routes = tuple(
            Route(name, "job", "k", "acme", "p", estimate_s=number) for name in ROWS
        )
        return {
            "rows": TableChange(routes, (pool,)),
            "one row": TableChange(put_pools=(pool,)),
            "delete": TableChange((), (pool,), delete_routes=ROWS[:1]),
            "invalid": TableChange((routes[0]._replace(pool="none"),), (pool,)),
        }[kind]

    # Peer link

    def send(self, sender, receivers, message):
        if self.processes[sender].paused:
            held = self.processes[sender].held
            held.append(lambda: self.send(sender, receivers, message))
            return
        for receiver in receivers:
            run = self.processes[receiver].incarnation
            for _ in range(2 if self.duplicate else 1):
                delay_s = self.random.uniform(0.0, self.max_delay_s)
                self.loop.call_later(
                    delay_s, self.arrive, sender, receiver, run, message
                )

    def arrive(self, sender, receiver, run, message):
        process = self.processes[receiver]
        if process.incarnation != run or process.service is None:
            return
        if frozenset((sender, receiver)) in self.cut:
            return
        if process.paused:
            process.held.append(lambda: self.arrive(sender, receiver, run, message))
            return
        if isinstance(message, int):
            process.service.receive_revision(sender, message)
            return
        task = self.loop.create_task(process.service.handle(sender, message))
        process.calls.add(task)
        task.add_done_callback(process.calls.discard)

    def heartbeats(self):
        for name, process in self.processes.items():
            others = [other for other in CENTRES if other != name]
            if not process.paused:
                self.send(name, others, process.service.tables_view.revision)

    # Time and checks

    def advance(self, seconds):
        for _ in range(max(1, round(seconds / SAMPLE_S))):
            if round(self.loop.time() / SAMPLE_S) % 2 == 0:
                self.heartbeats()
            self.loop.advance(SAMPLE_S)
            self.check()

    def check(self):
        for failure in self.failures:
            raise failure
        self.read_store()
        self.oracle.check_answers()
        states = {}
        for name, process in self.processes.items():
            tables = process.service.tables_view
            self.check_shown_view(name, process.incarnation, tables)
            store = not process.tables.down and process.tables.slow_s <= USABLE_SLOW_S
            peers = [
                other
                for other in CENTRES
                if other != name and frozenset((name, other)) not in self.cut
            ]
            running = not process.paused
            states[name] = process.incarnation, tables.revision, running, store, peers
        self.oracle.check_delays(self.loop.time(), states)

    def read_store(self):
        # Read the rows directly, so that nothing else runs in between.
        rows = self.inner._rows
        keys = rows.irange("config/change/", "config/change0")
        self.oracle.record_changes(
            self.loop.time(), [json.loads(rows[key].value) for key in keys]
        )

    def settle(self):
        self.cut.clear()
        for name, process in self.processes.items():
            process.tables.down, process.tables.slow_s = False, LATENCY_S
            self.set_paused(name, False)
        self.advance(SETTLE_S)
        revisions = {
            process.service.tables_view.revision for process in self.processes.values()
        }
        assert revisions == {len(self.oracle.changes)}, "not adopted everywhere"

    def close(self):
        for name in self.processes:
            self.kill(name)
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()
