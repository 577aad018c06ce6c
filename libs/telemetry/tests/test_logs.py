import io
import json
import logging

import pytest
from bilberryhitch_telemetry import events, log, start_logs
from bilberryhitch_telemetry.logs import MAX_BURST_LINES, LineRateLimiter


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


def test_credentials_are_redacted(lines):
    # Guards against credentials in logs, also in nested fields.
    log(
        events.UNAUTHENTICATED_CALL,
        bearer_token="s3cret",
        headers={"Authorization": "s3cret"},
    )
    assert "s3cret" not in json.dumps(lines())


def test_events_below_the_level_are_not_written(lines):
    log(events.GANG_RESERVED, job_id="ruwi.p.1")
    assert lines() == []


def test_library_messages_are_json_lines(lines):
    # Guards against plain-text lines, which a log collector cannot parse.
    logging.getLogger("asyncio").error("braces %s", "{0}")
    assert lines()[0]["message"] == "braces {0}"


def test_lines_beyond_the_limit_are_dropped_and_counted():
    """Guards against a flood of log lines that starves the process of CPU time."""
    limiter = LineRateLimiter()
    results = [limiter.acquire(0.0) for _ in range(MAX_BURST_LINES + 50)]
    assert results.count(None) >= 49
    assert limiter.acquire(1e9) >= 49
    assert limiter.acquire(1e9) == 0
