"""Placements on spare capacity, and placements that need evictions of borrowers."""

from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain, islice

from bilberryhitch_model import Member, Shape

from .cell_search import AvailableCount, place_in_cell, search_cells
from .fleet import Fleet
from .jobs import Job

MAX_GROUPS_TRIED = 32  # groups of cells examined per spare or urgent allocation


def spare_placements(fleet: Fleet, shape: Shape) -> Iterator[list[Member]]:
    """Yield placements of a gang on free accelerators outside bound cells.

    The caller checks whether all guarantees still fit beside such a placement.
    """
    available = count_spare(fleet)
    for number, group in enumerate(search_cells(fleet.tree, fleet.reclaimable, shape)):
        if number >= MAX_GROUPS_TRIED:
            return
        for cell in group:
            members = place_in_cell(fleet, available, cell, shape)
            if members is not None:
                yield members


def preempting_placements(
    fleet: Fleet, shape: Shape, now: float
) -> Iterator[list[Member]]:
    """Yield placements outside bound cells that need evictions, cheapest first."""
    available = count_obtainable(
        fleet, lambda owner: not (owner.protected or owner.urgent)
    )

    def available_outside(cell: int) -> int:
        if not fleet.reclaimable.taken[cell]:
            return available(cell)
        children = fleet.tree.cells[cell].children
        return sum(available_outside(child) for child in children)

    work = partial(eviction_cost, fleet, now=now)
    groups = islice(
        search_cells(fleet.tree, fleet.reclaimable, shape), MAX_GROUPS_TRIED
    )
    for cell in sorted(chain.from_iterable(groups), key=work):
        members = place_in_cell(fleet, available_outside, cell, shape)
        if members is not None:
            yield members


def place_with_evictions(fleet: Fleet, cell: int, shape: Shape) -> list[Member] | None:
    """Place a gang inside a bound cell, on free accelerators if they suffice.

    :returns: one member per worker, or ``None`` if the gang does not fit
    """
    members = place_in_cell(fleet, fleet.free.available, cell, shape)
    if members is None:
        available = count_obtainable(fleet, lambda owner: not owner.protected)
        members = place_in_cell(fleet, available, cell, shape)
    return members


def eviction_cost(fleet: Fleet, cell: int, now: float) -> tuple[float, int]:
    """Return a sort key for cells: the lower, the cheaper the evictions.

    It consists of the work that evicting the cell's jobs discards, in accelerator
    seconds, and the number of accelerators that are not free. Jobs whose eviction
    was decided already add no work.
    """
    if not fleet.free.taken[cell]:
        return 0.0, 0
    row = fleet.tree.cells[cell]
    owners = {fleet.owner[a] for a in range(row.start, row.start + row.size)}
    jobs = [fleet.jobs[owner] for owner in owners if owner is not None]
    work = sum(job.eviction_cost(now) for job in jobs if not job.evicting)
    return work, fleet.free.taken[cell]


def count_spare(fleet: Fleet) -> AvailableCount:
    """Return a function that counts the spare accelerators of a cell.

    Spare accelerators are free and in no bound cell.
    """

    def available(cell: int) -> int:
        if not fleet.reclaimable.taken[cell]:
            return fleet.free.available(cell)
        if not fleet.free.taken[cell]:
            return fleet.reclaimable.available(cell)
        return sum(available(child) for child in fleet.tree.cells[cell].children)

    return available


def count_obtainable(fleet: Fleet, may_evict: Callable[[Job], bool]) -> AvailableCount:
    """Return a function that counts the obtainable accelerators of a cell.

    They are free, or become free by evictions that ``may_evict`` allows.
    """

    def available(cell: int) -> int:
        start, size = fleet.tree.cells[cell].start, fleet.tree.cells[cell].size
        return sum(
            _is_obtainable(fleet, a, may_evict) for a in range(start, start + size)
        )

    return available


def _is_obtainable(
    fleet: Fleet, accelerator: int, may_evict: Callable[[Job], bool]
) -> bool:
    if not fleet.usable(fleet.tree.host_of_accelerator[accelerator]):
        return False
    users = (fleet.owner[accelerator], fleet.claim[accelerator])
    return all(user is None or may_evict(fleet.jobs[user]) for user in users)
