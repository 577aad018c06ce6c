"""Search for a cell that holds a gang.

The search prefers cells whose use fragments the fewest larger empty cells, then the
least evicted work. Among equal cells it takes the one whose neighbours are expected
to end at a similar time, so that long and short jobs do not fragment each other's
workers.
"""

from collections.abc import Callable, Iterator

from bilberryhitch_model import Member, Shape

from .cell_index import CellIndex
from .cells import CellTree
from .pool_state import PoolState

MAX_EQUAL_CELLS = 16  # cells of one group that are compared by score

AvailableCount = Callable[[int], int]  # accelerators of a cell that may be allocated


def search_cells(tree: CellTree, index: CellIndex, shape: Shape) -> Iterator[list[int]]:
    """Yield cells that may hold the gang, in groups of equal fragmentation.

    Partially used cells come first, in order of available accelerators, fewest first.
    Then come empty cells, those inside the smallest maximal empty cell first.
    """
    kinds = tree.candidate_kinds(shape)
    for kind in kinds:
        size = tree.kinds[kind].size
        needed = shape.tasks * max(1, shape.accelerators)
        buckets = index.partial[kind]
        for available in range(needed, size):
            if buckets.get(available):
                yield _limit_group(iter(buckets[available]))
    search_order = {
        (tree.kinds[h].size, h, k) for k in kinds for h in tree.containing_kinds(k)
    }
    for _, empty_kind, kind in sorted(search_order):
        if index.maximal[empty_kind]:
            yield _limit_group(_cells_in_empty(tree, index, empty_kind, kind))


def place_in_cell(
    pool_state: PoolState, available: AvailableCount, cell: int, shape: Shape
) -> list[Member] | None:
    """Choose accelerators for all tasks inside a cell.

    :param available: how many accelerators of a cell may be allocated
    :returns: one member per worker, or ``None`` if not all tasks fit
    """
    if _count_fitting_tasks(pool_state, available, cell, shape) < shape.tasks:
        return None
    members: list[Member] = []
    _place_tasks(pool_state, available, cell, shape, members)
    return members


def find_free_members(
    pool_state: PoolState, shape: Shape, score: Callable[[int], float]
) -> list[Member] | None:
    """Place a gang on free accelerators.

    :param score: orders the cells of a group; lower is better
    :returns: one member per worker, or ``None`` if the gang does not fit
    """
    for group in search_cells(pool_state.tree, pool_state.free, shape):
        for cell in sorted(group, key=score):
            members = place_in_cell(pool_state, pool_state.free.available, cell, shape)
            if members is not None:
                return members
    return None


def victims(
    pool_state: PoolState, members: list[Member], shape: Shape
) -> dict[str, None]:
    """Return the ids of the jobs to evict before the members can start.

    They are the keys of a dictionary, in order.
    """
    found: dict[str, None] = {}
    for member in members:
        for accelerator in pool_state.accelerators(member):
            owner = pool_state.owner[accelerator]
            if owner is not None:
                found[owner] = None
        _add_cpu_victims(pool_state, member, shape, found)
    return found


def neighbour_score(pool_state: PoolState, ends_at: float) -> Callable[[int], float]:
    """Score cells by the distance of their neighbours' mean end from a job's end.

    Neighbours are the jobs on the workers of the parent cell, which count only if it
    has at most four workers' accelerators.

    :param ends_at: expected end of the job, in loop seconds
    """
    tree = pool_state.tree

    def score(cell: int) -> float:
        parent = tree.cells[cell].parent
        around = cell if parent < 0 else parent
        if tree.cells[around].size > 4 * tree.max_worker_accelerators:
            return 0.0
        ends = [
            job.started_at + job.expected_s
            for host, _ in tree.hosts_in(around)
            for job in map(pool_state.jobs.__getitem__, pool_state.hosts[host].jobs)
            if job.allocated_accelerators
        ]
        return abs(sum(ends) / len(ends) - ends_at) if ends else 0.0

    return score


