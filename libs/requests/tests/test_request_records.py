from bilberryhitch_model import Outcome
from bilberryhitch_requests.request_records import RequestRecord, RequestRecords


def test_closed_record_gives_no_grant():
    record = RequestRecord("h", "acme")
    record.close("timed out")
    assert record.current_outcome().status == "not_run"
    assert not record.grant("a")


def test_outcome_of_a_closed_record_is_unknown_until_a_late_answer():
    record = RequestRecord("h", "acme")
    assert record.grant("a")
    record.close("timed out")
    assert record.current_outcome().status == "unknown"
    record.finish(Outcome("completed", b"late"))
    record.finish(Outcome("not_run"))
    assert record.current_outcome().body == b"late"


def test_outcome_after_a_lost_run_is_unknown():
    record = RequestRecord("h", "acme")
    record.grant("a")
    record.record_lost("a")
    record.close("timed out")
    assert record.current_outcome().status == "unknown"


def test_grant_goes_to_one_run_of_the_current_forward():
    record = RequestRecord("h", "acme")
    first = record.open_forward("e2")
    second = record.open_forward("e3")
    assert not record.grant_forward(first, "run-1", "e2")
    assert not record.grant_forward(second, "run-2", "e2")
    assert record.grant_forward(second, "run-2", "e3")
    assert record.grant_forward(second, "run-2", "e3")
    assert not record.grant_forward(second, "run-3", "e3")


def test_oldest_finished_record_is_evicted_and_unfinished_ones_are_kept():
    records = RequestRecords(max_records=1, max_body_bytes=100)
    open_record = records.open("open", "acme")
    for name in ("a", "b"):
        records.open(name, "acme").finish(Outcome("completed", b"x"))
    assert records.get("a") is None
    assert records.get("b") is not None
    assert records.get("open") is open_record
    records.open("big", "acme").finish(Outcome("completed", b"x" * 101))
    assert len(records) == 1
