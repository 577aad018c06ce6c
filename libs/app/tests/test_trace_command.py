"""Log lines of a request are selected from the logs of all hosts."""

import json

from bilberryhitch.arguments import build_parser
from bilberryhitch.main import execute
from bilberryhitch.trace_command import format_line, parse_lines, select_lines


def line(second, event, **fields):
    time = f"2026-01-01T00:00:{second:02d}.000000+00:00"
    return json.dumps({"time": time, "event": event, "host": "h1", **fields})


LOG = [
    line(1, "planner_started", fencing_token=7),
    line(2, "job_submitted", request_id="aa", outcome="done"),
    "not an event",
    "  3.1 h2 " + line(3, "unit_started", request_id="aa", workers=["w1"]),
    line(4, "dependency_lost", dependency="worker w1"),
    line(4, "dependency_lost", dependency="worker w2"),
    line(5, "worker_gone", worker="w1"),
    line(6, "run_ended", request_id="bb", worker="w1"),
    line(7, "units_evicted", request_id="bb", evicted=["aa.0.0.0"]),
    line(8, "job_ended", request_id="aa", state="failed"),
    line(9, "planner_ended"),
]


def test_request_is_shown_with_its_workers_and_evictions():
    events = [
        each.fields["event"] for each in select_lines(list(parse_lines(LOG)), "aa")
    ]
    assert events == [
        "job_submitted",
        "unit_started",
        "dependency_lost",
        "worker_gone",
        "units_evicted",
        "job_ended",
    ]


def test_unknown_request_is_reported(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join(LOG))
    assert execute(["trace", "cc", "--log", str(path)]) != 0
    assert "cc" in capsys.readouterr().err
    assert execute(["trace", "aa", "--log", str(path)]) == 0
    assert "job_ended state=failed" in capsys.readouterr().out


def test_line_is_formatted_as_time_host_event_and_fields():
    (first, *_) = parse_lines([LOG[1]])
    assert format_line(first) == "00:00:02.000 h1 job_submitted outcome=done"
    assert build_parser().parse_args(["trace", "aa", "--log", "x"]).request == "aa"
