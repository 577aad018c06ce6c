"""Interface of the planner's calls to workers."""

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
    """Calls to workers.

    ``token`` is the fencing token of the planner. Times are in seconds.
    """

    async def start_run(
        self,
        worker: WorkerEntry,
        order: StartOrder,
        *,
        token: int,
        lease_until_s: float,
    ) -> StartOutcome:
        """Start a run under a lease.

        :param lease_until_s: end of the lease on the worker's clock
        """

    async def stop_run(
        self, worker: WorkerEntry, order: StopOrder, *, token: int
    ) -> StopOutcome:
        """Stop a run and reject later starts of its run number."""

    async def throttle_run(
        self, worker: WorkerEntry, order: ThrottleOrder, *, token: int
    ) -> bool:
        """Limit the CPU time of a run; return whether the worker accepted the order."""

    async def hold(
        self,
        worker: WorkerEntry,
        *,
        token: int,
        acknowledged: int,
        lease_until_s: float | None,
        wait_s: float,
    ) -> HeartbeatReply:
        """Send a heartbeat: renew the lease, acknowledge ended runs and list all runs.

        :param acknowledged: highest sequence number of the ended runs that are stored
        :param lease_until_s: new end of the lease on the worker's clock; None leaves
            the lease unchanged
        :param wait_s: how long the worker waits for a run to end before it replies
        :raises WorkerFenced: if a later planner has called the worker
        :raises WorkerGone: if the incarnation has ended
        :raises WorkerUnreachable: if there was no usable response
        """
