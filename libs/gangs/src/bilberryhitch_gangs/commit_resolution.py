"""Commits whose outcome is resolved when the store's answer is lost."""

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

STORE_RETRY_DELAY_S = 0.5


async def commit_and_resolve(
    tables: TableService,
    expects: Sequence[Expect],
    writes: Sequence[Write],
    operation_id: str,
    resolve_timeout_s: float = float("inf"),
) -> Result[int, StoreConflict]:
    """Commit a transaction; if the answer is lost, find out whether it applied.

    :param operation_id: identifies the transaction to the store
    :param resolve_timeout_s: how long to try to resolve a lost answer
    :returns: the store revision of the commit, or the conflict
    :raises StoreUnavailable: it was not applied and never will be
    :raises StoreAnswerLost: the outcome is still unknown after that time
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + resolve_timeout_s
    try:
        return await commit(tables, expects, writes, operation_id)
    except StoreAnswerLost:
        pass
    while loop.time() < deadline:
        try:
            abandoned = await abandon(tables, operation_id)
        except StoreError:
            await asyncio.sleep(STORE_RETRY_DELAY_S)
            continue
        if abandoned.is_ok():
            raise StoreUnavailable(operation_id)
        # An applied commit cannot be abandoned; the error carries its revision.
        return Ok(abandoned.error.revision)
    raise StoreAnswerLost(operation_id)
