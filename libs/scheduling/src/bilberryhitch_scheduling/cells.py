"""The cell tree of one data centre and pool.

Levels: accelerator, aligned blocks of 2 and 4, worker, aligned pairs and quads of
adjacent workers, rack, aligned groups of adjacent racks, data centre. Two cells of
equal structure have the same :class:`CellKind`; guarantees are counted by kind
(buddy cells, HiveD, OSDI 2020).
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from bilberryhitch_model import Host, Shape

from .cell_plans import CellPlan, Profile, plan_data_centre


class CellKind(NamedTuple):
    """Structure of a cell.

    :param size: accelerators in the cell
    :param profile: the worker's profile for a cell within one worker
    :param children: numbers of the kinds of the child cells, in order
    """

    number: int
    size: int
    profile: Profile | None
    children: tuple[int, ...]


class Cell(NamedTuple):
    """A cell; its accelerators are ``start`` up to ``start + size``.

    :param parent: number of the parent cell, -1 at the root
    """

    number: int
    kind: int
    start: int
    size: int
    parent: int
    children: tuple[int, ...]


def effective_accelerators(shape: Shape, profile: Profile) -> int:
    """Accelerators that one task occupies on a worker.

    Each accelerator stands for an equal part of its worker's cores and memory, so
    that a guarantee counted in accelerators covers them too. A task that asks for
    more than its part occupies further accelerators.

    :returns: 0 if the task does not fit on such a worker
    """
    accelerators, cores, memory_gb = profile
    needed = max(1, shape.accelerators)
    if shape.cores > cores or shape.memory_gb > memory_gb:
        return 0
    needed = max(needed, -(-shape.cores * accelerators // max(1, cores)))
    needed = max(needed, -(-shape.memory_gb * accelerators // max(1, memory_gb)))
    return needed if needed <= accelerators else 0


class CellTree:
    """Cells over the workers that have accelerators.

    :ivar cells: all cells; the root is the last one
    :ivar kinds: all kinds of cells
    :ivar contains: ``contains[k][j]`` cells of kind ``j`` lie inside one of kind ``k``
    :ivar hosts: the worker of each accelerator
    :ivar first: the first accelerator of each worker
    :ivar leaves: the smallest cell of each accelerator
    """

    def __init__(self, hosts: Iterable[Host]) -> None:
        self.cells: list[Cell] = []
        self.kinds: list[CellKind] = []
        self.by_kind: list[list[int]] = []
        self.contains: list[dict[int, int]] = []
        self.hosts: list[str] = []
        self.first: dict[str, int] = {}
        self.leaves: list[int] = []
        self.profiles: dict[str, Profile] = {}
        self._interned: dict[tuple[int, Profile | None, tuple[int, ...]], int] = {}
        self._capacity: dict[Shape, list[int]] = {}
        self._candidates: dict[Shape, tuple[int, ...]] = {}
        self._holders: dict[int, tuple[int, ...]] = {}
        plan = plan_data_centre([host for host in hosts if host.accelerators > 0])
        if plan is not None:
            self._number(plan)
            self._link_parents()

    @property
    def accelerators(self) -> int:
        """Accelerators in the tree."""
        return len(self.hosts)

    @property
    def worker_size(self) -> int:
        """Accelerators of the largest worker."""
        return max(
            (profile.accelerators for profile in self.profiles.values()), default=0
        )

    def accelerators_of(self, host: str) -> range:
        """Return the accelerators of a worker."""
        start = self.first.get(host)
        if start is None:
            return range(0)
        return range(start, start + self.profiles[host].accelerators)

    def hosts_in(self, cell: int) -> Iterator[tuple[str, range]]:
        """Yield the workers that a cell touches, with its accelerators there."""
        start, end = (
            self.cells[cell].start,
            self.cells[cell].start + self.cells[cell].size,
        )
        while start < end:
            host = self.hosts[start]
            stop = min(end, self.accelerators_of(host).stop)
            yield host, range(start, stop)
            start = stop

    def capacity(self, shape: Shape) -> list[int]:
        """Return how many tasks of the shape an empty cell of each kind holds."""
        per_task = shape._replace(tasks=1)
        found = self._capacity.get(per_task)
        if found is None:
            found = []
            for kind in self.kinds:
                found.append(self._kind_capacity(kind, per_task, found))
            self._capacity[per_task] = found
        return found

    def candidates(self, shape: Shape) -> tuple[int, ...]:
        """Return the smallest kinds of cells that can hold the gang, small first.

        A gang is adjacent when it lies in one cell of such a kind.
        """
        found = self._candidates.get(shape)
        if found is None:
            capacity = self.capacity(shape)
            kinds = [
                kind
                for kind in self.kinds
                if capacity[kind.number] >= shape.tasks
                and all(capacity[child] < shape.tasks for child in kind.children)
            ]
            kinds.sort(key=lambda kind: (kind.size, kind.number))
            found = tuple(kind.number for kind in kinds)
            self._candidates[shape] = found
        return found

    def holders(self, kind: int) -> tuple[int, ...]:
        """Return the kinds that are or contain a kind, small first."""
        found = self._holders.get(kind)
        if found is None:
            kinds = [
                k
                for k in self.kinds
                if k.number == kind or kind in self.contains[k.number]
            ]
            kinds.sort(key=lambda k: (k.size, k.number))
            found = self._holders[kind] = tuple(k.number for k in kinds)
        return found

    def guarantee_shape(self, accelerators: int) -> Shape:
        """Return the gang that stands for a guaranteed cell.

        Up to the largest worker's size the cell is a block within one worker, so
        that one task can use all of it; above, it is made of whole such workers.
        """
        largest = max(1, self.worker_size)
        if accelerators <= largest:
            return Shape(tasks=1, accelerators=accelerators, cores=0, memory_gb=0)
        tasks = -(-accelerators // largest)
        return Shape(tasks=tasks, accelerators=largest, cores=0, memory_gb=0)

    def inside(self, cell: int, kind: int) -> Iterator[int]:
        """Yield the cells of a kind inside a cell, including itself."""
        if self.cells[cell].kind == kind:
            yield cell
            return
        for child in self.cells[cell].children:
            child_kind = self.cells[child].kind
            if child_kind == kind or kind in self.contains[child_kind]:
                yield from self.inside(child, kind)

    def _kind_capacity(self, kind: CellKind, shape: Shape, found: list[int]) -> int:
        if kind.profile is None:
            return sum(found[child] for child in kind.children)
        needed = effective_accelerators(shape, kind.profile)
        return kind.size // needed if needed else 0

    def _number(self, plan: CellPlan) -> int:
        start = len(self.hosts)
        if not plan.children:
            host = plan.hosts[0]
            self.first.setdefault(host.name, start)
            self.hosts.append(host.name)
            self.leaves.append(len(self.cells))
        children = tuple(self._number(child) for child in plan.children)
        if plan.profile is not None:
            self.profiles.setdefault(plan.hosts[0].name, plan.profile)
        kinds = tuple(self.cells[child].kind for child in children)
        kind = self._intern(plan, kinds)
        cell = Cell(len(self.cells), kind, start, plan.size, -1, children)
        self.cells.append(cell)
        self.by_kind[kind].append(cell.number)
        return cell.number

    def _intern(self, plan: CellPlan, children: tuple[int, ...]) -> int:
        key = (plan.size, plan.profile, children)
        kind = self._interned.get(key)
        if kind is None:
            kind = self._interned[key] = len(self.kinds)
            self.kinds.append(CellKind(kind, plan.size, plan.profile, children))
            self.by_kind.append([])
            inside: dict[int, int] = {}
            for child in children:
                inside[child] = inside.get(child, 0) + 1
                for below, count in self.contains[child].items():
                    inside[below] = inside.get(below, 0) + count
            self.contains.append(inside)
        return kind

    def _link_parents(self) -> None:
        for cell in list(self.cells):
            for child in cell.children:
                self.cells[child] = self.cells[child]._replace(parent=cell.number)
