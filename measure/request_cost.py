"""Measures the request path: CPU per request, over-commits and fairness.

``python -m measure.request_cost --seed 1`` prints one JSON line per number of
entry hosts, the least-squares slope over these with its residual, and one line per
fairness case. Waiting takes virtual time; CPU seconds are those of this process and
include the fake executors and the fake link.
"""

import argparse
import asyncio
import random
import statistics
import time
from collections.abc import Sequence
from typing import Any
from unittest import mock

from bilberryhitch_model import Pool, RequestCall, Route, Tables
from bilberryhitch_requests import request_queue
from bilberryhitch_testing import run_virtual

from measure.records import write_record

from .fifo_queue import FifoQueue
from .request_cluster import Cluster

SIZES = (1, 2, 3, 4)
EXECUTORS = 24
REQUESTS = 4000
REPEATS = 2
RUN_S = 0.05
# Below the 3,840 requests a second that 192 slots serve at 0.05 s each.
OFFERED_PER_S = 3000.0
SMALL_REQUESTS = 200
SMALL_EVERY_S = 0.05
LARGE_REQUESTS = 3000
# Twice the capacity of two executors, 16 slots at 0.05 s each.
LARGE_PER_S = 640.0
TIMEOUT_S = 60.0


def main() -> None:
    """Run the benchmark and record its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    costs = []
    for size in SIZES:
        row = min(
            (
                run_virtual(_measure_load(size, seed + repeat))
                for repeat in range(REPEATS)
            ),
            key=lambda found: found["cpu_s_per_request"],
        )
        costs.append(row["cpu_s_per_request"])
        write_record("request_cost", seed, row)
    write_record("request_cost", seed, _fit(SIZES, costs))
    for account, spread in (("small", True), ("small", False), ("large", False)):
        row = _fairness(account, seed, spread=spread)
        write_record("request_cost", seed, row)


def _make_tables(executors: int) -> Tables:
    names = tuple(f"x{number}" for number in range(executors))
    routes = {
        account: Route(account, "request", "k", account, "p", timeout_s=TIMEOUT_S)
        for account in ("large", "small")
    }
    pool = Pool("p", "request", names, max_queued=100_000)
    return Tables(1, routes, {"p": pool})


def _make_call(account: str, caller: str) -> RequestCall:
    return RequestCall(account, caller, account, str(RUN_S).encode())


async def _measure_load(size: int, seed: int) -> dict[str, Any]:
    """Offer Poisson arrivals to ``size`` entry hosts and return the results."""
    cluster = Cluster(size, _make_tables(EXECUTORS), seed=seed)
    rng = random.Random(seed)
    await cluster.start()
    before_s = time.process_time()
    tasks = []
    for number in range(REQUESTS):
        call = _make_call("large", "c")
        tasks.append(asyncio.create_task(cluster.submit(number, call)))
        await asyncio.sleep(rng.expovariate(OFFERED_PER_S))
    outcomes = await asyncio.gather(*tasks)
    cpu_s = time.process_time() - before_s
    await cluster.close()
    return {
        "entry_hosts": size,
        "requests": REQUESTS,
        "completed": sum(outcome.status == "completed" for outcome in outcomes),
        "cpu_s_per_request": round(cpu_s / REQUESTS, 7),
        "peer_calls_per_request": round(cluster.forwards / REQUESTS, 3),
        "most_running_per_executor": cluster.executors.most_running,
        "over_commits": cluster.executors.over_commits,
    }


def _fit(sizes: tuple[int, ...], costs: list[float]) -> dict[str, Any]:
    slope, intercept = statistics.linear_regression(sizes, costs)
    errors = [
        cost - (intercept + slope * size)
        for size, cost in zip(sizes, costs, strict=True)
    ]
    return {
        "cpu_s_per_request_slope_per_host": round(slope, 8),
        "intercept": round(intercept, 8),
        "residual_rms": round(statistics.fmean(e * e for e in errors) ** 0.5, 8),
    }


def _fairness(account: str, seed: int, *, spread: bool) -> dict[str, Any]:
    """Compare a small caller's p95 latency next to a large caller with its p95 alone.

    :param account: client account of the small caller; the large caller's is ``large``
    :param spread: whether each entry host owns one executor, instead of one host both
    """

    def run(large: int) -> float:
        return run_virtual(_small_caller_p95(account, large, seed, spread=spread))

    alone_s, fair_s = run(0), run(LARGE_REQUESTS)
    with mock.patch.object(request_queue, "FairQueue", FifoQueue):
        fifo_s = run(LARGE_REQUESTS)
    return {
        "fairness": f"small caller of account {account}",
        "each_host_owns_an_executor": spread,
        "small_p95_alone_s": round(alone_s, 4),
        "small_p95_fair_s": round(fair_s, 4),
        "small_p95_fifo_s": round(fifo_s, 4),
        "fair_over_alone": round(fair_s / alone_s, 2),
        "fifo_over_alone": round(fifo_s / alone_s, 2),
    }


async def _small_caller_p95(
    account: str, large: int, seed: int, *, spread: bool
) -> float:
    """Return the small caller's p95 latency in virtual seconds."""

    def owner(key: str, hosts: Sequence[str]) -> str:
        return hosts[int(key[1:]) % len(hosts) if spread else 0]

    cluster = Cluster(2, _make_tables(2), seed=seed, owner=owner)
    await cluster.start()
    flood = asyncio.create_task(_offer_large_load(cluster, large, seed))
    loop = asyncio.get_running_loop()

    async def timed(number: int) -> float:
        started_s = loop.time()
        outcome = await cluster.submit(number, _make_call(account, "small"))
        assert outcome.status == "completed", outcome
        return loop.time() - started_s

    tasks = []
    for number in range(SMALL_REQUESTS):
        await asyncio.sleep(SMALL_EVERY_S)
        tasks.append(asyncio.create_task(timed(number)))
    times = await asyncio.gather(*tasks)
    await flood
    await cluster.close()
    return statistics.quantiles(times, n=20)[-1]


async def _offer_large_load(cluster: Cluster, large: int, seed: int) -> None:
    rng = random.Random(seed)
    tasks = []
    for number in range(large):
        call = _make_call("large", "large")
        tasks.append(asyncio.create_task(cluster.submit(number, call)))
        await asyncio.sleep(rng.expovariate(LARGE_PER_S))
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    main()
