"""Strict parsing of JSON, and of the routes and pools tables."""

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

# Errors contain the invalid value; a longer one would hide the rule it breaks.
MAX_VALUE_CHARS = 80
# Strings are matched as a whole, so that comment markers inside them are kept.
_STRING_OR_NON_JSON = re.compile(
    r'"(?:[^"\\]|\\.)*+"?|//[^\r\n]*+|/\*.*?(?:\*/|\Z)|,(?=\s*+[\]}])', re.DOTALL
)
_PATH_STEP = re.compile(r"\.([^.\[]+)|\[(\d+)\]")
_FIELD_IN_RULE = re.compile(r"field `([^`]+)`")


def parse_json(data: bytes, *, comments: bool = False) -> Any:
    """Return the values of JSON in UTF-8, in time linear in its size.

    Duplicate keys and numbers that are not finite are rejected.

    :param comments: whether comments and trailing commas are allowed
    :raises BadInput: with ``line:column`` or the key, the value and the broken rule
    """
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise BadInput(f"byte {error.start}", "", "is UTF-8") from error
    if comments:
        text = _blank_comments(text)
    return _load_strict(json.loads, text, text)


def parse_jsonc(text: str) -> Any:
    """Return the values of JSON with comments and trailing commas.

    Only for local files: removing comments takes time quadratic in the size of some
    malformed texts.

    :raises BadInput: with ``line:column`` or the key, the value and the broken rule
    """
    return _load_strict(jsonc.loads, text, _blank_comments(text))


def parse_tables(text: str) -> Result[Tables, TableInvalid]:
    """Parse a file ``{"routes": [row, ...], "pools": [row, ...]}``.

    The revision of the tables is 0. Rules that involve several rows are checked by
    :func:`validate_tables`.

    :returns: the tables, or the first error
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
    """Return the rows of one table, or the first error.

    Two rows of one name are an error.

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
    """Return a value as it is shown in an error.

    Strings, lists and objects become text of at most ``MAX_VALUE_CHARS`` characters.
    """
    if value is None or isinstance(value, bool | int | float):
        return value
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    return text if len(text) <= MAX_VALUE_CHARS else text[: MAX_VALUE_CHARS - 3] + "..."


def value_at(plain: Any, path: str) -> Any:
    """Return the value at a path such as ``$.peers[0].port``, ``None`` if absent."""
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
    named = _FIELD_IN_RULE.search(error.rule)
    if named is None:
        field = error.field.removeprefix("$.")
        return TableInvalid(
            row, field, shorten_value(value_at(item, error.field)), error.rule
        )
    path = f"{error.field}.{named[1]}"
    value = shorten_value(value_at(item, path))
    return TableInvalid(row, path.removeprefix("$."), value, error.rule)


def _load_strict(loads: Callable[..., Any], text: str, original_text: str) -> Any:
    """Call ``loads``; its failures become :class:`BadInput`.

    :param original_text: the text with the line numbers of the original file
    """
    try:
        return loads(
            text,
            object_pairs_hook=_object_with_unique_keys,
            parse_constant=_reject_constant,
            parse_float=_parse_finite,
        )
    except json.JSONDecodeError as error:
        position, rule = _locate_error(original_text, error)
        raise BadInput(position, "", rule) from error
    except ValueError as error:
        raise BadInput("$", "", str(error)) from error
    except RecursionError as error:
        raise BadInput("$", "", "nests less deeply") from error


def _object_with_unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            raise BadInput(
                shorten_value(key), shorten_value(value), "appears once in its object"
            )
        found[key] = value
    return found


def _reject_constant(text: str) -> NoReturn:
    raise BadInput("$", text, "is a finite number")


def _parse_finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise BadInput("$", shorten_value(text), "is a finite number")
    return number


def _blank_comments(text: str) -> str:
    """Replace comments and trailing commas by blanks; positions stay the same."""

    def blank(match: re.Match[str]) -> str:
        if match[0].startswith('"'):
            return match[0]
        return re.sub(r"[^\r\n]", " ", match[0])

    return _STRING_OR_NON_JSON.sub(blank, text)


def _locate_error(original_text: str, error: json.JSONDecodeError) -> tuple[str, str]:
    """Return ``line:column`` of a syntax error, and its message.

    ``jsonc`` removes comments together with their line ends, so the position that it
    reports is not that of the original file.
    """
    try:
        json.loads(original_text)
    except json.JSONDecodeError as located:
        error = located
    return f"{error.lineno}:{error.colno}", error.msg
