"""HTTP handlers for operators: tables, drains and the audit trail."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

from aiohttp import web
from bilberryhitch_config import AuditEntry, ConfigService
from bilberryhitch_membership import Membership
from bilberryhitch_model import (
    Pool,
    Route,
    TableChange,
    Tables,
    encode,
    parse_json,
    parse_rows,
    shorten_value,
)
from bilberryhitch_model.errors import (
    BadInput,
    BilberryhitchError,
    NotFound,
    TableInvalid,
)
from expression import Result

from .bodies import query_number, read_body
from .diff import TableDiff, diff_rows
from .tokens import authenticate_operator

MAX_LISTED = 1000
DEFAULT_LISTED = 20
MAX_REVISION = 2**53
R = TypeVar("R", Route, Pool)
ReadAudit = Callable[[int], Awaitable[list[AuditEntry]]]


class Replacement(NamedTuple):
    """A table's replacement as a change of rows."""

    change: TableChange
    difference: TableDiff


def admin_routes(
    config: ConfigService,
    membership: Membership,
    read_audit: ReadAudit,
    operators: Mapping[str, str],
    *,
    max_body_bytes: int,
    max_rows: Mapping[str, int],
) -> list[web.RouteDef]:
    """Return the routes for operators.

    :param read_audit: returns the last operator actions, newest first
    :param operators: SHA-256 of the token in hexadecimal, by operator name
    :param max_body_bytes: limit of a table's JSON, in bytes
    :param max_rows: limit of each table, in rows
    """
    return [
        *_table_routes(config, operators, max_body_bytes, max_rows),
        *_status_routes(config, read_audit, operators),
        *_drain_routes(membership, operators),
    ]


def _table_routes(
    config: ConfigService,
    operators: Mapping[str, str],
    max_body_bytes: int,
    max_rows: Mapping[str, int],
) -> list[web.RouteDef]:
    async def get(request: web.Request) -> web.Response:
        authenticate_operator(request, operators)
        tables = config.tables_view
        rows = tables.routes if _is_routes(request) else tables.pools
        return _json({"revision": tables.revision, "rows": list(rows.values())})

    async def put(request: web.Request) -> web.Response:
        operator = authenticate_operator(request, operators)
        base = _base_revision(request)
        dry_run = _dry_run(request)
        data = await read_body(request, max_body_bytes)
        plain = parse_json(data, comments=True)
        routes = _is_routes(request)
        _check_count(plain, "routes" if routes else "pools", max_rows)
        # The rows to write follow from the tables of the base revision; an older
        # view of this process would leave out rows that were changed since.
        based = _ok(await config.tables_at(base))
        replacement = _replacement(based, plain, routes=routes)
        if dry_run:
            _ok(await config.check(replacement.change, base))
            return _json({"revision": base, "difference": replacement.difference})
        commit = _ok(await config.commit(replacement.change, base, operator))
        return _json({**commit._asdict(), "difference": replacement.difference})

    return [
        route
        for table in ("routes", "pools")
        for route in (
            web.get(f"/v1/admin/{table}", get),
            web.put(f"/v1/admin/{table}", put),
        )
    ]


def _status_routes(
    config: ConfigService, read_audit: ReadAudit, operators: Mapping[str, str]
) -> list[web.RouteDef]:
    async def status(request: web.Request) -> web.Response:
        authenticate_operator(request, operators)
        revision = config.tables_view.revision
        body = {"revision": revision, "ready": config.ready}
        return _json({**body, "hosts": config.host_revisions()})

    async def history(request: web.Request) -> web.Response:
        authenticate_operator(request, operators)
        limit = query_number(request, "limit", DEFAULT_LISTED, MAX_LISTED)
        return _json({"changes": await config.history(limit)})

    async def audit(request: web.Request) -> web.Response:
        authenticate_operator(request, operators)
        limit = query_number(request, "limit", DEFAULT_LISTED, MAX_LISTED)
        return _json({"entries": await read_audit(limit)})

    return [
        web.get("/v1/admin/config", status),
        web.get("/v1/admin/history", history),
        web.get("/v1/admin/audit", audit),
    ]


def _drain_routes(
    membership: Membership, operators: Mapping[str, str]
) -> list[web.RouteDef]:
    async def drain(request: web.Request) -> web.Response:
        operator = authenticate_operator(request, operators)
        host = _known_host(membership, request)
        return _json(_ok(await membership.drain(host, operator)))

    async def undrain(request: web.Request) -> web.Response:
        operator = authenticate_operator(request, operators)
        host = _known_host(membership, request)
        return _json(_ok(await membership.undrain(host, operator)))

    return [
        web.put("/v1/admin/drains/{host}", drain),
        web.delete("/v1/admin/drains/{host}", undrain),
    ]


def _known_host(membership: Membership, request: web.Request) -> str:
    name = request.match_info["host"]
    if all(host.name != name for host in membership.hosts()):
        raise NotFound("host", str(shorten_value(name)))
    return name


def _rows(plain: Any) -> Any:
    """Return the rows of a body: a list, or the object that GET answers."""
    return plain["rows"] if isinstance(plain, dict) and "rows" in plain else plain


def _check_count(plain: Any, table: str, max_rows: Mapping[str, int]) -> None:
    rows = _rows(plain)
    if isinstance(rows, list) and len(rows) > max_rows[table]:
        rule = f"has at most {max_rows[table]} rows"
        raise TableInvalid("", table, len(rows), rule)


def _replacement(tables: Tables, plain: Any, *, routes: bool) -> Replacement:
    """Return the change that replaces one table by the rows of a body.

    :param tables: the tables that the change is based on
    :raises TableInvalid: a row cannot be read
    """
    rows = _rows(plain)
    if routes:
        new_routes = _ok(parse_rows(Route, rows))
        difference = diff_rows(tables.routes, new_routes)
        change = TableChange(
            put_routes=_touched(new_routes, difference),
            delete_routes=difference.removed,
        )
        return Replacement(change, difference)
    new_pools = _ok(parse_rows(Pool, rows))
    difference = diff_rows(tables.pools, new_pools)
    change = TableChange(
        put_pools=_touched(new_pools, difference), delete_pools=difference.removed
    )
    return Replacement(change, difference)


def _touched(rows: Sequence[R], difference: TableDiff) -> tuple[R, ...]:
    names = {*difference.added, *difference.changed}
    return tuple(row for row in rows if row.name in names)


def _base_revision(request: web.Request) -> int:
    text = request.query.get("base_revision", "")
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(MAX_REVISION))):
        raise BadInput(
            "base_revision", shorten_value(text), "is the revision you edited"
        )
    return int(text)


def _dry_run(request: web.Request) -> bool:
    text = request.query.get("dry_run", "0")
    if text not in ("0", "1"):
        raise BadInput("dry_run", shorten_value(text), "is 0 or 1")
    return text == "1"


def _is_routes(request: web.Request) -> bool:
    return request.path.endswith("/routes")


def _ok(result: Result[Any, BilberryhitchError]) -> Any:
    """Return the value of a result.

    :raises BilberryhitchError: the error of the result
    """
    if result.is_error():
        raise result.error
    return result.ok


def _json(record: object) -> web.Response:
    return web.Response(body=encode(record), content_type="application/json")
