"""Runs every stateful machine with any seed: ``python -m tests.fuzz``."""

import argparse
import importlib
import pkgutil
import sys
import traceback

from tests import machines
from tests.machines.harness import STEPS_PER_HISTORY, Point, run_point


def find_points() -> list[tuple[str, Point]]:
    """Return every machine's module name and point, by point number."""
    found = []
    for module_info in pkgutil.iter_modules(machines.__path__):
        if not module_info.name.startswith("test_point"):
            continue
        module = importlib.import_module(f"tests.machines.{module_info.name}")
        found.append((module_info.name.removeprefix("test_"), module.POINT))
    return sorted(found, key=lambda pair: (pair[1].number, pair[0]))


def fuzz_point(name: str, point: Point, seed: int, steps: int) -> bool:
    """Run one machine, print its counts and return whether the point held."""
    histories = max(1, steps // STEPS_PER_HISTORY)
    violation = ""
    try:
        run_point(point, seed_number=seed, histories=histories)
    except Exception:
        violation = traceback.format_exc()
    counts = point.counts
    print(
        f"point {point.number} ({name}): steps={counts.steps} "
        f"histories={counts.histories} faults={counts.faults} "
        f"violations={1 if violation else 0}",
        flush=True,
    )
    if violation:
        print(violation, flush=True)
    return not violation


def main() -> int:
    """Run all machines; the exit code is 1 when any point was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=2000, help="per machine")
    parser.add_argument("--point", type=int, default=0, help="only this point")
    arguments = parser.parse_args()
    points = [
        (name, point)
        for name, point in find_points()
        if arguments.point in (0, point.number)
    ]
    held = [
        fuzz_point(name, point, arguments.seed, arguments.steps)
        for name, point in points
    ]
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
