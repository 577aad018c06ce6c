"""Tests of the picture that is drawn of a day from the logs of all hosts."""

import json
from pathlib import Path

from bilberryhitch.trace_command import parse_lines
from measure.day_picture import draw, summarize

EVENTS = [
    (0.0, {"event": "planner_lease_won", "host": "h1"}),
    (1.2, {"event": "unit_started", "waited_s": 0.5}),
    (1.4, {"event": "unit_started", "waited_s": 2.5}),
    (1.9, {"event": "call_refused", "reason": "store_unreachable"}),
    (2.1, {"event": "run_ended", "how": "stopped"}),
    (2.2, {"event": "run_ended", "how": "done"}),
    (2.3, {"event": "units_evicted", "lost_core_s": 12.5}),
    (2.5, {"event": "planner_lease_won", "host": "h2"}),
]


def day_lines():
    """Return the lines as the bench prints them, with a time and a host before each."""
    return [
        f" {at:.4f} h1 " + json.dumps({"time": f"2026-12-04T10:00:0{at}+00:00", **rest})
        for at, rest in EVENTS
    ]


def test_events_are_counted_by_second():
    """Guards against a picture that shows refusals or lost work at the wrong time."""
    day = summarize(parse_lines(reversed(day_lines())))
    assert day.takeovers == [2.5, 0.0]
    assert sorted(day.seconds[1].waits_s) == [0.5, 2.5]
    assert day.seconds[1].refusals == {"store_unreachable": 1}
    assert day.seconds[2].ends == {"stopped": 1, "done": 1}
    assert day.seconds[2].evicted_core_s == [12.5]


def test_a_picture_is_one_png(tmp_path: Path):
    output = tmp_path / "day.png"
    draw(summarize(parse_lines(day_lines())), output)
    assert output.read_bytes().startswith(b"\x89PNG")


def test_an_empty_log_has_no_seconds():
    assert summarize(parse_lines([])).seconds == {}
