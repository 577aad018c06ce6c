"""The ``demo`` command: runs a simulated workload on two deployments."""

import argparse
import asyncio
import sys

import uvloop
from bilberryhitch_telemetry import start_logs

from .demo_cluster import DemoCluster
from .demo_deployments import MUSCAT, RABAT, Deployment
from .demo_load import WorkloadGenerator, WorkResult
from .demo_report import UsageSample, outcome_table, usage_line
from .exit_codes import ExitCode

USAGE_SAMPLE_INTERVAL_S = 0.25
PROGRESS_INTERVAL_SAMPLES = 8


def demo(arguments: argparse.Namespace) -> ExitCode:
    """Run the workload on both deployments.

    Fails if a request or a job has no outcome or a response has wrong content.
    """
    start_logs("ERROR")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        passed = [
            runner.run(_run_workload(deployment, arguments))
            for deployment in (MUSCAT, RABAT)
        ]
    return ExitCode.OK if all(passed) else ExitCode.FAILED


async def _run_workload(deployment: Deployment, arguments: argparse.Namespace) -> bool:
    cluster = DemoCluster(deployment)
    results: list[WorkResult] = []
    usage: list[UsageSample] = []
    try:
        await cluster.start()
        load = WorkloadGenerator(
            deployment,
            cluster.apis,
            seconds=arguments.seconds,
            seed=arguments.seed,
            on_result=results.append,
        )
        sampler = asyncio.create_task(
            _sample_usage(deployment, cluster, load, results, usage)
        )
        await load.run()
        sampler.cancel()
    finally:
        await cluster.close()
    print(f"\n{deployment.name}: {load.sent} calls in {arguments.seconds:g} s")
    print(outcome_table(results))
    print(usage_line(usage, cluster.accelerators) + "\n", flush=True)
    known = {"completed", "failed", "not_run", "unknown", "cancelled"}
    return len(results) == load.sent and all(e.outcome in known for e in results)


async def _sample_usage(
    deployment: Deployment,
    cluster: DemoCluster,
    load: WorkloadGenerator,
    results: list[WorkResult],
    usage: list[UsageSample],
) -> None:
    """Sample the accelerators in use and print progress to stderr."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while True:
        usage.append(
            UsageSample(loop.time() - started_s, cluster.accelerators_in_use())
        )
        if len(usage) % PROGRESS_INTERVAL_SAMPLES == 0:
            sys.stderr.write(
                f"{deployment.name} {usage[-1].at_s:4.0f} s: {load.sent} sent, "
                f"{len(results)} answered, {usage[-1].in_use} of "
                f"{cluster.accelerators} accelerators in use\n"
            )
        await asyncio.sleep(USAGE_SAMPLE_INTERVAL_S)
