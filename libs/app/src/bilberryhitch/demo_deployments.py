"""The two deployments of the demo: hosts, tables and workload."""

from typing import Literal, NamedTuple

from bilberryhitch_model import (
    Guarantee,
    Host,
    Pool,
    Route,
    Shape,
    TableChange,
    Urgency,
    WorkKind,
)

JOB_POOL = "gangs"
REQUEST_POOL = "checks"


class WorkloadKind(NamedTuple):
    """One kind of requests or jobs of one client account.

    :param arrivals_per_s: mean arrival rate
    :param run_time_range_s: shortest and longest run time, in seconds
    :param shapes: shapes of the jobs, used in turn
    """

    route: str
    work: WorkKind
    client_account: str
    arrivals_per_s: float
    run_time_range_s: tuple[float, float]
    shapes: tuple[Shape, ...] = ()
    urgency: Urgency = "normal"
    idempotent: bool = True
    checkpoint: bool = False


class Deployment(NamedTuple):
    """Size and workload of one deployment.

    :param workers: number of workers
    :param executors: number of executors
    :param rack_size: number of workers per rack
    :param cores: CPU cores per worker
    :param memory_gb: memory per worker, in GB
    """

    name: Literal["muscat", "rabat"]
    data_centres: tuple[str, ...]
    workers: int
    executors: int
    rack_size: int
    cores: int
    memory_gb: int
    guarantees: tuple[Guarantee, ...]
    kinds: tuple[WorkloadKind, ...]


ACCELERATORS_PER_WORKER = 8

MUSCAT = Deployment(
    name="muscat",
    data_centres=("ruwi", "mutrah", "seeb", "qurum"),
    workers=24,
    executors=24,
    rack_size=6,
    cores=32,
    memory_gb=64,
    guarantees=(
        Guarantee("al-batinah", "ruwi", 16),
        Guarantee("al-batinah", "mutrah", 16),
        Guarantee("oman-assay", "seeb", 16),
        Guarantee("oman-assay", "qurum", 16),
    ),
    kinds=(
        WorkloadKind(
            "solder-fit", "request", "muttrah", 20.0, (0.02, 0.06), urgency="urgent"
        ),
        WorkloadKind(
            "bench-fit", "request", "nizwa", 6.0, (0.02, 0.06), urgency="urgent"
        ),
        WorkloadKind(
            "hallmark-batch",
            "job",
            "oman-assay",
            4.0,
            (0.3, 1.5),
            (Shape(1, 1), Shape(4, 1), Shape(8, 1)),
            "low",
        ),
        WorkloadKind(
            "design-render",
            "job",
            "al-batinah",
            1.0,
            (1.0, 4.0),
            (Shape(2, 8), Shape(4, 8)),
            checkpoint=True,
        ),
        WorkloadKind(
            "clasp-simulation",
            "job",
            "al-batinah",
            0.5,
            (0.5, 2.0),
            (Shape(16, 1),),
            idempotent=False,
        ),
    ),
)

RABAT = Deployment(
    name="rabat",
    data_centres=("rabat-a", "kenitra-b", "tanger-c"),
    workers=24,
    executors=24,
    rack_size=8,
    cores=64,
    memory_gb=128,
    guarantees=(
        Guarantee("federation", "rabat-a", 32),
        Guarantee("school-leagues", "kenitra-b", 8),
        Guarantee("university-clubs", "tanger-c", 8),
    ),
    kinds=(
        WorkloadKind(
            "motion-set",
            "request",
            "school-leagues",
            12.0,
            (0.02, 0.05),
            urgency="urgent",
            idempotent=False,
        ),
        WorkloadKind("ruling", "request", "university-clubs", 25.0, (0.01, 0.04)),
        WorkloadKind(
            "old-ruling", "request", "regional", 8.0, (0.01, 0.04), urgency="low"
        ),
        WorkloadKind(
            "ranking",
            "job",
            "federation",
            3.0,
            (0.5, 2.5),
            (Shape(8, 1), Shape(16, 1), Shape(4, 8)),
            "low",
            checkpoint=True,
        ),
        WorkloadKind(
            "league-table", "job", "regional", 2.0, (0.3, 1.0), (Shape(2, 1),)
        ),
    ),
)


def endpoint_hosts(deployment: Deployment) -> list[Host]:
    """Return workers and executors, distributed evenly over the data centres."""
    centres = deployment.data_centres
    hosts = []
    for number in range(deployment.workers):
        centre = centres[number % len(centres)]
        rank = number // len(centres)
        hosts.append(
            Host(
                name=f"{centre}-worker-{rank}",
                kind="worker",
                data_centre=centre,
                address="",
                boot_id=f"boot-{number}",
                rack=f"{centre}-rack-{rank // deployment.rack_size}",
                position=rank % deployment.rack_size,
                accelerators=ACCELERATORS_PER_WORKER,
                cores=deployment.cores,
                memory_gb=deployment.memory_gb,
            )
        )
    for number in range(deployment.executors):
        centre = centres[number % len(centres)]
        name = f"{centre}-executor-{number // len(centres)}"
        hosts.append(Host(name, "executor", centre, "", boot_id=f"boot-{number}"))
    return hosts


def table_rows(deployment: Deployment) -> TableChange:
    """Return the change that adds the rows of both tables."""
    hosts = endpoint_hosts(deployment)
    names = {
        kind: tuple(host.name for host in hosts if host.kind == kind)
        for kind in ("worker", "executor")
    }
    pools = (
        Pool(JOB_POOL, "job", names["worker"], deployment.guarantees),
        Pool(REQUEST_POOL, "request", names["executor"]),
    )
    return TableChange(
        put_routes=tuple(_route(kind) for kind in deployment.kinds), put_pools=pools
    )


def _route(kind: WorkloadKind) -> Route:
    return Route(
        name=kind.route,
        work=kind.work,
        kind=kind.route,
        client_account=kind.client_account,
        pool=JOB_POOL if kind.work == "job" else REQUEST_POOL,
        urgency=kind.urgency,
        idempotent=kind.idempotent,
        checkpoint=kind.checkpoint,
        timeout_s=10.0,
        estimate_s=kind.run_time_range_s[1],
    )
