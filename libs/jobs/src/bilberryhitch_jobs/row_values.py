"""Decodes JSON values of rows, which another writer may have written."""

from typing import TypeVar

import msgspec
from bilberryhitch_telemetry import events, log

from .errors import RowUnreadable
from .rows import StoreRow

# Raised for the value of another writer: wrong format, invalid UTF-8, deep nesting.
UNREADABLE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)

Value = TypeVar("Value")


def decode_json_row(row: StoreRow, kind: type[Value]) -> Value:
    """Decode the value of a row.

    :raises RowUnreadable: if it is no JSON document of this type
    """
    try:
        return msgspec.json.decode(row.value, type=kind)
    except UNREADABLE_ERRORS as error:
        raise RowUnreadable(row.key, str(error)) from error


def read_json_row(row: StoreRow, kind: type[Value]) -> Value | None:
    """Decode the value of a row; None, with a log line, if it is unreadable."""
    try:
        return decode_json_row(row, kind)
    except RowUnreadable as error:
        log(events.ROW_UNREADABLE, key=error.key, error=error)
        return None
