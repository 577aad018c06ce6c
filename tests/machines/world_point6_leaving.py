"""Simulates the memberships of several hosts on virtual time, with faults."""

import asyncio
import json
from itertools import count
from typing import NamedTuple

from bilberryhitch_membership import Membership
from bilberryhitch_model import Host, Identity
from bilberryhitch_model.errors import StoreError
from bilberryhitch_peers import Heartbeat, HostListAsk, HostListReply
from bilberryhitch_testing import VirtualTimeLoop

from .fakes_point6_leaving import ProcessHostList, ProcessTables, WatchedTables
from .oracle_point6_leaving import Cause, LeavingOracle

ENTRIES = {f"{dc}{n}": dc for dc in ("ruwi", "seeb") for n in (1, 2, 3)}
ENDPOINTS = {"w1": ("worker", "ruwi"), "x1": ("executor", "seeb")}
TARGETS = (*ENDPOINTS, *ENTRIES)
STEP_S = 0.25
HOST_LIST_LAG_S = 21.0  # above every lag that a test sets


class Process(NamedTuple):
    run: str
    membership: Membership


class World:
    """Six entry hosts in two data centres, two endpoint hosts, one store."""

    def __init__(self, membership_type=Membership):
        self._type = membership_type
        self.loop = VirtualTimeLoop()
        self.loop.set_exception_handler(self._collect_error)
        self._errors = []
        self.oracle = LeavingOracle(ENTRIES)
        self.inner = WatchedTables(self.oracle, TARGETS)
        self.boots = {name: f"{name}-b1" for name in TARGETS}
        self._hosts = {name: self._host(name) for name in TARGETS}
        self._snapshots = [(0.0, tuple(self._hosts.values()))]
        self.tables = {}
        self.lists = {name: ProcessHostList(self, name) for name in ENTRIES}
        self.processes = {}
        self.cut = set()
        self.delay_s = 0.0
        self.duplicate = False
        self.paused = set()
        self._held_messages = []
        self._numbers = count(1)
        self._operations = set()
        for name in ENTRIES:
            self.tables[name] = ProcessTables(self.inner, self._learned_callback(name))
            self._start(name)
        self.advance(4.0)

    @property
    def time_s(self):
        return self.loop.time()

    # Actions of the rules.

    def write_drain(self, at, host, leaving):
        if at in self.paused:
            return
        membership = self.processes[at].membership
        operation = membership.drain if leaving else membership.undrain
        task = self.loop.create_task(self._operate(operation, at, host, leaving))
        self._operations.add(task)
        task.add_done_callback(self._operations.discard)
        self.advance(0.0)

    def set_listed(self, host, state):
        self._hosts[host] = self._hosts[host]._replace(state=state)
        self._take_snapshot()

    def reboot(self, host):
        self.boots[host] = f"{host}-b{next(self._numbers) + 1}"
        self.oracle.booted(host, self.boots[host])
        self._hosts[host] = self._host(host)
        self._take_snapshot()
        if host in ENTRIES:
            self.restart(host)

    def restart(self, process):
        self.resume(process)
        self._close(process)
        self._held_messages = [
            held for held in self._held_messages if process not in held[:2]
        ]
        self._start(process)
        self.advance(0.0)

    def leave(self, process):
        if process in self.paused:
            return
        run = self.processes[process].run
        self.learned(process, process, Cause("run", run))
        self.loop.call_soon(self.processes[process].membership.leave)
        self.advance(0.0)

    def set_path(self, one, other, open_):
        pair = frozenset((one, other))
        if len(pair) == 1 or (pair not in self.cut) == open_:
            return
        (self.cut.discard if open_ else self.cut.add)(pair)
        self.oracle.path_changed(self.time_s, one, other, open_)

    def leave_one_path(self, process, partner):
        """Cut a process off from the store and from all peers but one."""
        for other in ENTRIES:
            self.set_path(process, other, other == partner)
        self.set_store(process, down=True)

    def set_store(self, process, *, down=False, slow_s=0.0):
        tables = self.tables[process]
        worked = not tables.down and tables.slow_s == 0.0
        tables.down, tables.slow_s = down, slow_s
        works = not down and slow_s == 0.0
        if works != worked:
            self.oracle.store_changed(self.time_s, process, works)

    def pause(self, process):
        if process in self.paused:
            return
        self.paused.add(process)
        self.tables[process].pause()
        self.oracle.paused(process)

    def resume(self, process):
        if process not in self.paused:
            return
        self.paused.discard(process)
        self.tables[process].resume()
        self.oracle.resumed(self.time_s, process)
        held, self._held_messages = self._held_messages, []
        for sender, receiver, message in held:
            self._transmit(sender, receiver, message)
        self.advance(0.0)

    def advance(self, seconds):
        """Advance the clock in steps and check the oracle after each."""
        end_s = self.time_s + seconds
        while True:
            step_s = min(STEP_S, end_s - self.time_s)
            self.loop.advance(max(step_s, 0.0))
            self.check()
            if self.time_s >= end_s - 1e-9:
                return

    def _collect_error(self, loop, context):
        self._errors.append(context)

    def check(self):
        assert not self._errors, self._errors
        for name in ENTRIES:
            if name in self.paused:
                continue
            found = self.oracle.violations(self.time_s, name, self.offers(name))
            assert not found, (self.time_s, found)

    def settle(self):
        """End all faults; then exactly the hosts that are not leaving are offered."""
        for name in ENTRIES:
            self.resume(name)
            self.set_store(name)
            self.tables[name].lose_answers = 0
            self.lists[name].mode = "true"
            for other in ENTRIES:
                self.set_path(name, other, True)
        self.delay_s, self.duplicate = 0.0, False
        self.advance(5.0)
        self.loop.advance(2 * HOST_LIST_LAG_S)  # until the order of boots is certain
        self.check()
        leaving = self.oracle.leaving() | {
            host.name for host in self._hosts.values() if host.state == "leaving"
        }
        for name, data_centre in ENTRIES.items():
            near = {host for host in ENTRIES if ENTRIES[host] == data_centre}
            missing = (near | set(ENDPOINTS)) - leaving - self.offers(name)
            assert not missing, ("not offered", name, missing)

    def close(self):
        for task in list(self._operations):
            task.cancel()
        for name in ENTRIES:
            self._close(name)
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    # Inputs of the processes and of the oracle.

    def offers(self, process):
        """Return every host that a process would give new work."""
        return self.loop.run_until_complete(self._offers(process))

    async def _offers(self, process):
        membership = self.processes[process].membership
        offered = {
            host.name
            for kind, data_centre in ENDPOINTS.values()
            for host in membership.endpoints(kind, data_centre)
        }
        for data_centre in ("ruwi", "seeb"):
            offered.update(membership.entry_hosts(data_centre))
        return offered

    def snapshot(self, lag_s):
        until_s = self.time_s - lag_s
        shown = [hosts for at_s, hosts in self._snapshots if at_s <= until_s]
        return list(shown[-1] if shown else self._snapshots[0][1])

    def learned(self, process, host, cause):
        # The oracle stops counting a cause once its drain, boot or run is over.
        ended = (cause.kind == "boot" and self.boots[host] != cause.id) or (
            cause.kind == "drain" and self._undrained_after(host, int(cause.id))
        )
        if not ended:
            self.oracle.learned(self.time_s, process, host, cause)

    def _undrained_after(self, host, revision):
        row = self.inner._rows.get(f"drains/{host}")
        return row.revision > revision and not json.loads(row.value)["leaving"]

    def _learned_callback(self, process):
        return lambda host, cause: self.learned(process, host, cause)

    async def _operate(self, operation, at, host, leaving):
        run = self.processes[at].run
        result = await operation(host, "ann")
        if result.is_ok() and leaving and self.processes[at].run == run:
            self.learned(at, host, Cause("drain", str(result.ok.revision)))
        assert result.is_ok() or isinstance(result.error, StoreError)

    # Processes and the messages between them.

    def _start(self, name):
        run = f"{name}-i{next(self._numbers)}"
        ids = count()
        membership = self._type(
            Identity(name, ENTRIES[name], run),
            self.tables[name],
            self.lists[name],
            now=lambda: 1.0,
            new_id=lambda: f"{run}-{next(ids)}",
            host_list_lag_s=HOST_LIST_LAG_S,
            broadcast=lambda message: self._broadcast(name, message),
            send=lambda host, message: self._transmit(name, host, message),
        )
        self.processes[name] = Process(run, membership)
        self.oracle.started(self.time_s, name, run)
        self.loop.run_until_complete(membership.start())

    def _close(self, name):
        self.loop.run_until_complete(self.processes[name].membership.close())

    def _broadcast(self, sender, message):
        for host in ENTRIES:
            if host != sender:
                self._transmit(sender, host, message)

    def _transmit(self, sender, receiver, message):
        if sender in self.paused:
            if not isinstance(message, Heartbeat):
                self._held_messages.append((sender, receiver, message))
            return True
        if frozenset((sender, receiver)) in self.cut:
            return True
        delays = (0.0, self.delay_s) if self.duplicate else (self.delay_s,)
        for delay_s in delays:
            self.loop.call_later(delay_s, self._deliver, sender, receiver, message)
        return True

    def _deliver(self, sender, receiver, message):
        if frozenset((sender, receiver)) in self.cut or receiver not in self.processes:
            return
        if receiver in self.paused:
            self._held_messages.append((sender, receiver, message))
            return
        membership = self.processes[receiver].membership
        if isinstance(message, Heartbeat):
            membership.receive_heartbeat(message)
        elif isinstance(message, HostListAsk):
            reply = membership.answer_host_list()
            if reply is not None:
                self._transmit(receiver, sender, reply)
        elif isinstance(message, HostListReply):
            membership.receive_host_list(message)
        else:
            membership.receive_drain_notice(message)

    def _host(self, name):
        kind, data_centre = ENDPOINTS.get(name) or ("entry", ENTRIES[name])
        return Host(name, kind, data_centre, "", boot_id=self.boots[name])

    def _take_snapshot(self):
        self._snapshots.append((self.time_s, tuple(self._hosts.values())))
