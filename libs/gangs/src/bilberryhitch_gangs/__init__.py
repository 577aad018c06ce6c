"""Planner leases, gang start, renewal, reclaim and the job service."""

from .jobs import JobService
from .planner import Planner
from .planner_lease import PlannerLease, PlannerLost, PlannerRow
from .planner_set import PlannerSet
from .pool_scheduler import PoolScheduler, SchedulerFactory
from .tenure import PoolView
from .worker_client import (
    HttpWorkerClient,
    LeaseView,
    Reservation,
    WorkerClient,
    WorkerView,
)

__all__ = [
    "HttpWorkerClient",
    "JobService",
    "LeaseView",
    "Planner",
    "PlannerLease",
    "PlannerLost",
    "PlannerRow",
    "PlannerSet",
    "PoolScheduler",
    "PoolView",
    "Reservation",
    "SchedulerFactory",
    "WorkerClient",
    "WorkerView",
]
