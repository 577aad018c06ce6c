"""Reads and validates request bodies and query parameters."""

from collections.abc import Mapping
from typing import Any

from aiohttp import web
from bilberryhitch_model import parse_json, shorten_value
from bilberryhitch_model.errors import BadInput

from .errors import BodyTooLarge


async def read_body(request: web.Request, max_bytes: int) -> bytes:
    """Return the whole body of a request.

    :param max_bytes: maximum size of the body, in bytes
    :raises BodyTooLarge: the declared or the actual size is larger
    """
    declared = request.content_length
    if declared is not None and declared > max_bytes:
        raise _too_large(declared, max_bytes)
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise _too_large(len(body), max_bytes)
    return bytes(body)


async def read_object(
    request: web.Request, max_bytes: int, fields: Mapping[str, type | tuple[type, ...]]
) -> dict[str, Any]:
    """Return the JSON object in a request body.

    :param max_bytes: maximum size of the body, in bytes
    :param fields: types of the values, by name of the allowed fields
    :raises BadInput: invalid JSON, a duplicate key, an unknown field or a wrong type
    :raises BodyTooLarge: the body is larger than ``max_bytes``
    """
    plain = parse_json(await read_body(request, max_bytes))
    if not isinstance(plain, dict):
        raise BadInput("$", shorten_value(plain), "is an object")
    for name, value in plain.items():
        if name not in fields:
            raise BadInput(
                shorten_value(name), shorten_value(value), "is a known field"
            )
        if isinstance(value, bool) and fields[name] is not bool:
            raise BadInput(name, value, f"is of type {_type_names(fields[name])}")
        if not isinstance(value, fields[name]):
            raise BadInput(
                name, shorten_value(value), f"is of type {_type_names(fields[name])}"
            )
    return plain


def query_number(
    request: web.Request, name: str, default: int, high: int, *, low: int = 1
) -> int:
    """Return an integer query parameter between ``low`` and ``high``.

    :raises BadInput: the value is not an integer in that range
    """
    text = request.query.get(name)
    if text is None:
        return default
    # The length is limited before the conversion: int() is slow for long texts.
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(high))):
        raise BadInput(
            name, shorten_value(text), f"is a number between {low} and {high}"
        )
    if not low <= int(text) <= high:
        raise BadInput(
            name, shorten_value(text), f"is a number between {low} and {high}"
        )
    return int(text)


def _type_names(types: type | tuple[type, ...]) -> str:
    options = types if isinstance(types, tuple) else (types,)
    return " or ".join(each.__name__ for each in options)


def _too_large(size: int, limit: int) -> BodyTooLarge:
    return BodyTooLarge("body", size, f"has at most {limit} bytes")
