"""Guaranteed cells: late binding and the invariant that they can be reclaimed.

A guarantee is a number of cells without fixed locations. When one of its jobs needs a
cell, a location is bound; it is unbound when the last job in the cell ends (HiveD,
OSDI 2020).
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from bilberryhitch_model import Guarantee, GuaranteeShortfall, Shape

from .cell_index import CellIndex
from .cells import CellTree


class GuaranteeKey(NamedTuple):
    """Identifies a guarantee; rows of one account with equal cell size are merged.

    :param accelerators: size of each cell
    """

    client_account: str
    accelerators: int


class BoundCell:
    """A guaranteed cell that is bound to a cell of the tree.

    :ivar cell: number of the cell in the tree
    :ivar jobs: ids of the account's jobs that run in it or wait for evictions in it
    """

    __slots__ = ("cell", "jobs", "key")

    def __init__(self, key: GuaranteeKey, cell: int) -> None:
        self.key = key
        self.cell = cell
        self.jobs: dict[str, None] = {}


class _SizeClass:
    """All guarantees with cells of one size, in table order.

    :ivar kinds: kinds of cells that can hold such a guaranteed cell
    :ivar counts: number of guaranteed cells by guarantee
    """

    __slots__ = ("counts", "kinds", "shape", "size")

    def __init__(self, tree: CellTree, size: int) -> None:
        self.size = size
        self.shape: Shape = tree.guarantee_shape(size)
        self.kinds = tree.candidate_kinds(self.shape)
        self.counts: dict[GuaranteeKey, int] = {}


class GuaranteedCells:
    """Which guaranteed cells exist, which are bound, and which can still be provided.

    Invariant: all unbound cells, except those reported as missing, fit at the same
    time into cells that are free or used only by borrowers (the empty cells of
    ``reclaimable``). Cells of one kind have equal contents, so it suffices to count
    cells by kind, largest guarantee first. The count is exact if the smallest fitting
    kind is contained in every larger one. For racks with gaps between the positions of
    workers it may be too low, never too high.

    :param reclaimable: index in which accelerators are marked that protected jobs use,
        that lie in bound cells, or whose hosts take no new work
    """

    def __init__(
        self, tree: CellTree, reclaimable: CellIndex, rows: Sequence[Guarantee]
    ) -> None:
        self._tree = tree
        self._reclaimable = reclaimable
        self._bound_by_key: dict[GuaranteeKey, list[BoundCell]] = {}
        self._bound_by_cell: dict[int, BoundCell] = {}
        self._size_classes: list[_SizeClass] = []
        self._counts: dict[GuaranteeKey, int] = {}
        self._by_account: dict[str, list[GuaranteeKey]] = {}
        self._change_count = 0
        self._cached_shortage: tuple[int, int, tuple[int, ...]] = (-1, -1, ())
        self.set_rows(rows)

    @property
    def accounts(self) -> Iterable[str]:
        """Client accounts that have a guarantee."""
        return self._by_account.keys()

    def set_rows(self, rows: Sequence[Guarantee]) -> None:
        """Replace the guarantees; bound cells stay bound until their jobs end."""
        self._counts = {}
        self._by_account = {}
        for row in rows:
            key = GuaranteeKey(row.client_account, row.accelerators)
            if key not in self._counts:
                self._by_account.setdefault(row.client_account, []).append(key)
            self._counts[key] = self._counts.get(key, 0) + row.cells
        size_classes: dict[int, _SizeClass] = {}
        for key, count in self._counts.items():
            size = key.accelerators
            size_class = size_classes.get(size) or size_classes.setdefault(
                size, _SizeClass(self._tree, size)
            )
            size_class.counts[key] = count
        self._size_classes = [
            size_classes[size] for size in sorted(size_classes, reverse=True)
        ]
        self._change_count += 1

    def guaranteed_accelerators(self, client_account: str) -> int:
        """Return the number of accelerators guaranteed to an account."""
        keys = self._by_account.get(client_account, [])
        return sum(key.accelerators * self._counts[key] for key in keys)

    def keys(self, client_account: str) -> list[GuaranteeKey]:
        """Return the guarantees of an account, smallest cells first."""
        return sorted(self._by_account.get(client_account, []))

    def cell_kinds(self, key: GuaranteeKey) -> tuple[int, ...]:
        """Return the kinds of cells that can hold the guarantee."""
        return self._tree.candidate_kinds(self._tree.guarantee_shape(key.accelerators))

    def usable_cells(self, key: GuaranteeKey) -> list[BoundCell]:
        """Return the bound cells that may take further jobs of their account.

        After a guarantee was reduced, the bound cells beyond its count take none.
        """
        return self._bound_by_key.get(key, [])[: self._counts.get(key, 0)]

    def allowed_accelerators(self, key: GuaranteeKey) -> int:
        """Return the number of accelerators of all cells of a guarantee."""
        return self._counts.get(key, 0) * key.accelerators

    def bound_cells_of(self, key: GuaranteeKey) -> list[BoundCell]:
        """Return the bound cells of a guarantee, including those beyond its count."""
        return self._bound_by_key.get(key, [])

    def bound_cells(self) -> list[BoundCell]:
        """Return all bound cells."""
        return list(self._bound_by_cell.values())

    def unbound_count(self, key: GuaranteeKey) -> int:
        """Return how many cells of a guarantee are not bound."""
        return max(0, self._counts.get(key, 0) - len(self._bound_by_key.get(key, ())))

    def can_bind(self, key: GuaranteeKey) -> bool:
        """Return whether the guarantee has an unbound cell that is not missing."""
        if self.unbound_count(key) == 0:
            return False
        for index, size_class in enumerate(self._size_classes):
            if size_class.size == key.accelerators:
                missing = self._missing_by_key(size_class, self.shortage()[index])
                return self.unbound_count(key) > missing.get(key, 0)
        return False

    def bind(self, key: GuaranteeKey, cell: int) -> BoundCell:
        """Bind an unbound cell of the guarantee to a cell of the tree."""
        bound = BoundCell(key, cell)
        self._bound_by_key.setdefault(key, []).append(bound)
        self._bound_by_cell[cell] = bound
        self._reclaimable.mark(self._accelerators_in(cell))
        self._change_count += 1
        return bound

    def unbind(self, bound: BoundCell) -> None:
        """Return a bound cell to the unbound cells of its guarantee."""
        self._bound_by_key[bound.key].remove(bound)
        del self._bound_by_cell[bound.cell]
        self._reclaimable.unmark(self._accelerators_in(bound.cell))
        self._change_count += 1

    def bound_cell_around(self, cell: int) -> BoundCell | None:
        """Return the bound cell that is or contains a cell, or ``None``."""
        while cell >= 0:
            if cell in self._bound_by_cell:
                return self._bound_by_cell[cell]
            cell = self._tree.cells[cell].parent
        return None

    def shortage(self) -> tuple[int, ...]:
        """Return how many unbound cells do not fit, per cell size, large first."""
        changes, version, found = self._cached_shortage
        if changes == self._change_count and version == self._reclaimable.version:
            return found
        found = self._count_shortage()
        self._cached_shortage = (self._change_count, self._reclaimable.version, found)
        return found

    def shortfall(self, data_centre: str) -> list[GuaranteeShortfall]:
        """Return the guaranteed cells that cannot be provided at present.

        Cells are provided largest first, within a size in table order.
        """
        found = []
        for size_class, shortage in zip(
            self._size_classes, self.shortage(), strict=True
        ):
            for key, count in self._missing_by_key(size_class, shortage).items():
                row = GuaranteeShortfall(
                    key.client_account, data_centre, key.accelerators, count
                )
                found.append(row)
        return found

    def _count_shortage(self) -> tuple[int, ...]:
        used: dict[int, int] = {}
        found = []
        for size_class in self._size_classes:
            wanted = sum(self.unbound_count(key) for key in size_class.counts)
            for kind in size_class.kinds:
                if not wanted:
                    break
                free = self._reclaimable.empty_counts[kind] - used.get(kind, 0)
                taken = min(wanted, max(0, free))
                wanted -= taken
                if taken:
                    used[kind] = used.get(kind, 0) + taken
                    for inside, count in self._tree.contains[kind].items():
                        used[inside] = used.get(inside, 0) + taken * count
            found.append(wanted)
        return tuple(found)

    def _missing_by_key(
        self, size_class: _SizeClass, shortage: int
    ) -> dict[GuaranteeKey, int]:
        """Return the missing cells by guarantee, taken from the last rows first."""
        missing: dict[GuaranteeKey, int] = {}
        for key in reversed(size_class.counts):
            if not shortage:
                break
            given = min(shortage, self.unbound_count(key))
            shortage -= given
            if given:
                missing[key] = given
        return missing

    def _accelerators_in(self, cell: int) -> range:
        start = self._tree.cells[cell].start
        return range(start, start + self._tree.cells[cell].size)
