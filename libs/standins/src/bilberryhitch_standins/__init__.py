"""Stand-ins of the platform, executors and workers, with fault injection."""

from .executor_server import ExecutorStandin
from .platform_server import PlatformStandin
from .worker_model import LeaseReport, WorkerEvent, WorkerModel, WorkerReport
from .worker_server import WorkerStandin

__all__ = [
    "ExecutorStandin",
    "LeaseReport",
    "PlatformStandin",
    "WorkerEvent",
    "WorkerModel",
    "WorkerReport",
    "WorkerStandin",
]
