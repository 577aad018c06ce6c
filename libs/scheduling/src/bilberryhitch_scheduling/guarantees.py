"""Guaranteed cells: late binding and the reclaim invariant.

A guarantee holds a number of cells but no place until one of its jobs starts; then
one cell is bound, and released when its last job ends (HiveD, OSDI 2020).
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from bilberryhitch_model import Guarantee, GuaranteeShortfall, Shape

from .cells import CellTree
from .occupancy import CellIndex


class GuaranteeKey(NamedTuple):
    """Guarantees of one account with cells of one size count as one."""

    client_account: str
    accelerators: int


class BoundCell:
    """A guaranteed cell that is bound to a place.

    :ivar jobs: the account's jobs that run in it or wait for it to be cleared
    """

    __slots__ = ("cell", "jobs", "key")

    def __init__(self, key: GuaranteeKey, cell: int) -> None:
        self.key = key
        self.cell = cell
        self.jobs: dict[str, None] = {}


class _Need:
    """All guarantees with cells of one size, in table order."""

    __slots__ = ("kinds", "rows", "shape", "size")

    def __init__(self, tree: CellTree, size: int) -> None:
        self.size = size
        self.shape: Shape = tree.guarantee_shape(size)
        self.kinds = tree.candidates(self.shape)
        self.rows: dict[GuaranteeKey, int] = {}


class Guarantees:
    """Which guaranteed cells exist, are bound, and can still be held.

    The invariant: the unbound cells that are kept all fit, at the same time, into
    cells that nothing but borrowers use (those whole in ``clear``). Cells of one kind
    have equal contents, so counting cells by kind, largest guarantee first, decides
    it exactly as long as the smallest fitting kind is contained in every larger one;
    for racks with holes the count may be too low, never too high.

    :param clear: marks accelerators used by jobs that cannot be evicted, accelerators
        of bound cells, and those of hosts that take no work
    """

    def __init__(
        self, tree: CellTree, clear: CellIndex, rows: Sequence[Guarantee]
    ) -> None:
        self._tree = tree
        self._clear = clear
        self._bound: dict[GuaranteeKey, list[BoundCell]] = {}
        self._at: dict[int, BoundCell] = {}
        self._needs: list[_Need] = []
        self._counts: dict[GuaranteeKey, int] = {}
        self._by_account: dict[str, list[GuaranteeKey]] = {}
        self._changes = 0
        self._cached: tuple[int, int, tuple[int, ...]] = (-1, -1, ())
        self.set_rows(rows)

    @property
    def accounts(self) -> Iterable[str]:
        """Accounts with a guarantee."""
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
        needs: dict[int, _Need] = {}
        for key, count in self._counts.items():
            size = key.accelerators
            need = needs.get(size) or needs.setdefault(size, _Need(self._tree, size))
            need.rows[key] = count
        self._needs = [needs[size] for size in sorted(needs, reverse=True)]
        self._changes += 1

    def guaranteed(self, client_account: str) -> int:
        """Return the accelerators guaranteed to an account."""
        keys = self._by_account.get(client_account, [])
        return sum(key.accelerators * self._counts[key] for key in keys)

    def keys(self, client_account: str) -> list[GuaranteeKey]:
        """Return the guarantees of an account, small cells first."""
        return sorted(self._by_account.get(client_account, []))

    def kinds(self, key: GuaranteeKey) -> tuple[int, ...]:
        """Return the kinds of cells that can hold the guarantee."""
        return self._tree.candidates(self._tree.guarantee_shape(key.accelerators))

    def usable(self, key: GuaranteeKey) -> list[BoundCell]:
        """Return the bound cells that may take further jobs of their account.

        After a guarantee shrank, the cells beyond its new count take none.
        """
        return self._bound.get(key, [])[: self._counts.get(key, 0)]

    def allowed(self, key: GuaranteeKey) -> int:
        """Return the accelerators that a guarantee allows in all its cells."""
        return self._counts.get(key, 0) * key.accelerators

    def bound_to(self, key: GuaranteeKey) -> list[BoundCell]:
        """Return the bound cells of a guarantee, also those beyond its count."""
        return self._bound.get(key, [])

    def bound(self) -> list[BoundCell]:
        """Return all bound cells."""
        return list(self._at.values())

    def unbound(self, key: GuaranteeKey) -> int:
        """Return how many cells of a guarantee are not bound."""
        return max(0, self._counts.get(key, 0) - len(self._bound.get(key, ())))

    def can_bind(self, key: GuaranteeKey) -> bool:
        """Return whether the guarantee has an unbound cell that is kept."""
        if self.unbound(key) == 0:
            return False
        for index, need in enumerate(self._needs):
            if need.size == key.accelerators:
                missing = self._missing_of(need, self.shortage()[index])
                return self.unbound(key) > missing.get(key, 0)
        return False

    def bind(self, key: GuaranteeKey, cell: int) -> BoundCell:
        """Bind an unbound cell of the guarantee to a place."""
        bound = BoundCell(key, cell)
        self._bound.setdefault(key, []).append(bound)
        self._at[cell] = bound
        self._clear.take(self._range(cell))
        self._changes += 1
        return bound

    def unbind(self, bound: BoundCell) -> None:
        """Release a bound cell."""
        self._bound[bound.key].remove(bound)
        del self._at[bound.cell]
        self._clear.give(self._range(bound.cell))
        self._changes += 1

    def bound_at(self, cell: int) -> BoundCell | None:
        """Return the bound cell that is, or lies around, a cell."""
        while cell >= 0:
            if cell in self._at:
                return self._at[cell]
            cell = self._tree.cells[cell].parent
        return None

    def shortage(self) -> tuple[int, ...]:
        """Return the unbound cells that do not fit, per cell size, large first."""
        changes, version, found = self._cached
        if changes == self._changes and version == self._clear.version:
            return found
        found = self._count_shortage()
        self._cached = (self._changes, self._clear.version, found)
        return found

    def shortfall(self, data_centre: str) -> list[GuaranteeShortfall]:
        """Return what the rule "largest first, in table order" gives up."""
        found = []
        for need, short in zip(self._needs, self.shortage(), strict=True):
            for key, count in self._missing_of(need, short).items():
                row = GuaranteeShortfall(
                    key.client_account, data_centre, key.accelerators, count
                )
                found.append(row)
        return found

    def _count_shortage(self) -> tuple[int, ...]:
        used: dict[int, int] = {}
        found = []
        for need in self._needs:
            wanted = sum(self.unbound(key) for key in need.rows)
            for kind in need.kinds:
                if not wanted:
                    break
                free = self._clear.whole[kind] - used.get(kind, 0)
                taken = min(wanted, max(0, free))
                wanted -= taken
                if taken:
                    used[kind] = used.get(kind, 0) + taken
                    for inside, count in self._tree.contains[kind].items():
                        used[inside] = used.get(inside, 0) + taken * count
            found.append(wanted)
        return tuple(found)

    def _missing_of(self, need: _Need, short: int) -> dict[GuaranteeKey, int]:
        """The last rows of the table give up their cells first."""
        missing: dict[GuaranteeKey, int] = {}
        for key in reversed(need.rows):
            if not short:
                break
            given = min(short, self.unbound(key))
            short -= given
            if given:
                missing[key] = given
        return missing

    def _range(self, cell: int) -> range:
        start = self._tree.cells[cell].start
        return range(start, start + self._tree.cells[cell].size)
