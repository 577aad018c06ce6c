"""Explanations of job states, and the list of bound cells, for API responses."""

from typing import NamedTuple

from bilberryhitch_model import Explanation

from .account_shares import AccountShares
from .allocator import Allocator
from .guaranteed_cells import GuaranteedCells
from .jobs import Job
from .pool_state import PoolState


class BoundCellRow(NamedTuple):
    """A guaranteed cell that is bound.

    :param accelerators: size of the guaranteed cell
    :param location: its workers, with accelerators numbered within each worker
    :param jobs: ids of the jobs in it
    """

    client_account: str
    accelerators: int
    location: tuple[tuple[str, tuple[int, ...]], ...]
    jobs: tuple[str, ...]


def bound_cell_rows(
    pool_state: PoolState, guarantees: GuaranteedCells
) -> list[BoundCellRow]:
    """Return one row per bound cell."""
    rows = []
    for bound in guarantees.bound_cells():
        location = tuple(
            (host, tuple(a - pool_state.tree.first_accelerator[host] for a in taken))
            for host, taken in pool_state.tree.hosts_in(bound.cell)
        )
        key = bound.key
        row = BoundCellRow(
            key.client_account, key.accelerators, location, tuple(bound.jobs)
        )
        rows.append(row)
    return rows


def explain(
    job_id: str,
    job: Job | None,
    allocator: Allocator,
    shares: AccountShares,
    ahead: int,
) -> Explanation:
    """Return the rule that delays a job, or the rule that allowed its allocation.

    :param ahead: earlier queue entries of the same caller
    """
    if job is None:
        return Explanation(job_id, "unknown", "not_here", "no such job is queued")
    account = job.spec.client_account
    rule, detail = _current_rule(job, allocator, ahead)
    return Explanation(
        job_id,
        job.stage,
        rule,
        detail,
        shares.in_use.get(account, 0),
        allocator.guarantees.guaranteed_accelerators(account),
        ahead,
    )


def _current_rule(job: Job, allocator: Allocator, ahead: int) -> tuple[str, str]:
    if job.stage == "clearing":
        return (
            "evictions",
            f"waits until {len(job.pending_evictions)} borrowers have stopped",
        )
    if job.stage != "queued":
        return _allocation_rule(job)
    if job.job_id in allocator.reservations:
        return "reservation", "workers are kept for it until the whole gang fits"
    if ahead:
        return "fair_queue", "earlier jobs of the same caller go first"
    keys = allocator.guarantees.keys(job.spec.client_account)
    if any(allocator.fits_guarantee(job, key) for key in keys):
        return "guarantee_in_use", "the account's guaranteed cells are in use"
    if allocator.requires_protection(job):
        return "may_not_borrow", "no capacity is free that no guarantee can need"
    return "no_free_cell", "no free cell of adjacent accelerators holds the gang"


def _allocation_rule(job: Job) -> tuple[str, str]:
    if job.evicting:
        return "reclaimed", "a guaranteed or urgent job needs its place"
    if job.bound_cell is not None:
        return "guaranteed", "runs inside its account's guarantee"
    if job.protected:
        return "spare", "runs on capacity that no guarantee can need"
    return "borrowed", "runs until a guarantee or urgent work needs its place"
