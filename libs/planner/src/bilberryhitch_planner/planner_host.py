"""For how many workers a host has the means to plan, and what follows for a free lease.

Each candidate for planner judges itself. A wrong guess costs a takeover, never a second
planner.
"""

import math
from typing import NamedTuple

# A planner's busiest seconds take about this much processor time for each worker.
CORES_PER_WORKER = 0.0025
# With less than this a planner of however few workers is busy for seconds while it
# takes over, and starts are not sent in time.
MIN_CORES = 1.0
# Memory of a host that does not plan, with room for open requests.
BASE_MEMORY_MB = 70.0
MEMORY_MB_PER_WORKER = 0.06
# Descriptors that are not for connections to workers: files, the store, other hosts
# and callers.
BASE_DESCRIPTORS = 700
# One connection for heartbeats, and one for orders while some are sent.
DESCRIPTORS_PER_WORKER = 2
# A heartbeat takes about 1 KB with its reply and the headers; two a second.
LINK_MBPS_PER_WORKER = 0.016
# Stands for no limit in the lease row.
UNLIMITED_WORKERS = 1_000_000
# Before the first planner has counted the workers, there may be this many.
UNKNOWN_WORKERS = 3000
# Hosts whose means do not suffice leave a free lease to others for this time, and as
# much again for each halving of what they lack. Other hosts notice an expired lease up
# to 1.0 s later.
PRECEDENCE_S = 0.6
MAX_PRECEDENCE_S = 1.1
# The same before the first planner. The hosts of a deployment start within 0.3 s.
MAX_FIRST_PRECEDENCE_S = 3.0


class HostMeans(NamedTuple):
    """What a host offers to a planner; 0 stands for unknown, which limits nothing.

    :param cores: processor cores, a fraction of one or several
    :param memory_mb: memory limit of the process
    :param max_descriptors: limit on open files and connections of the process
    :param link_mbps: bandwidth of the host's link
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    max_descriptors: int = 0
    link_mbps: float = 0.0


UNKNOWN_MEANS = HostMeans()


class WorkerLimit(NamedTuple):
    """For how many workers a host can plan.

    :param workers: their number; infinity if no means is known
    :param means: what is short first, a field of ``HostMeans``; empty if none is known
    """

    workers: float
    means: str


def worker_limit(means: HostMeans) -> WorkerLimit:
    """Return for how many workers a host can plan and what limits their number."""
    memory_mb = max(0.0, means.memory_mb - BASE_MEMORY_MB)
    descriptors = max(0, means.max_descriptors - BASE_DESCRIPTORS)
    workers = {
        "cores": means.cores / CORES_PER_WORKER,
        "memory_mb": memory_mb / MEMORY_MB_PER_WORKER,
        "max_descriptors": descriptors / DESCRIPTORS_PER_WORKER,
        "link_mbps": means.link_mbps / LINK_MBPS_PER_WORKER,
    }
    limits = [
        WorkerLimit(workers[name], name)
        for name, value in means._asdict().items()
        if value > 0
    ]
    return min(limits, default=WorkerLimit(math.inf, ""))


def precedence_s(means: HostMeans, needed: int | None) -> float:
    """Return how long a host leaves a free lease to others, in seconds.

    :param needed: number of workers for which the planner's host should have the means;
        None if no planner has counted any yet
    """
    limit = worker_limit(means).workers
    if limit >= (needed or UNKNOWN_WORKERS):
        return PRECEDENCE_S if 0 < means.cores < MIN_CORES else 0.0
    longest_s = MAX_FIRST_PRECEDENCE_S if needed is None else MAX_PRECEDENCE_S
    halvings = math.log2((needed or UNKNOWN_WORKERS) / max(limit, 1.0))
    return min(longest_s, PRECEDENCE_S * (1.0 + halvings))


def needed_workers(workers: int, best_limit: int) -> int:
    """Return for how many workers a planner's host should have the means.

    Hosts that are as good as the best former planner's do not wait for better ones.

    :param workers: workers of the deployment as last counted; 0 if that is not known
    :param best_limit: the highest worker limit among the hosts that have planned; 0 if
        that is not known
    """
    known = [number for number in (workers, best_limit) if number > 0]
    return min(known, default=UNKNOWN_WORKERS)
