"""Faults that combine: lost planners, late orders, workers that come and go, a store
that is away while workers are cut off.
"""

import asyncio
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager

from tests.soak.faults import LEADER_POLL_S, Fault, Faults

# Times in seconds.
MAX_DELAY_S = 2.0
ROWS_BACK_S = 2.0
UNLISTED_AFTER_S = 3.0
STORE_AWAY_S = (2.5, 5.5)
WORKERS_AWAY_S = (4.0, 9.0)
ISOLATION_DELAY_S = 0.3
RUN_TIMEOUT_S = 3.0
RUN_POLL_S = 0.01
# A new planner overlooks silent workers for 3 s.
TERM_AGE_S, TERM_TIMEOUT_S = 3.5, 8.0
# Weight of the isolation among the kinds.
ISOLATION_WEIGHT = 6


class IncidentFaults:
    """Combined faults; one isolation or outage of rows at a time.

    :param faults: injects their parts
    """

    def __init__(self, faults: Faults, rng: random.Random) -> None:
        self._faults = faults
        self._deployment = faults.deployment
        self._rng = rng
        self._store_lock = faults.store_lock

    @property
    def kinds(self) -> list[Fault]:
        """Faults, each as often as its weight."""
        return [
            self._relaunch_amid_delays,
            self._carry_out_late,
            self._restart_amid_delays,
            self._leave,
            self._lapse_rows,
            *[self._isolate] * ISOLATION_WEIGHT,
        ]

    async def _relaunch_amid_delays(self, seconds: float) -> None:
        """Kill the planner's process and launch it at once, while orders of the former
        one are under way.
        """
        delayed = self._choose_most()
        delay_s = self._rng.uniform(0.3, MAX_DELAY_S)
        name = await self._faults.wait_for_leader()
        self._faults.record(f"relaunch {name}, {delay_s:.1f} late: {delayed}")
        with self._delay(delayed, delay_s):
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
            await self._faults.kill_host(name)
            self._faults.relaunch(name)
            await asyncio.sleep(self._rng.uniform(0.0, seconds))

    async def _carry_out_late(self, seconds: float) -> None:
        """Let orders and grants reach most workers late and out of order."""
        late = self._choose_most()
        late_s = self._rng.uniform(0.5, MAX_DELAY_S)
        self._faults.record(f"out of order {late_s:.1f} {seconds:.1f}: {late}")
        proxies = [self._deployment.proxies[name] for name in late]
        for proxy in proxies:
            proxy.late_s = late_s
            proxy.reset()
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.late_s = 0.0

    async def _restart_amid_delays(self, seconds: float) -> None:
        """Crash a worker, which is back under its identifier, amid delayed calls."""
        name = self._rng.choice(self._deployment.workers)
        delay_s = self._rng.uniform(0.1, MAX_DELAY_S)
        down_s = self._rng.uniform(0.0, 0.5)
        self._faults.record(f"restart {name} {down_s:.2f}, {delay_s:.1f} late")
        with self._delay([name], delay_s):
            await asyncio.sleep(self._rng.uniform(0.0, seconds))
            await self._faults.restart(name, down_s)
            await asyncio.sleep(self._rng.uniform(0.0, seconds))

    async def _leave(self, seconds: float) -> None:
        """Let a worker end and another one come, at its address or elsewhere."""
        name = self._rng.choice(self._deployment.workers)
        same_address = self._rng.random() < 0.5
        listed_s = self._rng.uniform(0.0, UNLISTED_AFTER_S)
        if not self._faults.claim(name):
            return
        where = "there" if same_address else "elsewhere"
        self._faults.record(f"{name} leaves, another comes {where} {seconds / 4:.2f}")
        fleet = self._deployment.fleet
        unlisted = asyncio.create_task(fleet.crash(name, listed_s))
        await asyncio.sleep(0.2 + seconds / 4)
        if same_address:
            await self._deployment.replace_worker(name)
        else:
            await self._deployment.proxies.pop(name).close()
            await self._deployment.add_worker()
        await unlisted

    async def _lapse_rows(self, seconds: float) -> None:
        """Remove the rows of half of the workers while the store is away."""
        listener, fleet = self._deployment.store.listener, self._deployment.fleet
        names = self._rng.sample(
            self._deployment.workers, len(self._deployment.workers) // 2
        )
        async with self._store_lock:
            self._faults.record(f"rows lapse {seconds:.1f}: {names}")
            listener.refusing = True
            for name in names:
                await fleet.unregister(name)
            await asyncio.sleep(seconds)
            self._faults.bring_store_back()
        await asyncio.sleep(self._rng.uniform(0.0, ROWS_BACK_S))
        for name in names:
            if fleet.fleet.workers[name].alive:
                await fleet.register(name)

    async def _isolate(self, _seconds: float) -> None:
        """Cut most workers off just after a start, with the store away for all hosts.

        The planner gives up its term and cannot release the lease.
        """
        if self._store_lock.locked():
            return
        listener = self._deployment.store.listener
        kind = self._rng.choice(["refusing", "silent"])
        store_s = self._rng.uniform(*STORE_AWAY_S)
        workers_s = self._rng.uniform(*WORKERS_AWAY_S)
        async with self._store_lock:
            await self._wait_for_old_term()
            await self._wait_for_start()
            await asyncio.sleep(self._rng.uniform(0.0, ISOLATION_DELAY_S))
            names = self._choose_most()
            self._faults.record(
                f"isolation: store {kind} {store_s:.1f}, {workers_s:.1f}: {names}"
            )
            setattr(listener, kind, True)
            cut = asyncio.create_task(self._faults.cut(names, workers_s))
            await asyncio.sleep(store_s)
            self._faults.bring_store_back()
            await cut

    async def _wait_for_old_term(self) -> None:
        """Return once a host has planned for a while, or after a longer while."""
        until = time.monotonic() + TERM_TIMEOUT_S
        leader, since = None, time.monotonic()
        while time.monotonic() < min(until, since + TERM_AGE_S):
            await asyncio.sleep(LEADER_POLL_S)
            if self._faults.find_leader() != leader:
                leader, since = self._faults.find_leader(), time.monotonic()

    async def _wait_for_start(self) -> None:
        """Return once a run has started, or after a while."""
        workers = self._deployment.fleet.fleet.workers
        known = {task for each in workers.values() for task in each.tasks}
        until = time.monotonic() + RUN_TIMEOUT_S
        while time.monotonic() < until:
            await asyncio.sleep(RUN_POLL_S)
            if any(
                task not in known for each in workers.values() for task in each.tasks
            ):
                return

    def _choose_most(self) -> list[str]:
        """Return more than half of the workers."""
        workers = self._deployment.workers
        least = len(workers) // 2 + 1
        count = self._rng.randint(least, max(least, len(workers) - 1))
        return self._rng.sample(workers, count)

    @contextmanager
    def _delay(self, names: list[str], delay_s: float) -> Iterator[None]:
        """Delay the calls of workers and the answers."""
        proxies = [self._deployment.proxies[name] for name in names]
        for proxy in proxies:
            proxy.delay_s = delay_s
        try:
            yield
        finally:
            for proxy in proxies:
                proxy.delay_s = 0.0
