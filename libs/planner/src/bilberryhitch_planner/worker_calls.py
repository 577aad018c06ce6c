"""The calls to workers that a planner makes."""

from typing import Protocol

from .reports import (
    HeartbeatReply,
    StartOrder,
    StartOutcome,
    StopOrder,
    StopOutcome,
    ThrottleOrder,
    WorkerEntry,
)


class WorkerCalls(Protocol):
    """Calls to one worker at a time; times are in seconds."""

    async def start_run(
        self,
        worker: WorkerEntry,
        order: StartOrder,
        *,
        token: int,
        lease_until_s: float,
    ) -> StartOutcome:
        """Start a run under a lease that ends on the worker's clock."""

    async def stop_run(
        self, worker: WorkerEntry, order: StopOrder, *, token: int
    ) -> StopOutcome:
        """Stop a run and bar its number."""

    async def throttle_run(
        self, worker: WorkerEntry, order: ThrottleOrder, *, token: int
    ) -> bool:
        """Set a run's pace and return whether the worker took the order."""

    async def hold(
        self,
        worker: WorkerEntry,
        *,
        token: int,
        acknowledged: int,
        lease_until_s: float | None,
        wait_s: float,
    ) -> HeartbeatReply:
        """Extend the lease, acknowledge ends and wait for another one.

        :raises WorkerFenced: if a later planner has called the worker
        :raises WorkerGone: if the incarnation has ended
        :raises WorkerUnreachable: if there was no usable answer
        """
