"""Measures the memory of a process that only imports the given libraries.

``python -m measure.import_cost --seed 1`` starts one interpreter for each step and
records its unique set size (USS).
"""

import argparse
import subprocess
import sys

import psutil

from measure.records import write_record

STEPS = (
    "",
    "uvloop",
    "aiohttp",
    "zmq.asyncio, msgspec, loguru, expression, aiomisc",
    "opentelemetry.sdk.metrics, opentelemetry.exporter.prometheus",
    "bilberryhitch.entry_host",
)


def main() -> None:
    """Record the memory after each step; a step includes the imports before it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    imported: list[str] = []
    for step in STEPS:
        imported += [step] if step else []
        lines = [f"import {modules}" for modules in imported]
        code = "\n".join([*lines, "print(flush=True)", "input()"])
        process = subprocess.Popen(
            [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        process.stdout.readline()
        uss_mb = psutil.Process(process.pid).memory_full_info().uss / 1e6
        process.communicate(b"\n")
        write_record("import_cost", seed, {"imported": step, "uss_mb": uss_mb})


if __name__ == "__main__":
    main()
