"""Placements on spare capacity, and placements that need evictions of borrowers."""

from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain, islice

from bilberryhitch_model import Member, Shape

from .cell_search import AvailableCount, place_in_cell, search_cells
from .jobs import Job
from .pool_state import PoolState

MAX_GROUPS_TRIED = 32  # groups of cells examined per spare or urgent allocation


def spare_placements(pool_state: PoolState, shape: Shape) -> Iterator[list[Member]]:
    """Yield placements of a gang on free accelerators outside bound cells.

    The caller checks whether all guarantees still fit beside such a placement.
    """
    available = count_spare(pool_state)
    for number, group in enumerate(
        search_cells(pool_state.tree, pool_state.reclaimable, shape)
    ):
        if number >= MAX_GROUPS_TRIED:
            return
        for cell in group:
            members = place_in_cell(pool_state, available, cell, shape)
            if members is not None:
                yield members


def preempting_placements(
    pool_state: PoolState, shape: Shape, now: float
) -> Iterator[list[Member]]:
    """Yield placements outside bound cells that need evictions, cheapest first."""
    available = count_obtainable(
        pool_state, lambda owner: not (owner.protected or owner.urgent)
    )

    def available_outside(cell: int) -> int:
        if not pool_state.reclaimable.taken[cell]:
            return available(cell)
        children = pool_state.tree.cells[cell].children
        return sum(available_outside(child) for child in children)

    cost = partial(eviction_cost, pool_state, now=now)
    groups = islice(
        search_cells(pool_state.tree, pool_state.reclaimable, shape), MAX_GROUPS_TRIED
    )
    for cell in sorted(chain.from_iterable(groups), key=cost):
        members = place_in_cell(pool_state, available_outside, cell, shape)
        if members is not None:
            yield members


def place_with_evictions(
    pool_state: PoolState, cell: int, shape: Shape
) -> list[Member] | None:
    """Place a gang inside a bound cell, on free accelerators if they suffice.

    :returns: one member per worker, or ``None`` if the gang does not fit
    """
    members = place_in_cell(pool_state, pool_state.free.available, cell, shape)
    if members is None:
        available = count_obtainable(pool_state, lambda owner: not owner.protected)
        members = place_in_cell(pool_state, available, cell, shape)
    return members


def eviction_cost(pool_state: PoolState, cell: int, now: float) -> tuple[float, int]:
    """Return a sort key for cells: the lower, the cheaper the evictions.

    It consists of the work that evicting the cell's jobs discards, in accelerator
    seconds, and the number of accelerators that are not free. Jobs whose eviction
    was decided already add no work.
    """
    if not pool_state.free.taken[cell]:
        return 0.0, 0
    row = pool_state.tree.cells[cell]
    owners = {pool_state.owner[a] for a in range(row.start, row.start + row.size)}
    jobs = [pool_state.jobs[owner] for owner in owners if owner is not None]
    work = sum(job.eviction_cost(now) for job in jobs if not job.evicting)
    return work, pool_state.free.taken[cell]


def count_spare(pool_state: PoolState) -> AvailableCount:
    """Return a function that counts the spare accelerators of a cell.

    Spare accelerators are free and in no bound cell.
    """

    def available(cell: int) -> int:
        if not pool_state.reclaimable.taken[cell]:
            return pool_state.free.available(cell)
        if not pool_state.free.taken[cell]:
            return pool_state.reclaimable.available(cell)
        return sum(available(child) for child in pool_state.tree.cells[cell].children)

    return available


def count_obtainable(
    pool_state: PoolState, may_evict: Callable[[Job], bool]
) -> AvailableCount:
    """Return a function that counts the obtainable accelerators of a cell.

    They are free, or become free by evictions that ``may_evict`` allows.
    """

    def available(cell: int) -> int:
        start, size = (
            pool_state.tree.cells[cell].start,
            pool_state.tree.cells[cell].size,
        )
        return sum(
            _is_obtainable(pool_state, a, may_evict) for a in range(start, start + size)
        )

    return available


def _is_obtainable(
    pool_state: PoolState, accelerator: int, may_evict: Callable[[Job], bool]
) -> bool:
    if not pool_state.usable(pool_state.tree.host_of_accelerator[accelerator]):
        return False
    users = (pool_state.owner[accelerator], pool_state.claim[accelerator])
    return all(user is None or may_evict(pool_state.jobs[user]) for user in users)
