"""Deployments and their arrivals, at the sizes of section 1.3 of the design page."""

import random
from typing import NamedTuple

from bilberryhitch_model import Host, QueuedJob, Shape, Urgency

from .loop import ARRIVAL_PERIOD_S, GANG, Arrival

FLOOD_FACTOR = 10  # factor on the arrival rate of a job kind during a flood


class JobKind(NamedTuple):
    """A job kind of one client account; arrivals are a Poisson process."""

    account: str
    kind: str
    mean_gap_s: float
    mean_run_s: float
    shapes: tuple[Shape, ...]
    urgency: Urgency = "normal"
    may_borrow: bool = True
    resumes: bool = True


Flood = tuple[str, str]  # client account and job kind whose arrival rate is multiplied


class Deployment(NamedTuple):
    """Workers, guarantees and job kinds of one pool in a data centre.

    :ivar guarantees: client account, gang size in accelerators and number of gangs
    :ivar small_account: client account whose callers offer little load
    """

    name: str
    workers_per_rack: int
    cores: int
    guarantees: tuple[tuple[str, int, int], ...]
    kinds: tuple[JobKind, ...]
    small_account: str
    floods: tuple[Flood, ...]


def gang_shapes(*sizes: int) -> tuple[Shape, ...]:
    """Return gang shapes for numbers of accelerators.

    Gangs of 16 and more accelerators take whole workers of 8.
    """
    return tuple(
        Shape(size // 8, 8, 8, 16) if size >= GANG else Shape(1, size, size, size)
        for size in sizes
    )


MUSCAT = Deployment(
    "muscat",
    6,
    32,
    (
        ("mint", 16, 1),
        ("forge", 16, 1),
        ("forge", 8, 1),
        ("atelier", 8, 1),
        ("bench", 2, 4),
    ),
    (
        JobKind("mint", "hallmark", 18.0, 240.0, gang_shapes(1, 2, 4), "low"),
        JobKind("mint", "strength", 200.0, 300.0, gang_shapes(16), may_borrow=False),
        JobKind("forge", "render", 110.0, 420.0, gang_shapes(4, 8, 16)),
        JobKind("forge", "large", 500.0, 150.0, gang_shapes(64, 128)),
        JobKind("atelier", "render", 100.0, 420.0, gang_shapes(2, 8)),
        JobKind("bench", "fit", 12.0, 15.0, gang_shapes(1), "urgent"),
        JobKind("bench", "check", 30.0, 60.0, gang_shapes(1, 2)),
    ),
    "bench",
    (("mint", "hallmark"), ("atelier", "render"), ("bench", "fit")),
)
RABAT = Deployment(
    "rabat",
    8,
    64,
    (("league", 16, 1), ("archive", 8, 1), ("ranking", 32, 1), ("club", 2, 4)),
    (
        JobKind("league", "motion", 10.0, 60.0, gang_shapes(1, 2, 4), "urgent"),
        JobKind("league", "season", 240.0, 600.0, gang_shapes(8, 16)),
        JobKind("archive", "ruling", 14.0, 180.0, gang_shapes(1, 2, 4), "low"),
        JobKind(
            "ranking", "ranking", 240.0, 420.0, gang_shapes(8, 16, 32), may_borrow=False
        ),
        JobKind("ranking", "large", 500.0, 150.0, gang_shapes(64, 128)),
        JobKind("club", "look", 15.0, 30.0, gang_shapes(1, 2)),
    ),
    "club",
    (("archive", "ruling"), ("league", "motion")),
)


def make_worker_hosts(deployment: Deployment) -> list[Host]:
    """Return the deployment's 24 workers, each with 8 accelerators."""
    return [
        Host(
            f"w{number:02}",
            "worker",
            "dc",
            "",
            rack=f"rack-{number // deployment.workers_per_rack}",
            position=number % deployment.workers_per_rack,
            accelerators=8,
            cores=deployment.cores,
            memory_gb=2 * deployment.cores,
        )
        for number in range(24)
    ]


def generate_arrivals(deployment: Deployment, seed: int, flood: Flood) -> list[Arrival]:
    """Return the arrivals for a seed; a flood only adds arrivals of its job kind.

    Declared run times differ from the actual ones by a factor of up to ten either way.
    """
    found = []
    for kind in deployment.kinds:
        copies = FLOOD_FACTOR if flood == (kind.account, kind.kind) else 1
        for copy in range(copies):
            rng = random.Random(f"{seed}/{kind.account}/{kind.kind}/{copy}")
            at = rng.expovariate(1 / kind.mean_gap_s)
            while at < ARRIVAL_PERIOD_S:
                found.append(_arrival(kind, copy, at, rng))
                at += rng.expovariate(1 / kind.mean_gap_s)
    return sorted(found, key=lambda row: row.at)


def _arrival(kind: JobKind, copy: int, at: float, rng: random.Random) -> Arrival:
    run_s = rng.lognormvariate(-0.32, 0.8) * kind.mean_run_s  # the factor's mean is 1
    job = QueuedJob(
        f"{kind.account}-{kind.kind}-{copy}-{at:.6f}",
        kind.account,
        kind.kind,
        f"caller-{rng.randrange(3)}",
        rng.choice(kind.shapes),
        kind.urgency,
        kind.may_borrow,
        run_s * 10 ** rng.uniform(-1, 1),
        at,
    )
    return Arrival(at, job, run_s, kind.resumes)
