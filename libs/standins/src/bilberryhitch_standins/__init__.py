"""Stand-ins of the platform, executors and workers, with fault switches."""

from .worker_model import LeaseReport, WorkerEvent, WorkerModel, WorkerReport
from .worker_server import WorkerStandin

__all__ = [
    "LeaseReport",
    "WorkerEvent",
    "WorkerModel",
    "WorkerReport",
    "WorkerStandin",
]
