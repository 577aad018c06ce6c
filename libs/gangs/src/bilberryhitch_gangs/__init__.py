"""Planner leases, gang start, renewal, reclaim and the job service."""
