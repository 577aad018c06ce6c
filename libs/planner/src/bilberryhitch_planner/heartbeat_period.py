"""How often a worker is asked for its runs, by what runs there and the pool's size.

A worker answers at once when a run ends. The period matters for progress updates, lease
renewals and the detection of lost workers only, so that a planner of thousands of
workers can ask less often.
"""

from .throttling import shares_cpu
from .workers import HEARTBEAT_WAIT_S, Worker

# Shorter period while idle-CPU tasks share a worker with serving tasks, whose latency
# must not exceed its target for seconds because of them.
SHARED_HEARTBEAT_WAIT_S = 0.4
# Up to this many heartbeats a second in all, the period is the shortest one. Each costs
# the planner about half a millisecond.
HEARTBEATS_PER_S = 500.0
# A stalled run is detected after three heartbeats.
MAX_BUSY_WAIT_S = 1.2
# Workers hold a heartbeat open for at most this time.
MAX_IDLE_WAIT_S = 2.0


def heartbeat_wait_s(worker: Worker, workers: int) -> float:
    """Return how long a worker should hold the next heartbeat open, in seconds.

    :param workers: number of workers that the planner asks
    """
    if shares_cpu(worker):
        return SHARED_HEARTBEAT_WAIT_S
    longest_s = MAX_BUSY_WAIT_S if worker.runs else MAX_IDLE_WAIT_S
    return min(longest_s, max(HEARTBEAT_WAIT_S, workers / HEARTBEATS_PER_S))
