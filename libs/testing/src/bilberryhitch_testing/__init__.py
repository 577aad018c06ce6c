"""Virtual-time event loop and fault injection for tests.

The test harness of the planner is in :mod:`.planner_harness`.
"""

from .faults import FaultyTables
from .virtual_time import VirtualTimeLoop, run_virtual

__all__ = ["FaultyTables", "VirtualTimeLoop", "run_virtual"]
