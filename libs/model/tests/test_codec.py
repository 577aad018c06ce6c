import pytest
from bilberryhitch_model import (
    Guarantee,
    JobRecord,
    Member,
    Pool,
    Route,
    Shape,
    Tables,
    decode,
    encode,
)
from bilberryhitch_model.errors import BadInput

ROUTE = Route("r", "job", "render", "acme", "p", max_shape=Shape(4, 2))
POOL = Pool("p", "job", ("w1",), (Guarantee("acme", "ruwi", 16, 2),))
JOB = JobRecord(
    job_id="ruwi.p.1",
    client_account="acme",
    caller="c",
    route="r",
    kind="render",
    pool="p",
    data_centre="ruwi",
    shape=Shape(2, 8),
    urgency="normal",
    idempotent=True,
    checkpoint=False,
    declared_s=3.0,
    accepted_at=4.0,
    members=(Member("w1", (0, 1), 2),),
)


@pytest.mark.parametrize("record", [ROUTE, POOL, JOB, Tables(1, {"r": ROUTE}, {})])
def test_encoded_record_is_decoded_unchanged(record):
    # Guards against nested records that are decoded as plain lists or mappings.
    assert decode(type(record), encode(record)) == record


def test_unknown_field_is_rejected():
    # Guards against a misspelt field that is silently ignored.
    with pytest.raises(BadInput) as caught:
        decode(Shape, b'{"tasks": 1, "acelerators": 2}')
    assert "acelerators" in caught.value.rule


def test_wrong_type_is_reported_with_its_path():
    data = encode(POOL).replace(b'"cells":2', b'"cells":"2"')
    with pytest.raises(BadInput) as caught:
        decode(Pool, data)
    assert caught.value.field.endswith("cells")


def test_malformed_json_raises_bad_input():
    with pytest.raises(BadInput):
        decode(Pool, b'{"name": ')
