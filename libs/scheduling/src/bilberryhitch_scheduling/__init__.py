"""Cells, guarantees, placement, fair queueing and run-time estimates."""

from .fair_groups import Entry
from .fair_queue import Dropped, FairQueue

__all__ = ["Dropped", "Entry", "FairQueue"]
