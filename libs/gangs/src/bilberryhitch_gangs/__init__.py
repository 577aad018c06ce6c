"""Planner election, gang start and stop, lease renewal and the job service."""

from .active_planner import PoolView
from .job_service import JobService
from .planner import Planner
from .planner_lease import PlannerLease, PlannerLost, PlannerRow
from .planner_set import PlannerSet
from .pool_scheduler import PoolScheduler, SchedulerFactory
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
