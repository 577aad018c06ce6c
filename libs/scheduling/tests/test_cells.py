"""Tests of the cell tree and of the index of empty cells."""

import random

from bilberryhitch_model import Host, Shape
from bilberryhitch_scheduling import CellTree
from bilberryhitch_scheduling.cell_index import CellIndex


def make_tree(*racks):
    return CellTree(
        Host(f"w{r}-{p}", "worker", "d", "", "live", "", f"r{r}", p, size, 32, 64)
        for r, row in enumerate(racks)
        for p, size in enumerate(row)
    )


def candidate_sizes(tree, shape):
    return [tree.kinds[kind].size for kind in tree.candidate_kinds(shape)]


def test_candidate_cells_are_the_smallest_that_hold_the_gang():
    tree = make_tree((8,) * 6, (8,) * 6)
    assert candidate_sizes(tree, Shape(1, 3)) == [4]
    assert candidate_sizes(tree, Shape(2, 8)) == [16]
    assert candidate_sizes(tree, Shape(5, 8)) == [48]
    assert candidate_sizes(tree, Shape(7, 8)) == [96]


def test_a_task_with_many_cores_takes_additional_accelerators():
    assert candidate_sizes(make_tree((8, 8)), Shape(1, 1, cores=8)) == [2]


def test_single_accelerator_workers_hold_no_block_of_two():
    assert candidate_sizes(make_tree((8, 1, 1, 1)), Shape(1, 2)) == [2]
    assert make_tree((1, 1)).candidate_kinds(Shape(1, 2)) == ()


def test_index_matches_a_full_count_of_all_cells():
    """Guards against incremental updates that leave the index inconsistent."""
    tree = make_tree((8,) * 6, (1, 8, 8))
    index = CellIndex(tree)
    rng = random.Random(1)
    taken = set()
    for _ in range(2000):
        accelerator = rng.randrange(tree.accelerators)
        if accelerator in taken:
            index.unmark([accelerator])
        else:
            index.mark([accelerator])
        taken ^= {accelerator}
    for cell in tree.cells:
        inside = taken & set(range(cell.start, cell.start + cell.size))
        assert index.taken[cell.number] == len(inside)
        parent_empty = cell.parent >= 0 and not index.taken[cell.parent]
        assert (cell.number in index.maximal[cell.kind]) == (
            not inside and not parent_empty
        )
