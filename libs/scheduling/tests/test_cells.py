"""Cells are aligned, gangs are adjacent, and whole cells are counted exactly."""

import random

from bilberryhitch_model import Host, Shape
from bilberryhitch_scheduling import CellTree
from bilberryhitch_scheduling.occupancy import CellIndex


def tree(*racks):
    return CellTree(
        Host(f"w{r}-{p}", "worker", "d", "", "live", "", f"r{r}", p, size, 32, 64)
        for r, row in enumerate(racks)
        for p, size in enumerate(row)
    )


def sizes(cells, shape):
    return [cells.kinds[kind].size for kind in cells.candidates(shape)]


def test_gangs_go_to_the_smallest_cells_that_hold_them():
    cells = tree((8,) * 6, (8,) * 6)
    assert sizes(cells, Shape(1, 3)) == [4]
    assert sizes(cells, Shape(2, 8)) == [16]
    assert sizes(cells, Shape(5, 8)) == [48]
    assert sizes(cells, Shape(7, 8)) == [96]


def test_a_task_with_many_cores_occupies_further_accelerators():
    assert sizes(tree((8, 8)), Shape(1, 1, cores=8)) == [2]


def test_single_accelerator_workers_hold_no_block_of_two():
    assert sizes(tree((8, 1, 1, 1)), Shape(1, 2)) == [2]
    assert tree((1, 1)).candidates(Shape(1, 2)) == ()


def test_index_agrees_with_a_count_of_all_cells():
    """Guards against whole cells that drift away from the marks."""
    cells = tree((8,) * 6, (1, 8, 8))
    index = CellIndex(cells)
    rng = random.Random(1)
    taken = set()
    for _ in range(2000):
        accelerator = rng.randrange(cells.accelerators)
        if accelerator in taken:
            index.give([accelerator])
        else:
            index.take([accelerator])
        taken ^= {accelerator}
    for cell in cells.cells:
        inside = taken & set(range(cell.start, cell.start + cell.size))
        assert index.taken[cell.number] == len(inside)
        parent = cell.parent >= 0 and not index.taken[cell.parent]
        assert (cell.number in index.maximal[cell.kind]) == (not inside and not parent)
