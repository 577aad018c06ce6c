"""Measures the scheduling policy against first fit, at two deployments' sizes."""

import argparse
import json
import subprocess
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from bilberryhitch_model import Guarantee, Pool
from bilberryhitch_scheduling import PoolScheduler

from .baseline import FirstFit, one_queue, queue_per_account
from .loop import END_S, HORIZON_S, Loop, Record
from .workloads import MUSCAT, RABAT, Deployment, Flood, arrivals, hosts_of

LARGE = 64  # accelerators from which a gang counts as large
FLOOD_END_S = 1.5 * HORIZON_S  # a flood's backlog is not worked off to its end
NO_FLOOD: Flood = ("", "")

Make = Callable[[Deployment], Any]


def product(deployment: Deployment) -> Any:
    """Return the scheduler under measurement."""
    rows = tuple(Guarantee(a, "dc", size, n) for a, size, n in deployment.guarantees)
    pool = Pool("gpu", "job", guarantees=rows, max_queued=100_000)
    return PoolScheduler("dc", pool, hosts_of(deployment))


def first_fit(deployment: Deployment) -> Any:
    """Return first fit behind one queue."""
    return FirstFit(hosts_of(deployment), one_queue)


def first_fit_per_account(deployment: Deployment) -> Any:
    """Return first fit behind one queue for each account."""
    return FirstFit(hosts_of(deployment), queue_per_account)


class Bench:
    """Runs schedulers over one deployment's arrivals."""

    def __init__(self, deployment: Deployment, seed: int, faults: bool) -> None:
        self.deployment = deployment
        self._seed = seed
        self._faults = faults

    def run(self, make: Make, flood: Flood = NO_FLOOD, only: str = "") -> Loop:
        """Run a fresh scheduler; ``only`` keeps the arrivals of one account."""
        rows = arrivals(self.deployment, self._seed, flood)
        rows = [row for row in rows if only in ("", row.job.client_account)]
        hosts = hosts_of(self.deployment)
        until = END_S if flood == NO_FLOOD else FLOOD_END_S
        return Loop(make(self.deployment), hosts, rows, faults=self._faults).run(until)

    def kept(self, loop: Loop, account: str) -> float:
        """Return an account's completed work inside its guarantee.

        In accelerator seconds until arrivals end; at each moment the accelerators of
        jobs that are completed later count, up to the guaranteed number.
        """
        rows = self.deployment.guarantees
        limit = sum(size * count for name, size, count in rows if name == account)
        steps: list[tuple[float, int]] = []
        for record in loop.records.values():
            job = record.arrival.job
            if job.client_account == account and record.done is not None:
                size = job.shape.total_accelerators
                for start, end in record.spans:
                    steps += [(start, size), (end, -size)]
        total = last = 0.0
        used = 0
        for at, step in sorted(steps):
            until = min(at, HORIZON_S)
            total += (until - last) * min(used, limit)
            last = until
            used += step
        return total

    def flood_kept(self, make: Make, calm: Loop) -> tuple[float, list[Loop]]:
        """Return the worst account's work kept under floods, and the flooded runs."""
        worst = 1.0
        loops = []
        for flood in self.deployment.floods:
            loop = self.run(make, flood)
            loops.append(loop)
            for account in {row[0] for row in self.deployment.guarantees} - {flood[0]}:
                before = self.kept(calm, account)
                worst = min(worst, self.kept(loop, account) / max(before, 1e-9))
        return worst, loops

    def urgent_start_p99(self, loops: Iterable[Loop]) -> float:
        """Return how long urgent work waits for its first start under floods.

        Jobs of the account that floods are left out: its share bounds them.
        """
        waits = [
            started(record) - record.arrival.at
            for flood, loop in zip(self.deployment.floods, loops, strict=True)
            for record in loop.records.values()
            if record.arrival.job.urgency == "urgent"
            and record.arrival.job.client_account != flood[0]
        ]
        return quantile(waits, 0.99)


def started(record: Record) -> float:
    """Return when a job first started, or the end of the measurement."""
    begun = record.first_start
    return END_S if begun is None else begun


def completion(loop: Loop, account: str = "") -> list[float]:
    """Return the times from submission to completion."""
    return [
        (END_S if record.done is None else record.done) - record.arrival.at
        for record in loop.records.values()
        if account in ("", record.arrival.job.client_account)
    ]


def large_wait(loop: Loop) -> float:
    """Return the mean wait of gangs of 64 and more accelerators."""
    waits = [
        started(record) - record.arrival.at
        for record in loop.records.values()
        if record.arrival.job.shape.total_accelerators >= LARGE
    ]
    return sum(waits) / len(waits)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile, 0 for no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


def figures(bench: Bench, make: Make, fifo: Loop) -> dict[str, float]:
    """Return all figures of one scheduler; ratios are over first fit and one queue."""
    calm = bench.run(make)
    small = bench.deployment.small
    alone = bench.run(make, only=small)
    kept, flooded = bench.flood_kept(make, calm)
    ours, theirs = completion(calm), completion(fifo)
    spread = calm.unusable_s / max(calm.free_s, 1e-9)
    fifo_spread = fifo.unusable_s / max(fifo.free_s, 1e-9)
    beside = quantile(completion(calm, small), 0.95)
    found = {
        "flood_kept_ratio": kept,
        "small_caller_slowdown_ratio": beside
        / quantile(completion(alone, small), 0.95),
        "fragmentation_ratio": spread / fifo_spread,
        "large_gang_wait_ratio": large_wait(calm) / large_wait(fifo),
        "completion_p50_ratio": quantile(ours, 0.5) / quantile(theirs, 0.5),
        "completion_p99_ratio": quantile(ours, 0.99) / quantile(theirs, 0.99),
        "reclaim_p99_s": quantile([t for run in flooded for t in run.reclaims], 0.99),
        "urgent_start_p99_s": bench.urgent_start_p99(flooded),
        "fragmentation": spread,
        "large_gang_wait_s": large_wait(calm),
        "completion_p50_s": quantile(ours, 0.5),
        "completion_p99_s": quantile(ours, 0.99),
    }
    return {name: round(value, 4) for name, value in found.items()}


def measure(deployment: Deployment, seed: int, faults: bool) -> dict[str, Any]:
    """Return one line of the result file.

    ``baseline_`` is first fit behind one queue, ``account_fifo_`` first fit behind
    one queue for each account.
    """
    bench = Bench(deployment, seed, faults)
    fifo = bench.run(first_fit)
    row: dict[str, Any] = {"deployment": deployment.name, "faults": faults}
    row.update(figures(bench, product, fifo))
    for prefix, make in (
        ("baseline", first_fit),
        ("account_fifo", first_fit_per_account),
    ):
        for name, value in figures(bench, make, fifo).items():
            row[f"{prefix}_{name}"] = value
    return row


def commit_id() -> str:
    """Return the commit that is measured, with a mark if the tree differs from it."""
    command = ["git", "describe", "--always", "--dirty", "--exclude=*"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"


def main() -> None:
    """Measure all deployments, without and with faults, and append the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=Path, default=Path("measures/policy.jsonl"))
    options = parser.parse_args()
    head = {"commit": commit_id(), "seed": options.seed}
    head["command"] = f"python -m measure.policy --seed {options.seed}"
    for deployment in (MUSCAT, RABAT):
        for faults in (False, True):
            row = {**head, **measure(deployment, options.seed, faults)}
            with options.output.open("a") as lines:
                lines.write(json.dumps(row) + "\n")
            print(json.dumps(row))


if __name__ == "__main__":
    main()
