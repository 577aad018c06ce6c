"""Scheduling of one pool: placement, guarantees, fair queueing, run-time estimates."""

from .cells import CellTree, effective_accelerators
from .explanations import BoundCellRow
from .fair_groups import QueueEntry
from .fair_queue import Dropped, FairQueue
from .run_time_estimates import RunTimeEstimates
from .scheduler import PoolScheduler

__all__ = [
    "BoundCellRow",
    "CellTree",
    "Dropped",
    "FairQueue",
    "PoolScheduler",
    "QueueEntry",
    "RunTimeEstimates",
    "effective_accelerators",
]
