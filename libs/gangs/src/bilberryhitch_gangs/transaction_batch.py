"""Transactions that wait for one another, and which of them can share a commit."""

from collections.abc import Sequence

from bilberryhitch_model.errors import BilberryhitchError, StoreConflict
from bilberryhitch_platform import Expect, Write
from expression import Result

MAX_BATCH = 50


class WaitingTransaction:
    """A transaction that is not decided yet.

    :ivar result: what the store answered
    :ivar error: why nothing was written
    """

    def __init__(self, expects: Sequence[Expect], writes: Sequence[Write]) -> None:
        self.expects = tuple(expects)
        self.writes = tuple(writes)
        self.result: Result[int, StoreConflict] | None = None
        self.error: BilberryhitchError | None = None

    @property
    def decided(self) -> bool:
        """Whether it was applied or certainly was not."""
        return self.result is not None or self.error is not None

    def outcome(self) -> Result[int, StoreConflict]:
        """Return the result of a decided transaction, or raise its error."""
        if self.result is None:
            raise self.error or RuntimeError("transaction is not decided")
        return self.result


def take_batch(waiting: list[WaitingTransaction]) -> list[WaitingTransaction]:
    """Remove and return, in order, transactions that may share a commit.

    Two transactions on the same row stay apart, since both could expect the same
    revision and only one of them may apply.
    """
    batch: list[WaitingTransaction] = []
    keys: set[str] = set()
    rest: list[WaitingTransaction] = []
    for each in waiting:
        own = {part.key for part in (*each.expects, *each.writes)}
        if len(batch) < MAX_BATCH and not own & keys:
            batch.append(each)
        else:
            rest.append(each)
        keys |= own
    waiting[:] = rest
    return batch
