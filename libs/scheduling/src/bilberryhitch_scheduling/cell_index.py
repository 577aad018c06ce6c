"""Index of empty and partially used cells, updated per accelerator."""

from collections.abc import Iterable

from .cells import CellTree


class CellIndex:
    """Counts taken accelerators per cell and finds empty cells by kind.

    An accelerator is taken while it has a mark; a cell is empty when none of its
    accelerators is taken. An update takes time proportional to the depth of the
    tree, and no query scans all cells.

    :ivar taken: number of taken accelerators by cell
    :ivar empty_counts: number of empty cells by kind
    :ivar maximal: empty cells whose parent is not empty, by kind
    :ivar partial: cells that are not empty, by kind and number of available
        accelerators
    :ivar version: changes with every update
    """

    def __init__(self, tree: CellTree) -> None:
        kinds = len(tree.kinds)
        self._tree = tree
        self._mark_counts = [0] * tree.accelerators
        self.taken = [0] * len(tree.cells)
        self.empty_counts = [len(cells) for cells in tree.by_kind]
        self.maximal: list[dict[int, None]] = [{} for _ in range(kinds)]
        self.partial: list[dict[int, dict[int, None]]] = [{} for _ in range(kinds)]
        self.version = 0
        if tree.cells:
            root = tree.cells[-1]
            self.maximal[root.kind][root.number] = None

    def is_taken(self, accelerator: int) -> bool:
        """Return whether the accelerator has a mark."""
        return self._mark_counts[accelerator] > 0

    def mark(self, accelerators: Iterable[int]) -> None:
        """Add one mark to each accelerator; an accelerator can have several."""
        for accelerator in accelerators:
            self._mark_counts[accelerator] += 1
            if self._mark_counts[accelerator] == 1:
                self._mark_taken(accelerator)

    def unmark(self, accelerators: Iterable[int]) -> None:
        """Remove one mark from each accelerator."""
        for accelerator in accelerators:
            self._mark_counts[accelerator] -= 1
            if self._mark_counts[accelerator] == 0:
                self._mark_free(accelerator)

    def available(self, cell: int) -> int:
        """Return how many accelerators of a cell are not taken."""
        return self._tree.cells[cell].size - self.taken[cell]

    def _mark_taken(self, accelerator: int) -> None:
        self.version += 1
        cells = self._tree.cells
        index = self._tree.leaves[accelerator]
        below = -1
        while index >= 0:
            cell = cells[index]
            taken = self.taken[index]
            self.taken[index] = taken + 1
            if taken == 0:
                self.empty_counts[cell.kind] -= 1
                self._split(index, below)
            self._update_partial(index, cell.kind, cell.size, taken)
            below = index
            index = cell.parent

    def _mark_free(self, accelerator: int) -> None:
        self.version += 1
        cells = self._tree.cells
        index = self._tree.leaves[accelerator]
        while index >= 0:
            cell = cells[index]
            taken = self.taken[index]
            self.taken[index] = taken - 1
            if taken == 1:
                self.empty_counts[cell.kind] += 1
                self._merge(index)
            self._update_partial(index, cell.kind, cell.size, taken)
            index = cell.parent

    def _split(self, index: int, below: int) -> None:
        """Update ``maximal`` when a cell stops being empty.

        Its children become maximal, except the one that is not empty either.
        """
        cell = self._tree.cells[index]
        self.maximal[cell.kind].pop(index, None)
        for child in cell.children:
            if child != below:
                self.maximal[self._tree.cells[child].kind][child] = None

    def _merge(self, index: int) -> None:
        """Update ``maximal`` when a cell becomes empty; its children leave it."""
        cell = self._tree.cells[index]
        for child in cell.children:
            self.maximal[self._tree.cells[child].kind].pop(child, None)
        self.maximal[cell.kind][index] = None

    def _update_partial(
        self, index: int, kind: int, size: int, taken_before: int
    ) -> None:
        buckets = self.partial[kind]
        if taken_before:
            buckets[size - taken_before].pop(index, None)
        if self.taken[index]:
            buckets.setdefault(size - self.taken[index], {})[index] = None
