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

from tests.path.platform_deployment import CONFIGURATION, Deployment, job_body, job_id
from tests.soak.proxy import Proxy

HOSTS, WORKERS = 3, 4
JOB_PERIOD_S = 0.35
FAULT_PERIOD_S = (0.4, 1.4)
FAULT_DURATION_S = (0.2, 2.5)
# Accepted jobs end within this time after the last fault: the expiry of a lease
# (10 s), the takeover by another planner and the run time.
SETTLE_TIMEOUT_S = 45.0
# Longer than the leader lease and every worker lease that depends on it (12 s).
LONG_PAUSE_S = 14.0
# Weight of restarts of workers among the kinds of faults.
RESTART_WEIGHT = 3
# While no host holds the lease, the planner is looked for again after this time.
LEADER_POLL_S = 0.1


class ProxiedDeployment(Deployment):
    """A deployment whose hosts reach the store and the workers through proxies."""

    def __init__(self, folder: Path, work_s: float) -> None:
        super().__init__(folder, work_s)
        self.proxies: dict[str, Proxy] = {}

    async def start(self, hosts: int, workers: int) -> None:
        """Start all, with a proxy to the store for each host and one to each worker."""
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
            await self.wait_until_ready(name)

    async def close(self) -> None:
        """Stop the processes, the stand-ins and the proxies."""
        await super().close()
        for proxy in self.proxies.values():
            await proxy.close()

    def get_store_address(self, name: str) -> str:
        """Return the address at which a host reaches the store."""
        return self.proxies[name].address

    async def _add_proxy(self, name: str, target: str) -> None:
        self.proxies[name] = Proxy(target)
        await self.proxies[name].start()


