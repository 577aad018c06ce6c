"""Commits operators' changes by a compare-and-set on the head row."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from bilberryhitch_model import (
    ConfigChange,
    Host,
    TableChange,
    Tables,
    validate_tables,
)
from bilberryhitch_model.errors import (
    ConfigConflict,
    StoreAnswerLost,
    StoreError,
    StoreUnavailable,
    TableInvalid,
)
from bilberryhitch_platform import Expect, TableService, abandon, commit
from expression import Error, Ok, Result

from .adoption import apply_change, check_change
from .rows import (
    HEAD_KEY,
    HeadRow,
    change_key,
    change_writes,
    decode_change,
    read_head,
)

ConfigError = TableInvalid | ConfigConflict | StoreError


class Proposal(NamedTuple):
    """A validated change and the head row that it is based on."""

    head: HeadRow
    change: ConfigChange


def check(
    tables: Tables, change: TableChange, hosts: Sequence[Host]
) -> Result[Tables, TableInvalid]:
    """Return the tables after a change, or why the change is invalid.

    :param hosts: known hosts; the guarantees of changed pools must fit their capacity
    """
    names = check_change(tables, change)
    if names.is_error():
        return Error(names.error)
    changed = apply_change(tables, change, tables.revision + 1)
    changed_pools = {pool.name for pool in change.put_pools}
    valid = validate_tables(changed, hosts, check_capacity_of=changed_pools)
    return Error(valid.error) if valid.is_error() else Ok(changed)


async def write(
    tables: TableService, proposal: Proposal
) -> Result[ConfigChange, ConfigError]:
    """Write a proposal unless the head row has changed since it was read.

    :returns: the committed change, or a ``ConfigConflict``
    :raises StoreUnavailable: the change was not committed and never will be
    :raises StoreAnswerLost: the change may have been committed
    """
    head, change = proposal
    expects = [Expect(HEAD_KEY, head.row_revision)]
    operation_id = change.operation_id
    try:
        result = await commit(tables, expects, change_writes(change), operation_id)
    except StoreAnswerLost:
        return await _resolve_lost_answer(tables, change)
    if result.is_ok():
        return Ok(change)
    return Error(await read_conflict(tables))


async def read_conflict(tables: TableService) -> ConfigConflict:
    """Return the conflict with the last committed revision and its operator."""
    head = await read_head(tables)
    row = await tables.get(change_key(head.revision))
    operator = decode_change(row.value).operator if row is not None else ""
    return ConfigConflict(head.revision, operator)


async def _resolve_lost_answer(
    tables: TableService, change: ConfigChange
) -> Result[ConfigChange, ConfigError]:
    """Determine whether a commit was applied after the store's response was lost.

    A tombstone under the operation id guarantees that the commit is never applied.
    If the tombstone cannot be written either, the result stays unknown.
    """
    try:
        abandoned = await abandon(tables, change.operation_id)
    except StoreError as error:
        raise StoreAnswerLost(change.operation_id) from error
    if abandoned.is_ok():
        raise StoreUnavailable("transact")
    return Ok(change)


def propose(
    head: HeadRow,
    change: TableChange,
    operator: str,
    *,
    now: Callable[[], float],
    new_id: Callable[[], str],
) -> Proposal:
    """Return the proposal of an operator's change as the revision after ``head``.

    :param now: returns UTC seconds
    :param new_id: returns a unique operation id
    """
    record = ConfigChange(head.revision + 1, operator, now(), new_id(), change)
    return Proposal(head, record)