def _limit_group(cells: Iterator[int]) -> list[int]:
    return [cell for cell, _ in zip(cells, range(MAX_EQUAL_CELLS), strict=False)]


def _cells_in_empty(
    tree: CellTree, index: CellIndex, empty_kind: int, kind: int
) -> Iterator[int]:
    for cell in index.maximal[empty_kind]:
        yield from tree.cells_inside(cell, kind)


def _count_fitting_tasks(
    pool_state: PoolState, available: AvailableCount, cell: int, shape: Shape
) -> int:
    row = pool_state.tree.cells[cell]
    if pool_state.tree.kinds[row.kind].profile is None:
        return sum(
            _count_fitting_tasks(pool_state, available, child, shape)
            for child in row.children
        )
    per_task = pool_state.accelerators_per_task(
        pool_state.tree.host_of_accelerator[row.start], shape
    )
    return available(cell) // per_task if per_task else 0


def _place_tasks(
    pool_state: PoolState,
    available: AvailableCount,
    cell: int,
    shape: Shape,
    result: list[Member],
) -> None:
    """Place tasks into the best-fitting child, or into the largest until one fits."""
    row = pool_state.tree.cells[cell]
    if pool_state.tree.kinds[row.kind].profile is not None:
        host = pool_state.tree.host_of_accelerator[row.start]
        taken: list[int] = []
        _choose_accelerators(
            pool_state.tree,
            available,
            cell,
            shape.tasks * pool_state.accelerators_per_task(host, shape),
            taken,
        )
        result.append(pool_state.make_member(host, taken, shape.tasks))
        return
    room = {
        child: _count_fitting_tasks(pool_state, available, child, shape)
        for child in row.children
    }
    for child, given in _best_fit(room, shape.tasks):
        _place_tasks(pool_state, available, child, shape._replace(tasks=given), result)


def _choose_accelerators(
    tree: CellTree, available: AvailableCount, cell: int, count: int, result: list[int]
) -> None:
    """Append ``count`` accelerators of a cell to ``result``."""
    row = tree.cells[cell]
    if not row.children:
        result.append(row.start)
        return
    room = {child: available(child) for child in row.children}
    for child, given in _best_fit(room, count):
        _choose_accelerators(tree, available, child, given, result)


def _best_fit(room: dict[int, int], wanted: int) -> Iterator[tuple[int, int]]:
    """Yield the children to use, with the amount to take from each."""
    while wanted:
        fitting = [child for child in room if room[child] >= wanted]
        if fitting:
            yield min(fitting, key=room.__getitem__), wanted
            return
        largest = max(room, key=room.__getitem__)
        given = room.pop(largest)
        wanted -= given
        yield largest, given


def _add_cpu_victims(
    pool_state: PoolState, member: Member, shape: Shape, found: dict[str, None]
) -> None:
    """Add jobs without accelerators until the member's cores and memory suffice.

    Jobs that are victims already come first, then jobs already being evicted.
    """
    usage = pool_state.hosts[member.host]
    cores = usage.free_cores - member.tasks * shape.cores
    memory_gb = usage.free_memory_gb - member.tasks * shape.memory_gb
    jobs = [pool_state.jobs[job_id] for job_id in reversed(usage.jobs)]
    chosen = [job for job in jobs if job.job_id in found]
    evicting = [job for job in jobs if job.evicting and job.job_id not in found]
    others = [
        job
        for job in jobs
        if not (job.protected or job.allocated_accelerators or job.evicting)
    ]
    for job in (*chosen, *evicting, *others):
        if job.job_id not in found and cores >= 0 and memory_gb >= 0:
            return
        found[job.job_id] = None
        cores += usage.jobs[job.job_id] * job.shape.cores
        memory_gb += usage.jobs[job.job_id] * job.shape.memory_gb
