"""JSON with duplicate keys refused, and the tables read from it."""

import json
import math
import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NoReturn, TypeVar

import jsonc
from expression import Error, Ok, Result

from .codec import from_plain
from .errors import BadInput, TableInvalid
from .tables import Pool, Route, Tables

R = TypeVar("R", Route, Pool)

# Errors quote the offending value; a longer quotation hides the rule.
MAX_QUOTED = 80
_SKIPPED = re.compile(
    r'"(?:[^"\\]|\\.)*+"?|//[^\r\n]*+|/\*.*?(?:\*/|\Z)|,(?=\s*+[\]}])', re.DOTALL
)
_PATH_STEP = re.compile(r"\.([^.\[]+)|\[(\d+)\]")
_NAMED_FIELD = re.compile(r"field `([^`]+)`")


def parse_json(data: bytes, *, comments: bool = False) -> Any:
    """Return the plain values of JSON in UTF-8, in time linear in its size.

    :param comments: whether comments and trailing commas are allowed
    :raises BadInput: with ``line:column`` or the key, the value and the rule
    """
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise BadInput(f"byte {error.start}", "", "is UTF-8") from error
    if comments:
        text = _blank_comments(text)
    return _load(json.loads, text, text)


def parse_jsonc(text: str) -> Any:
    """Return the plain values of JSON with comments and trailing commas.

    Meant for local files: the comment remover takes time quadratic in the size
    of some malformed texts.

    :raises BadInput: with ``line:column`` or the key, the value and the rule
    """
    return _load(jsonc.loads, text, _blank_comments(text))


def parse_tables(text: str) -> Result[Tables, TableInvalid]:
    """Return the tables of a file ``{"routes": [row...], "pools": [row...]}``.

    The revision is 0; the rules between rows are those of ``validate_tables``.
    """
    try:
        plain = parse_jsonc(text)
    except BadInput as error:
        return Error(TableInvalid("", error.field, error.value, error.rule))
    if not isinstance(plain, Mapping):
        return Error(TableInvalid("", "$", shorten_value(plain), "is an object"))
    for key in plain:
        if key not in ("routes", "pools"):
            return Error(TableInvalid("", key, "", "is `routes` or `pools`"))
    routes = parse_rows(Route, plain.get("routes", []))
    if routes.is_error():
        return Error(routes.error)
    pools = parse_rows(Pool, plain.get("pools", []))
    if pools.is_error():
        return Error(pools.error)
    return Ok(
        Tables(
            0,
            {route.name: route for route in routes.ok},
            {pool.name: pool for pool in pools.ok},
        )
    )


def parse_rows(kind: type[R], plain: Any) -> Result[tuple[R, ...], TableInvalid]:
    """Return the rows of one table, each name at most once.

    :param kind: ``Route`` or ``Pool``
    :param plain: list of objects with the fields of ``kind``
    """
    table = f"{kind.__name__.lower()}s"
    if not isinstance(plain, Sequence) or isinstance(plain, str):
        return Error(TableInvalid("", table, shorten_value(plain), "is a list of rows"))
    rows: dict[str, R] = {}
    for index, item in enumerate(plain):
        row = _row_name(table, index, item)
        try:
            built = from_plain(kind, item)
        except BadInput as error:
            return Error(_row_error(row, item, error))
        if built.name in rows:
            rule = "is the name of one row only"
            return Error(TableInvalid(row, "name", built.name, rule))
        rows[built.name] = built
    return Ok(tuple(rows.values()))


def shorten_value(value: Any) -> Any:
    """Return a value short enough to be part of an error."""
    if value is None or isinstance(value, bool | int | float):
        return value
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    return text if len(text) <= MAX_QUOTED else text[: MAX_QUOTED - 3] + "..."


def value_at(plain: Any, path: str) -> Any:
    """Return the value at a path such as ``$.peers[0].port``, or ``None``."""
    for name, index in _PATH_STEP.findall(path):
        if index and isinstance(plain, Sequence) and int(index) < len(plain):
            plain = plain[int(index)]
        elif name and isinstance(plain, Mapping):
            plain = plain.get(name)
        else:
            return None
    return plain


def _row_name(table: str, index: int, item: Any) -> str:
    name = item.get("name") if isinstance(item, Mapping) else None
    return shorten_value(name) if isinstance(name, str) else f"{table}[{index}]"


def _row_error(row: str, item: Any, error: BadInput) -> TableInvalid:
    named = _NAMED_FIELD.search(error.rule)
    if named is None:
        field = error.field.removeprefix("$.")
        return TableInvalid(
            row, field, shorten_value(value_at(item, error.field)), error.rule
        )
    path = f"{error.field}.{named[1]}"
    value = shorten_value(value_at(item, path))
    return TableInvalid(row, path.removeprefix("$."), value, error.rule)


def _load(loads: Callable[..., Any], text: str, shown: str) -> Any:
    """Call ``loads`` and turn its failures into :class:`BadInput`.

    :param shown: the text with the line numbers that its author sees
    """
    try:
        return loads(
            text,
            object_pairs_hook=_unique,
            parse_constant=_refuse_constant,
            parse_float=_finite,
        )
    except json.JSONDecodeError as error:
        place, rule = _place(shown, error)
        raise BadInput(place, "", rule) from error
    except ValueError as error:
        raise BadInput("$", "", str(error)) from error
    except RecursionError as error:
        raise BadInput("$", "", "nests less deeply") from error


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            raise BadInput(
                shorten_value(key), shorten_value(value), "appears once in its object"
            )
        found[key] = value
    return found


def _refuse_constant(text: str) -> NoReturn:
    raise BadInput("$", text, "is a finite number")


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise BadInput("$", shorten_value(text), "is a finite number")
    return number


def _blank_comments(text: str) -> str:
    """Replace what plain JSON lacks by blanks, keeping lines and columns."""

    def blank(match: re.Match[str]) -> str:
        if match[0].startswith('"'):
            return match[0]
        return re.sub(r"[^\r\n]", " ", match[0])

    return _SKIPPED.sub(blank, text)


def _place(shown: str, error: json.JSONDecodeError) -> tuple[str, str]:
    """Return ``line:column`` of a syntax error, and what was expected there.

    ``jsonc`` removes comments together with their line ends, so the position it
    reports is not one of the file.
    """
    try:
        json.loads(shown)
    except json.JSONDecodeError as located:
        error = located
    return f"{error.lineno}:{error.colno}", error.msg
