"""Grouping of the workers of a data centre into a tree of cells."""

import re
from collections.abc import Sequence
from typing import NamedTuple

from bilberryhitch_model import Host


class WorkerProfile(NamedTuple):
    """Resources of a worker; workers of equal profile have cells of equal structure."""

    accelerators: int
    cores: int
    memory_gb: int


class CellPlan(NamedTuple):
    """A cell before it is numbered.

    :param profile: profile of the worker for a cell within one worker
    :param size: accelerators in the cell
    :param spans_racks: whether it joins several racks
    """

    profile: WorkerProfile | None
    children: "tuple[CellPlan, ...]"
    hosts: tuple[Host, ...]
    size: int
    spans_racks: bool = False


def plan_data_centre(hosts: list[Host]) -> CellPlan | None:
    """Return the cells of a data centre, or ``None`` without workers.

    Racks are sorted by name and joined into aligned groups of adjacent racks.
    """
    racks: dict[str, list[Host]] = {}
    for host in hosts:
        racks.setdefault(host.rack, []).append(host)
    level = [_plan_rack(racks[name]) for name in sorted(racks, key=_natural_sort_key)]
    while len(level) > 1:
        pairs = range(0, len(level), 2)
        level = [_join(level[start : start + 2], spans_racks=True) for start in pairs]
    return level[0] if level else None


def _plan_rack(hosts: list[Host]) -> CellPlan:
    """Join adjacent workers into aligned groups of two and four by position."""
    parts: dict[int, CellPlan] = {}
    for host in sorted(hosts, key=lambda host: (host.position, host.name)):
        position = host.position
        while position in parts:  # duplicate position: keep both workers
            position = max(parts) + 1
        profile = WorkerProfile(host.accelerators, host.cores, host.memory_gb)
        parts[position] = _plan_block(host, profile, host.accelerators)
    for step in (1, 2):
        for position in sorted(parts):
            second = position + step
            aligned = position % (2 * step) == 0 and second in parts
            if aligned and _workers(parts[position]) == _workers(parts[second]) == step:
                parts[position] = _join([parts[position], parts.pop(second)])
    return _join([parts[position] for position in sorted(parts)])


def _plan_block(host: Host, profile: WorkerProfile, size: int) -> CellPlan:
    """Split a worker into aligned blocks whose sizes are powers of two."""
    children: list[CellPlan] = []
    remaining = size if size > 1 else 0
    while remaining:
        block = 1 << (remaining.bit_length() - 1)
        block = block // 2 if block == size else block
        children.append(_plan_block(host, profile, block))
        remaining -= block
    return CellPlan(profile, tuple(children), (host,), size)


def _join(parts: Sequence[CellPlan], *, spans_racks: bool = False) -> CellPlan:
    if len(parts) == 1:
        return parts[0]
    hosts = tuple(host for part in parts for host in part.hosts)
    size = sum(part.size for part in parts)
    return CellPlan(None, tuple(parts), hosts, size, spans_racks)


def _workers(plan: CellPlan) -> int:
    return len(plan.hosts)


def _natural_sort_key(name: str) -> tuple[tuple[int, str], ...]:
    """Return a sort key that orders ``rack-10`` after ``rack-9``."""
    parts = re.findall(r"\d+|\D+", name)
    return tuple((int(p), "") if p.isdigit() else (-1, p) for p in parts)
