"""The rows of the routes and pools tables, and changes to them."""

from collections.abc import Mapping
from typing import Literal, NamedTuple

WorkKind = Literal["request", "job"]
Urgency = Literal["urgent", "normal", "low"]


class Shape(NamedTuple):
    """Size of a gang: the number of tasks, and the resources of each task.

    :param accelerators: accelerators per task
    :param cores: cores per task
    :param memory_gb: memory per task, in GB
    """

    tasks: int = 1
    accelerators: int = 0
    cores: int = 1
    memory_gb: int = 1

    @property
    def total_accelerators(self) -> int:
        """Number of accelerators of the whole gang."""
        return self.tasks * self.accelerators


class Route(NamedTuple):
    """A kind of work of one client account, and the pool that runs it.

    :param work: whether the route takes requests or jobs
    :param kind: name of the kind of work, for fair queueing and estimates
    :param pool: name of the pool that runs the work
    :param idempotent: whether running the work twice is harmless
    :param checkpoint: whether a job of this route can save and resume its state
    :param max_body_bytes: limit for request and response bodies, in bytes
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
    """Cells of adjacent accelerators that a client account can always reclaim.

    In a request pool, executor slots take the place of accelerators.

    :param accelerators: size of each cell
    :param cells: number of cells
    """

    client_account: str
    data_centre: str
    accelerators: int
    cells: int = 1


class Share(NamedTuple):
    """Fair-share weight of a client account in the capacity that is not guaranteed."""

    client_account: str
    weight: float = 1.0


class Pool(NamedTuple):
    """Hosts that run the work of routes, and how client accounts share them.

    :param hosts: names of executors (request pools) or workers (job pools)
    :param shares: fair-share weights; an account without a row has weight 1
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
    """Both tables at one revision; revision 0 means that none was loaded yet.

    :param routes: routes by name
    :param pools: pools by name
    """

    revision: int
    routes: Mapping[str, Route]
    pools: Mapping[str, Pool]


class TableChange(NamedTuple):
    """Rows to write and names of rows to delete, applied atomically."""

    put_routes: tuple[Route, ...] = ()
    put_pools: tuple[Pool, ...] = ()
    delete_routes: tuple[str, ...] = ()
    delete_pools: tuple[str, ...] = ()


class Commit(NamedTuple):
    """Metadata of an accepted change.

    :param at: UTC seconds since the epoch
    """

    revision: int
    operator: str
    at: float


class ConfigChange(NamedTuple):
    """A committed change with its author: one entry of the audit log.

    :param at: UTC seconds since the epoch
    """

    revision: int
    operator: str
    at: float
    operation_id: str
    change: TableChange
