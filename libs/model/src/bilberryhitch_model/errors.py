"""Typed failures; each class carries the data that describes it."""

from typing import ClassVar


class BilberryhitchError(Exception):
    """Base class of every failure the system reports.

    :cvar code: stable identifier used in logs and API answers
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
    """A caller or operator sent a value that breaks a rule; nothing changed."""

    code = "bad_input"

    def __init__(self, field: str, value: object, rule: str) -> None:
        super().__init__(field, value, rule)
        self.field = field
        self.value = value
        self.rule = rule


class TableInvalid(BilberryhitchError):
    """A row of the routes or pools table breaks a rule; nothing changed."""

    code = "table_invalid"

    def __init__(self, row: str, field: str, value: object, rule: str) -> None:
        super().__init__(row, field, value, rule)
        self.row = row
        self.field = field
        self.value = value
        self.rule = rule


class SettingsInvalid(BilberryhitchError):
    """A settings file cannot be used.

    :param path: the place in the file, as a JSON path or ``line:column``
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
    """The work certainly did not run and never will under this call."""

    code = "not_run"

    def __init__(self, reason: str, retry_after_s: float = 1.0) -> None:
        super().__init__(reason, retry_after_s)
        self.reason = reason
        self.retry_after_s = retry_after_s


class OutcomeUnknown(BilberryhitchError):
    """The work may have run; the truth is found under the handle."""

    code = "unknown"

    def __init__(self, handle: str, reason: str) -> None:
        super().__init__(handle, reason)
        self.handle = handle
        self.reason = reason


class ShapeImpossible(BilberryhitchError):
    """No placement of the shape can exist in the pool, even when it is empty."""

    code = "shape_impossible"

    def __init__(self, shape: object, rule: str) -> None:
        super().__init__(shape, rule)
        self.shape = shape
        self.rule = rule


class QueueFull(BilberryhitchError):
    """The queue is at its limit and this entry is furthest above its share."""

    code = "queue_full"

    def __init__(self, pool: str, limit: int, retry_after_s: float) -> None:
        super().__init__(pool, limit, retry_after_s)
        self.pool = pool
        self.limit = limit
        self.retry_after_s = retry_after_s


class StoreError(BilberryhitchError):
    """The platform's table service or object store did not do what was asked."""

    code = "store_error"


class StoreUnavailable(StoreError):
    """The store did not take the call; the call certainly had no effect."""

    code = "store_unavailable"

    def __init__(self, call: str) -> None:
        super().__init__(call)
        self.call = call


class StoreAnswerLost(StoreError):
    """The call may or may not have taken effect."""

    code = "store_answer_lost"

    def __init__(self, operation_id: str) -> None:
        super().__init__(operation_id)
        self.operation_id = operation_id


class StoreConflict(StoreError):
    """A row was not at the expected revision; nothing was written."""

    code = "store_conflict"

    def __init__(self, key: str, found_revision: int) -> None:
        super().__init__(key, found_revision)
        self.key = key
        self.found_revision = found_revision


class ConfigConflict(BilberryhitchError):
    """Another operator committed first.

    :param revision: the revision now accepted
    :param operator: who committed it
    """

    code = "config_conflict"

    def __init__(self, revision: int, operator: str) -> None:
        super().__init__(revision, operator)
        self.revision = revision
        self.operator = operator


class PeerUnsent(BilberryhitchError):
    """The message was not handed to the network; the peer never sees it."""

    code = "peer_unsent"

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.host = host


class PeerTimeout(BilberryhitchError):
    """The message may have reached the peer; no answer came in time."""

    code = "peer_timeout"

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.host = host


class StaleToken(BilberryhitchError):
    """A worker has seen a higher fencing token than the one presented."""

    code = "stale_token"

    def __init__(self, host: str, highest: int) -> None:
        super().__init__(host, highest)
        self.host = host
        self.highest = highest


class WorkerRefused(BilberryhitchError):
    """A worker answered that it did not do what was asked."""

    code = "worker_refused"

    def __init__(self, host: str, reason: str) -> None:
        super().__init__(host, reason)
        self.host = host
        self.reason = reason


class WorkerUnreachable(BilberryhitchError):
    """A worker did not answer; what was asked may have happened."""

    code = "worker_unreachable"

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.host = host


class ExecutorNotAccepted(BilberryhitchError):
    """The executor certainly did not run the request."""

    code = "executor_not_accepted"

    def __init__(self, host: str, reason: str) -> None:
        super().__init__(host, reason)
        self.host = host
        self.reason = reason


class ExecutorLost(BilberryhitchError):
    """The request may have run on the executor; no whole answer came back."""

    code = "executor_lost"

    def __init__(self, host: str, reason: str) -> None:
        super().__init__(host, reason)
        self.host = host
        self.reason = reason
