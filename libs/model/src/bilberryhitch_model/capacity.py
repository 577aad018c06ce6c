"""Check of which guaranteed cells fit into the racks of a pool."""

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .hosts import Host

# Numbers of adjacent workers that form a cell, largest first.
WORKER_GROUPS = (4, 2)
# Sizes of the aligned blocks into which the accelerators of a worker are split.
ACCELERATOR_BLOCKS = (4, 2, 1)


class Block(NamedTuple):
    """A cell of adjacent accelerators.

    :param parts: the smaller cells that it splits into, empty for one accelerator
    """

    accelerators: int
    parts: tuple["Block", ...]


def rack_blocks(hosts: Iterable[Host]) -> list[Block]:
    """Return one block for each rack that has workers with accelerators."""
    racks: defaultdict[tuple[str, str], list[Host]] = defaultdict(list)
    for host in hosts:
        if host.accelerators > 0:
            racks[host.data_centre, host.rack].append(host)
    return [
        _join_parts(_aligned_groups(rack, WORKER_GROUPS)) for rack in racks.values()
    ]


def unplaceable_cells(racks: Sequence[Block], sizes: Iterable[int]) -> list[int]:
    """Return the indices of the cells that do not fit beside the others.

    Cells are placed largest first, each into the smallest free block that holds it.
    Because blocks are nested, no other order places more cells.

    :param sizes: accelerators of each cell
    """
    free = sorted(racks, key=_size)
    missing = []
    numbered = sorted(enumerate(sizes), key=lambda item: -item[1])
    for index, size in numbered:
        position = bisect_left(free, size, key=_size)
        if position == len(free):
            missing.append(index)
            continue
        _split_down_to(free, free.pop(position), size)
    return missing


def _split_down_to(free: list[Block], block: Block, size: int) -> None:
    """Split ``block`` to take its smallest part of at least ``size`` accelerators.

    The remaining parts are added to ``free``.
    """
    while True:
        fitting = [part for part in block.parts if part.accelerators >= size]
        if not fitting:
            return
        chosen = min(fitting, key=_size)
        rest = list(block.parts)
        rest.remove(chosen)
        for part in rest:
            insort(free, part, key=_size)
        block = chosen


def _size(block: Block) -> int:
    return block.accelerators


def _join_parts(parts: list[Block]) -> Block:
    if len(parts) == 1:
        return parts[0]
    return Block(sum(part.accelerators for part in parts), tuple(parts))


def _aligned_groups(hosts: list[Host], groups: tuple[int, ...]) -> list[Block]:
    """Return blocks for the aligned groups of adjacent workers and for the others.

    :param groups: group sizes to try, largest first
    """
    if not groups:
        return [_worker_block(host.accelerators) for host in hosts]
    size = groups[0]
    aligned: defaultdict[int, list[Host]] = defaultdict(list)
    for host in hosts:
        aligned[host.position // size].append(host)
    blocks: list[Block] = []
    for group in aligned.values():
        inner = _aligned_groups(group, groups[1:])
        complete = len({host.position for host in group}) == len(group) == size
        blocks.extend([_join_parts(inner)] if complete else inner)
    return blocks


def _worker_block(accelerators: int) -> Block:
    return _join_parts(_aligned_blocks(accelerators, ACCELERATOR_BLOCKS))


def _aligned_blocks(accelerators: int, sizes: tuple[int, ...]) -> list[Block]:
    if sizes[0] == 1:
        return [Block(1, ())] * accelerators
    whole, rest = divmod(accelerators, sizes[0])
    block = _join_parts(_aligned_blocks(sizes[0], sizes[1:]))
    return [block] * whole + (_aligned_blocks(rest, sizes[1:]) if rest else [])
