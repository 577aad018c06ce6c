"""Applies changes to the configuration tables in memory; no I/O."""

from collections import deque
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple, TypeVar

from bilberryhitch_model import (
    ConfigChange,
    Pool,
    Route,
    TableChange,
    Tables,
    decode,
    encode,
)
from bilberryhitch_model.errors import TableInvalid
from bilberryhitch_peers import ConfigOffer
from expression import Error, Ok, Result

from .rows import decode_change, encode_change

R = TypeVar("R", Route, Pool)
EMPTY_TABLES = Tables(0, MappingProxyType({}), MappingProxyType({}))


class DecodedOffer(NamedTuple):
    """The decoded records of a :class:`~bilberryhitch_peers.ConfigOffer`.

    :param snapshot: both tables, or ``None`` when the offer holds changes
    """

    changes: tuple[ConfigChange, ...]
    snapshot: Tables | None


def check_change(tables: Tables, change: TableChange) -> Result[None, TableInvalid]:
    """Check that a change names each row once and deletes only existing rows."""
    if change == TableChange():
        return Error(TableInvalid("", "$", "", "changes at least one row"))
    routes = _check_row_names(
        "routes", change.put_routes, change.delete_routes, tables.routes
    )
    if routes.is_error():
        return routes
    return _check_row_names(
        "pools", change.put_pools, change.delete_pools, tables.pools
    )


def apply_change(tables: Tables, change: TableChange, revision: int) -> Tables:
    """Return new tables with a change applied; ``tables`` is not modified."""
    return Tables(
        revision,
        _merge_rows(tables.routes, change.put_routes, change.delete_routes),
        _merge_rows(tables.pools, change.put_pools, change.delete_pools),
    )


def apply_changes(tables: Tables, changes: Iterable[ConfigChange]) -> Tables:
    """Return the tables after all changes with consecutive revisions.

    Changes that ``tables`` already contains are skipped. No change after the first
    missing revision is applied.
    """
    for change in sorted(changes, key=lambda item: item.revision):
        if change.revision == tables.revision + 1:
            tables = apply_change(tables, change.change, change.revision)
    return tables


def make_read_only(tables: Tables) -> Tables:
    """Return tables behind read-only mappings, so that readers cannot modify them."""
    return Tables(
        tables.revision,
        MappingProxyType(dict(tables.routes)),
        MappingProxyType(dict(tables.pools)),
    )


def decode_offer(offer: ConfigOffer) -> DecodedOffer:
    """Decode the changes or the snapshot of a peer's offer.

    :raises BadInput: a record cannot be decoded
    """
    changes = tuple(decode_change(data) for data in offer.changes)
    snapshot = decode(Tables, offer.snapshot) if offer.snapshot else None
    return DecodedOffer(changes, snapshot)


class RecentChanges:
    """The most recent changes, from which peers that lag a little are updated.

    :param limit: number of changes kept
    """

    def __init__(self, limit: int) -> None:
        self._changes: deque[ConfigChange] = deque(maxlen=limit)

    def add(self, changes: Iterable[ConfigChange], revision: int) -> None:
        """Keep changes up to ``revision``; a gap discards all changes before it."""
        for change in sorted(changes, key=lambda item: item.revision):
            last = self._changes[-1].revision if self._changes else 0
            if not last < change.revision <= revision:
                continue
            if change.revision != last + 1:
                self._changes.clear()
            self._changes.append(change)

    def offer(self, tables: Tables, since: int) -> ConfigOffer:
        """Return the changes after revision ``since``, or a snapshot if any is gone."""
        missing = [change for change in self._changes if change.revision > since]
        complete = (
            len(missing) == tables.revision - since
            and bool(missing)
            and missing[-1].revision == tables.revision
        )
        if complete:
            return ConfigOffer(
                tables.revision, [encode_change(change) for change in missing]
            )
        return ConfigOffer(tables.revision, snapshot=encode(tables))


def _check_row_names(
    table: str, puts: tuple[R, ...], deletes: tuple[str, ...], rows: Mapping[str, R]
) -> Result[None, TableInvalid]:
    seen: set[str] = set()
    for name in (*(row.name for row in puts), *deletes):
        if name in seen:
            return Error(TableInvalid(name, table, name, "is changed once"))
        seen.add(name)
    for name in deletes:
        if name not in rows:
            return Error(TableInvalid(name, table, name, "names an existing row"))
    return Ok(None)


def _merge_rows(
    rows: Mapping[str, R], puts: tuple[R, ...], deletes: tuple[str, ...]
) -> Mapping[str, R]:
    if not puts and not deletes:
        return rows
    merged = {name: row for name, row in rows.items() if name not in deletes}
    merged.update((row.name, row) for row in puts)
    return MappingProxyType(merged)
