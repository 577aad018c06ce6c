"""Event loop with virtual time and fault injection for tests."""

from .faults import FaultyTables
from .virtual_time import VirtualTimeLoop, run_virtual

__all__ = ["FaultyTables", "VirtualTimeLoop", "run_virtual"]
