"""Transactions whose lost answers are resolved instead of guessed."""

import asyncio
from collections.abc import Sequence

from bilberryhitch_model.errors import (
    StoreAnswerLost,
    StoreConflict,
    StoreUnavailable,
)
from expression import Error, Ok, Result

from .interfaces import Expect, Put, Row, TableService, Write

OPERATIONS_PREFIX = "operations/"
APPLIED = b"applied"
ABANDONED = b"abandoned"
RETRY_DELAY_S = 0.2


async def commit(
    tables: TableService,
    expects: Sequence[Expect],
    writes: Sequence[Write],
    operation_id: str,
    *,
    max_attempts: int = 3,
) -> Result[int, StoreConflict]:
    """Apply a transaction at most once, resolving lost answers.

    The transaction also writes a row under ``operation_id``, so sending it
    again cannot apply it twice.

    :param max_attempts: how often the transaction is sent before giving up
    :returns: the revision, or the conflict that refused it
    :raises StoreUnavailable: it was never applied and never will be
    :raises StoreAnswerLost: it may have been applied; see :func:`abandon`
    """
    key = OPERATIONS_PREFIX + operation_id
    all_expects = (*expects, Expect(key, 0))
    all_writes = (*writes, Put(key, APPLIED))
    uncertain = False
    for attempt in range(max_attempts):
        if attempt:
            await asyncio.sleep(RETRY_DELAY_S * attempt)
        try:
            result = await tables.transact(all_expects, all_writes)
            if result.is_ok() or not uncertain:
                return result
            return await _resolve_conflict(tables, key, result)
        except StoreAnswerLost:
            uncertain = True
        except StoreUnavailable:
            if not uncertain and attempt == max_attempts - 1:
                raise
    raise StoreAnswerLost(operation_id)


async def _resolve_conflict(
    tables: TableService, key: str, conflict: Result[int, StoreConflict]
) -> Result[int, StoreConflict]:
    """Tell a conflict with an earlier send of ours from one with others."""
    row = await tables.get(key)
    if row is not None and row.value == APPLIED:
        return Ok(row.revision)
    return conflict


async def abandon(tables: TableService, operation_id: str) -> Result[None, Row]:
    """Make sure that a transaction whose answer was lost never applies.

    :returns: ``Ok`` when it never will, or the operation row when it did apply
    :raises StoreUnavailable: nothing is known yet
    :raises StoreAnswerLost: nothing is known yet
    """
    key = OPERATIONS_PREFIX + operation_id
    result = await tables.transact([Expect(key, 0)], [Put(key, ABANDONED)])
    if result.is_ok():
        return Ok(None)
    row = await tables.get(key)
    if row is not None and row.value == APPLIED:
        return Error(row)
    return Ok(None)
