"""Which tables follow from a change; no I/O."""

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
NOTHING = Tables(0, MappingProxyType({}), MappingProxyType({}))


class Offered(NamedTuple):
    """A decoded offer."""

    changes: tuple[ConfigChange, ...]
    snapshot: Tables | None


def check_change(tables: Tables, change: TableChange) -> Result[None, TableInvalid]:
    """Check that a change names each row once and removes only what exists."""
    if change == TableChange():
        return Error(TableInvalid("", "$", "", "changes at least one row"))
    routes = _named("routes", change.put_routes, change.delete_routes, tables.routes)
    if routes.is_error():
        return routes
    return _named("pools", change.put_pools, change.delete_pools, tables.pools)


def apply_change(tables: Tables, change: TableChange, revision: int) -> Tables:
    """Return new tables with a change applied; ``tables`` stays as it is."""
    return Tables(
        revision,
        _merged(tables.routes, change.put_routes, change.delete_routes),
        _merged(tables.pools, change.put_pools, change.delete_pools),
    )


def apply_changes(tables: Tables, changes: Iterable[ConfigChange]) -> Tables:
    """Apply the changes that directly follow ``tables``.

    Changes already contained are skipped; the first gap ends the run.
    """
    for change in sorted(changes, key=lambda item: item.revision):
        if change.revision == tables.revision + 1:
            tables = apply_change(tables, change.change, change.revision)
    return tables


def make_read_only(tables: Tables) -> Tables:
    """Return tables whose rows cannot be replaced by a holder of the view."""
    return Tables(
        tables.revision,
        MappingProxyType(dict(tables.routes)),
        MappingProxyType(dict(tables.pools)),
    )


def decode_offer(offer: ConfigOffer) -> Offered:
    """Return what a peer offers.

    :raises BadInput: a record does not decode
    """
    changes = tuple(decode_change(data) for data in offer.changes)
    snapshot = decode(Tables, offer.snapshot) if offer.snapshot else None
    return Offered(changes, snapshot)


class RecentChanges:
    """The last changes, kept to answer peers that lack only a few."""

    def __init__(self, limit: int) -> None:
        self._changes: deque[ConfigChange] = deque(maxlen=limit)

    def add(self, changes: Iterable[ConfigChange], revision: int) -> None:
        """Remember changes up to ``revision`` without gaps."""
        for change in sorted(changes, key=lambda item: item.revision):
            last = self._changes[-1].revision if self._changes else 0
            if not last < change.revision <= revision:
                continue
            if change.revision != last + 1:
                self._changes.clear()
            self._changes.append(change)

    def offer(self, tables: Tables, since: int) -> ConfigOffer:
        """Return what leads from ``since`` to ``tables``."""
        wanted = [change for change in self._changes if change.revision > since]
        complete = (
            len(wanted) == tables.revision - since
            and bool(wanted)
            and wanted[-1].revision == tables.revision
        )
        if complete:
            return ConfigOffer(
                tables.revision, [encode_change(change) for change in wanted]
            )
        return ConfigOffer(tables.revision, snapshot=encode(tables))


def _named(
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


def _merged(
    rows: Mapping[str, R], puts: tuple[R, ...], deletes: tuple[str, ...]
) -> Mapping[str, R]:
    if not puts and not deletes:
        return rows
    merged = {name: row for name, row in rows.items() if name not in deletes}
    merged.update((row.name, row) for row in puts)
    return MappingProxyType(merged)
