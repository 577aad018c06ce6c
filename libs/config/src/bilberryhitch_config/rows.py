"""Rows of the table service that hold the configuration."""

from collections.abc import AsyncIterator, Sequence
from typing import Any, NamedTuple, TypeVar

import msgspec
from bilberryhitch_model import (
    ConfigChange,
    Pool,
    Route,
    TableChange,
    Tables,
    decode,
    encode,
    from_plain,
    to_plain,
)
from bilberryhitch_model.errors import BadInput, StoreUnavailable
from bilberryhitch_platform import Delete, Put, Row, TableService, Write

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/change/"
ROUTE_PREFIX = "config/route/"
POOL_PREFIX = "config/pool/"
SCAN_PAGE_ROWS = 500
# A scan fails when a commit interferes. At 17,000 changes a day and 5,500 rows, that
# is likely only if the store is slow; further attempts would not succeed then.
SNAPSHOT_ATTEMPTS = 5

R = TypeVar("R", Route, Pool)


class Head(NamedTuple):
    """Value of the head row: the last committed revision."""

    revision: int


class HeadRow(NamedTuple):
    """The head row.

    :param revision: last committed configuration revision; 0 if there is none
    :param row_revision: store revision to expect in a compare-and-set
    """

    revision: int
    row_revision: int


def change_key(revision: int) -> str:
    """Return the key of a change row; keys sort by revision."""
    return f"{CHANGE_PREFIX}{revision:012d}"


def change_writes(change: ConfigChange) -> list[Write]:
    """Return all writes of a commit: head row, change row and table rows."""
    rows = change.change
    writes: list[Write] = [
        Put(HEAD_KEY, encode(Head(change.revision))),
        Put(change_key(change.revision), encode_change(change)),
    ]
    writes += [Delete(ROUTE_PREFIX + name) for name in rows.delete_routes]
    writes += [Delete(POOL_PREFIX + name) for name in rows.delete_pools]
    writes += [
        Put(ROUTE_PREFIX + route.name, encode(route)) for route in rows.put_routes
    ]
    writes += [Put(POOL_PREFIX + pool.name, encode(pool)) for pool in rows.put_pools]
    return writes


def encode_change(change: ConfigChange) -> bytes:
    """Return the value of a change row: a flat JSON object.

    The fields of ``change.change`` stand beside those of ``change``.
    """
    plain = to_plain(change)
    return msgspec.json.encode({**plain, **plain.pop("change")})


def decode_change(data: bytes) -> ConfigChange:
    """Decode the value of a change row.

    :raises BadInput: the value is not an encoded change
    """
    try:
        plain: Any = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise BadInput("$", "", str(error)) from error
    if not isinstance(plain, dict):
        raise BadInput("$", "", "is an object")
    change = {name: plain.pop(name, []) for name in TableChange._fields}
    return from_plain(ConfigChange, {**plain, "change": change})


async def read_head(tables: TableService) -> HeadRow:
    """Return the head row; revision 0 if nothing was ever committed."""
    row = await tables.get(HEAD_KEY)
    if row is None:
        return HeadRow(0, 0)
    return HeadRow(decode(Head, row.value).revision, row.revision)


async def read_changes(
    tables: TableService, since: int, limit: int
) -> list[ConfigChange]:
    """Return at most ``limit`` changes after revision ``since``, oldest first."""
    page = await tables.scan(CHANGE_PREFIX, after=change_key(since), limit=limit)
    return [decode_change(row.value) for row in page.rows]


async def read_history(tables: TableService, limit: int) -> list[ConfigChange]:
    """Return the last ``limit`` committed changes, newest first."""
    head = await read_head(tables)
    changes = await read_changes(tables, max(0, head.revision - limit), limit)
    return changes[::-1]


async def read_snapshot(tables: TableService) -> Tables:
    """Return a consistent snapshot of both tables.

    Every commit writes the head row, so an unchanged head row proves that no commit
    happened during the scans.

    :raises StoreUnavailable: commits interfered with every attempt
    """
    head = await read_head(tables)
    for _ in range(SNAPSHOT_ATTEMPTS):
        routes = await _read_table(tables, ROUTE_PREFIX, Route)
        pools = await _read_table(tables, POOL_PREFIX, Pool)
        confirmed = await read_head(tables)
        if confirmed == head:
            return Tables(head.revision, routes, pools)
        head = confirmed
    raise StoreUnavailable("consistent scan of config/")


async def scan_pages(
    tables: TableService, prefix: str, after: str = ""
) -> AsyncIterator[Sequence[Row]]:
    """Yield all pages of rows under a key prefix, in key order.

    :param after: key after which the scan starts
    """
    more = True
    while more:
        page = await tables.scan(prefix, after=after, limit=SCAN_PAGE_ROWS)
        yield page.rows
        more = page.more and bool(page.rows)
        after = page.rows[-1].key if page.rows else after


async def _read_table(tables: TableService, prefix: str, kind: type[R]) -> dict[str, R]:
    rows: dict[str, R] = {}
    async for page in scan_pages(tables, prefix):
        for row in page:
            rows[row.key.removeprefix(prefix)] = decode(kind, row.value)
    return rows
