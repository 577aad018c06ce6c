"""Errors of the table store."""

from bilberryhitch_model.errors import BilberryhitchError

from .rows import StoreRow


class StoreRefused(BilberryhitchError):
    """The call had no effect: the store refused it or the connection failed.

    :ivar call: name of the call
    :ivar reason: HTTP status or transport error
    """

    code = "store_refused"

    def __init__(self, call: str, reason: str) -> None:
        super().__init__(call, reason)
        self.call = call
        self.reason = reason


class StoreUnknown(BilberryhitchError):
    """The outcome of a call is unknown; it may have taken or still take effect.

    :ivar call: name of the call
    :ivar reason: transport error
    """

    code = "store_unknown"

    def __init__(self, call: str, reason: str) -> None:
        super().__init__(call, reason)
        self.call = call
        self.reason = reason


class CommitConflict(BilberryhitchError):
    """A row of a conditional transaction has another revision; nothing was written.

    :ivar rows: current rows under the expected keys, without the absent ones
    """

    code = "commit_conflict"

    def __init__(self, rows: tuple[StoreRow, ...]) -> None:
        super().__init__(rows)
        self.rows = rows


class HistoryLost(BilberryhitchError):
    """The store no longer retains the changes that a watch asked for.

    :ivar after: revision after which changes were asked for
    """

    code = "history_lost"

    def __init__(self, table: str, after: int) -> None:
        super().__init__(table, after)
        self.table = table
        self.after = after


class RowUnreadable(BilberryhitchError):
    """The value of a row cannot be decoded.

    :ivar rule: the rule that the value violates
    """

    code = "row_unreadable"

    def __init__(self, key: str, rule: str) -> None:
        super().__init__(key, rule)
        self.key = key
        self.rule = rule


StoreError = StoreRefused | StoreUnknown
STORE_ERRORS = (StoreRefused, StoreUnknown)
