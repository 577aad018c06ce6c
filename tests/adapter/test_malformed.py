"""Documents of other writers that are malformed in any way.

Guards against a process that ends, or stops to watch a table, because of one row, one
response or one request that it cannot read: each decoder either returns a record or
raises the error that its callers handle.
"""

import asyncio
import random

import msgspec
import pytest
from aiohttp import web
from bilberryhitch_adapter.advice import decode_advice
from bilberryhitch_adapter.decoding import (
    decode_configuration,
    decode_hold,
    decode_job,
    decode_wave,
    decode_worker,
)
from bilberryhitch_adapter.http_server import _timeout_s
from bilberryhitch_adapter.machines import MachineClient, decode_machines
from bilberryhitch_adapter.store import StoreClient
from bilberryhitch_adapter.workers import WorkerClient
from bilberryhitch_adapter_standins import Listener
from bilberryhitch_jobs import Resources, StoreRow, TaskName
from bilberryhitch_jobs.errors import STORE_ERRORS, RowUnreadable
from bilberryhitch_jobs.progress import decode_progress, decode_request
from bilberryhitch_model.errors import BadInput
from bilberryhitch_planner import (
    MachinesUnknown,
    StartOrder,
    StartOutcome,
    StopOrder,
    StopOutcome,
    WorkerEntry,
    WorkerUnreachable,
)
from hypothesis import given, settings
from hypothesis import strategies as st

EXAMPLES = settings(max_examples=250, deadline=None, derandomize=True)
WORKER = {
    "backend": "pool",
    "address": "10.0.0.9:8080",
    "zone": "ruwi",
    "state": "draining",
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 8},
    "labels": ["a", "r1-3"],
    "remaining-ms": 10,
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": "h",
            "path-prefix": "/a/",
            "backend": "pool",
            "priority": 0,
            "max-attempts": 2,
            "advice": {"decide-ms": 1, "each-ms": 1, "valid-ms": 100},
        }
    ],
    "services": [{"name": "pool", "rejects-overload": False}],
    "tenants": [{"name": "t", "keys": ["k"], "guaranteed": {"gpu": 3}}],
    "limits": {"max-body-bytes": 1000},
}
JOB = {
    "spec": "s",
    "steps": [{"count": 2, "cpu": 1, "gang": True}, {"count": 1, "after": [0]}],
    "repeat-count": 2,
    "start-at-ms": 5000,
    "interval-ms": 1500,
}
HOLD = {
    "clock-ms": 482113,
    "born": 1700000000000,
    "running": [["5c.0.1.17", 2, "00", 41, 350]],
    "finished": [[58, "5c.0.1.9", 1, "done", ""]],
}
WAVE = {"wave": 1, "machines": ["m"], "duration-s": 3, "max-count": 1}
MACHINES = {"machines": [{"machine": "m-1", "state": "up", "id": "i-1"}]}
ADVICE = {"granted": [["i-1", "t"]], "valid-ms": 100}
# A superscript is a digit for ``str.isdigit`` and none for ``int``.
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(["", "a.0.0.²", "a.0.0." + "9" * 5000, "10.0.0.9:²", "1e999"])
    | st.text(max_size=8)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=5,
)


@st.composite
def altered(draw, document):
    """Return a document of which one part is replaced or left out."""
    if isinstance(document, dict) and document and draw(st.integers(0, 4)):
        name = draw(st.sampled_from(sorted(document)))
        rest = {key: value for key, value in document.items() if key != name}
        if draw(st.integers(0, 4)) == 0:
            return rest
        return rest | {name: draw(altered(document[name]))}
    if isinstance(document, list) and document and draw(st.integers(0, 4)):
        index = draw(st.integers(0, len(document) - 1))
        changed = draw(altered(document[index]))
        return [*document[:index], changed, *document[index + 1 :]]
    return draw(VALUES)


def encode(document):
    return msgspec.json.encode(document)


@EXAMPLES
@given(altered(WORKER))
def test_worker_row_names_a_worker_or_none(document):
    worker = decode_worker(StoreRow("servers", "i-1", encode(document), 3))
    assert worker is None or worker.worker == "i-1"


@pytest.mark.parametrize(
    ("decode", "valid"),
    [
        (decode_configuration, CONFIGURATION),
        (decode_job, JOB),
        (decode_wave, WAVE),
        (decode_advice, ADVICE),
        (lambda value: decode_hold(msgspec.json.decode(value)), HOLD),
        (lambda value: decode_machines(msgspec.json.decode(value)), MACHINES),
    ],
    ids=["configuration", "job", "wave", "advice", "hold", "machines"],
)
def test_a_malformed_document_is_invalid_input(decode, valid):
    # The valid document is accepted, so that the search starts from one that is.
    decode(encode(valid))

    @EXAMPLES
    @given(altered(valid).filter(lambda document: isinstance(document, dict)))
    def search(document):
        try:
            decode(encode(document))
        except BadInput as error:
            assert error.field

    search()


@pytest.mark.parametrize("decode", [decode_configuration, decode_job, decode_wave])
@pytest.mark.parametrize(
    "value",
    [b"", b"\xff\xfe", b"[1]", b'{"spec":"\\ud800"}', b"[" * 100_000, b'{"a":1e999}'],
)
def test_a_value_that_is_no_document_is_invalid_input(decode, value):
    with pytest.raises(BadInput):
        decode(value)


