"""Compares the scheduling policy with first fit on two deployments."""

import argparse
import json
import subprocess
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from bilberryhitch_model import Guarantee, Pool
from bilberryhitch_scheduling import PoolScheduler

from .baseline import FirstFit, one_queue, queue_per_account
from .loop import ARRIVAL_PERIOD_S, END_S, JobHistory, Simulation
from .workloads import (
    MUSCAT,
    RABAT,
    Deployment,
    Flood,
    generate_arrivals,
    make_worker_hosts,
)

LARGE_GANG = 64  # accelerators; smallest gang that counts as large
# A run with a flood stops before its backlog is completed.
FLOOD_END_S = 1.5 * ARRIVAL_PERIOD_S
NO_FLOOD: Flood = ("", "")

SchedulerBuilder = Callable[[Deployment], Any]


def make_pool_scheduler(deployment: Deployment) -> Any:
    """Return the scheduler under test."""
    rows = tuple(Guarantee(a, "dc", size, n) for a, size, n in deployment.guarantees)
    pool = Pool("gpu", "job", guarantees=rows, max_queued=100_000)
    return PoolScheduler("dc", pool, make_worker_hosts(deployment))


def make_first_fit(deployment: Deployment) -> Any:
    """Return first fit with one queue."""
    return FirstFit(make_worker_hosts(deployment), one_queue)


def make_first_fit_per_account(deployment: Deployment) -> Any:
    """Return first fit with one queue per client account."""
    return FirstFit(make_worker_hosts(deployment), queue_per_account)


class Benchmark:
    """Runs schedulers on the arrivals of one deployment."""

    def __init__(self, deployment: Deployment, seed: int, faults: bool) -> None:
        self.deployment = deployment
        self._seed = seed
        self._faults = faults

    def run(
        self, make: SchedulerBuilder, flood: Flood = NO_FLOOD, only: str = ""
    ) -> Simulation:
        """Simulate a new scheduler, with the arrivals of account ``only`` if given."""
        rows = generate_arrivals(self.deployment, self._seed, flood)
        rows = [row for row in rows if only in ("", row.job.client_account)]
        hosts = make_worker_hosts(self.deployment)
        until = END_S if flood == NO_FLOOD else FLOOD_END_S
        return Simulation(make(self.deployment), hosts, rows, faults=self._faults).run(
            until
        )

    def guaranteed_work(self, simulation: Simulation, account: str) -> float:
        """Return a client account's completed work within its guarantee.

        This is the integral, in accelerator seconds until arrivals end, of the
        accelerators held by jobs that complete, capped at the guaranteed number.
        """
        rows = self.deployment.guarantees
        limit = sum(size * count for name, size, count in rows if name == account)
        steps: list[tuple[float, int]] = []
        for record in simulation.records.values():
            job = record.arrival.job
            if job.client_account == account and record.done is not None:
                size = job.shape.total_accelerators
                for start, end in record.spans:
                    steps += [(start, size), (end, -size)]
        total = last = 0.0
        used = 0
        for at, step in sorted(steps):
            until = min(at, ARRIVAL_PERIOD_S)
            total += (until - last) * min(used, limit)
            last = until
            used += step
        return total

    def work_kept_under_floods(
        self, make: SchedulerBuilder, unflooded: Simulation
    ) -> tuple[float, list[Simulation]]:
        """Return the smallest ratio of guaranteed work under floods, and the runs.

        The ratio is to the run without a flood; the flooding account is left out.
        """
        worst = 1.0
        simulations = []
        for flood in self.deployment.floods:
            simulation = self.run(make, flood)
            simulations.append(simulation)
            for account in {row[0] for row in self.deployment.guarantees} - {flood[0]}:
                before = self.guaranteed_work(unflooded, account)
                worst = min(
                    worst, self.guaranteed_work(simulation, account) / max(before, 1e-9)
                )
        return worst, simulations

    def urgent_start_p99(self, simulations: Iterable[Simulation]) -> float:
        """Return the p99 wait of urgent jobs for their first start under floods.

        Jobs of the flooding client account are left out, as its share limits them.
        """
        waits = [
            first_start_or_end(record) - record.arrival.at
            for flood, simulation in zip(
                self.deployment.floods, simulations, strict=True
            )
            for record in simulation.records.values()
            if record.arrival.job.urgency == "urgent"
            and record.arrival.job.client_account != flood[0]
        ]
        return quantile(waits, 0.99)


