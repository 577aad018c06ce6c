"""Which cells are whole, kept up to date per accelerator."""

from collections.abc import Iterable

from .cells import CellTree


class CellIndex:
    """Counts taken accelerators per cell and finds whole cells by kind.

    A cell is whole when none of its accelerators is taken. An update costs the
    depth of the tree; no query looks at all cells.

    :ivar taken: accelerators taken in each cell
    :ivar whole: number of whole cells of each kind
    :ivar maximal: whole cells whose parent is not whole, by kind
    :ivar partial: cells by kind and number of accelerators left, if not whole
    :ivar version: changes with every update
    """

    def __init__(self, tree: CellTree) -> None:
        kinds = len(tree.kinds)
        self._tree = tree
        self._marks = [0] * tree.accelerators
        self.taken = [0] * len(tree.cells)
        self.whole = [len(cells) for cells in tree.by_kind]
        self.maximal: list[dict[int, None]] = [{} for _ in range(kinds)]
        self.partial: list[dict[int, dict[int, None]]] = [{} for _ in range(kinds)]
        self.version = 0
        if tree.cells:
            root = tree.cells[-1]
            self.maximal[root.kind][root.number] = None

    def is_taken(self, accelerator: int) -> bool:
        """Return whether any mark is on the accelerator."""
        return self._marks[accelerator] > 0

    def take(self, accelerators: Iterable[int]) -> None:
        """Mark accelerators; marks on one accelerator add up."""
        for accelerator in accelerators:
            self._marks[accelerator] += 1
            if self._marks[accelerator] == 1:
                self._take(accelerator)

    def give(self, accelerators: Iterable[int]) -> None:
        """Remove one mark from each accelerator."""
        for accelerator in accelerators:
            self._marks[accelerator] -= 1
            if self._marks[accelerator] == 0:
                self._give(accelerator)

    def left(self, cell: int) -> int:
        """Return how many accelerators of a cell are not taken."""
        return self._tree.cells[cell].size - self.taken[cell]

    def _take(self, accelerator: int) -> None:
        self.version += 1
        cells = self._tree.cells
        index = self._tree.leaves[accelerator]
        below = -1
        while index >= 0:
            cell = cells[index]
            taken = self.taken[index]
            self.taken[index] = taken + 1
            if taken == 0:
                self.whole[cell.kind] -= 1
                self._split(index, below)
            self._move(index, cell.kind, cell.size, taken)
            below = index
            index = cell.parent

    def _give(self, accelerator: int) -> None:
        self.version += 1
        cells = self._tree.cells
        index = self._tree.leaves[accelerator]
        while index >= 0:
            cell = cells[index]
            taken = self.taken[index]
            self.taken[index] = taken - 1
            if taken == 1:
                self.whole[cell.kind] += 1
                self._merge(index)
            self._move(index, cell.kind, cell.size, taken)
            index = cell.parent

    def _split(self, index: int, below: int) -> None:
        """A whole cell is whole no more; its other children become maximal."""
        cell = self._tree.cells[index]
        self.maximal[cell.kind].pop(index, None)
        for child in cell.children:
            if child != below:
                self.maximal[self._tree.cells[child].kind][child] = None

    def _merge(self, index: int) -> None:
        """A cell became whole; its children are maximal no more."""
        cell = self._tree.cells[index]
        for child in cell.children:
            self.maximal[self._tree.cells[child].kind].pop(child, None)
        self.maximal[cell.kind][index] = None

    def _move(self, index: int, kind: int, size: int, taken_before: int) -> None:
        buckets = self.partial[kind]
        if taken_before:
            buckets[size - taken_before].pop(index, None)
        if self.taken[index]:
            buckets.setdefault(size - self.taken[index], {})[index] = None
