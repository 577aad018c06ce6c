"""Differences between two versions of a table."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

from bilberryhitch_model import Pool, Route, to_plain

R = TypeVar("R", Route, Pool)


class TableDiff(NamedTuple):
    """What a change does to a table.

    :param changed: by row and field, the old and the new value
    """

    added: list[str]
    removed: list[str]
    changed: dict[str, dict[str, list[Any]]]


def changed_rows(
    old: Mapping[str, R], rows: Sequence[R]
) -> tuple[tuple[R, ...], tuple[str, ...]]:
    """Return the rows to write and the names to delete to get from old to new."""
    names = {row.name for row in rows}
    puts = tuple(row for row in rows if old.get(row.name) != row)
    deletes = tuple(sorted(name for name in old if name not in names))
    return puts, deletes


def table_diff(old: Mapping[str, R], new: Mapping[str, R]) -> TableDiff:
    """Return the difference between two versions, sorted by name."""
    both = sorted(old.keys() & new.keys())
    changed = {name: _fields(old[name], new[name]) for name in both}
    return TableDiff(
        added=sorted(new.keys() - old.keys()),
        removed=sorted(old.keys() - new.keys()),
        changed={name: fields for name, fields in changed.items() if fields},
    )


def _fields(old: Route | Pool, new: Route | Pool) -> dict[str, list[Any]]:
    return {
        name: [to_plain(getattr(old, name)), to_plain(getattr(new, name))]
        for name in old._fields
        if getattr(old, name) != getattr(new, name)
    }
