"""The rows of the routes and pools tables, and changes to them."""

from collections.abc import Mapping
from typing import Literal, NamedTuple

WorkKind = Literal["request", "job"]
Urgency = Literal["urgent", "normal", "low"]


class Shape(NamedTuple):
    """The gang a job asks for; every figure but ``tasks`` is per task."""

    tasks: int = 1
    accelerators: int = 0
    cores: int = 1
    memory_gb: int = 1

    @property
    def total_accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.tasks * self.accelerators


class Route(NamedTuple):
    """What kind of work comes from which client account.

    :param pool: name of the pool that serves this route
    :param idempotent: whether running the work twice is harmless
    :param checkpoint: whether a job of this route can save and resume its state
    :param max_body_bytes: limit for request and answer bodies, in bytes
    :param timeout_s: how long a caller waits for an executor, in seconds
    :param estimate_s: declared run time in seconds, used until runs are observed
    :param max_shape: largest shape a job may ask for
    """

    name: str
    work: WorkKind
    kind: str
    client_account: str
    pool: str
    urgency: Urgency = "normal"
    idempotent: bool = True
    checkpoint: bool = False
    max_body_bytes: int = 1_048_576
    timeout_s: float = 30.0
    estimate_s: float = 60.0
    max_shape: Shape = Shape(tasks=128, accelerators=8, cores=64, memory_gb=512)


class Guarantee(NamedTuple):
    """``cells`` blocks of adjacent accelerators held for a client account."""

    client_account: str
    data_centre: str
    accelerators: int
    cells: int = 1


class Share(NamedTuple):
    """Weight of a client account in what is not guaranteed."""

    client_account: str
    weight: float = 1.0


class Pool(NamedTuple):
    """What hosts and guarantees stand behind routes.

    :param hosts: names of executors (request pools) or workers (job pools)
    :param shares: weights; an account without a row has weight 1
    :param borrowing: whether idle guaranteed cells are lent
    :param max_queued: queue limit per data centre, in entries
    """

    name: str
    work: WorkKind
    hosts: tuple[str, ...] = ()
    guarantees: tuple[Guarantee, ...] = ()
    shares: tuple[Share, ...] = ()
    borrowing: bool = True
    max_queued: int = 10_000


class Tables(NamedTuple):
    """Both tables at one revision; 0 means that none was adopted."""

    revision: int
    routes: Mapping[str, Route]
    pools: Mapping[str, Pool]


class TableChange(NamedTuple):
    """Rows to write and rows to remove, applied as a whole."""

    put_routes: tuple[Route, ...] = ()
    put_pools: tuple[Pool, ...] = ()
    delete_routes: tuple[str, ...] = ()
    delete_pools: tuple[str, ...] = ()


class Commit(NamedTuple):
    """An accepted change; ``at`` is UTC seconds since the epoch."""

    revision: int
    operator: str
    at: float


class ConfigChange(NamedTuple):
    """A committed change with its author: one entry of the audit trail."""

    revision: int
    operator: str
    at: float
    operation_id: str
    change: TableChange
