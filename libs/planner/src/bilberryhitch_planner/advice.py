"""Permissions of an advice service for the steps of some queues.

Which workers may run a step does not change; a permission holds for a time and has
to be asked for again after it.
"""

from collections.abc import Sequence

from .placement import task_slots
from .reports import AdviseOrder
from .units import StepBook
from .workers import Worker

# The service answers later with each worker that is named.
MOST_ASKED = 30
# A permission must outlast the start that uses it.
LEAST_LEFT_S = 0.7
RETRY_S = 0.3


class Permissions:
    """What is known of one step."""

    def __init__(self) -> None:
        self._tickets: dict[str, tuple[str, float]] = {}
        self._refused: set[str] = set()
        self._ask_after = 0.0

    def ticket(self, worker: str) -> str:
        """Return a worker's ticket; empty for none."""
        return self._tickets.get(worker, ("", 0.0))[0]

    def holds(self, worker: str, now: float) -> bool:
        """Return whether a worker may be used now."""
        return self._tickets.get(worker, ("", 0.0))[1] > now + LEAST_LEFT_S

    def drop(self, worker: str) -> None:
        """Forget a ticket that a worker did not take."""
        self._tickets.pop(worker, None)

    def request(
        self, step: StepBook, workers: Sequence[Worker], now: float
    ) -> AdviseOrder | None:
        """Return whom to ask about, or None while an answer is due."""
        if now < self._ask_after:
            return None
        unknown = [
            worker
            for worker in workers
            if worker.entry.worker not in self._refused
            and not self.holds(worker.entry.worker, now)
            and task_slots(worker, step.step) > 0
        ]
        if not unknown:
            return None
        # Gangs that are bound to a rack need answers for whole racks.
        unknown.sort(key=lambda worker: (worker.entry.rack, worker.entry.worker))
        names = tuple(worker.entry.worker for worker in unknown[:MOST_ASKED])
        terms = step.job.queue.advice
        due_s = RETRY_S
        if terms is not None:
            due_s += terms.base_latency_s + terms.latency_per_worker_s * len(names)
        self._ask_after = now + due_s
        return AdviseOrder(step.job.request.job, step.occurrence, step.index, names)

    def take(
        self, asked: Sequence[str], granted: dict[str, str], valid_until: float
    ) -> None:
        """Take an answer; who was asked about and not granted is refused."""
        self._ask_after = 0.0
        for name in asked:
            if name not in granted:
                self._refused.add(name)
        for name, ticket in granted.items():
            self._tickets[name] = (ticket, valid_until)
