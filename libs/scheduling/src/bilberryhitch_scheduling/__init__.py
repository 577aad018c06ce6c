"""Cells, guarantees, placement, fair queueing and run-time estimates."""
