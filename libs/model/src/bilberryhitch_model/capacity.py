"""How many aligned blocks of accelerators the racks of a pool can hold."""

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .hosts import Host

# Groups of adjacent workers that form a cell, largest first.
WORKER_GROUPS = (4, 2)
# A worker's accelerators are cut into aligned blocks of these sizes.
ACCELERATOR_BLOCKS = (4, 2, 1)


class Block(NamedTuple):
    """A cell and the cells it splits into."""

    accelerators: int
    parts: tuple["Block", ...]


def rack_blocks(hosts: Iterable[Host]) -> list[Block]:
    """Return one block for each rack of the given workers."""
    racks: defaultdict[tuple[str, str], list[Host]] = defaultdict(list)
    for host in hosts:
        if host.accelerators > 0:
            racks[host.data_centre, host.rack].append(host)
    return [_joined(_group(rack, WORKER_GROUPS)) for rack in racks.values()]


def misfits(racks: Sequence[Block], sizes: Iterable[int]) -> list[int]:
    """Return the indices of the cells that cannot be held with all the others.

    Largest cells go first, each into the smallest free block that holds it;
    because blocks are nested, no other order places more.

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
        _take(free, free.pop(position), size)
    return missing


def _take(free: list[Block], block: Block, size: int) -> None:
    """Split ``block`` down to the smallest part of at least ``size``."""
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


def _joined(parts: list[Block]) -> Block:
    if len(parts) == 1:
        return parts[0]
    return Block(sum(part.accelerators for part in parts), tuple(parts))


def _group(hosts: list[Host], groups: tuple[int, ...]) -> list[Block]:
    """Return the aligned groups of adjacent workers, and single workers."""
    if not groups:
        return [_worker(host.accelerators) for host in hosts]
    size = groups[0]
    aligned: defaultdict[int, list[Host]] = defaultdict(list)
    for host in hosts:
        aligned[host.position // size].append(host)
    blocks: list[Block] = []
    for members in aligned.values():
        inner = _group(members, groups[1:])
        whole = len({host.position for host in members}) == len(members) == size
        blocks.extend([_joined(inner)] if whole else inner)
    return blocks


def _worker(accelerators: int) -> Block:
    return _joined(_cut(accelerators, ACCELERATOR_BLOCKS))


def _cut(accelerators: int, sizes: tuple[int, ...]) -> list[Block]:
    if sizes[0] == 1:
        return [Block(1, ())] * accelerators
    whole, rest = divmod(accelerators, sizes[0])
    block = _joined(_cut(sizes[0], sizes[1:]))
    return [block] * whole + (_cut(rest, sizes[1:]) if rest else [])
