"""Batching of pending transactions into one commit."""

from collections.abc import Sequence

from bilberryhitch_model.errors import BilberryhitchError, StoreConflict
from bilberryhitch_platform import Expect, Write
from expression import Result

MAX_BATCH_SIZE = 50


class PendingTransaction:
    """A transaction that waits for its commit.

    :ivar result: the store's answer
    :ivar error: raised to the caller in place of a result
    """

    def __init__(self, expects: Sequence[Expect], writes: Sequence[Write]) -> None:
        self.expects = tuple(expects)
        self.writes = tuple(writes)
        self.result: Result[int, StoreConflict] | None = None
        self.error: BilberryhitchError | None = None

    @property
    def completed(self) -> bool:
        """Whether the transaction has a result or an error."""
        return self.result is not None or self.error is not None

    def outcome(self) -> Result[int, StoreConflict]:
        """Return the result of a completed transaction, or raise its error."""
        if self.result is None:
            raise self.error or RuntimeError("transaction is not completed")
        return self.result


def take_batch(waiting: list[PendingTransaction]) -> list[PendingTransaction]:
    """Remove and return, in order, the transactions of the next commit.

    Two transactions on the same row never share a commit: both could expect the
    same revision, and only one of them may be applied.
    """
    batch: list[PendingTransaction] = []
    seen_keys: set[str] = set()
    remaining: list[PendingTransaction] = []
    for each in waiting:
        own_keys = {part.key for part in (*each.expects, *each.writes)}
        if len(batch) < MAX_BATCH_SIZE and not own_keys & seen_keys:
            batch.append(each)
        else:
            remaining.append(each)
        seen_keys |= own_keys
    waiting[:] = remaining
    return batch
