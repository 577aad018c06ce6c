"""Validation of the routes and pools tables before a change is accepted."""

import math
import re
from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import NamedTuple

from expression import Error, Ok, Result

from .capacity import rack_blocks, unplaceable_cells
from .errors import TableInvalid
from .hosts import Host
from .tables import Guarantee, Pool, Route, Tables

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
NAME_RULE = "matches [a-z0-9][a-z0-9-]{0,62}"
MAX_ROUTES = 5_000
MAX_POOLS = 500
MAX_POOL_HOSTS = 5_000
MAX_POOL_ENTRIES = 1_000
MAX_CELLS = 10_000
# Concurrent requests per executor. In a request pool, guarantees count slots where
# those of a job pool count accelerators.
EXECUTOR_SLOTS = 8
HOST_KINDS = {"request": "executor", "job": "worker"}


class NumberRange(NamedTuple):
    """Inclusive bounds of a number."""

    low: float
    high: float


# The upper bounds only catch mistakes such as milliseconds given as seconds.
ROUTE_RANGES = {
    "max_body_bytes": NumberRange(1, 1 << 28),
    "timeout_s": NumberRange(0.001, 86_400),
    "estimate_s": NumberRange(0.001, 31 * 86_400),
}
SHAPE_RANGES = {
    "tasks": NumberRange(1, 1_024),
    "accelerators": NumberRange(0, 1_024),
    "cores": NumberRange(0, 4_096),
    "memory_gb": NumberRange(0, 65_536),
}
MAX_QUEUED_RANGE = NumberRange(1, 1_000_000)
WEIGHT_RANGE = NumberRange(0.001, 1_000_000)
CELL_SIZE_RANGE = NumberRange(1, 65_536)
CELL_COUNT_RANGE = NumberRange(1, MAX_CELLS)

Violations = Iterator[TableInvalid]


def validate_tables(
    tables: Tables,
    hosts: Sequence[Host],
    *,
    check_capacity_of: Collection[str] | None = None,
) -> Result[None, TableInvalid]:
    """Check both tables against all rules.

    :param hosts: all known hosts, in any state
    :param check_capacity_of: pools whose guarantees must fit the hosts; all by default.
        Losing hosts can make accepted guarantees impossible, which must not keep
        operators from changing other rows.
    :returns: the first violation, if any
    """
    checked = tables.pools.keys() if check_capacity_of is None else check_capacity_of
    known = {host.name: host for host in hosts}
    for violation in _violations(tables, known, checked):
        return Error(violation)
    return Ok(None)


def _violations(
    tables: Tables, known: Mapping[str, Host], check_capacity_of: Collection[str]
) -> Violations:
    yield from _check_table_sizes(tables)
    for name, pool in tables.pools.items():
        yield from _check_pool(name, pool)
    yield from _check_hosts_in_one_pool(tables.pools)
    for name, route in tables.routes.items():
        yield from _check_route(name, route)
        yield from _check_pool_of_route(route, tables.pools)
    for name in check_capacity_of:
        if name in tables.pools:
            yield from _check_capacity(tables.pools[name], known)


def _check_table_sizes(tables: Tables) -> Violations:
    if len(tables.routes) > MAX_ROUTES:
        rule = f"has at most {MAX_ROUTES} rows"
        yield TableInvalid("", "routes", len(tables.routes), rule)
    if len(tables.pools) > MAX_POOLS:
        rule = f"has at most {MAX_POOLS} rows"
        yield TableInvalid("", "pools", len(tables.pools), rule)


def _check_route(key: str, route: Route) -> Violations:
    yield from _check_row_key(key, route.name)
    for field in ("name", "kind", "client_account", "pool"):
        yield from _check_name(key, field, getattr(route, field))
    for field, limits in ROUTE_RANGES.items():
        yield from _check_range(key, field, getattr(route, field), limits)
    for field, limits in SHAPE_RANGES.items():
        value = getattr(route.max_shape, field)
        yield from _check_range(key, f"max_shape.{field}", value, limits)


def _check_pool_of_route(route: Route, pools: Mapping[str, Pool]) -> Violations:
    pool = pools.get(route.pool)
    if pool is None:
        yield TableInvalid(route.name, "pool", route.pool, "names an existing pool")
    elif pool.work != route.work:
        rule = f"equals `{pool.work}`, the work of pool {pool.name}"
        yield TableInvalid(route.name, "work", route.work, rule)


