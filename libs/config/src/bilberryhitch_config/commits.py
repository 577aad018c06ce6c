"""Commits of operators' changes: a compare-and-set on the head row."""

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
    HEAD,
    HeadRow,
    change_key,
    change_writes,
    decode_change,
    read_head,
)

ConfigError = TableInvalid | ConfigConflict | StoreError


class Proposal(NamedTuple):
    """A checked change and what it is based on."""

    head: HeadRow
    change: ConfigChange


def check(
    tables: Tables, change: TableChange, hosts: Sequence[Host]
) -> Result[Tables, TableInvalid]:
    """Return the tables that a change would lead to, if it is valid."""
    named = check_change(tables, change)
    if named.is_error():
        return Error(named.error)
    changed = apply_change(tables, change, tables.revision + 1)
    resized = {pool.name for pool in change.put_pools}
    valid = validate_tables(changed, hosts, check_capacity_of=resized)
    return Error(valid.error) if valid.is_error() else Ok(changed)


async def write(
    tables: TableService, proposal: Proposal
) -> Result[ConfigChange, ConfigError]:
    """Write a proposal unless another commit came first.

    :raises StoreUnavailable: the change was not accepted and never will be
    :raises StoreAnswerLost: the change may have been accepted
    """
    head, change = proposal
    expects = [Expect(HEAD, head.row_revision)]
    operation_id = change.operation_id
    try:
        result = await commit(tables, expects, change_writes(change), operation_id)
    except StoreAnswerLost:
        return await _resolve(tables, change)
    if result.is_ok():
        return Ok(change)
    return Error(await conflict(tables))


async def conflict(tables: TableService) -> ConfigConflict:
    """Return the revision now accepted and the operator who committed it."""
    head = await read_head(tables)
    row = await tables.get(change_key(head.revision))
    operator = decode_change(row.value).operator if row is not None else ""
    return ConfigConflict(head.revision, operator)


async def _resolve(
    tables: TableService, change: ConfigChange
) -> Result[ConfigChange, ConfigError]:
    """Find out whether a commit whose answer was lost was accepted.

    A tombstone under the operation id makes "not accepted" certain. When it
    cannot be written either, the lost answer is all that is known.
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
    """Return the proposal of an operator's change on top of ``head``."""
    record = ConfigChange(head.revision + 1, operator, now(), new_id(), change)
    return Proposal(head, record)
