"""Answers to operators' and callers' questions about a job."""

from typing import NamedTuple

from bilberryhitch_model import Explanation

from .fleet import Fleet
from .guarantees import Guarantees
from .jobs import Job
from .shares import Shares
from .starting import Starter


class BoundRow(NamedTuple):
    """A guaranteed cell that is bound.

    :param accelerators: size of the guaranteed cell
    :param place: workers it lies on, with the workers' own accelerator numbers
    """

    client_account: str
    accelerators: int
    place: tuple[tuple[str, tuple[int, ...]], ...]
    jobs: tuple[str, ...]


def bound_rows(fleet: Fleet, guarantees: Guarantees) -> list[BoundRow]:
    """List the bound cells."""
    rows = []
    for bound in guarantees.bound():
        place = tuple(
            (host, tuple(a - fleet.tree.first[host] for a in taken))
            for host, taken in fleet.tree.hosts_in(bound.cell)
        )
        key = bound.key
        row = BoundRow(key.client_account, key.accelerators, place, tuple(bound.jobs))
        rows.append(row)
    return rows


def explain(
    job_id: str, job: Job | None, starter: Starter, shares: Shares, ahead: int
) -> Explanation:
    """Say which rule holds a job back, or by which right it runs."""
    if job is None:
        return Explanation(job_id, "unknown", "not_here", "no such job is queued")
    account = job.queued.client_account
    rule, detail = _rule(job, starter, ahead)
    return Explanation(
        job_id,
        job.stage,
        rule,
        detail,
        shares.in_use.get(account, 0),
        starter.guarantees.guaranteed(account),
        ahead,
    )


def _rule(job: Job, starter: Starter, ahead: int) -> tuple[str, str]:
    if job.stage == "clearing":
        return "evictions", f"waits until {len(job.waiting)} borrowers have stopped"
    if job.stage != "queued":
        return _right(job)
    if job.job_id in starter.reservations:
        return "reservation", "workers are kept for it until the whole gang fits"
    if ahead:
        return "fair_queue", "earlier jobs of the same caller go first"
    keys = starter.guarantees.keys(job.queued.client_account)
    if any(starter.fits(job, key) for key in keys):
        return "guarantee_in_use", "the account's guaranteed cells are in use"
    if starter.must_be_firm(job):
        return "may_not_borrow", "no capacity is free that no guarantee can need"
    return "no_free_cell", "no free cell of adjacent accelerators holds the gang"


def _right(job: Job) -> tuple[str, str]:
    if job.evicting:
        return "reclaimed", "a guaranteed or urgent job needs its place"
    if job.cell is not None:
        return "guaranteed", "runs inside its account's guarantee"
    if job.firm:
        return "spare", "runs on capacity that no guarantee can need"
    return "borrowed", "runs until a guarantee or urgent work needs its place"
