"""Cells, guarantees, placement, fair queueing and run-time estimates."""

from .cells import CellTree, effective_accelerators
from .estimates import Estimates
from .explaining import BoundRow
from .fair_groups import Entry
from .fair_queue import Dropped, FairQueue
from .scheduler import PoolScheduler

__all__ = [
    "BoundRow",
    "CellTree",
    "Dropped",
    "Entry",
    "Estimates",
    "FairQueue",
    "PoolScheduler",
    "effective_accelerators",
]
