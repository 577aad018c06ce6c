"""The planner of jobs: placement, leases, reclaim, takeover and its journal."""

from .active_planner import Candidate, ActivePlanner
from .errors import (
    Deposed,
    MachinesUnknown,
    WorkerFenced,
    WorkerGone,
    WorkerUnreachable,
)
from .planner import Planner
from .reports import (
    Advice,
    AdviseOrder,
    EndedTask,
    EndKind,
    HoldReport,
    PaceOrder,
    RunningTask,
    StartOrder,
    StartOutcome,
    StopOrder,
    StopOutcome,
    WorkerEntry,
)
from .tenure import LeaderElection, LeaderLease
from .upkeep import Machine, UpkeepCalls, UpkeepOutcome, Wave
from .worker_calls import WorkerCalls

__all__ = [
    "Advice",
    "AdviseOrder",
    "Campaign",
    "Candidate",
    "Deposed",
    "EndKind",
    "EndedTask",
    "HoldReport",
    "Lead",
    "Machine",
    "MachinesUnknown",
    "PaceOrder",
    "Planner",
    "RunningTask",
    "StartOrder",
    "StartOutcome",
    "StopOrder",
    "StopOutcome",
    "Tenure",
    "UpkeepCalls",
    "UpkeepOutcome",
    "Wave",
    "WorkerCalls",
    "WorkerEntry",
    "WorkerFenced",
    "WorkerGone",
    "WorkerUnreachable",
]
