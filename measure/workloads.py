"""Deployments and their arrivals, at the sizes of section 1.3 of the design page."""

import random
from typing import NamedTuple

from bilberryhitch_model import Host, QueuedJob, Shape, Urgency

from .loop import GANG, HORIZON_S, Arrival

FLOOD = 10  # factor by which a kind's arrivals grow in a flood


class Kind(NamedTuple):
    """One kind of work of one account; gaps and run times are means in seconds."""

    account: str
    kind: str
    gap_s: float
    run_s: float
    shapes: tuple[Shape, ...]
    urgency: Urgency = "normal"
    may_borrow: bool = True
    resumes: bool = True


Flood = tuple[str, str]  # account and kind that arrive tenfold


class Deployment(NamedTuple):
    """A data centre's pool; ``small`` are accounts with small callers."""

    name: str
    per_rack: int
    cores: int
    guarantees: tuple[tuple[str, int, int], ...]
    kinds: tuple[Kind, ...]
    small: str
    floods: tuple[Flood, ...]


def gangs(*sizes: int) -> tuple[Shape, ...]:
    """Return gangs of one-accelerator tasks, or of whole workers from 16 on."""
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
        Kind("mint", "hallmark", 18.0, 240.0, gangs(1, 2, 4), "low"),
        Kind("mint", "strength", 200.0, 300.0, gangs(16), may_borrow=False),
        Kind("forge", "render", 110.0, 420.0, gangs(4, 8, 16)),
        Kind("forge", "large", 500.0, 150.0, gangs(64, 128)),
        Kind("atelier", "render", 100.0, 420.0, gangs(2, 8)),
        Kind("bench", "fit", 12.0, 15.0, gangs(1), "urgent"),
        Kind("bench", "check", 30.0, 60.0, gangs(1, 2)),
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
        Kind("league", "motion", 10.0, 60.0, gangs(1, 2, 4), "urgent"),
        Kind("league", "season", 240.0, 600.0, gangs(8, 16)),
        Kind("archive", "ruling", 14.0, 180.0, gangs(1, 2, 4), "low"),
        Kind("ranking", "ranking", 240.0, 420.0, gangs(8, 16, 32), may_borrow=False),
        Kind("ranking", "large", 500.0, 150.0, gangs(64, 128)),
        Kind("club", "look", 15.0, 30.0, gangs(1, 2)),
    ),
    "club",
    (("archive", "ruling"), ("league", "motion")),
)


def hosts_of(deployment: Deployment) -> list[Host]:
    """Return 24 workers of 8 accelerators."""
    return [
        Host(
            f"w{number:02}",
            "worker",
            "dc",
            "",
            rack=f"rack-{number // deployment.per_rack}",
            position=number % deployment.per_rack,
            accelerators=8,
            cores=deployment.cores,
            memory_gb=2 * deployment.cores,
        )
        for number in range(24)
    ]


def arrivals(deployment: Deployment, seed: int, flood: Flood) -> list[Arrival]:
    """Return the same arrivals for a seed; a flood only adds to its kind.

    Declared run times are wrong by up to ten times either way.
    """
    found = []
    for kind in deployment.kinds:
        copies = FLOOD if flood == (kind.account, kind.kind) else 1
        for copy in range(copies):
            rng = random.Random(f"{seed}/{kind.account}/{kind.kind}/{copy}")
            at = rng.expovariate(1 / kind.gap_s)
            while at < HORIZON_S:
                found.append(_arrival(kind, copy, at, rng))
                at += rng.expovariate(1 / kind.gap_s)
    return sorted(found, key=lambda row: row.at)


def _arrival(kind: Kind, copy: int, at: float, rng: random.Random) -> Arrival:
    run_s = rng.lognormvariate(-0.32, 0.8) * kind.run_s  # mean factor 1
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