@EXAMPLES
@given(st.binary(max_size=40))
def test_a_row_that_is_no_job_is_unreadable(value):
    for decode in (decode_request, decode_progress):
        with pytest.raises(RowUnreadable):
            decode("j", value)


@pytest.mark.parametrize("value", ["²", "9" * 5000, "-1", "x", ""])
def test_a_timeout_that_is_no_number_is_the_default(value):
    class Request:
        headers = {"Timeout-Ms": value}

    assert _timeout_s(Request()) == 3.0


def call_with_answer(client_of, call, body):
    """Return the result of a client's call that gets the given response body."""

    async def handle(request):
        return web.Response(status=200, body=body)

    async def run():
        listener = Listener(handle, random.Random(1))
        await listener.start()
        client = client_of(lambda: listener.address)
        await client.start()
        try:
            return await call(client)
        finally:
            await client.close()
            await listener.close()

    return asyncio.run(run())


ROW = {"table": "t", "part": "", "key": "k", "value": "YQ==", "schema-version": 4}
UNREADABLE_ANSWERS = [
    b"\xff",
    b"[]",
    b"{}" * 2,
    b"[" * 100_000,
    encode({"rows": [], "schema-version": "new"}),
    encode({"rows": 3, "schema-version": 1}),
    encode({"rows": [7], "schema-version": 1}),
    encode({"rows": [{**ROW, "key": None}], "schema-version": 1}),
]


@pytest.mark.parametrize("body", UNREADABLE_ANSWERS)
@pytest.mark.parametrize(
    "call",
    [
        lambda store: store.read("t", timeout_s=1.0),
        lambda store: store.watch("t", 1, 0.1),
    ],
    ids=["read", "watch"],
)
def test_an_unreadable_answer_of_the_store_is_one_of_its_errors(call, body):
    with pytest.raises(STORE_ERRORS):
        call_with_answer(StoreClient, call, body)


def test_a_row_that_is_not_base64_leaves_the_other_rows():
    body = {"rows": [{**ROW, "value": "*"}, ROW | {"key": "l"}], "schema-version": 9}
    snapshot = call_with_answer(
        StoreClient, lambda store: store.read("t", timeout_s=1.0), encode(body)
    )
    assert [row.value for row in snapshot.rows] == [b"", b"a"]


@pytest.mark.parametrize(
    "page",
    [
        {"machines": [{"machine": "m-1", "state": "up", "id": "i-1"}, 7]},
        {"machines": [{"machine": "m-1"}]},
        {"machines": "none"},
        {"machines": [], "next-token": "again"} | {"machines": [{"state": "up"}]},
    ],
)
def test_a_list_of_machines_with_an_unreadable_entry_is_unknown(page):
    # Without the entry, its machine would count as taken away.
    def client_of(address):
        return MachineClient(address, "host-1")

    with pytest.raises(MachinesUnknown):
        call_with_answer(client_of, lambda client: client.list_machines(), encode(page))


ODD_REPLIES = [
    b"",
    b"\xff\xfe",
    b"[" * 100_000,
    b'{"born":' * 100_000,
    b'{"clock-ms":1e999}',
    b'{"clock-ms":1' + b"0" * 400 + b',"born":1}',
    b'{"clock-ms":1,"born":' + b"9" * 5_000 + b"}",
    b'{"clock-ms":1,"born":1,"running":{}}',
    b'{"clock-ms":1,"born":1,"finished":[[1]]}',
    b'{"clock-ms":1,"born":1,"finished":[[1,"a.0.0.' + b"9" * 5_000 + b'",1,"done"]]}',
    b'{"clock-ms":1,"born":1,"running":[]}',
    b'{"clock-ms":1,"born":1,"running":null,"finished":[]}',
    b'{"born":1,"running":[],"finished":[]}',
    b"[]",
    b"{}",
    b"7",
]
ENTRY = WorkerEntry("w", "pool", "", "dc", Resources(), frozenset(), "")
ORDER = StartOrder("w", TaskName("a" * 16, 0, 0, 0), 1, "s", "")


def worker_client(address):
    """Return a client whose calls go to ``address``, whatever the entry says."""
    client = WorkerClient()
    post = client._post

    async def post_to_address(worker, *rest):
        return await post(worker._replace(address=address()), *rest)

    client._post = post_to_address
    return client


@pytest.mark.parametrize("body", ODD_REPLIES)
def test_an_odd_list_of_runs_says_nothing_about_the_worker(body):
    """Guards against a session that ends, or runs that count as gone, by one reply."""

    async def hold(client):
        options = {"token": 1, "acknowledged": 0, "lease_until_s": None, "wait_s": 0.0}
        return await client.hold(ENTRY, **options)

    with pytest.raises(WorkerUnreachable):
        call_with_answer(worker_client, hold, body)


@pytest.mark.parametrize("body", ODD_REPLIES)
def test_an_odd_reply_to_an_order_has_an_outcome(body):
    """Guards against an order that ends in an unexpected error by its reply."""

    async def start(client):
        return await client.start_run(ENTRY, ORDER, token=1, lease_until_s=1.0)

    async def stop(client):
        return await client.stop_run(
            ENTRY, StopOrder("w", ORDER.task, ORDER.run), token=1
        )

    assert call_with_answer(worker_client, start, body) in StartOutcome
    assert call_with_answer(worker_client, stop, body) in StopOutcome
