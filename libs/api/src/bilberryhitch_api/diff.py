"""Compares a current table with the rows that an operator sends."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

from bilberryhitch_model import Pool, Route, to_plain

R = TypeVar("R", Route, Pool)


class FieldChange(NamedTuple):
    """A change of one field of a row."""

    field: str
    before: Any
    after: Any


class TableDiff(NamedTuple):
    """The difference between a table and its replacement.

    :param added: names of new rows
    :param removed: names of deleted rows
    :param changed: changed fields, by row name
    """

    added: tuple[str, ...]
    removed: tuple[str, ...]
    changed: Mapping[str, tuple[FieldChange, ...]]

    @property
    def is_empty(self) -> bool:
        """Whether both tables are equal."""
        return not (self.added or self.removed or self.changed)


def diff_rows(before: Mapping[str, R], after: Sequence[R]) -> TableDiff:
    """Return the difference between a table and its replacement."""
    names = {row.name for row in after}
    changed = {
        row.name: _field_changes(before[row.name], row)
        for row in after
        if row.name in before and before[row.name] != row
    }
    return TableDiff(
        added=tuple(sorted(names - set(before))),
        removed=tuple(sorted(set(before) - names)),
        changed=changed,
    )


def _field_changes(
    before: Route | Pool, after: Route | Pool
) -> tuple[FieldChange, ...]:
    old: dict[str, Any] = to_plain(before)
    new: dict[str, Any] = to_plain(after)
    return tuple(
        FieldChange(field, old[field], new[field])
        for field in new
        if old[field] != new[field]
    )
