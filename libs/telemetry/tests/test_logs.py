import io
import json
import logging

import pytest
from bilberryhitch_telemetry import events, log, start_logs
from bilberryhitch_telemetry.logs import BURST_LINES, LineBudget


@pytest.fixture
def lines():
    stream = io.StringIO()
    start_logs("INFO", {"host": "muscat-ruwi-1"}, stream=stream)
    yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]
    start_logs("ERROR", stream=io.StringIO())


def test_event_is_one_json_line(lines):
    log(events.CONFIG_ADOPTED, revision=3, error=ValueError("x\ny"))
    (line,) = lines()
    assert line["number"] == 2001
    assert (line["host"], line["revision"]) == ("muscat-ruwi-1", 3)
    assert line["error"] == "ValueError: x\ny"


def test_credentials_are_not_written(lines):
    # Guards against tokens reaching log storage, also in nested fields.
    log(
        events.UNAUTHENTICATED_CALL,
        bearer_token="s3cret",
        headers={"Authorization": "s3cret"},
    )
    assert "s3cret" not in json.dumps(lines())


def test_lower_levels_are_left_out(lines):
    log(events.GANG_RESERVED, job_id="ruwi.p.1")
    assert lines() == []


def test_library_messages_are_json_too(lines):
    # Guards against plain-text lines that break the log reader.
    logging.getLogger("asyncio").error("braces %s", "{0}")
    assert lines()[0]["message"] == "braces {0}"


def test_the_number_of_lines_is_bounded_and_the_rest_counted():
    """Guards against a flood of lines that takes the processor from the work."""
    budget = LineBudget()
    written = [budget.take(0.0) for _ in range(BURST_LINES + 50)]
    assert written.count(None) >= 49
    assert budget.take(1e9) >= 49
    assert budget.take(1e9) == 0
