"""Typed failures of calls to workers."""

from bilberryhitch_model.errors import BilberryhitchError


class WorkerFenced(BilberryhitchError):
    """A worker has seen a later planner's fencing token."""

    code = "worker_fenced"

    def __init__(self, worker: str) -> None:
        super().__init__(worker)
        self.worker = worker


class WorkerGone(BilberryhitchError):
    """Another incarnation answers at the worker's address."""

    code = "worker_gone"

    def __init__(self, worker: str) -> None:
        super().__init__(worker)
        self.worker = worker


class WorkerUnreachable(BilberryhitchError):
    """A call got no usable answer and may have been carried out."""

    code = "worker_unreachable"

    def __init__(self, worker: str, reason: str) -> None:
        super().__init__(worker, reason)
        self.worker = worker
        self.reason = reason


class Deposed(BilberryhitchError):
    """Another host holds the planner's lease."""

    code = "deposed"

    def __init__(self, holder: str) -> None:
        super().__init__(holder)
        self.holder = holder


class Isolated(BilberryhitchError):
    """Most workers cannot be reached from this host."""

    code = "isolated"

    def __init__(self, lost: int, workers: int) -> None:
        super().__init__(lost, workers)
        self.lost = lost
        self.workers = workers


class MachinesUnknown(BilberryhitchError):
    """The list of machines could not be read."""

    code = "machines_unknown"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
