import pytest
from bilberryhitch_model import Tables, parse_json, parse_jsonc, parse_tables
from bilberryhitch_model.errors import BadInput

ROUTE = '{"name": "r", "work": "job", "kind": "k", "client_account": "a", "pool": "p"}'


def test_comments_and_trailing_commas_are_accepted():
    text = '{"routes": [' + ROUTE + ',], // one\n /* two */ "pools": []}'
    tables = parse_tables(text).ok
    assert isinstance(tables, Tables)
    assert tables.routes["r"].kind == "k"


def test_syntax_error_has_the_position_in_the_file():
    # Guards against line numbers that are shifted by the removal of comments.
    with pytest.raises(BadInput) as caught:
        parse_jsonc('{ // c\n /* a\n b */ "a": [1,\n],\n "b" 2}')
    assert caught.value.field == "5:6"


MALFORMED_JSON = [
    (b'{"a": 1, "a": 2}', "a"),
    (b'{"a": NaN}', "$"),
    (b'{"a": 1e999}', "$"),
    (b'{"a": ' + b"9" * 5000 + b"}", "$"),
    (b"[" * 100_000, "$"),
    (b'"\xff"', "byte 1"),
    (b"", "1:1"),
]


@pytest.mark.parametrize(("data", "field"), MALFORMED_JSON)
def test_malformed_json_raises_bad_input(data, field):
    # Guards against exceptions of the JSON decoder that reach a handler.
    with pytest.raises(BadInput) as caught:
        parse_json(data)
    assert caught.value.field == field


INVALID_ROWS = [
    ('{"routes": [' + ROUTE + ", " + ROUTE + "]}", "r", "name"),
    ('{"routes": [{"name": "r", "wrk": 1}]}', "r", "wrk"),
    ('{"pools": [{"name": "p"}]}', "p", "work"),
    ('{"pools": [{"name": "p", "work": "job", "hosts": [1]}]}', "p", "hosts[0]"),
    ('{"pools": [3]}', "pools[0]", "$"),
    ('{"pols": []}', "", "pols"),
    ("[]", "", "$"),
]


@pytest.mark.parametrize(("text", "row", "field"), INVALID_ROWS)
def test_invalid_row_is_reported_with_row_and_field(text, row, field):
    error = parse_tables(text).error
    assert (error.row, error.field) == (row, field)
