"""Draws what happened in a day, second by second, from the logs of all hosts.

One PNG: how long units waited, who was refused and why, how runs ended, and work lost
to evictions; vertical lines mark the changes of the planner.
"""

import argparse
import statistics
import sys
from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

from bilberryhitch.trace_command import LogLine, parse_lines

# Ends of runs whose work was lost; ``done`` is drawn in a panel of its own scale.
LOST_ENDS = ("failed", "stopped", "broken", "lapsed", "alone")
FIGURE_SIZE_INCHES = (11.0, 10.0)
TAIL_SHARE = 0.95


class Second(NamedTuple):
    """What the hosts logged in one second.

    :ivar waits_s: how long the units waited that were started
    :ivar refusals: refused calls by reason
    :ivar ends: ended runs by how they ended
    :ivar evicted_core_s: work lost to evictions, in core-seconds
    """

    waits_s: list[float]
    refusals: Counter[str]
    ends: Counter[str]
    evicted_core_s: list[float]


class Day(NamedTuple):
    """A day by seconds from its first log line.

    :ivar takeovers: seconds at which a host acquired the planner's lease
    """

    seconds: dict[int, Second]
    takeovers: list[float]


def summarize(lines: Iterable[LogLine]) -> Day:
    """Sort the events of all hosts into seconds."""
    timed = [(datetime.fromisoformat(line.time), line.fields) for line in lines]
    day = Day({}, [])
    if not timed:
        return day
    start = min(at for at, _ in timed)
    for at, fields in timed:
        offset_s = (at - start).total_seconds()
        second = day.seconds.setdefault(
            int(offset_s), Second([], Counter(), Counter(), [])
        )
        event = fields.get("event")
        if event == "unit_started":
            second.waits_s.append(float(fields.get("waited_s", 0.0)))
        elif event == "call_refused":
            second.refusals[str(fields.get("reason", "other"))] += 1
        elif event == "run_ended":
            second.ends[str(fields.get("how"))] += 1
        elif event == "units_evicted":
            second.evicted_core_s.append(float(fields.get("lost_core_s", 0.0)))
        elif event == "planner_lease_won":
            day.takeovers.append(offset_s)
    return day


def draw(day: Day, output: Path) -> None:
    """Write the picture of a day as a PNG."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    seconds = sorted(day.seconds)
    figure, axes = plt.subplots(4, 1, sharex=True, figsize=FIGURE_SIZE_INCHES)
    waits = [sorted(day.seconds[at].waits_s) or [0.0] for at in seconds]
    axes[0].plot(seconds, [statistics.median(each) for each in waits], label="median")
    tails = [each[int((len(each) - 1) * TAIL_SHARE)] for each in waits]
    axes[0].plot(seconds, tails, label="95 of 100")
    axes[0].set_ylabel("wait of started units, s")
    _stack(axes[1], seconds, [day.seconds[at].refusals for at in seconds])
    axes[1].set_ylabel("refused calls")
    lost = [
        Counter({how: day.seconds[at].ends[how] for how in LOST_ENDS}) for at in seconds
    ]
    _stack(axes[2], seconds, lost)
    axes[2].set_ylabel("runs that ended without success")
    evicted = [sum(day.seconds[at].evicted_core_s) for at in seconds]
    axes[3].bar(seconds, evicted)
    axes[3].set_ylabel("lost to evictions, core-s")
    axes[3].set_xlabel("seconds from the first log line")
    for axis in axes:
        for at in day.takeovers:
            axis.axvline(at, color="black", linewidth=0.8, linestyle=":")
        if axis.get_legend_handles_labels()[0]:
            axis.legend(loc="upper right", fontsize="small")
    figure.tight_layout()
    figure.savefig(output, format="png")
    plt.close(figure)


def _stack(axis: Any, seconds: list[int], counts: list[Counter[str]]) -> None:
    """Draw counters as stacked bars, one colour a name."""
    bottom = [0] * len(seconds)
    for name in sorted({name for counter in counts for name in counter}):
        heights = [counter[name] for counter in counts]
        if any(heights):
            axis.bar(seconds, heights, bottom=bottom, label=name)
        bottom = [low + high for low, high in zip(bottom, heights, strict=True)]


def main() -> int:
    """Draw the picture; return 2 if a log cannot be read or holds no event."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--log", nargs="+", required=True, type=Path, metavar="FILE")
    parser.add_argument("--output", type=Path, default=Path("day.png"))
    arguments = parser.parse_args()
    lines: list[LogLine] = []
    for path in arguments.log:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            sys.stderr.write(f"{path}: {error.strerror}\n")
            return 2
        lines += parse_lines(text.splitlines())
    if not lines:
        sys.stderr.write("the logs hold no event\n")
        return 2
    draw(summarize(lines), arguments.output)
    return 0


if __name__ == "__main__":
    sys.exit(main())
