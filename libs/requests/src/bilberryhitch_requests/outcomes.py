"""Requests of this process and their outcomes, in bounded memory."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from bilberryhitch_model import Outcome
from bilberryhitch_model.errors import BadInput

from .handles import forward_id

MAX_RECORDS = 10_000
MAX_BODY_BYTES = 67_108_864
NOT_FINISHED = "not finished"
RETRY_AFTER_S = 1.0


class RequestRecord:
    """Whether one request may run, may have run, and how it ended.

    A run needs a grant. There is at most one at a time, and none after
    :meth:`close` or :meth:`finish`; so a request that was closed without a grant
    certainly never runs.

    :ivar done: set once there is an outcome
    :ivar may_have_run: an attempt was lost after it may have begun
    :ivar run: id of the granted attempt, or empty
    :ivar error: refusal of the input; then there is no outcome
    """

    def __init__(self, handle: str, client_account: str) -> None:
        self.handle = handle
        self.client_account = client_account
        self.done = asyncio.Event()
        self.outcome: Outcome | None = None
        self.may_have_run = False
        self.run = ""
        self.closed = False
        self.error: BadInput | None = None
        self.lost_at: tuple[str, str] | None = None
        self.on_close: Callable[[], None] | None = None
        self.on_finish: Callable[[RequestRecord], None] | None = None
        self._forwards = 0
        self._forward = ("", "")

    @property
    def settled(self) -> bool:
        """Whether the outcome is final."""
        return self.outcome is not None and self.outcome.status != "unknown"

    def grant(self, run: str) -> bool:
        """Allow the attempt ``run``, unless another is allowed or it is too late."""
        if self.run == run:
            return not self.settled
        if self.run or self.closed or self.outcome is not None:
            return False
        self.run = run
        return True

    def open_forward(self, host: str) -> str:
        """Return the id of a new forward; only its copy can get the grant."""
        self._forwards += 1
        self._forward = (forward_id(self.handle, self._forwards), host)
        return self._forward[0]

    def grant_forward(self, forward: str, run: str, host: str) -> bool:
        """Allow a copy of the open forward to run at its owner."""
        return self._forward == (forward, host) and self.grant(run)

    def end_forward(self) -> None:
        """Let no copy of the open forward get the grant any more."""
        self._forward = ("", "")

    def take_back(self, run: str) -> None:
        """The granted attempt certainly did not run."""
        if self.run == run:
            self.run = ""

    def lose(self, run: str, host: str = "") -> None:
        """The granted attempt may have run; no answer came.

        :param host: the entry host that may learn its outcome
        """
        if not run or self.run != run:
            return
        self.run = ""
        self.may_have_run = True
        if host:
            self.lost_at = (host, run)

    def refuse(self, error: BadInput) -> None:
        """End the request because its input breaks a rule."""
        self.closed = True
        self.error = error
        self.done.set()

    def close(self, reason: str, retry_after_s: float = RETRY_AFTER_S) -> None:
        """Allow no further attempt; without a running one this is the end."""
        self.closed = True
        if self.on_close is not None:
            self.on_close()
        if self.run or self.outcome is not None or self.error is not None:
            return
        self.finish(self.without_answer(reason, retry_after_s))

    def without_answer(
        self, reason: str, retry_after_s: float = RETRY_AFTER_S
    ) -> Outcome:
        """Return the truth about a request that has no answer and no attempt."""
        if self.may_have_run:
            return Outcome("unknown", detail=reason, handle=self.handle)
        return Outcome("not_run", detail=reason, retry_after_s=retry_after_s)

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome; only ``unknown`` can be replaced later."""
        if self.settled or self.error is not None:
            return
        self.closed = True
        self.outcome = outcome
        self.done.set()
        if self.on_finish is not None:
            self.on_finish(self)

    def answer(self) -> Outcome:
        """Return the outcome, or ``unknown`` while an attempt runs."""
        if self.outcome is not None:
            return self.outcome
        return Outcome("unknown", detail=NOT_FINISHED, handle=self.handle)


class Outcomes:
    """Records by id; the oldest finished ones are dropped first.

    :param max_records: records kept, beside those that are not finished
    :param max_body_bytes: bytes of answers kept
    """

    def __init__(
        self, max_records: int = MAX_RECORDS, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._max_records = max_records
        self._max_body_bytes = max_body_bytes
        self._records: dict[str, RequestRecord] = {}
        self._finished: OrderedDict[str, int] = OrderedDict()
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def open(self, record_id: str, client_account: str) -> RequestRecord:
        """Return a new record that has not finished."""
        record = RequestRecord(record_id, client_account)
        record.on_finish = self._note_finished
        self._records[record_id] = record
        return record

    def get(self, record_id: str) -> RequestRecord | None:
        """Return the record, or ``None`` when it is unknown or was dropped."""
        return self._records.get(record_id)

    def drop(self, record_id: str) -> None:
        """Forget a record."""
        self._records.pop(record_id, None)
        self._body_bytes -= self._finished.pop(record_id, 0)

    def _note_finished(self, record: RequestRecord) -> None:
        if record.handle not in self._records:
            return
        size = len(record.answer().body)
        self._body_bytes += size - self._finished.pop(record.handle, 0)
        self._finished[record.handle] = size
        while self._finished and (
            len(self._finished) > self._max_records
            or self._body_bytes > self._max_body_bytes
        ):
            self.drop(next(iter(self._finished)))
