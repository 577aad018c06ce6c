"""HTTP handlers for operators: tables, drains and the audit log."""

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

from .authentication import authenticate_operator
from .bodies import query_number, read_body
from .diff import TableDiff, diff_rows

MAX_LIST_ENTRIES = 1000
DEFAULT_LIST_ENTRIES = 20
MAX_REVISION = 2**53
R = TypeVar("R", Route, Pool)
ReadAudit = Callable[[int], Awaitable[list[AuditEntry]]]


class Replacement(NamedTuple):
    """The replacement of a table, as changes of single rows."""

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
    """Return the HTTP routes for operators.

    :param read_audit: returns the given number of last operator actions, newest first
    :param operators: SHA-256 of the token in hexadecimal, by operator name
    :param max_body_bytes: maximum size of a request body, in bytes
    :param max_rows: maximum number of rows, by table name
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
        return _encode_response(
            {"revision": tables.revision, "rows": list(rows.values())}
        )

    async def put(request: web.Request) -> web.Response:
        operator = authenticate_operator(request, operators)
        base_revision = _base_revision(request)
        dry_run = _dry_run(request)
        data = await read_body(request, max_body_bytes)
        plain = parse_json(data, comments=True)
        routes = _is_routes(request)
        _check_row_count(plain, "routes" if routes else "pools", max_rows)
        # The change is computed against the tables of the base revision. Against older
        # tables, rows that changed since then would be left out.
        base_tables = _unwrap(await config.tables_at(base_revision))
        replacement = _build_replacement(base_tables, plain, routes=routes)
        if dry_run:
            _unwrap(await config.check(replacement.change, base_revision))
            return _encode_response(
                {"revision": base_revision, "difference": replacement.difference}
            )
        commit = _unwrap(
            await config.commit(replacement.change, base_revision, operator)
        )
        return _encode_response(
            {**commit._asdict(), "difference": replacement.difference}
        )

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
        return _encode_response({**body, "hosts": config.host_revisions()})

    async def history(request: web.Request) -> web.Response:
        authenticate_operator(request, operators)
        limit = query_number(request, "limit", DEFAULT_LIST_ENTRIES, MAX_LIST_ENTRIES)
        return _encode_response({"changes": await config.history(limit)})

    async def audit(request: web.Request) -> web.Response:
        authenticate_operator(request, operators)
        limit = query_number(request, "limit", DEFAULT_LIST_ENTRIES, MAX_LIST_ENTRIES)
        return _encode_response({"entries": await read_audit(limit)})

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
        return _encode_response(_unwrap(await membership.drain(host, operator)))

    async def undrain(request: web.Request) -> web.Response:
        operator = authenticate_operator(request, operators)
        host = _known_host(membership, request)
        return _encode_response(_unwrap(await membership.undrain(host, operator)))

    return [
        web.put("/v1/admin/drains/{host}", drain),
        web.delete("/v1/admin/drains/{host}", undrain),
    ]


def _known_host(membership: Membership, request: web.Request) -> str:
    name = request.match_info["host"]
    if all(host.name != name for host in membership.hosts()):
        raise NotFound("host", str(shorten_value(name)))
    return name


def _body_rows(plain: Any) -> Any:
    """Return the rows of a body: a list, or an object as returned by GET."""
    return plain["rows"] if isinstance(plain, dict) and "rows" in plain else plain


def _check_row_count(plain: Any, table: str, max_rows: Mapping[str, int]) -> None:
    rows = _body_rows(plain)
    if isinstance(rows, list) and len(rows) > max_rows[table]:
        rule = f"has at most {max_rows[table]} rows"
        raise TableInvalid("", table, len(rows), rule)


def _build_replacement(tables: Tables, plain: Any, *, routes: bool) -> Replacement:
    """Return the change that replaces the rows of a table with those of a body.

    :param tables: the tables on which the change is based
    :param routes: whether the body holds routes; otherwise it holds pools
    :raises TableInvalid: a row cannot be parsed
    """
    rows = _body_rows(plain)
    if routes:
        new_routes = _unwrap(parse_rows(Route, rows))
        difference = diff_rows(tables.routes, new_routes)
        change = TableChange(
            put_routes=_changed_rows(new_routes, difference),
            delete_routes=difference.removed,
        )
        return Replacement(change, difference)
    new_pools = _unwrap(parse_rows(Pool, rows))
    difference = diff_rows(tables.pools, new_pools)
    change = TableChange(
        put_pools=_changed_rows(new_pools, difference), delete_pools=difference.removed
    )
    return Replacement(change, difference)


def _changed_rows(rows: Sequence[R], difference: TableDiff) -> tuple[R, ...]:
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


def _unwrap(result: Result[Any, BilberryhitchError]) -> Any:
    """Return the value of a result.

    :raises BilberryhitchError: the error of the result
    """
    if result.is_error():
        raise result.error
    return result.ok


def _encode_response(record: object) -> web.Response:
    return web.Response(body=encode(record), content_type="application/json")
