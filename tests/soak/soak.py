"""Randomized faults against real processes; promises are checked from outside.

Run ``python -m tests.soak.soak --seeds 1-50``. A seed decides the faults, their
order and the jobs; the processes' own timing is not repeated.
"""

import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from bilberryhitch_jobs import TaskName

from tests.path.platform_deployment import CONFIGURATION, Deployment, body, job
from tests.soak.proxy import Proxy

HOSTS, WORKERS = 3, 4
JOB_PERIOD_S = 0.35
FAULT_PERIOD_S = (0.4, 1.4)
FAULT_S = (0.2, 2.5)
# Accepted jobs are done this long after the last fault: a lease (10 s), a takeover
# and the work itself.
SETTLE_S = 45.0


class ProxiedDeployment(Deployment):
    """A deployment whose hosts reach the store and the workers through proxies."""

    def __init__(self, folder: Path, work_s: float) -> None:
        super().__init__(folder, work_s)
        self.proxies: dict[str, Proxy] = {}

    async def start(self, hosts: int, workers: int) -> None:
        """Start all; each host has a proxy to the store, each worker one of its own."""
        await self.store.start()
        await self.store.put("op", "config", CONFIGURATION)
        await self.fleet.start(workers)
        for name, listener in self.fleet.listeners.items():
            await self._add_proxy(name, listener.address)
            self.fleet.addresses[name] = self.proxies[name].address
            await self.fleet.register(name)
        for number in range(hosts):
            await self._add_proxy(f"host-{number}", self.store.listener.address)
            self.launch(f"host-{number}")
        self.session = aiohttp.ClientSession()
        for name in self.hosts:
            await self.until_ready(name)

    async def close(self) -> None:
        """End what was started."""
        await super().close()
        for proxy in self.proxies.values():
            await proxy.close()

    def store_address(self, name: str) -> str:
        """Return the address at which a host finds the store."""
        return self.proxies[name].address

    async def _add_proxy(self, name: str, target: str) -> None:
        self.proxies[name] = Proxy(target)
        await self.proxies[name].start()


