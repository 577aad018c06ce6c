"""JSON codec for records, and their conversion to plain values.

Named tuples are encoded as objects.
"""

from collections.abc import Mapping
from functools import cache
from types import UnionType
from typing import (
    Any,
    Literal,
    TypeVar,
    Union,
    cast,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec

from .errors import BadInput

T = TypeVar("T")


def encode(record: object) -> bytes:
    """Return a record as compact JSON."""
    return msgspec.json.encode(to_plain(record))


def decode(kind: type[T], data: bytes) -> T:
    """Return the record of type ``kind`` that the JSON ``data`` encodes.

    :raises BadInput: with the path of the first invalid field
    """
    try:
        plain = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise BadInput("$", "", str(error)) from error
    return from_plain(kind, plain)


def to_plain(value: Any) -> Any:
    """Return ``value`` with named tuples as mappings and other tuples as lists."""
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return {name: to_plain(getattr(value, name)) for name in value._fields}
    if isinstance(value, Mapping):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [to_plain(item) for item in value]
    return value


def from_plain(kind: type[T], plain: object) -> T:
    """Validate ``plain`` against the record type ``kind`` and return the record.

    Unknown fields are rejected.

    :raises BadInput: with the path of the first invalid field
    """
    try:
        checked = msgspec.convert(plain, _validation_type(cast(Any, kind)))
    except msgspec.ValidationError as error:
        rule, _, path = str(error).partition(" - at `")
        raise BadInput(path.rstrip("`") or "$", "", rule) from error
    built: T = _build_records(kind, checked)
    return built


@cache
def _type_hints(kind: Any) -> dict[str, Any]:
    return get_type_hints(kind)


def _is_record(kind: Any) -> bool:
    return (
        isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields")
    )


@cache
def _validation_type(kind: Any) -> Any:
    """Return the type that msgspec validates in place of ``kind``.

    msgspec expects named tuples as arrays. Structs with the same fields make it
    expect objects and reject unknown fields.
    """
    if _is_record(kind):
        hints = _type_hints(kind)
        fields = [
            _struct_field(name, hints[name], kind._field_defaults)
            for name in kind._fields
        ]
        return msgspec.defstruct(kind.__name__, fields, forbid_unknown_fields=True)
    origin = get_origin(kind)
    if origin is None or origin is Literal:
        return kind
    arguments = tuple(
        argument if argument is Ellipsis else _validation_type(argument)
        for argument in get_args(kind)
    )
    if origin in (Union, UnionType):
        return Union[arguments]  # noqa: UP007
    target = dict if origin.__name__ == "Mapping" else origin
    return target[arguments]


def _struct_field(
    name: str, hint: Any, defaults: Mapping[str, Any]
) -> tuple[str, Any, Any]:
    if name not in defaults:
        return (name, _validation_type(hint), msgspec.field())
    default = defaults[name]
    if isinstance(default, tuple):
        return (
            name,
            _validation_type(hint),
            msgspec.field(default_factory=lambda: default),
        )
    return (name, _validation_type(hint), default)


def _build_records(kind: Any, value: Any) -> Any:
    if _is_record(kind):
        if isinstance(value, kind):
            return value
        hints = _type_hints(kind)
        return kind(
            **{
                name: _build_records(hints[name], getattr(value, name))
                for name in kind._fields
            }
        )
    origin = get_origin(kind)
    if origin in (Union, UnionType) and value is not None:
        records = [option for option in get_args(kind) if _is_record(option)]
        return _build_records(records[0], value) if records else value
    if isinstance(value, dict):
        item_kind = get_args(kind)[1] if get_args(kind) else Any
        return {key: _build_records(item_kind, item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        item_kind = get_args(kind)[0] if get_args(kind) else Any
        items = [_build_records(item_kind, item) for item in value]
        return tuple(items) if isinstance(value, tuple) else items
    return value
