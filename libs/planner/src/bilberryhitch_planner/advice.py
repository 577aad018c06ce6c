"""Permissions of an advice service for the steps of some queues.

Which workers may run a step does not change; a permission holds for a time and has
to be asked for again after it.
"""

from collections.abc import Sequence

from .placement import task_slots
from .reports import AdviceRequest
from .units import StepOccurrence
from .workers import Worker

# The service answers later with each worker that is named.
MAX_WORKERS_PER_REQUEST = 30
# A permission must outlast the start that uses it.
MIN_VALIDITY_S = 0.7
ADVICE_MARGIN_S = 0.3


class Permissions:
    """What is known of one step."""

    def __init__(self) -> None:
        self._tickets: dict[str, tuple[str, float]] = {}
        self._refused: set[str] = set()
        self._ask_after = 0.0

    def ticket(self, worker: str) -> str:
        """Return a worker's ticket; empty for none."""
        return self._tickets.get(worker, ("", 0.0))[0]

    def is_granted(self, worker: str, now: float) -> bool:
        """Return whether a worker may be used now."""
        return self._tickets.get(worker, ("", 0.0))[1] > now + MIN_VALIDITY_S

    def discard_ticket(self, worker: str) -> None:
        """Forget a ticket that a worker did not take."""
        self._tickets.pop(worker, None)

    def next_request(
        self, step: StepOccurrence, workers: Sequence[Worker], now: float
    ) -> AdviceRequest | None:
        """Return whom to ask about, or None while an answer is due."""
        if now < self._ask_after:
            return None
        unknown = [
            worker
            for worker in workers
            if worker.entry.worker not in self._refused
            and not self.is_granted(worker.entry.worker, now)
            and task_slots(worker, step.step) > 0
        ]
        if not unknown:
            return None
        # Gangs that are bound to a rack need answers for whole racks.
        unknown.sort(key=lambda worker: (worker.entry.rack, worker.entry.worker))
        names = tuple(
            worker.entry.worker for worker in unknown[:MAX_WORKERS_PER_REQUEST]
        )
        terms = step.job.queue.advice
        due_s = ADVICE_MARGIN_S
        if terms is not None:
            due_s += terms.base_latency_s + terms.latency_per_worker_s * len(names)
        self._ask_after = now + due_s
        return AdviceRequest(step.job.request.job, step.occurrence, step.index, names)

    def apply_reply(
        self, asked: Sequence[str], granted: dict[str, str], valid_until: float
    ) -> None:
        """Take an answer; who was asked about and not granted is refused."""
        self._ask_after = 0.0
        for name in asked:
            if name not in granted:
                self._refused.add(name)
        for name, ticket in granted.items():
            self._tickets[name] = (ticket, valid_until)
