"""Exceptions of the system, with the data that describes each failure."""

from typing import ClassVar


class BilberryhitchError(Exception):
    """Base class of all failures that the system reports.

    :cvar code: stable identifier used in logs and API responses
    """

    code: ClassVar[str] = "error"

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and self.__dict__ == other.__dict__

    def __hash__(self) -> int:
        return hash((type(self), str(self)))

    def __str__(self) -> str:
        fields = ", ".join(f"{name}={value!r}" for name, value in vars(self).items())
        return f"{self.code}: {fields}" if fields else self.code


class BadInput(BilberryhitchError):
    """A caller or operator sent an invalid value; nothing was changed."""

    code = "bad_input"

    def __init__(self, field: str, value: object, rule: str) -> None:
        super().__init__(field, value, rule)
        self.field = field
        self.value = value
        self.rule = rule


class TableInvalid(BilberryhitchError):
    """A row of the routes or pools table is invalid; nothing was changed."""

    code = "table_invalid"

    def __init__(self, row: str, field: str, value: object, rule: str) -> None:
        super().__init__(row, field, value, rule)
        self.row = row
        self.field = field
        self.value = value
        self.rule = rule


class SettingsInvalid(BilberryhitchError):
    """A settings file cannot be used.

    :param path: position in the file, as a JSON path or ``line:column``
    """

    code = "settings_invalid"

    def __init__(self, file: str, path: str, value: object, rule: str) -> None:
        super().__init__(file, path, value, rule)
        self.file = file
        self.path = path
        self.value = value
        self.rule = rule


class Unauthenticated(BilberryhitchError):
    """The credential is missing or wrong."""

    code = "unauthenticated"


class NotFound(BilberryhitchError):
    """The named object does not exist or belongs to another client account."""

    code = "not_found"

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(kind, name)
        self.kind = kind
        self.name = name


class NotRun(BilberryhitchError):
    """The work did not run and never will run under this call."""

    code = "not_run"

    def __init__(self, reason: str, retry_after_s: float = 1.0) -> None:
        super().__init__(reason, retry_after_s)
        self.reason = reason
        self.retry_after_s = retry_after_s


class OutcomeUnknown(BilberryhitchError):
    """The work may have run; its result can be queried with the handle."""

    code = "unknown"

    def __init__(self, handle: str, reason: str) -> None:
        super().__init__(handle, reason)
        self.handle = handle
        self.reason = reason


class ShapeImpossible(BilberryhitchError):
    """The shape does not fit into the pool, even if nothing else runs there."""

    code = "shape_impossible"

    def __init__(self, shape: object, rule: str) -> None:
        super().__init__(shape, rule)
        self.shape = shape
        self.rule = rule


class QueueFull(BilberryhitchError):
    """The queue is at its limit, and this entry was dropped.

    Its account is the one furthest above its fair share.
    """

    code = "queue_full"

    def __init__(self, pool: str, limit: int, retry_after_s: float) -> None:
        super().__init__(pool, limit, retry_after_s)
        self.pool = pool
        self.limit = limit
        self.retry_after_s = retry_after_s


class StoreError(BilberryhitchError):
    """A call to the table service or the object store of the platform failed."""

    code = "store_error"


class StoreUnavailable(StoreError):
    """The store did not accept the call; it had no effect."""

    code = "store_unavailable"

    def __init__(self, call: str) -> None:
        super().__init__(call)
        self.call = call


class StoreAnswerLost(StoreError):
    """The response of the store was lost; the call may have taken effect."""

    code = "store_answer_lost"

    def __init__(self, operation_id: str) -> None:
        super().__init__(operation_id)
        self.operation_id = operation_id


class StoreConflict(StoreError):
    """A row did not have the expected revision; nothing was written."""

    code = "store_conflict"

    def __init__(self, key: str, found_revision: int) -> None:
        super().__init__(key, found_revision)
        self.key = key
        self.found_revision = found_revision


class ConfigConflict(BilberryhitchError):
    """Another operator committed a change first.

    :param revision: the current revision
    :param operator: the operator who committed it
    """

    code = "config_conflict"

    def __init__(self, revision: int, operator: str) -> None:
        super().__init__(revision, operator)
        self.revision = revision
        self.operator = operator


class PeerUnsent(BilberryhitchError):
    """The message was not sent; the peer never receives it."""

    code = "peer_unsent"

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.host = host


class PeerTimeout(BilberryhitchError):
    """The peer did not respond in time; it may have received the message."""

    code = "peer_timeout"

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.host = host


class StaleToken(BilberryhitchError):
    """A worker rejected a fencing token, because it has seen a higher one."""

    code = "stale_token"

    def __init__(self, host: str, highest: int) -> None:
        super().__init__(host, highest)
        self.host = host
        self.highest = highest


class WorkerRefused(BilberryhitchError):
    """A worker rejected a command and did not carry it out."""

    code = "worker_refused"

    def __init__(self, host: str, reason: str) -> None:
        super().__init__(host, reason)
        self.host = host
        self.reason = reason


class WorkerUnreachable(BilberryhitchError):
    """A worker did not respond; it may have carried out the command."""

    code = "worker_unreachable"

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.host = host


class ExecutorNotAccepted(BilberryhitchError):
    """The executor did not accept the request and did not run it."""

    code = "executor_not_accepted"

    def __init__(self, host: str, reason: str) -> None:
        super().__init__(host, reason)
        self.host = host
        self.reason = reason


class ExecutorLost(BilberryhitchError):
    """The executor sent no complete response; the request may have run."""

    code = "executor_lost"

    def __init__(self, host: str, reason: str) -> None:
        super().__init__(host, reason)
        self.host = host
        self.reason = reason
