"""Records of the requests of this process and their outcomes, in bounded memory."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from bilberryhitch_model import Outcome
from bilberryhitch_model.errors import BadInput

from .handles import make_forward_id

MAX_RECORDS = 10_000
MAX_RETAINED_BODY_BYTES = 67_108_864
NOT_FINISHED = "not finished"
RETRY_AFTER_S = 1.0


class RequestRecord:
    """State of one request: its granted run, its lost runs and its outcome.

    A run requires a grant. There is at most one grant at a time, and none is given
    after :meth:`close` or :meth:`finish`. A request that is closed without a grant
    therefore never runs.

    :ivar done: set once there is an outcome or an error
    :ivar may_have_run: whether the result of a run was lost
    :ivar run_id: id of the granted run, or empty
    :ivar closed: whether further runs are forbidden
    :ivar error: why the input was rejected; there is no outcome then
    :ivar lost_run: entry host and id of a forwarded run whose result was lost
    :ivar on_close: called by :meth:`close`
    :ivar on_finish: called with the record when an outcome is set
    """

    def __init__(self, handle: str, client_account: str) -> None:
        self.handle = handle
        self.client_account = client_account
        self.done = asyncio.Event()
        self.outcome: Outcome | None = None
        self.may_have_run = False
        self.run_id = ""
        self.closed = False
        self.error: BadInput | None = None
        self.lost_run: tuple[str, str] | None = None
        self.on_close: Callable[[], None] | None = None
        self.on_finish: Callable[[RequestRecord], None] | None = None
        self._forward_count = 0
        self._current_forward = ("", "")

    @property
    def is_final(self) -> bool:
        """Whether the outcome is final."""
        return self.outcome is not None and self.outcome.status != "unknown"

    def grant(self, run_id: str) -> bool:
        """Grant a run unless another one holds the grant or the record is closed.

        :returns: whether the run holds the grant and may proceed
        """
        if self.run_id == run_id:
            return not self.is_final
        if self.run_id or self.closed or self.outcome is not None:
            return False
        self.run_id = run_id
        return True

    def open_forward(self, host: str) -> str:
        """Start a forward to a host and return its id.

        Only a run of this forward can get the grant by :meth:`grant_forward`.
        """
        self._forward_count += 1
        self._current_forward = (
            make_forward_id(self.handle, self._forward_count),
            host,
        )
        return self._current_forward[0]

    def grant_forward(self, forward_id: str, run_id: str, host: str) -> bool:
        """Grant a run of the current forward at its owner."""
        return self._current_forward == (forward_id, host) and self.grant(run_id)

    def end_forward(self) -> None:
        """End the current forward, so that none of its runs can get a grant."""
        self._current_forward = ("", "")

    def record_not_run(self, run_id: str) -> None:
        """Record that the granted run did not take place; frees the grant."""
        if self.run_id == run_id:
            self.run_id = ""

    def record_lost(self, run_id: str, host: str = "") -> None:
        """Record that the result of the granted run was lost; frees the grant.

        :param host: entry host that may know the outcome later; empty if this one
        """
        if not run_id or self.run_id != run_id:
            return
        self.run_id = ""
        self.may_have_run = True
        if host:
            self.lost_run = (host, run_id)

    def reject(self, error: BadInput) -> None:
        """End the request because its input is invalid."""
        self.closed = True
        self.error = error
        self.done.set()

    def close(self, reason: str, retry_after_s: float = RETRY_AFTER_S) -> None:
        """Forbid further runs and finish the request unless a run is in progress."""
        self.closed = True
        if self.on_close is not None:
            self.on_close()
        if self.run_id or self.outcome is not None or self.error is not None:
            return
        self.finish(self.outcome_without_answer(reason, retry_after_s))

    def outcome_without_answer(
        self, reason: str, retry_after_s: float = RETRY_AFTER_S
    ) -> Outcome:
        """Return the outcome of a request without an answer or a run in progress.

        :returns: ``unknown`` if the request may have run, otherwise ``not_run``
        """
        if self.may_have_run:
            return Outcome("unknown", detail=reason, handle=self.handle)
        return Outcome("not_run", detail=reason, retry_after_s=retry_after_s)

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome; an ``unknown`` outcome can be replaced later."""
        if self.is_final or self.error is not None:
            return
        self.closed = True
        self.outcome = outcome
        self.done.set()
        if self.on_finish is not None:
            self.on_finish(self)

    def current_outcome(self) -> Outcome:
        """Return the outcome, or ``unknown`` if there is none yet."""
        if self.outcome is not None:
            return self.outcome
        return Outcome("unknown", detail=NOT_FINISHED, handle=self.handle)


class RequestRecords:
    """Records by id; evicts the oldest finished records beyond its limits.

    :param max_records: limit of finished records; unfinished ones are not limited
    :param max_body_bytes: limit of the bodies of finished records, in bytes
    """

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_body_bytes: int = MAX_RETAINED_BODY_BYTES,
    ) -> None:
        self._max_records = max_records
        self._max_body_bytes = max_body_bytes
        self._by_id: dict[str, RequestRecord] = {}
        self._finished: OrderedDict[str, int] = OrderedDict()
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def open(self, record_id: str, client_account: str) -> RequestRecord:
        """Create and return the record of a new request."""
        record = RequestRecord(record_id, client_account)
        record.on_finish = self._on_record_finish
        self._by_id[record_id] = record
        return record

    def get(self, record_id: str) -> RequestRecord | None:
        """Return the record, or ``None`` if it does not exist or was evicted."""
        return self._by_id.get(record_id)

    def drop(self, record_id: str) -> None:
        """Remove a record."""
        self._by_id.pop(record_id, None)
        self._body_bytes -= self._finished.pop(record_id, 0)

    def _on_record_finish(self, record: RequestRecord) -> None:
        if record.handle not in self._by_id:
            return
        size = len(record.current_outcome().body)
        self._body_bytes += size - self._finished.pop(record.handle, 0)
        self._finished[record.handle] = size
        while self._finished and (
            len(self._finished) > self._max_records
            or self._body_bytes > self._max_body_bytes
        ):
            self.drop(next(iter(self._finished)))
