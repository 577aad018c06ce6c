"""The demo's table of outcomes."""

import statistics
from collections.abc import Sequence
from typing import NamedTuple

from .demo_load import Ending

BARS = " ▁▂▃▄▅▆▇█"
PERCENTILES = (50, 95, 99)


class Usage(NamedTuple):
    """Accelerators in use at one moment."""

    at_s: float
    in_use: int


def outcome_table(endings: Sequence[Ending]) -> str:
    """Return the table of outcomes and completion times by kind of work."""
    head = (
        f"{'kind':18}{'accepted':>9}{'completed':>10}{'failed':>7}{'not run':>8}"
        f"{'unknown':>8}{'other':>6}   p50 s   p95 s   p99 s"
    )
    routes = sorted({ending.route for ending in endings})
    return "\n".join([head, *(_row(route, endings) for route in routes)])


def usage_line(usage: Sequence[Usage], accelerators: int, width: int = 60) -> str:
    """Return accelerators in use over time as one line of bars."""
    if not usage:
        return ""
    step = max(1, len(usage) // width)
    bars = "".join(
        BARS[round(sample.in_use / accelerators * (len(BARS) - 1))]
        for sample in usage[::step]
    )
    mean = statistics.fmean(sample.in_use for sample in usage)
    return f"accelerators in use: |{bars}| mean {mean:.0f} of {accelerators}"


def _row(route: str, endings: Sequence[Ending]) -> str:
    own = [ending for ending in endings if ending.route == route]
    counts = {
        outcome: sum(1 for ending in own if ending.outcome == outcome)
        for outcome in ("completed", "failed", "not_run", "unknown")
    }
    other = len(own) - sum(counts.values())
    accepted = len(own) - counts["not_run"]
    times = sorted(ending.seconds for ending in own if ending.outcome == "completed")
    cells = "".join(f"{_percentile(times, each):8.2f}" for each in PERCENTILES)
    return (
        f"{route:18}{accepted:9}{counts['completed']:10}{counts['failed']:7}"
        f"{counts['not_run']:8}{counts['unknown']:8}{other:6}{cells}"
    )


def _percentile(values: Sequence[float], percent: int) -> float:
    """Return the nearest-rank percentile of sorted values, NaN for none."""
    if not values:
        return float("nan")
    return values[min(len(values) - 1, len(values) * percent // 100)]