class Soak:
    """A run with one seed.

    :param folder: folder of the settings files and logs
    :param seconds: time during which jobs are submitted and faults injected
    :param long_pause: also pause the planner's host once until all its leases have
        expired
    :param restarts: also crash workers that are back soon under their identifiers
    :ivar faults: injected faults, in order
    :ivar violations: descriptions of broken guarantees
    :ivar accepted: identifiers of accepted jobs
    :ivar refused: identifiers of refused jobs
    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        seconds: float,
        *,
        long_pause: bool = False,
        restarts: bool = False,
    ) -> None:
        self.faults: list[str] = []
        self.violations: list[str] = []
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self._rng = random.Random(seed)
        self._deployment = ProxiedDeployment(folder, work_s=0.8)
        self._seconds = seconds
        self._long_pause = long_pause
        self._restarts = restarts
        self._pending: set[asyncio.Task[None]] = set()
        self._restarting: set[str] = set()

    async def run(self) -> None:
        """Inject the faults, wait for the accepted jobs and check the guarantees."""
        await self._deployment.start(hosts=HOSTS, workers=WORKERS)
        try:
            until = time.monotonic() + self._seconds
            if self._long_pause:
                self._pending.add(asyncio.create_task(self._pause_past_leases()))
            await asyncio.gather(self._submit(until), self._inject_faults(until))
            await asyncio.gather(*self._pending)
            await self._wait_for_jobs()
            self._check_state()
        finally:
            await self._deployment.close()

    async def _submit(self, until: float) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            name = job_id(number)
            gang = self._rng.random() < 0.4
            content = job_body(self._rng.randint(1, 4), gang=gang)
            host = self._rng.choice(sorted(self._deployment.hosts))
            task = asyncio.create_task(self._submit_job(name, host, content))
            self._pending.add(task)
            await asyncio.sleep(JOB_PERIOD_S)

    async def _submit_job(self, name: str, host: str, content: dict) -> None:
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

    async def _inject_faults(self, until: float) -> None:
        kinds = [
            self._kill,
            self._pause,
            self._stop,
            self._store_fault,
            self._silence_worker,
            self._drop_store_history,
            self._reset,
            self._drop_one_direction,
            self._delay,
        ]
        if self._restarts:
            kinds += [self._restart_worker] * RESTART_WEIGHT
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(*FAULT_PERIOD_S))
            fault = self._rng.choice(kinds)
            self._pending.add(
                asyncio.create_task(fault(self._rng.uniform(*FAULT_DURATION_S)))
            )

    async def _kill(self, seconds: float) -> None:
        name = self._choose_host()
        self._record_fault(f"kill {name}")
        process = self._deployment.hosts[name]
        process.kill()
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(seconds)
        self._relaunch(name)

    async def _pause(self, seconds: float) -> None:
        name = self._choose_host()
        self._record_fault(f"pause {name} {seconds:.1f}")
        process = self._deployment.hosts[name]
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds * 2)
            process.send_signal(signal.SIGCONT)

    async def _pause_past_leases(self) -> None:
        """Pause the planner's host for so long that it wakes with expired leases."""
        await asyncio.sleep(self._rng.uniform(0.0, self._seconds / 2))
        name = self._find_leader()
        while name is None:
            await asyncio.sleep(LEADER_POLL_S)
            name = self._find_leader()
        process = self._deployment.hosts[name]
        self._record_fault(f"pause planner {name} {LONG_PAUSE_S:.1f}")
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(LONG_PAUSE_S)
        process.send_signal(signal.SIGCONT)

    async def _stop(self, seconds: float) -> None:
        name = self._choose_host()
        self._record_fault(f"stop {name}")
        process = self._deployment.hosts[name]
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.wait)
        await asyncio.sleep(seconds / 4)
        self._relaunch(name)

    async def _store_fault(self, seconds: float) -> None:
        listener = self._deployment.store.listener
        kind = self._rng.choice(["refusing", "silent", "lost", "slow"])
        self._record_fault(f"store {kind} {seconds:.1f}")
        if kind == "lost":
            listener.lost_share = 0.3
        elif kind == "slow":
            listener.delay_s = 0.2
        else:
            setattr(listener, kind, True)
        await asyncio.sleep(seconds)
        listener.refusing = listener.silent = False
        listener.lost_share = listener.delay_s = 0.0

    async def _silence_worker(self, seconds: float) -> None:
        name = self._rng.choice(sorted(self._deployment.fleet.listeners))
        self._record_fault(f"cut {name} {seconds:.1f}")
        listener = self._deployment.fleet.listeners[name]
        listener.silent = True
        await asyncio.sleep(seconds * 3)
        listener.silent = False

    async def _restart_worker(self, seconds: float) -> None:
        name = self._rng.choice(sorted(self._deployment.fleet.listeners))
        if name in self._restarting:
            return
        self._record_fault(f"restart {name} {seconds / 4:.2f}")
        self._restarting.add(name)
        await self._deployment.fleet.restart(name, seconds / 4)
        self._restarting.discard(name)

    async def _reset(self, _seconds: float) -> None:
        names = sorted(self._deployment.proxies)
        chosen = self._rng.sample(names, self._rng.randint(1, len(names)))
        self._record_fault(f"reset connections of {', '.join(chosen)}")
        for name in chosen:
            self._deployment.proxies[name].reset()

    async def _drop_one_direction(self, seconds: float) -> None:
        name = self._rng.choice(sorted(self._deployment.proxies))
        drop_flag = self._rng.choice(["drop_requests", "drop_answers"])
        self._record_fault(f"{drop_flag} of {name} {seconds:.1f}")
        setattr(self._deployment.proxies[name], drop_flag, True)
        await asyncio.sleep(seconds * 2)
        setattr(self._deployment.proxies[name], drop_flag, False)

    async def _delay(self, seconds: float) -> None:
        name = self._rng.choice(sorted(self._deployment.proxies))
        self._record_fault(f"delay {name} {seconds:.1f}")
        self._deployment.proxies[name].delay_s = self._rng.uniform(0.05, 0.4)
        await asyncio.sleep(seconds * 2)
        self._deployment.proxies[name].delay_s = 0.0

    async def _drop_store_history(self, _seconds: float) -> None:
        self._record_fault("store forgets its history")
        self._deployment.store.forget_history()

    def _choose_host(self) -> str:
        """Return a random host; that of the active planner is preferred."""
        names = sorted(self._deployment.hosts)
        prefer_leader = self._rng.random() < 0.5
        leader = self._find_leader()
        return leader if prefer_leader and leader else self._rng.choice(names)

    def _find_leader(self) -> str | None:
        """Return the host that holds the planner's lease, if there is one."""
        if "lease" not in self._deployment.store.rows("planner"):
            return None
        leader = self._deployment.leader()
        return leader if leader in self._deployment.hosts else None

    def _relaunch(self, name: str) -> None:
        if self._deployment.hosts[name].poll() is not None:
            self._deployment.launch(name)

    def _record_fault(self, fault: str) -> None:
        self.faults.append(fault)

    async def _wait_for_jobs(self) -> None:
        for name in list(self._deployment.hosts):
            self._relaunch(name)
        until = time.monotonic() + SETTLE_TIMEOUT_S
        unfinished = set(self.accepted)
        while unfinished and time.monotonic() < until:
            for name in sorted(unfinished):
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
                    unfinished.discard(name)
                elif status == 200 and answer["state"] != "running":
                    if answer["state"] in ("failed", "cancelled"):
                        self.violations.append(f"{name} is {answer['state']}")
                    if answer["state"] != "pending":
                        unfinished.discard(name)
            await asyncio.sleep(0.2)
        self.violations += [
            f"{name} was accepted and is not done" for name in unfinished
        ]

    def _check_state(self) -> None:
        fleet = self._deployment.fleet.fleet
        self.violations += [
            f"{_format_task(task)} ran twice" for task in fleet.duplicate_runs
        ]
        self.violations += [
            f"{_format_task(task)} had no room" for task in fleet.overcommitted
        ]
        known = self._deployment.store.rows("jobs")
        self.violations += [
            f"{name} was refused and is stored"
            for name in self.refused
            if name in known and name not in self.accepted
        ]


def _format_task(task: TaskName) -> str:
    return ".".join(str(part) for part in task)


def run_seed(
    seed: int, seconds: float, *, long_pause: bool = False, restarts: bool = False
) -> Soak:
    """Run a seed in a new folder, which is printed if a guarantee was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(folder, seed, seconds, long_pause=long_pause, restarts=restarts)
    asyncio.run(soak.run())
    if soak.violations:
        sys.stdout.write(f"seed {seed}: logs in {folder}\n")
    return soak


def main() -> int:
    """Run the seeds and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-5", help="first-last")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument(
        "--long-pause",
        action="store_true",
        help="also pause the planner's host until all its leases have expired",
    )
    parser.add_argument(
        "--restarts",
        action="store_true",
        help="also crash workers that are back soon under their identifiers",
    )
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = run_seed(
            seed,
            arguments.seconds,
            long_pause=arguments.long_pause,
            restarts=arguments.restarts,
        )
        failed_seeds += bool(soak.violations)
        verdict = "; ".join(soak.violations) or "ok"
        sys.stdout.write(
            f"seed {seed}: {len(soak.faults)} faults, {len(soak.accepted)} accepted, "
            f"{len(soak.refused)} refused: {verdict}\n"
        )
        sys.stdout.flush()
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
