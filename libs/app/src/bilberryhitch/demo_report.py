"""Formats the results of the demo."""

import statistics
from collections.abc import Sequence
from typing import NamedTuple

from .demo_load import WorkResult

BAR_CHARACTERS = " ▁▂▃▄▅▆▇█"
PERCENTILES = (50, 95, 99)


class UsageSample(NamedTuple):
    """Accelerators in use, at a time in seconds since the start."""

    at_s: float
    in_use: int


def outcome_table(results: Sequence[WorkResult]) -> str:
    """Return a table of outcome counts and latency percentiles by route."""
    head = (
        f"{'kind':18}{'accepted':>9}{'completed':>10}{'failed':>7}{'not run':>8}"
        f"{'unknown':>8}{'other':>6}   p50 s   p95 s   p99 s"
    )
    routes = sorted({result.route for result in results})
    return "\n".join([head, *(_row(route, results) for route in routes)])


def usage_line(usage: Sequence[UsageSample], accelerators: int, width: int = 60) -> str:
    """Return a one-line bar chart of the accelerators in use over time."""
    if not usage:
        return ""
    step = max(1, len(usage) // width)
    bars = "".join(
        BAR_CHARACTERS[round(sample.in_use / accelerators * (len(BAR_CHARACTERS) - 1))]
        for sample in usage[::step]
    )
    mean = statistics.fmean(sample.in_use for sample in usage)
    return f"accelerators in use: |{bars}| mean {mean:.0f} of {accelerators}"


def _row(route: str, results: Sequence[WorkResult]) -> str:
    own = [result for result in results if result.route == route]
    counts = {
        outcome: sum(1 for result in own if result.outcome == outcome)
        for outcome in ("completed", "failed", "not_run", "unknown")
    }
    other = len(own) - sum(counts.values())
    accepted = len(own) - counts["not_run"]
    times = sorted(result.latency_s for result in own if result.outcome == "completed")
    cells = "".join(f"{_percentile(times, each):8.2f}" for each in PERCENTILES)
    return (
        f"{route:18}{accepted:9}{counts['completed']:10}{counts['failed']:7}"
        f"{counts['not_run']:8}{counts['unknown']:8}{other:6}{cells}"
    )


def _percentile(values: Sequence[float], percent: int) -> float:
    """Return a percentile of sorted values; NaN if there are none.

    It is the value at index ``len(values) * percent // 100``, without interpolation.
    """
    if not values:
        return float("nan")
    return values[min(len(values) - 1, len(values) * percent // 100)]
