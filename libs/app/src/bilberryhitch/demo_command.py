"""The ``demo`` command: a short day of both deployments in one process."""

import argparse
import asyncio
import sys

import uvloop
from bilberryhitch_telemetry import start_logs

from .demo_cluster import DemoCluster
from .demo_deployments import MUSCAT, RABAT, Deployment
from .demo_load import DayLoad, Ending
from .demo_report import Usage, outcome_table, usage_line
from .exit_codes import ExitCode

SAMPLE_S = 0.25
PROGRESS_EVERY = 8


def demo(arguments: argparse.Namespace) -> ExitCode:
    """Run both days; fails when any work has no outcome or a wrong answer."""
    start_logs("ERROR")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        truthful = [
            runner.run(_day(deployment, arguments)) for deployment in (MUSCAT, RABAT)
        ]
    return ExitCode.OK if all(truthful) else ExitCode.FAILED


async def _day(deployment: Deployment, arguments: argparse.Namespace) -> bool:
    cluster = DemoCluster(deployment)
    endings: list[Ending] = []
    usage: list[Usage] = []
    try:
        await cluster.start()
        load = DayLoad(
            deployment,
            cluster.apis,
            seconds=arguments.seconds,
            seed=arguments.seed,
            on_ending=endings.append,
        )
        watch = asyncio.create_task(_watch(deployment, cluster, load, endings, usage))
        await load.run()
        watch.cancel()
    finally:
        await cluster.close()
    print(f"\n{deployment.name}: {load.sent} calls in {arguments.seconds:g} s")
    print(outcome_table(endings))
    print(usage_line(usage, cluster.accelerators) + "\n", flush=True)
    known = {"completed", "failed", "not_run", "unknown", "cancelled"}
    return len(endings) == load.sent and all(e.outcome in known for e in endings)


async def _watch(
    deployment: Deployment,
    cluster: DemoCluster,
    load: DayLoad,
    endings: list[Ending],
    usage: list[Usage],
) -> None:
    """Sample accelerators in use and show progress."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while True:
        usage.append(Usage(loop.time() - began, cluster.accelerators_in_use()))
        if len(usage) % PROGRESS_EVERY == 0:
            sys.stderr.write(
                f"{deployment.name} {usage[-1].at_s:4.0f} s: {load.sent} sent, "
                f"{len(endings)} answered, {usage[-1].in_use} of "
                f"{cluster.accelerators} accelerators in use\n"
            )
        await asyncio.sleep(SAMPLE_S)
