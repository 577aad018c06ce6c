"""Typed failures of the store and of callers' requests."""

from bilberryhitch_model.errors import BilberryhitchError

from .rows import StoreRow


class StoreRefused(BilberryhitchError):
    """The store did nothing: it refused the call or could not be connected to.

    :ivar call: name of the call
    :ivar reason: status or transport error
    """

    code = "store_refused"

    def __init__(self, call: str, reason: str) -> None:
        super().__init__(call, reason)
        self.call = call
        self.reason = reason


class StoreUnknown(BilberryhitchError):
    """A call got no answer; it may take effect now, later or never."""

    code = "store_unknown"

    def __init__(self, call: str, reason: str) -> None:
        super().__init__(call, reason)
        self.call = call
        self.reason = reason


class CommitConflict(BilberryhitchError):
    """A row of a conditional transaction has another revision; nothing changed.

    :ivar rows: the present rows among those that were expected
    """

    code = "commit_conflict"

    def __init__(self, rows: tuple[StoreRow, ...]) -> None:
        super().__init__(rows)
        self.rows = rows


class HistoryLost(BilberryhitchError):
    """The store no longer holds the changes that were asked for."""

    code = "history_lost"

    def __init__(self, table: str, after: int) -> None:
        super().__init__(table, after)
        self.table = table
        self.after = after


class RowUnreadable(BilberryhitchError):
    """A row holds bytes that its codec cannot read.

    :ivar rule: what the row breaks
    """

    code = "row_unreadable"

    def __init__(self, key: str, rule: str) -> None:
        super().__init__(key, rule)
        self.key = key
        self.rule = rule


StoreError = StoreRefused | StoreUnknown
STORE_ERRORS = (StoreRefused, StoreUnknown)
