"""Event loop with virtual time and fault injection for tests.

A planner with scripted workers is in :mod:`.planner_harness`.
"""

from .faults import FaultyTables
from .virtual_time import VirtualTimeLoop, run_virtual

__all__ = ["FaultyTables", "VirtualTimeLoop", "run_virtual"]
