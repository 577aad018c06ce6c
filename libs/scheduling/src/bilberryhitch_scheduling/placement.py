"""Where a gang goes.

Placement splits the fewest whole larger cells, then evicts the least work; among
equal cells it takes the one whose neighbours end at a similar time, so that long
and short jobs do not fragment each other's workers.
"""

from collections.abc import Callable, Iterator

from bilberryhitch_model import Member, Shape

from .cells import CellTree
from .fleet import Fleet
from .occupancy import CellIndex

SAMPLE = 16  # equal cells compared by their neighbours' ends or evicted work

Left = Callable[[int], int]  # accelerators of a cell that may be used


def search(tree: CellTree, index: CellIndex, shape: Shape) -> Iterator[list[int]]:
    """Yield cells that may hold the gang, in groups that split equally much.

    First cells that are in use already and have just enough left, then whole cells
    in growing whole surroundings.
    """
    kinds = tree.candidates(shape)
    for kind in kinds:
        size = tree.kinds[kind].size
        needed = shape.tasks * max(1, shape.accelerators)
        buckets = index.partial[kind]
        for left in range(needed, size):
            if buckets.get(left):
                yield _first(iter(buckets[left]))
    around = {(tree.kinds[h].size, h, k) for k in kinds for h in tree.holders(k)}
    for _, holder, kind in sorted(around):
        if index.maximal[holder]:
            yield _first(_inside(tree, index, holder, kind))


def fill(fleet: Fleet, left: Left, cell: int, shape: Shape) -> list[Member] | None:
    """Choose accelerators for all tasks inside a cell.

    :param left: how many accelerators of a cell may be used
    :returns: one member per worker, or ``None`` if not all tasks fit
    """
    if _tasks_in(fleet, left, cell, shape) < shape.tasks:
        return None
    members: list[Member] = []
    _fill_cell(fleet, left, cell, shape, members)
    return members


def free_members(
    fleet: Fleet, shape: Shape, score: Callable[[int], float]
) -> list[Member] | None:
    """Place a gang on accelerators that nobody uses.

    :param score: lower is better among cells that split equally much
    """
    for group in search(fleet.tree, fleet.free, shape):
        for cell in sorted(group, key=score):
            members = fill(fleet, fleet.free.left, cell, shape)
            if members is not None:
                return members
    return None


def victims(fleet: Fleet, members: list[Member], shape: Shape) -> dict[str, None]:
    """Return the borrowers that must go before the members can start."""
    found: dict[str, None] = {}
    for member in members:
        for accelerator in fleet.accelerators(member):
            owner = fleet.owner[accelerator]
            if owner is not None:
                found[owner] = None
        _add_core_victims(fleet, member, shape, found)
    return found


def neighbour_score(fleet: Fleet, ends_at: float) -> Callable[[int], float]:
    """Score cells by how far the ends of their neighbours are from a job's end."""
    tree = fleet.tree

    def score(cell: int) -> float:
        parent = tree.cells[cell].parent
        around = cell if parent < 0 else parent
        if tree.cells[around].size > 4 * tree.worker_size:
            return 0.0
        ends = [
            job.started_at + job.expected_s
            for host, _ in tree.hosts_in(around)
            for job in map(fleet.jobs.__getitem__, fleet.hosts[host].jobs)
            if job.occupied
        ]
        return abs(sum(ends) / len(ends) - ends_at) if ends else 0.0

    return score


def _first(cells: Iterator[int]) -> list[int]:
    return [cell for cell, _ in zip(cells, range(SAMPLE), strict=False)]


def _inside(tree: CellTree, index: CellIndex, holder: int, kind: int) -> Iterator[int]:
    for cell in index.maximal[holder]:
        yield from tree.inside(cell, kind)


def _tasks_in(fleet: Fleet, left: Left, cell: int, shape: Shape) -> int:
    row = fleet.tree.cells[cell]
    if fleet.tree.kinds[row.kind].profile is None:
        return sum(_tasks_in(fleet, left, child, shape) for child in row.children)
    per_task = fleet.per_task(fleet.tree.hosts[row.start], shape)
    return left(cell) // per_task if per_task else 0


def _fill_cell(
    fleet: Fleet, left: Left, cell: int, shape: Shape, to: list[Member]
) -> None:
    """Put tasks into the child that fits best, or the largest ones until one fits."""
    row = fleet.tree.cells[cell]
    if fleet.tree.kinds[row.kind].profile is not None:
        host = fleet.tree.hosts[row.start]
        taken: list[int] = []
        _take(fleet.tree, left, cell, shape.tasks * fleet.per_task(host, shape), taken)
        to.append(fleet.member(host, taken, shape.tasks))
        return
    room = {child: _tasks_in(fleet, left, child, shape) for child in row.children}
    for child, given in _best_fit(room, shape.tasks):
        _fill_cell(fleet, left, child, shape._replace(tasks=given), to)


def _take(tree: CellTree, left: Left, cell: int, count: int, to: list[int]) -> None:
    row = tree.cells[cell]
    if not row.children:
        to.append(row.start)
        return
    room = {child: left(child) for child in row.children}
    for child, given in _best_fit(room, count):
        _take(tree, left, child, given, to)


def _best_fit(room: dict[int, int], wanted: int) -> Iterator[tuple[int, int]]:
    while wanted:
        fitting = [child for child in room if room[child] >= wanted]
        if fitting:
            yield min(fitting, key=room.__getitem__), wanted
            return
        largest = max(room, key=room.__getitem__)
        given = room.pop(largest)
        wanted -= given
        yield largest, given


def _add_core_victims(
    fleet: Fleet, member: Member, shape: Shape, found: dict[str, None]
) -> None:
    """Tasks without accelerators leave while the member's cores are short."""
    use = fleet.hosts[member.host]
    cores = use.cores - member.tasks * shape.cores
    memory_gb = use.memory_gb - member.tasks * shape.memory_gb
    jobs = [fleet.jobs[job_id] for job_id in reversed(use.jobs)]
    going = [job for job in jobs if job.job_id in found]
    evicting = [job for job in jobs if job.evicting and job.job_id not in found]
    others = [job for job in jobs if not (job.firm or job.occupied or job.evicting)]
    for job in (*going, *evicting, *others):
        if job.job_id not in found and cores >= 0 and memory_gb >= 0:
            return
        found[job.job_id] = None
        cores += use.jobs[job.job_id] * job.shape.cores
        memory_gb += use.jobs[job.job_id] * job.shape.memory_gb