def first_start_or_end(record: JobHistory) -> float:
    """Return the time of a job's first start, or ``END_S`` if it did not start.

    ``END_S`` is also used for a run with a flood, which stops earlier.
    """
    first_start = record.first_start
    return END_S if first_start is None else first_start


def completion_times(simulation: Simulation, account: str = "") -> list[float]:
    """Return the times from submission to completion.

    Unfinished jobs count as completed at ``END_S``.
    """
    return [
        (END_S if record.done is None else record.done) - record.arrival.at
        for record in simulation.records.values()
        if account in ("", record.arrival.job.client_account)
    ]


def mean_large_gang_wait(simulation: Simulation) -> float:
    """Return the mean wait of gangs of at least 64 accelerators."""
    waits = [
        first_start_or_end(record) - record.arrival.at
        for record in simulation.records.values()
        if record.arrival.job.shape.total_accelerators >= LARGE_GANG
    ]
    return sum(waits) / len(waits)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile, or 0 if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


def figures(
    bench: Benchmark, make: SchedulerBuilder, fifo: Simulation
) -> dict[str, float]:
    """Return a scheduler's metrics; ratios are to first fit with one queue."""
    unflooded = bench.run(make)
    small = bench.deployment.small_account
    alone = bench.run(make, only=small)
    kept, flooded = bench.work_kept_under_floods(make, unflooded)
    own_times, fifo_times = completion_times(unflooded), completion_times(fifo)
    spread = unflooded.unusable_s / max(unflooded.free_s, 1e-9)
    fifo_spread = fifo.unusable_s / max(fifo.free_s, 1e-9)
    shared_p95_s = quantile(completion_times(unflooded, small), 0.95)
    found = {
        "flood_kept_ratio": kept,
        "small_caller_slowdown_ratio": shared_p95_s
        / quantile(completion_times(alone, small), 0.95),
        "fragmentation_ratio": spread / fifo_spread,
        "large_gang_wait_ratio": mean_large_gang_wait(unflooded)
        / mean_large_gang_wait(fifo),
        "completion_p50_ratio": quantile(own_times, 0.5) / quantile(fifo_times, 0.5),
        "completion_p99_ratio": quantile(own_times, 0.99) / quantile(fifo_times, 0.99),
        "reclaim_p99_s": quantile(
            [t for run in flooded for t in run.reclaim_times_s], 0.99
        ),
        "urgent_start_p99_s": bench.urgent_start_p99(flooded),
        "fragmentation": spread,
        "large_gang_wait_s": mean_large_gang_wait(unflooded),
        "completion_p50_s": quantile(own_times, 0.5),
        "completion_p99_s": quantile(own_times, 0.99),
    }
    return {name: round(value, 4) for name, value in found.items()}


def measure(deployment: Deployment, seed: int, faults: bool) -> dict[str, Any]:
    """Return one result row.

    The prefix ``baseline_`` stands for first fit with one queue, ``account_fifo_`` for
    first fit with one queue per client account.
    """
    bench = Benchmark(deployment, seed, faults)
    fifo = bench.run(make_first_fit)
    row: dict[str, Any] = {"deployment": deployment.name, "faults": faults}
    row.update(figures(bench, make_pool_scheduler, fifo))
    for prefix, make in (
        ("baseline", make_first_fit),
        ("account_fifo", make_first_fit_per_account),
    ):
        for name, value in figures(bench, make, fifo).items():
            row[f"{prefix}_{name}"] = value
    return row


def commit_id() -> str:
    """Return the commit under test, marked as dirty if the working tree differs."""
    command = ["git", "describe", "--always", "--dirty", "--exclude=*"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"


def main() -> None:
    """Benchmark each deployment without and with faults and append the results."""
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
