"""Permissions of the advice service, which some queues need for each worker.

The set of workers that may run a step never changes. A granted permission expires
after a time and has to be requested again.
"""

from collections.abc import Sequence

from .placement import task_slots
from .reports import AdviceRequest
from .units import StepOccurrence
from .workers import Worker

# The response time of the service grows with each worker in the request.
MAX_WORKERS_PER_REQUEST = 30
# A permission must remain valid until the start that uses it is carried out.
MIN_VALIDITY_S = 0.7
# Added to the expected response time of the service before a request is repeated.
ADVICE_MARGIN_S = 0.3


class Permissions:
    """Permissions of one step occurrence, by worker."""

    def __init__(self) -> None:
        self._tickets: dict[str, tuple[str, float]] = {}
        self._refused: set[str] = set()
        self._next_request_at = 0.0

    def ticket(self, worker: str) -> str:
        """Return the ticket of a worker; empty if there is none."""
        return self._tickets.get(worker, ("", 0.0))[0]

    def is_granted(self, worker: str, now: float) -> bool:
        """Return whether a valid permission for a worker exists."""
        return self._tickets.get(worker, ("", 0.0))[1] > now + MIN_VALIDITY_S

    def discard_ticket(self, worker: str) -> None:
        """Discard a ticket that a worker rejected."""
        self._tickets.pop(worker, None)

    def next_request(
        self, step: StepOccurrence, workers: Sequence[Worker], now: float
    ) -> AdviceRequest | None:
        """Return the next request to the advice service.

        :returns: None if all workers are known or a reply is still expected
        """
        if now < self._next_request_at:
            return None
        candidates = [
            worker
            for worker in workers
            if worker.entry.worker not in self._refused
            and not self.is_granted(worker.entry.worker, now)
            and task_slots(worker, step.step) > 0
        ]
        if not candidates:
            return None
        # Gangs that must run in one rack need permissions for whole racks.
        candidates.sort(key=lambda worker: (worker.entry.rack, worker.entry.worker))
        names = tuple(
            worker.entry.worker for worker in candidates[:MAX_WORKERS_PER_REQUEST]
        )
        policy = step.job.queue.advice
        due_s = ADVICE_MARGIN_S
        if policy is not None:
            due_s += policy.base_latency_s + policy.latency_per_worker_s * len(names)
        self._next_request_at = now + due_s
        return AdviceRequest(step.job.request.job, step.occurrence, step.index, names)

    def apply_reply(
        self, requested: Sequence[str], granted: dict[str, str], valid_until: float
    ) -> None:
        """Apply a reply; requested workers that are not granted are refused for good.

        :param granted: ticket by worker
        :param valid_until: monotonic time at which the tickets expire
        """
        self._next_request_at = 0.0
        for name in requested:
            if name not in granted:
                self._refused.add(name)
        for name, ticket in granted.items():
            self._tickets[name] = (ticket, valid_until)