class Soak:
    """One seeded run."""

    def __init__(self, folder: Path, seed: int, seconds: float) -> None:
        self.faults: list[str] = []
        self.violations: list[str] = []
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self._rng = random.Random(seed)
        self._deployment = ProxiedDeployment(folder, work_s=0.8)
        self._seconds = seconds
        self._pending: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Play the faults, let the system settle and check the promises."""
        await self._deployment.start(hosts=HOSTS, workers=WORKERS)
        try:
            until = time.monotonic() + self._seconds
            await asyncio.gather(self._submit(until), self._disturb(until))
            await asyncio.gather(*self._pending)
            await self._settle()
            self._check()
        finally:
            await self._deployment.close()

    async def _submit(self, until: float) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            name = job(number)
            gang = self._rng.random() < 0.4
            content = body(self._rng.randint(1, 4), gang=gang)
            host = self._rng.choice(sorted(self._deployment.hosts))
            task = asyncio.create_task(self._submit_one(name, host, content))
            self._pending.add(task)
            await asyncio.sleep(JOB_PERIOD_S)

    async def _submit_one(self, name: str, host: str, content: dict) -> None:
        try:
            async with asyncio.timeout(4):
                status, _ = await self._deployment.call(
                    "POST", f"/fast/{name}", host, content
                )
        except (aiohttp.ClientError, TimeoutError):
            return
        if status == 200:
            self.accepted.add(name)
        elif status in (429, 503):
            self.refused.add(name)

    async def _disturb(self, until: float) -> None:
        kinds = [
            self._kill,
            self._pause,
            self._stop,
            self._store_fault,
            self._cut_worker,
            self._forget,
            self._reset,
            self._cut_one_way,
            self._delay,
        ]
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(*FAULT_PERIOD_S))
            fault = self._rng.choice(kinds)
            self._pending.add(asyncio.create_task(fault(self._rng.uniform(*FAULT_S))))

    async def _kill(self, seconds: float) -> None:
        name = self._victim()
        self._note(f"kill {name}")
        process = self._deployment.hosts[name]
        process.kill()
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(seconds)
        self._relaunch(name)

    async def _pause(self, seconds: float) -> None:
        name = self._victim()
        self._note(f"pause {name} {seconds:.1f}")
        process = self._deployment.hosts[name]
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds * 2)
            process.send_signal(signal.SIGCONT)

    async def _stop(self, seconds: float) -> None:
        name = self._victim()
        self._note(f"stop {name}")
        process = self._deployment.hosts[name]
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.wait)
        await asyncio.sleep(seconds / 4)
        self._relaunch(name)

    async def _store_fault(self, seconds: float) -> None:
        listener = self._deployment.store.listener
        kind = self._rng.choice(["refusing", "silent", "lost", "slow"])
        self._note(f"store {kind} {seconds:.1f}")
        if kind == "lost":
            listener.lost_share = 0.3
        elif kind == "slow":
            listener.delay_s = 0.2
        else:
            setattr(listener, kind, True)
        await asyncio.sleep(seconds)
        listener.refusing = listener.silent = False
        listener.lost_share = listener.delay_s = 0.0

    async def _cut_worker(self, seconds: float) -> None:
        name = self._rng.choice(sorted(self._deployment.fleet.listeners))
        self._note(f"cut {name} {seconds:.1f}")
        listener = self._deployment.fleet.listeners[name]
        listener.silent = True
        await asyncio.sleep(seconds * 3)
        listener.silent = False

    async def _reset(self, _seconds: float) -> None:
        names = sorted(self._deployment.proxies)
        chosen = self._rng.sample(names, self._rng.randint(1, len(names)))
        self._note(f"reset connections of {', '.join(chosen)}")
        for name in chosen:
            self._deployment.proxies[name].reset()

    async def _cut_one_way(self, seconds: float) -> None:
        name = self._rng.choice(sorted(self._deployment.proxies))
        switch = self._rng.choice(["drop_requests", "drop_answers"])
        self._note(f"{switch} of {name} {seconds:.1f}")
        setattr(self._deployment.proxies[name], switch, True)
        await asyncio.sleep(seconds * 2)
        setattr(self._deployment.proxies[name], switch, False)

    async def _delay(self, seconds: float) -> None:
        name = self._rng.choice(sorted(self._deployment.proxies))
        self._note(f"delay {name} {seconds:.1f}")
        self._deployment.proxies[name].delay_s = self._rng.uniform(0.05, 0.4)
        await asyncio.sleep(seconds * 2)
        self._deployment.proxies[name].delay_s = 0.0

    async def _forget(self, _seconds: float) -> None:
        self._note("store forgets its history")
        self._deployment.store.forget_history()

    def _victim(self) -> str:
        """Return a host, more often the planner's."""
        names = sorted(self._deployment.hosts)
        if self._rng.random() < 0.5 and "lease" in self._deployment.store.rows(
            "planner"
        ):
            leader = self._deployment.leader()
            if leader in names:
                return leader
        return self._rng.choice(names)

    def _relaunch(self, name: str) -> None:
        if self._deployment.hosts[name].poll() is not None:
            self._deployment.launch(name)

    def _note(self, fault: str) -> None:
        self.faults.append(fault)

    async def _settle(self) -> None:
        for name in list(self._deployment.hosts):
            self._relaunch(name)
        until = time.monotonic() + SETTLE_S
        waiting = set(self.accepted)
        while waiting and time.monotonic() < until:
            for name in sorted(waiting):
                host = self._rng.choice(sorted(self._deployment.hosts))
                try:
                    async with asyncio.timeout(4):
                        status, answer = await self._deployment.call(
                            "GET", f"/fast/{name}", host
                        )
                except (aiohttp.ClientError, TimeoutError):
                    continue
                if status == 410:
                    self.violations.append(f"{name} was accepted and is not known")
                    waiting.discard(name)
                elif status == 200 and answer["state"] != "running":
                    if answer["state"] in ("failed", "cancelled"):
                        self.violations.append(f"{name} is {answer['state']}")
                    if answer["state"] != "pending":
                        waiting.discard(name)
            await asyncio.sleep(0.2)
        self.violations += [f"{name} was accepted and is not done" for name in waiting]

    def _check(self) -> None:
        fleet = self._deployment.fleet.fleet
        self.violations += [f"{_text(task)} ran twice" for task in fleet.duplicate_runs]
        self.violations += [
            f"{_text(task)} had no room" for task in fleet.overcommitted
        ]
        known = self._deployment.store.rows("jobs")
        self.violations += [
            f"{name} was refused and is stored"
            for name in self.refused
            if name in known and name not in self.accepted
        ]


def _text(task: TaskName) -> str:
    return ".".join(str(part) for part in task)


def play(seed: int, seconds: float) -> Soak:
    """Play one seed in a folder that is kept when a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(folder, seed, seconds)
    asyncio.run(soak.run())
    if soak.violations:
        sys.stdout.write(f"seed {seed}: logs in {folder}\n")
    return soak


def main() -> int:
    """Play seeds and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-5", help="first-last")
    parser.add_argument("--seconds", type=float, default=12.0)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = play(seed, arguments.seconds)
        broken += bool(soak.violations)
        verdict = "; ".join(soak.violations) or "ok"
        sys.stdout.write(
            f"seed {seed}: {len(soak.faults)} faults, {len(soak.accepted)} accepted, "
            f"{len(soak.refused)} refused: {verdict}\n"
        )
        sys.stdout.flush()
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
