"""Transactions whose outcome is looked into until it is certain."""

import asyncio
from collections.abc import Sequence

from bilberryhitch_model.errors import (
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreUnavailable,
)
from bilberryhitch_platform import Expect, TableService, Write, abandon, commit
from expression import Ok, Result

STORE_RETRY_S = 0.5


async def commit_settled(
    tables: TableService,
    expects: Sequence[Expect],
    writes: Sequence[Write],
    operation_id: str,
    deadline_s: float = float("inf"),
) -> Result[int, StoreConflict]:
    """Apply a transaction and find out whether it applied.

    :param deadline_s: how long a lost answer is looked into, in seconds
    :raises StoreUnavailable: it was never applied and never will be
    :raises StoreAnswerLost: still uncertain at the deadline
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + deadline_s
    try:
        return await commit(tables, expects, writes, operation_id)
    except StoreAnswerLost:
        pass
    while loop.time() < until:
        try:
            settled = await abandon(tables, operation_id)
        except StoreError:
            await asyncio.sleep(STORE_RETRY_S)
            continue
        if settled.is_ok():
            raise StoreUnavailable(operation_id)
        return Ok(settled.error.revision)
    raise StoreAnswerLost(operation_id)
