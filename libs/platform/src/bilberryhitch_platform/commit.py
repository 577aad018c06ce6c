"""Transactions that are applied at most once, also if responses are lost."""

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
    """Apply a transaction at most once; retry it after a lost response.

    The transaction also writes a row under ``operation_id``, so that a retry
    cannot apply it twice.

    :param operation_id: unique identifier of the transaction
    :param max_attempts: how often the transaction is sent at most
    :returns: the new revision, or the conflict that prevented the transaction
    :raises StoreUnavailable: it was not applied and never will be
    :raises StoreAnswerLost: it may have been applied; see :func:`abandon`
    """
    key = OPERATIONS_PREFIX + operation_id
    all_expects = (*expects, Expect(key, 0))
    all_writes = (*writes, Put(key, APPLIED))
    outcome_unknown = False
    for attempt in range(max_attempts):
        if attempt:
            await asyncio.sleep(RETRY_DELAY_S * attempt)
        try:
            result = await tables.transact(all_expects, all_writes)
            if result.is_ok() or not outcome_unknown:
                return result
            return await _resolve_conflict(tables, key, result)
        except StoreAnswerLost:
            outcome_unknown = True
        except StoreUnavailable:
            if not outcome_unknown and attempt == max_attempts - 1:
                raise
    raise StoreAnswerLost(operation_id)


async def _resolve_conflict(
    tables: TableService, key: str, conflict: Result[int, StoreConflict]
) -> Result[int, StoreConflict]:
    """Distinguish a conflict with an earlier attempt from one with another writer."""
    row = await tables.get(key)
    if row is not None and row.value == APPLIED:
        return Ok(row.revision)
    return conflict


async def abandon(tables: TableService, operation_id: str) -> Result[None, Row]:
    """Prevent a transaction whose response was lost from being applied later.

    :returns: ``Ok`` if it will never be applied, or the operation row if it was
    :raises StoreUnavailable: it is still unknown whether the transaction applies
    :raises StoreAnswerLost: it is still unknown whether the transaction applies
    """
    key = OPERATIONS_PREFIX + operation_id
    result = await tables.transact([Expect(key, 0)], [Put(key, ABANDONED)])
    if result.is_ok():
        return Ok(None)
    row = await tables.get(key)
    if row is not None and row.value == APPLIED:
        return Error(row)
    return Ok(None)
