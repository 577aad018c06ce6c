"""How the workers of a data centre are joined into cells."""

import re
from collections.abc import Sequence
from typing import NamedTuple

from bilberryhitch_model import Host


class Profile(NamedTuple):
    """Resources of a worker; cells in workers of one profile are equal."""

    accelerators: int
    cores: int
    memory_gb: int


class CellPlan(NamedTuple):
    """A cell before it is numbered."""

    profile: Profile | None
    children: "tuple[CellPlan, ...]"
    hosts: tuple[Host, ...]
    size: int


def plan_data_centre(hosts: list[Host]) -> CellPlan | None:
    """Join racks, sorted by name, into aligned groups of adjacent racks."""
    racks: dict[str, list[Host]] = {}
    for host in hosts:
        racks.setdefault(host.rack, []).append(host)
    level = [_plan_rack(racks[name]) for name in sorted(racks, key=_natural)]
    while len(level) > 1:
        pairs = range(0, len(level), 2)
        level = [_join(level[start : start + 2]) for start in pairs]
    return level[0] if level else None


def _plan_rack(hosts: list[Host]) -> CellPlan:
    """Join adjacent workers into aligned pairs and quads by position."""
    parts: dict[int, CellPlan] = {}
    for host in sorted(hosts, key=lambda host: (host.position, host.name)):
        position = host.position
        while position in parts:  # two rows name one position: keep both workers
            position = max(parts) + 1
        profile = Profile(host.accelerators, host.cores, host.memory_gb)
        parts[position] = _plan_block(host, profile, host.accelerators)
    for step in (1, 2):
        for position in sorted(parts):
            second = position + step
            aligned = position % (2 * step) == 0 and second in parts
            if aligned and _width(parts[position]) == _width(parts[second]) == step:
                parts[position] = _join([parts[position], parts.pop(second)])
    return _join([parts[position] for position in sorted(parts)])


def _plan_block(host: Host, profile: Profile, size: int) -> CellPlan:
    """Split a worker into aligned blocks whose sizes are powers of two."""
    children: list[CellPlan] = []
    left = size if size > 1 else 0
    while left:
        block = 1 << (left.bit_length() - 1)
        block = block // 2 if block == size else block
        children.append(_plan_block(host, profile, block))
        left -= block
    return CellPlan(profile, tuple(children), (host,), size)


def _join(parts: Sequence[CellPlan]) -> CellPlan:
    if len(parts) == 1:
        return parts[0]
    hosts = tuple(host for part in parts for host in part.hosts)
    return CellPlan(None, tuple(parts), hosts, sum(part.size for part in parts))


def _width(plan: CellPlan) -> int:
    return len(plan.hosts)


def _natural(name: str) -> tuple[tuple[int, str], ...]:
    """Sort ``rack-10`` after ``rack-9``."""
    parts = re.findall(r"\d+|\D+", name)
    return tuple((int(p), "") if p.isdigit() else (-1, p) for p in parts)
