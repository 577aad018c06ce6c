"""Planner for jobs: placement, leases, preemption, failover and stored state."""

from .agreed_time import publish_time
from .errors import (
    Deposed,
    MachinesUnknown,
    WorkerFenced,
    WorkerGone,
    WorkerUnreachable,
)
from .leader_election import LeaderElection, LeaderLease
from .leading_planner import Candidate, LeadingPlanner
from .planner import Planner
from .planner_host import HostMeans
from .reports import (
    Advice,
    AdviceRequest,
    EndedTask,
    EndKind,
    HeartbeatReply,
    RunningTask,
    StartOrder,
    StartOutcome,
    StopOrder,
    StopOutcome,
    ThrottleOrder,
    WorkerEntry,
)
from .upkeep import Machine, UpkeepCalls, UpkeepOutcome, Wave
from .worker_calls import WorkerCalls

__all__ = [
    "Advice",
    "AdviceRequest",
    "LeaderElection",
    "Candidate",
    "Deposed",
    "EndKind",
    "EndedTask",
    "HeartbeatReply",
    "HostMeans",
    "LeadingPlanner",
    "Machine",
    "MachinesUnknown",
    "ThrottleOrder",
    "Planner",
    "RunningTask",
    "StartOrder",
    "StartOutcome",
    "StopOrder",
    "StopOutcome",
    "LeaderLease",
    "UpkeepCalls",
    "UpkeepOutcome",
    "Wave",
    "WorkerCalls",
    "WorkerEntry",
    "WorkerFenced",
    "WorkerGone",
    "WorkerUnreachable",
    "publish_time",
]
