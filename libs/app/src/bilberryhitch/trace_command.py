"""The ``trace`` command: prints the log lines of one request from all hosts."""

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from .exit_codes import ExitCode

# Events that are not tied to one request; printed if they occurred during the request.
# A lost or regained worker connection is printed only for a worker of the request.
GLOBAL_EVENTS = frozenset(
    {
        "process_started",
        "process_stopping",
        "planner_started",
        "planner_ended",
        "planner_isolated",
        "dependency_lost",
        "dependency_regained",
        "store_history_lost",
        "lines_dropped",
    }
)
# Printed first; the other fields follow in the order of the log line.
LEADING_FIELDS = ("time", "host", "event")
HIDDEN_FIELDS = frozenset({"number", "level", "request_id", *LEADING_FIELDS})


class LogLine(NamedTuple):
    """One log line.

    :param time: time stamp as an ISO 8601 text
    """

    time: str
    fields: dict[str, Any]


def trace(arguments: argparse.Namespace) -> ExitCode:
    """Print the log lines of one request, in order of time."""
    lines: list[LogLine] = []
    for name in arguments.log:
        try:
            text = Path(name).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            sys.stderr.write(f"{name}: {error.strerror}\n")
            return ExitCode.BAD_INPUT
        lines += parse_lines(text.splitlines())
    found = select_lines(lines, arguments.request)
    if not found:
        sys.stderr.write(f"no line names {arguments.request}\n")
        return ExitCode.BAD_INPUT
    for line in found:
        sys.stdout.write(format_line(line) + "\n")
    return ExitCode.OK


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that contain an event; prefixes of log collectors are skipped."""
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(fields, dict):
            yield LogLine(str(fields.get("time", "")), fields)


def select_lines(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the log lines that concern a request, in order of time.

    These are the lines that name the request and, from the first to the last of them,
    lines about its workers that name no request, and ``GLOBAL_EVENTS``.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if _mentions_request(line, request)]
    if not own:
        return []
    first, last = own[0].time, own[-1].time
    workers = {
        str(name)
        for line in own
        for name in (line.fields.get("worker"), *line.fields.get("workers", ()))
        if name
    }
    return [
        line
        for line in ordered
        if _mentions_request(line, request)
        or (first <= line.time <= last and _affects_workers(line, workers))
    ]


def format_line(line: LogLine) -> str:
    """Return a log line in a form for display."""
    fields = line.fields
    rest = " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in HIDDEN_FIELDS
    )
    return f"{line.time[11:23]} {fields.get('host', '-')} {fields.get('event')} {rest}"


def _mentions_request(line: LogLine, request: str) -> bool:
    if line.fields.get("request_id") == request:
        return True
    evicted = line.fields.get("evicted", ())
    return any(str(task).startswith(request + ".") for task in evicted)


def _affects_workers(line: LogLine, workers: set[str]) -> bool:
    if line.fields.get("event") in GLOBAL_EVENTS:
        dependency = str(line.fields.get("dependency", ""))
        kind, _, name = dependency.partition(" ")
        return kind != "worker" or name in workers
    is_request = "request_id" in line.fields
    return not is_request and line.fields.get("worker") in workers
