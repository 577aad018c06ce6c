"""Faults of hosts, store, workers and the connections between them."""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable

from tests.soak.deployment import ProxiedDeployment
from tests.soak.proxy import Proxy

# Longer than the leader lease and every worker lease that depends on it (12 s).
LONG_PAUSE_S = 14.0
# While no host holds the lease, the planner is looked for again after this time.
LEADER_POLL_S = 0.1

Fault = Callable[[float], Awaitable[None]]


class Faults:
    """Injects faults into a deployment, several at a time if they are called so.

    Most faults take a duration in seconds.

    :ivar injected: injected faults with their times, in order
    :ivar store_lock: held while the store is away for a combined fault
    """

    def __init__(self, deployment: ProxiedDeployment, rng: random.Random) -> None:
        self.injected: list[str] = []
        self.deployment = deployment
        self.rng = rng
        self.store_lock = asyncio.Lock()
        self._restarting: set[str] = set()
        # Workers by the number of faults that keep them from answering.
        self._cuts: Counter[str] = Counter()
        self._started_at = time.monotonic()

    @property
    def basic(self) -> list[Fault]:
        """Faults of one host, of the store, or of one connection or worker."""
        return [
            self.kill,
            self.pause,
            self.stop,
            self.fail_store,
            self.silence_worker,
            self.drop_store_history,
            self.reset,
            self.drop_one_direction,
            self.delay,
        ]

    async def kill(self, seconds: float) -> None:
        """Kill a host, which is back after a while."""
        name = self.choose_host()
        self.record(f"kill {name}")
        await self.kill_host(name)
        await asyncio.sleep(seconds)
        self.relaunch(name)

    async def pause(self, seconds: float) -> None:
        """Suspend a host for twice the time."""
        name = self.choose_host()
        self.record(f"pause {name} {seconds:.1f}")
        process = self.deployment.hosts[name]
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds * 2)
            process.send_signal(signal.SIGCONT)

    async def pause_past_leases(self, latest_s: float) -> None:
        """Pause the planner's host for so long that it wakes with expired leases.

        :param latest_s: the pause begins up to this many seconds from now
        """
        await asyncio.sleep(self.rng.uniform(0.0, latest_s))
        name = await self.wait_for_leader()
        process = self.deployment.hosts[name]
        self.record(f"pause planner {name} {LONG_PAUSE_S:.1f}")
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(LONG_PAUSE_S)
        process.send_signal(signal.SIGCONT)

    async def stop(self, seconds: float) -> None:
        """Terminate a host, which is back soon."""
        name = self.choose_host()
        self.record(f"stop {name}")
        process = self.deployment.hosts[name]
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.wait)
        await asyncio.sleep(seconds / 4)
        self.relaunch(name)

    async def fail_store(self, seconds: float) -> None:
        """Let the store refuse, be silent or slow, or lose answers."""
        listener = self.deployment.store.listener
        kind = self.rng.choice(["refusing", "silent", "lost", "slow"])
        self.record(f"store {kind} {seconds:.1f}")
        if kind == "lost":
            listener.lost_share = 0.3
        elif kind == "slow":
            listener.delay_s = 0.2
        else:
            setattr(listener, kind, True)
        await asyncio.sleep(seconds)
        listener.lost_share = listener.delay_s = 0.0
        if not self.store_lock.locked():
            self.bring_store_back()

    def bring_store_back(self) -> None:
        """Let the store answer again, whichever fault has taken it away."""
        listener = self.deployment.store.listener
        listener.refusing = listener.silent = False

    async def silence_worker(self, seconds: float) -> None:
        """Keep a worker from answering for three times the time."""
        name = self.rng.choice(self.deployment.workers)
        self.record(f"cut {name} {seconds:.1f}")
        await self.cut([name], seconds * 3)

    async def restart_worker(self, seconds: float) -> None:
        """Crash a worker, which is back soon under its identifier."""
        name = self.rng.choice(self.deployment.workers)
        self.record(f"restart {name} {seconds / 4:.2f}")
        await self.restart(name, seconds / 4)

    async def reset(self, _seconds: float) -> None:
        """Reset the connections of some proxies."""
        names = sorted(self.deployment.proxies)
        chosen = self.rng.sample(names, self.rng.randint(1, len(names)))
        self.record(f"reset connections of {', '.join(chosen)}")
        for name in chosen:
            self.deployment.proxies[name].reset()

    async def drop_one_direction(self, seconds: float) -> None:
        """Drop what one side of a proxy sends, for twice the time."""
        name, proxy = self._choose_proxy()
        drop_flag = self.rng.choice(["drop_requests", "drop_answers"])
        self.record(f"{drop_flag} of {name} {seconds:.1f}")
        setattr(proxy, drop_flag, True)
        await asyncio.sleep(seconds * 2)
        setattr(proxy, drop_flag, False)

    async def delay(self, seconds: float) -> None:
        """Delay the data of a proxy for twice the time."""
        name, proxy = self._choose_proxy()
        self.record(f"delay {name} {seconds:.1f}")
        proxy.delay_s = self.rng.uniform(0.05, 0.4)
        await asyncio.sleep(seconds * 2)
        proxy.delay_s = 0.0

    async def drop_store_history(self, _seconds: float) -> None:
        """Let the store forget the history of its changes."""
        self.record("store forgets its history")
        self.deployment.store.forget_history()

    # What the faults are made of.

    def record(self, fault: str) -> None:
        """Note a fault and the time in seconds since the start."""
        at_s = time.monotonic() - self._started_at
        clock = time.strftime("%H:%M:%S")
        self.injected.append(f"{fault} [{clock}, {at_s:.2f}]")

    def choose_host(self) -> str:
        """Return a random host; that of the active planner is preferred."""
        names = sorted(self.deployment.hosts)
        prefer_leader = self.rng.random() < 0.5
        leader = self.find_leader()
        return leader if prefer_leader and leader else self.rng.choice(names)

    def find_leader(self) -> str | None:
        """Return the host that holds the planner's lease, if there is one."""
        if "lease" not in self.deployment.store.rows("planner"):
            return None
        leader = self.deployment.leader()
        return leader if leader in self.deployment.hosts else None

    async def wait_for_leader(self) -> str:
        """Return the host that holds the planner's lease once there is one."""
        name = self.find_leader()
        while name is None:
            await asyncio.sleep(LEADER_POLL_S)
            name = self.find_leader()
        return name

    async def kill_host(self, name: str) -> None:
        """Kill a host's process and wait for its end."""
        process = self.deployment.hosts[name]
        process.kill()
        await asyncio.to_thread(process.wait)

    def relaunch(self, name: str) -> None:
        """Launch a host whose process has ended."""
        if self.deployment.hosts[name].poll() is not None:
            self.deployment.launch(name)

    async def cut(self, names: Iterable[str], seconds: float) -> None:
        """Keep workers from answering; what they run goes on."""
        listeners = self.deployment.fleet.listeners
        cut = {name: listeners[name] for name in names}
        self._cuts.update(list(cut))
        for listener in cut.values():
            listener.silent = True
        await asyncio.sleep(seconds)
        self._cuts.subtract(list(cut))
        for name, listener in cut.items():
            listener.silent = self._cuts[name] > 0

    async def restart(self, name: str, down_s: float) -> None:
        """Crash a worker, which is back after a time under its identifier.

        An order that outlives the crash on the network cannot be told from a new one,
        so held orders end with the worker.
        """
        if name in self._restarting:
            return
        self._restarting.add(name)
        self.deployment.proxies[name].drop_held()
        await self.deployment.fleet.restart(name, down_s)
        self._restarting.discard(name)

    def claim(self, name: str) -> bool:
        """Return whether a worker may leave, which nothing else may touch then."""
        if name in self._restarting:
            return False
        self._restarting.add(name)
        return True

    def _choose_proxy(self) -> tuple[str, Proxy]:
        name = self.rng.choice(sorted(self.deployment.proxies))
        return name, self.deployment.proxies[name]
