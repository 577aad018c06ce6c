import pytest
from bilberryhitch_model import Tables, parse_json, parse_jsonc, parse_tables
from bilberryhitch_model.errors import BadInput

ROUTE = '{"name": "r", "work": "job", "kind": "k", "client_account": "a", "pool": "p"}'


def test_comments_and_trailing_commas_are_read():
    text = '{"routes": [' + ROUTE + ',], // one\n /* two */ "pools": []}'
    tables = parse_tables(text).ok
    assert isinstance(tables, Tables)
    assert tables.routes["r"].kind == "k"


def test_syntax_error_names_the_line_of_the_file():
    # Guards against line numbers shifted by removed comments.
    with pytest.raises(BadInput) as caught:
        parse_jsonc('{ // c\n /* a\n b */ "a": [1,\n],\n "b" 2}')
    assert caught.value.field == "5:6"


BROKEN = [
    (b'{"a": 1, "a": 2}', "a"),
    (b'{"a": NaN}', "$"),
    (b'{"a": 1e999}', "$"),
    (b'{"a": ' + b"9" * 5000 + b"}", "$"),
    (b"[" * 100_000, "$"),
    (b'"\xff"', "byte 1"),
    (b"", "1:1"),
]


@pytest.mark.parametrize(("data", "field"), BROKEN)
def test_broken_json_is_bad_input(data, field):
    # Guards against a decoder's exception reaching a handler.
    with pytest.raises(BadInput) as caught:
        parse_json(data)
    assert caught.value.field == field


ROWS = [
    ('{"routes": [' + ROUTE + ", " + ROUTE + "]}", "r", "name"),
    ('{"routes": [{"name": "r", "wrk": 1}]}', "r", "wrk"),
    ('{"pools": [{"name": "p"}]}', "p", "work"),
    ('{"pools": [{"name": "p", "work": "job", "hosts": [1]}]}', "p", "hosts[0]"),
    ('{"pools": [3]}', "pools[0]", "$"),
    ('{"pols": []}', "", "pols"),
    ("[]", "", "$"),
]


@pytest.mark.parametrize(("text", "row", "field"), ROWS)
def test_broken_row_is_refused_with_row_and_field(text, row, field):
    error = parse_tables(text).error
    assert (error.row, error.field) == (row, field)
