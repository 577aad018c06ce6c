"""Places that are spare, and places that evictions of borrowers clear."""

from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain, islice

from bilberryhitch_model import Member, Shape

from .fleet import Fleet
from .jobs import Job
from .placement import Left, fill, search

GROUPS_TRIED = 32  # groups of equal cells examined for one spare or urgent start


def spare_places(fleet: Fleet, shape: Shape) -> Iterator[list[Member]]:
    """Yield places for a gang on accelerators that are unused and not guaranteed.

    Whether the guarantees can be held beside it is for the caller to check.
    """
    left = spare_left(fleet)
    for number, group in enumerate(search(fleet.tree, fleet.clear, shape)):
        if number >= GROUPS_TRIED:
            return
        for cell in group:
            members = fill(fleet, left, cell, shape)
            if members is not None:
                yield members


def preempting_places(fleet: Fleet, shape: Shape, now: float) -> Iterator[list[Member]]:
    """Yield places outside bound cells that evictions clear, least work first."""
    left = clearable_left(fleet, lambda owner: not (owner.firm or owner.urgent))

    def outside(cell: int) -> int:
        if not fleet.clear.taken[cell]:
            return left(cell)
        children = fleet.tree.cells[cell].children
        return sum(outside(child) for child in children)

    work = partial(evicted_work, fleet, now=now)
    groups = islice(search(fleet.tree, fleet.clear, shape), GROUPS_TRIED)
    for cell in sorted(chain.from_iterable(groups), key=work):
        members = fill(fleet, outside, cell, shape)
        if members is not None:
            yield members


def fill_evicting(fleet: Fleet, cell: int, shape: Shape) -> list[Member] | None:
    """Place inside a bound cell, on free accelerators if they suffice."""
    members = fill(fleet, fleet.free.left, cell, shape)
    if members is None:
        left = clearable_left(fleet, lambda owner: not owner.firm)
        members = fill(fleet, left, cell, shape)
    return members


def evicted_work(fleet: Fleet, cell: int, now: float) -> tuple[float, int]:
    """Return the work that borrowers in a cell would lose, then its use.

    The work is in accelerator seconds since their starts.
    """
    if not fleet.free.taken[cell]:
        return 0.0, 0
    row = fleet.tree.cells[cell]
    owners = {fleet.owner[a] for a in range(row.start, row.start + row.size)}
    jobs = [fleet.jobs[owner] for owner in owners if owner is not None]
    work = sum(job.work_done(now) for job in jobs if not job.evicting)
    return work, fleet.free.taken[cell]


def spare_left(fleet: Fleet) -> Left:
    """Count accelerators that are both unused and not in a bound cell."""

    def left(cell: int) -> int:
        if not fleet.clear.taken[cell]:
            return fleet.free.left(cell)
        if not fleet.free.taken[cell]:
            return fleet.clear.left(cell)
        return sum(left(child) for child in fleet.tree.cells[cell].children)

    return left


def clearable_left(fleet: Fleet, may_evict: Callable[[Job], bool]) -> Left:
    """Count accelerators that are free or become free by allowed evictions."""

    def left(cell: int) -> int:
        start, size = fleet.tree.cells[cell].start, fleet.tree.cells[cell].size
        return sum(_clearable(fleet, a, may_evict) for a in range(start, start + size))

    return left


def _clearable(
    fleet: Fleet, accelerator: int, may_evict: Callable[[Job], bool]
) -> bool:
    if not fleet.usable(fleet.tree.hosts[accelerator]):
        return False
    users = (fleet.owner[accelerator], fleet.claim[accelerator])
    return all(user is None or may_evict(fleet.jobs[user]) for user in users)
