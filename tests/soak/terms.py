"""Plays terms of planners in a row under faults, many seeds, and minimises failures.

``python -m tests.soak.terms --seeds 1-1000``
"""

import argparse
import os
import sys
import time

from bilberryhitch_telemetry import events
from bilberryhitch_testing.simulated_process import current_process
from bilberryhitch_testing.term_plays import draw_play, minimise, run_play
from loguru import logger

# Events that say nothing about runs and terms.
QUIET_EVENTS = {events.WORKER_LISTED, events.JOBS_LOADED}


def fix_hash_seed() -> None:
    """Start anew with a fixed hash seed: the order of sets decides a play too."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        command = [sys.executable, "-m", "tests.soak.terms", *sys.argv[1:]]
        os.execve(sys.executable, command, os.environ | {"PYTHONHASHSEED": "0"})


def main() -> int:
    """Play the seeds; return 1 if one of them fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-100", help="first and last seed")
    parser.add_argument("--newest-revision", action="store_true")
    parser.add_argument("--minimise", action="store_true")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    logger.remove()
    failed = []
    began_at = time.monotonic()
    for seed in range(int(first), int(last or first) + 1):
        play = draw_play(seed, newest_revision=options.newest_revision)
        violations = run_play(play)
        if not violations:
            continue
        failed.append(seed)
        print(f"seed {seed}: {violations[0].rule}", flush=True)
        for start in violations[0].starts:
            print(f"    {start}")
        if options.minimise:
            show(minimise(play, breaks(violations[0].rule)))
    seconds = time.monotonic() - began_at
    print(f"seeds {options.seeds}: {len(failed)} failed in {seconds:.0f} s: {failed}")
    return 1 if failed else 0


def breaks(rule):
    """Return a function that tells whether a play violates a rule first."""

    def fails(play) -> bool:
        violations = run_play(play)
        return bool(violations) and violations[0].rule == rule

    return fails


def show(play) -> None:
    """Print the faults of a minimised play, its log and its violations."""
    for fault in play.faults:
        print(f"    {fault}")
    worlds = []

    def write(message) -> None:
        extra = message.record["extra"]
        if "event" not in extra or extra["event"] in QUIET_EVENTS:
            return
        process = current_process()
        name = process.name if process else ""
        at = worlds[0].loop.time()
        print(f"    {at:8.3f} {name:6} {extra['event'].name} {extra['fields']}")

    handler = logger.add(write, level="DEBUG", format="{message}")
    for violation in run_play(play, on_world=worlds.append):
        print(f"    {violation.rule}")
        for start in violation.starts:
            print(f"      {start}")
    logger.remove(handler)
    world = worlds[0]
    print(f"    end at {world.loop.time():.3f}, single faults {play.single_faults}")


if __name__ == "__main__":
    fix_hash_seed()
    sys.exit(main())
