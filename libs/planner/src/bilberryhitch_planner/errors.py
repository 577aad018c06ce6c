"""Exceptions of the job planner."""

from bilberryhitch_model.errors import BilberryhitchError


class WorkerFenced(BilberryhitchError):
    """A worker or machine has seen a higher fencing token, of a later planner."""

    code = "worker_fenced"

    def __init__(self, worker: str) -> None:
        super().__init__(worker)
        self.worker = worker


class WorkerGone(BilberryhitchError):
    """Another incarnation of the worker answers at its address."""

    code = "worker_gone"

    def __init__(self, worker: str) -> None:
        super().__init__(worker)
        self.worker = worker


class WorkerUnreachable(BilberryhitchError):
    """A call got no usable response and may have taken effect."""

    code = "worker_unreachable"

    def __init__(self, worker: str, reason: str) -> None:
        super().__init__(worker, reason)
        self.worker = worker
        self.reason = reason


class Deposed(BilberryhitchError):
    """Another host holds the leader lease."""

    code = "deposed"

    def __init__(self, holder: str) -> None:
        super().__init__(holder)
        self.holder = holder


class Isolated(BilberryhitchError):
    """This host cannot reach most of the workers."""

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