def _check_pool(key: str, pool: Pool) -> Violations:
    yield from _check_row_key(key, pool.name)
    yield from _check_name(key, "name", pool.name)
    yield from _check_range(key, "max_queued", pool.max_queued, MAX_QUEUED_RANGE)
    yield from _check_max_length(key, "hosts", pool.hosts, MAX_POOL_HOSTS)
    yield from _check_max_length(key, "guarantees", pool.guarantees, MAX_POOL_ENTRIES)
    yield from _check_max_length(key, "shares", pool.shares, MAX_POOL_ENTRIES)
    for index, host in enumerate(pool.hosts):
        yield from _check_name(key, f"hosts[{index}]", host)
    for index, guarantee in enumerate(pool.guarantees):
        yield from _check_guarantee(key, f"guarantees[{index}]", guarantee)
    accounts: set[str] = set()
    for index, share in enumerate(pool.shares):
        field = f"shares[{index}]"
        yield from _check_name(key, f"{field}.client_account", share.client_account)
        yield from _check_range(key, f"{field}.weight", share.weight, WEIGHT_RANGE)
        if share.client_account in accounts:
            rule = "has one share per client account"
            yield TableInvalid(key, field, share.client_account, rule)
        accounts.add(share.client_account)


def _check_guarantee(row: str, field: str, guarantee: Guarantee) -> Violations:
    yield from _check_name(row, f"{field}.client_account", guarantee.client_account)
    yield from _check_name(row, f"{field}.data_centre", guarantee.data_centre)
    yield from _check_range(row, f"{field}.cells", guarantee.cells, CELL_COUNT_RANGE)
    size = guarantee.accelerators
    yield from _check_range(row, f"{field}.accelerators", size, CELL_SIZE_RANGE)


def _check_hosts_in_one_pool(pools: Mapping[str, Pool]) -> Violations:
    owner: dict[str, str] = {}
    for name, pool in pools.items():
        for index, host in enumerate(pool.hosts):
            if host in owner:
                rule = f"is in one pool only; it is also in pool {owner[host]}"
                yield TableInvalid(name, f"hosts[{index}]", host, rule)
            owner[host] = name


def _check_capacity(pool: Pool, known: Mapping[str, Host]) -> Violations:
    present = [known[name] for name in pool.hosts if name in known]
    for index, name in enumerate(pool.hosts):
        if name in known and known[name].kind != HOST_KINDS[pool.work]:
            rule = f"is the name of a {HOST_KINDS[pool.work]}"
            yield TableInvalid(pool.name, f"hosts[{index}]", name, rule)
    centres = sorted({guarantee.data_centre for guarantee in pool.guarantees})
    for centre in centres:
        local = [host for host in present if host.data_centre == centre]
        guarantees = {
            index: guarantee
            for index, guarantee in enumerate(pool.guarantees)
            if guarantee.data_centre == centre
        }
        check_fit = _check_cells_fit if pool.work == "job" else _check_slots_fit
        yield from check_fit(pool.name, guarantees, local)


def _check_cells_fit(
    row: str, guarantees: Mapping[int, Guarantee], hosts: Sequence[Host]
) -> Violations:
    racks = rack_blocks(hosts)
    largest = max((rack.accelerators for rack in racks), default=0)
    for index, guarantee in guarantees.items():
        if guarantee.accelerators > largest:
            rule = f"fits in a rack of the pool; the largest has {largest} accelerators"
            field = f"guarantees[{index}].accelerators"
            yield TableInvalid(row, field, guarantee.accelerators, rule)
            return
    cells = [
        (index, guarantee.accelerators)
        for index, guarantee in guarantees.items()
        for _ in range(guarantee.cells)
    ]
    missing = unplaceable_cells(racks, (size for _, size in cells))
    if missing:
        index = max(cells[number][0] for number in missing)
        rule = "fits beside the other guarantees of the data centre"
        field = f"guarantees[{index}].cells"
        yield TableInvalid(row, field, guarantees[index].cells, rule)


def _check_slots_fit(
    row: str, guarantees: Mapping[int, Guarantee], hosts: Sequence[Host]
) -> Violations:
    free_slots = len(hosts) * EXECUTOR_SLOTS
    for index, guarantee in guarantees.items():
        free_slots -= guarantee.accelerators * guarantee.cells
        if free_slots < 0:
            rule = f"fits the {len(hosts) * EXECUTOR_SLOTS} slots of the data centre"
            field = f"guarantees[{index}].cells"
            yield TableInvalid(row, field, guarantee.cells, rule)
            return


def _check_row_key(key: str, name: str) -> Violations:
    if key != name:
        yield TableInvalid(key, "name", name, "equals the name of its row")


def _check_name(row: str, field: str, value: str) -> Violations:
    if not NAME_PATTERN.fullmatch(value):
        yield TableInvalid(row, field, value, NAME_RULE)


def _check_range(row: str, field: str, value: float, limits: NumberRange) -> Violations:
    if not math.isfinite(value) or not limits.low <= value <= limits.high:
        rule = f"is between {limits.low:g} and {limits.high:g}"
        yield TableInvalid(row, field, value, rule)


def _check_max_length(
    row: str, field: str, values: Sequence[object], limit: int
) -> Violations:
    if len(values) > limit:
        yield TableInvalid(row, field, len(values), f"has at most {limit} entries")
