"""The ``trace`` command: a request's way through the logs of all hosts."""

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from .exit_codes import ExitCode

# Events that change what all requests meet; printed as far as they overlap.
SHARED_EVENTS = frozenset(
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
# Printed first; the rest follows in the order of the line.
LEADING = ("time", "host", "event")
HIDDEN = frozenset({"number", "level", "request_id", *LEADING})


class Line(NamedTuple):
    """One log line."""

    time: str
    fields: dict[str, Any]


def trace(arguments: argparse.Namespace) -> ExitCode:
    """Print what the logs say of one request, in order of time."""
    lines: list[Line] = []
    for name in arguments.log:
        try:
            text = Path(name).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            sys.stderr.write(f"{name}: {error.strerror}\n")
            return ExitCode.BAD_INPUT
        lines += read_lines(text.splitlines())
    found = select(lines, arguments.request)
    if not found:
        sys.stderr.write(f"no line names {arguments.request}\n")
        return ExitCode.BAD_INPUT
    for line in found:
        sys.stdout.write(render(line) + "\n")
    return ExitCode.OK


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the events among lines of text; a collector's prefix is skipped."""
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(fields, dict):
            yield Line(str(fields.get("time", "")), fields)


def select(lines: Iterable[Line], request: str) -> list[Line]:
    """Return a request's lines, its workers' and what all requests met meanwhile."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if _names(line, request)]
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
        if _names(line, request)
        or (first <= line.time <= last and _concerns(line, workers))
    ]


def render(line: Line) -> str:
    """Return a line for people."""
    fields = line.fields
    rest = " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in HIDDEN
    )
    return f"{line.time[11:23]} {fields.get('host', '-')} {fields.get('event')} {rest}"


def _names(line: Line, request: str) -> bool:
    if line.fields.get("request_id") == request:
        return True
    evicted = line.fields.get("evicted", ())
    return any(str(task).startswith(request + ".") for task in evicted)


def _concerns(line: Line, workers: set[str]) -> bool:
    if line.fields.get("event") in SHARED_EVENTS:
        dependency = str(line.fields.get("dependency", ""))
        kind, _, name = dependency.partition(" ")
        return kind != "worker" or name in workers
    is_request = "request_id" in line.fields
    return not is_request and line.fields.get("worker") in workers
