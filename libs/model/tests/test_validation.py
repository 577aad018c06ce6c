import pytest
from bilberryhitch_model import (
    Guarantee,
    Host,
    Pool,
    Route,
    Shape,
    Share,
    Tables,
    validate_tables,
)

# One rack of six workers: an aligned group of four, and one of two.
WORKERS = [
    Host(f"w{n}", "worker", "ruwi", "10.0.0.1:1", rack="a", position=n, accelerators=8)
    for n in range(6)
]
HOSTS = [*WORKERS, Host("e1", "executor", "ruwi", "10.0.0.2:1")]
NAMES = tuple(host.name for host in WORKERS)
ROUTE = Route("render", "job", "render", "acme", "jobs")
POOL = Pool("jobs", "job", NAMES)


def validate(pool=POOL, *others, route=ROUTE, **options):
    pools = {row.name: row for row in (pool, *others)}
    return validate_tables(Tables(1, {"render": route}, pools), HOSTS, **options)


def pool_with_guarantees(*cells, centre="ruwi"):
    return POOL._replace(
        guarantees=tuple(Guarantee("acme", centre, size, n) for size, n in cells)
    )


def test_valid_tables_are_accepted():
    assert validate(pool_with_guarantees((32, 1), (16, 1))).is_ok()


INVALID_TABLES = [
    (ROUTE._replace(pool="none"), POOL, "pool"),
    (ROUTE._replace(work="request"), POOL, "work"),
    (ROUTE._replace(client_account="A.b"), POOL, "client_account"),
    (ROUTE._replace(timeout_s=float("nan")), POOL, "timeout_s"),
    (ROUTE._replace(max_shape=Shape(tasks=10**9)), POOL, "max_shape.tasks"),
    (ROUTE, POOL._replace(hosts=("w1", "w1")), "hosts[1]"),
    (ROUTE, POOL._replace(hosts=("e1",)), "hosts[0]"),
    (ROUTE, POOL._replace(shares=(Share("a", 0.0),)), "shares[0].weight"),
    (ROUTE, POOL._replace(shares=(Share("a"), Share("a"))), "shares[1]"),
    (ROUTE, pool_with_guarantees((64, 1)), "guarantees[0].accelerators"),
    (ROUTE, pool_with_guarantees((8, 1), centre="seeb"), "guarantees[0].accelerators"),
    (ROUTE, pool_with_guarantees((32, 2)), "guarantees[0].cells"),
    (ROUTE, pool_with_guarantees((8, 6), (1, 1)), "guarantees[1].cells"),
]


@pytest.mark.parametrize(("route", "pool", "field"), INVALID_TABLES)
def test_invalid_row_is_reported_with_its_field(route, pool, field):
    # Guards against accepting rows that no host can serve or that have extreme sizes.
    error = validate(pool, route=route).error
    assert error.field == field
    assert error.rule


def test_host_in_two_pools_is_rejected():
    error = validate(POOL, Pool("other", "job", ("w1",))).error
    assert (error.row, error.value) == ("other", "w1")
    assert "pool jobs" in error.rule


def test_lost_hosts_do_not_block_other_changes():
    # Guards against rejecting every change after a host behind a guarantee was lost.
    assert validate(pool_with_guarantees((48, 2)), check_capacity_of=()).is_ok()


def test_tables_with_too_many_rows_are_rejected():
    routes = {f"r{n}": ROUTE._replace(name=f"r{n}") for n in range(5_001)}
    assert validate_tables(Tables(1, routes, {"jobs": POOL}), HOSTS).is_error()


def test_guarantees_of_a_request_pool_must_fit_its_slots():
    pool = Pool("fits", "request", ("e1",), (Guarantee("acme", "ruwi", 1, 8),))
    assert validate(POOL, pool).is_ok()
    pool = pool._replace(guarantees=(Guarantee("acme", "ruwi", 1, 9),))
    assert validate(POOL, pool).error.field == "guarantees[0].cells"
