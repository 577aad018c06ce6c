"""The cell tree of one data centre and pool.

A cell is an aligned group of adjacent accelerators. Levels: accelerator, aligned
blocks of 2 and 4, worker, aligned groups of 2 and 4 adjacent workers, rack, aligned
groups of adjacent racks, data centre. Cells of equal structure have the same
:class:`CellKind`; guarantees are counted by kind (buddy cells of HiveD, OSDI 2020).
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from bilberryhitch_model import Host, Shape

from .cell_plans import CellPlan, WorkerProfile, plan_data_centre


class CellKind(NamedTuple):
    """Structure of a cell.

    :param size: accelerators in the cell
    :param profile: profile of the worker for a cell within one worker
    :param spans_racks: whether it joins several racks
    :param children: numbers of the kinds of the child cells, in order
    """

    number: int
    size: int
    profile: WorkerProfile | None
    children: tuple[int, ...]
    spans_racks: bool


class Cell(NamedTuple):
    """A cell; it has the accelerators from ``start`` to ``start + size - 1``.

    :param kind: number of its kind
    :param parent: number of the parent cell, -1 at the root
    """

    number: int
    kind: int
    start: int
    size: int
    parent: int
    children: tuple[int, ...]


def effective_accelerators(shape: Shape, profile: WorkerProfile) -> int:
    """Return the accelerators that one task takes on a worker.

    Each accelerator comes with an equal part of its worker's cores and memory, so
    that a guarantee counted in accelerators covers these too. A task that asks for
    more than these parts takes additional accelerators.

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

    :ivar cells: all cells by number; the root is the last one
    :ivar kinds: all kinds of cells by number
    :ivar by_kind: cells of each kind
    :ivar contains: ``contains[k][j]`` cells of kind ``j`` lie inside one of kind ``k``
    :ivar host_of_accelerator: worker of each accelerator
    :ivar first_accelerator: number of the first accelerator of each worker
    :ivar leaves: the smallest cell of each accelerator
    :ivar profiles: resources of each worker
    :ivar max_worker_accelerators: accelerators of the largest worker
    """

    def __init__(self, hosts: Iterable[Host]) -> None:
        self.cells: list[Cell] = []
        self.kinds: list[CellKind] = []
        self.by_kind: list[list[int]] = []
        self.contains: list[dict[int, int]] = []
        self.host_of_accelerator: list[str] = []
        self.first_accelerator: dict[str, int] = {}
        self.leaves: list[int] = []
        self.profiles: dict[str, WorkerProfile] = {}
        self._kind_numbers: dict[tuple[object, ...], int] = {}
        self._capacity: dict[Shape, list[int]] = {}
        self._candidate_kinds: dict[Shape, tuple[int, ...]] = {}
        self._containing_kinds: dict[int, tuple[int, ...]] = {}
        plan = plan_data_centre([host for host in hosts if host.accelerators > 0])
        if plan is not None:
            self._add_cell(plan)
            self._link_parents()
        sizes = [profile.accelerators for profile in self.profiles.values()]
        self.max_worker_accelerators = max(sizes, default=0)

    @property
    def accelerators(self) -> int:
        """Number of accelerators in the tree."""
        return len(self.host_of_accelerator)

    def accelerators_of(self, host: str) -> range:
        """Return the accelerators of a worker, empty if it has none."""
        start = self.first_accelerator.get(host)
        if start is None:
            return range(0)
        return range(start, start + self.profiles[host].accelerators)

    def hosts_in(self, cell: int) -> Iterator[tuple[str, range]]:
        """Yield the workers that a cell overlaps, with its accelerators on each."""
        start, end = (
            self.cells[cell].start,
            self.cells[cell].start + self.cells[cell].size,
        )
        while start < end:
            host = self.host_of_accelerator[start]
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

    def candidate_kinds(self, shape: Shape) -> tuple[int, ...]:
        """Return the smallest kinds of cells that can hold the gang, small first.

        A gang must lie in one cell of such a kind. A gang that no rack can hold may
        use any group of adjacent racks that can: the smallest aligned group may be a
        large part of the data centre and is rarely free.
        """
        found = self._candidate_kinds.get(shape)
        if found is None:
            capacity = self.capacity(shape)
            holding = [k for k in self.kinds if capacity[k.number] >= shape.tasks]
            kinds = [
                kind
                for kind in holding
                if all(capacity[child] < shape.tasks for child in kind.children)
            ]
            if all(kind.spans_racks for kind in kinds):
                kinds = holding
            kinds.sort(key=lambda kind: (kind.size, kind.number))
            found = tuple(kind.number for kind in kinds)
            self._candidate_kinds[shape] = found
        return found

    def containing_kinds(self, kind: int) -> tuple[int, ...]:
        """Return a kind and the kinds that contain it, small first."""
        found = self._containing_kinds.get(kind)
        if found is None:
            kinds = [
                k
                for k in self.kinds
                if k.number == kind or kind in self.contains[k.number]
            ]
            kinds.sort(key=lambda k: (k.size, k.number))
            found = self._containing_kinds[kind] = tuple(k.number for k in kinds)
        return found

    def guarantee_shape(self, accelerators: int) -> Shape:
        """Return the shape that a guaranteed cell must be able to hold.

        Up to the size of the largest worker, the cell is a block within one worker,
        so that one task can use all of it. A larger cell consists of such workers.

        :param accelerators: size of the guaranteed cell
        """
        largest = max(1, self.max_worker_accelerators)
        if accelerators <= largest:
            return Shape(tasks=1, accelerators=accelerators, cores=0, memory_gb=0)
        tasks = -(-accelerators // largest)
        return Shape(tasks=tasks, accelerators=largest, cores=0, memory_gb=0)

    def cells_inside(self, cell: int, kind: int) -> Iterator[int]:
        """Yield the cells of a kind inside a cell, the cell itself included."""
        if self.cells[cell].kind == kind:
            yield cell
            return
        for child in self.cells[cell].children:
            child_kind = self.cells[child].kind
            if child_kind == kind or kind in self.contains[child_kind]:
                yield from self.cells_inside(child, kind)

    def _kind_capacity(self, kind: CellKind, shape: Shape, found: list[int]) -> int:
        if kind.profile is None:
            return sum(found[child] for child in kind.children)
        needed = effective_accelerators(shape, kind.profile)
        return kind.size // needed if needed else 0

    def _add_cell(self, plan: CellPlan) -> int:
        start = len(self.host_of_accelerator)
        if not plan.children:
            host = plan.hosts[0]
            self.first_accelerator.setdefault(host.name, start)
            self.host_of_accelerator.append(host.name)
            self.leaves.append(len(self.cells))
        children = tuple(self._add_cell(child) for child in plan.children)
        if plan.profile is not None:
            self.profiles.setdefault(plan.hosts[0].name, plan.profile)
        kinds = tuple(self.cells[child].kind for child in children)
        kind = self._kind_number(plan, kinds)
        cell = Cell(len(self.cells), kind, start, plan.size, -1, children)
        self.cells.append(cell)
        self.by_kind[kind].append(cell.number)
        return cell.number

    def _kind_number(self, plan: CellPlan, children: tuple[int, ...]) -> int:
        key = (plan.spans_racks, plan.size, plan.profile, children)
        kind = self._kind_numbers.get(key)
        if kind is None:
            kind = self._kind_numbers[key] = len(self.kinds)
            self.kinds.append(
                CellKind(kind, plan.size, plan.profile, children, plan.spans_racks)
            )
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
