"""HTTP handlers for operators: tables, drains, status, history and audit."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any, Protocol

from aiohttp import web
from bilberryhitch_config import AuditEntry, HostRevision
from bilberryhitch_model import Host, quote, to_plain
from bilberryhitch_model.errors import NotFound, StoreError, Unauthenticated
from bilberryhitch_telemetry import events, log
from expression import Result

from .admin_tables import AdminLimits, Config, OperatorHandler, TableHandlers
from .bodies import query_number
from .errors import Handler, error_response

AuditReader = Callable[[int], Awaitable[list[AuditEntry]]]

BEARER = "Bearer "
DEFAULT_ENTRIES = 20
MAX_ENTRIES = 1_000
# Tokens are random texts of at most a few hundred characters.
MAX_TOKEN = 4_096


class Drains(Protocol):
    """What the handlers need of the membership."""

    def hosts(self) -> list[Host]:
        """Return all known hosts."""

    async def drain(self, host: str, operator: str) -> Result[Any, StoreError]:
        """Drain a host."""

    async def undrain(self, host: str, operator: str) -> Result[Any, StoreError]:
        """Undo a drain."""


def admin_routes(
    config: Config,
    membership: Drains,
    audit: AuditReader,
    operators: Mapping[str, str],
    limits: AdminLimits,
) -> list[web.RouteDef]:
    """Return the routes under ``/v1/admin/``.

    :param audit: returns the last operator actions, newest first
    :param operators: lower-case hex SHA-256 of the token, by operator name
    """
    tables = TableHandlers(config, limits)
    status = _StatusHandlers(config, membership, audit)
    drains = _DrainHandlers(membership)

    def guarded(handler: OperatorHandler) -> Handler:
        return _authenticated(operators, handler)

    return [
        web.get("/v1/admin/routes", guarded(tables.get("routes"))),
        web.put("/v1/admin/routes", guarded(tables.put("routes"))),
        web.get("/v1/admin/pools", guarded(tables.get("pools"))),
        web.put("/v1/admin/pools", guarded(tables.put("pools"))),
        web.get("/v1/admin/config", guarded(status.config)),
        web.get("/v1/admin/history", guarded(status.history)),
        web.get("/v1/admin/audit", guarded(status.audit)),
        web.put("/v1/admin/drains/{host}", guarded(drains.drain)),
        web.delete("/v1/admin/drains/{host}", guarded(drains.undrain)),
    ]


def operator_of(request: web.Request, operators: Mapping[str, str]) -> str | None:
    """Return the operator whose token the request carries.

    Every digest is compared in constant time, so that the time of an answer
    says nothing about the tokens.
    """
    header = request.headers.get("Authorization", "")
    if not header.startswith(BEARER) or len(header) > MAX_TOKEN:
        return None
    token = header.removeprefix(BEARER).encode(errors="surrogateescape")
    digest = hashlib.sha256(token).hexdigest()
    found = None
    for name, expected in operators.items():
        if hmac.compare_digest(digest, expected):
            found = name
    return found


def _authenticated(operators: Mapping[str, str], handler: OperatorHandler) -> Handler:
    async def handle(request: web.Request) -> web.StreamResponse:
        operator = operator_of(request, operators)
        if operator is None:
            log(events.UNAUTHENTICATED_CALL, path=request.path, remote=request.remote)
            return error_response(Unauthenticated())
        return await handler(request, operator)

    return handle


class _StatusHandlers:
    """Shows what is in force and who did what."""

    def __init__(self, config: Config, hosts: Drains, audit: AuditReader) -> None:
        self._config = config
        self._hosts = hosts
        self._audit = audit

    async def config(self, request: web.Request, operator: str) -> web.Response:
        """Answer the revision in force here and at every entry host."""
        heard = {row.host: row for row in self._config.in_force()}
        names = {host.name for host in self._hosts.hosts() if host.kind == "entry"}
        body = {
            "revision": self._config.tables_view.revision,
            "ready": self._config.ready,
            "hosts": [_host_status(name, heard) for name in sorted(names | set(heard))],
        }
        return web.json_response(body)

    async def history(self, request: web.Request, operator: str) -> web.Response:
        """Answer the last accepted changes, newest first."""
        limit = query_number(request, "limit", DEFAULT_ENTRIES, MAX_ENTRIES)
        changes = await self._config.history(limit)
        return web.json_response({"changes": [to_plain(row) for row in changes]})

    async def audit(self, request: web.Request, operator: str) -> web.Response:
        """Answer the last other actions of operators, newest first."""
        limit = query_number(request, "limit", DEFAULT_ENTRIES, MAX_ENTRIES)
        entries = await self._audit(limit)
        return web.json_response({"actions": [to_plain(row) for row in entries]})


class _DrainHandlers:
    """Drains hosts."""

    def __init__(self, membership: Drains) -> None:
        self._membership = membership

    async def drain(self, request: web.Request, operator: str) -> web.Response:
        """Keep new work from a host."""
        host = self._known(request)
        return _drain_answer(await self._membership.drain(host, operator))

    async def undrain(self, request: web.Request, operator: str) -> web.Response:
        """Undo a drain."""
        host = self._known(request)
        return _drain_answer(await self._membership.undrain(host, operator))

    def _known(self, request: web.Request) -> str:
        name = request.match_info["host"]
        if all(host.name != name for host in self._membership.hosts()):
            raise NotFound("host", quote(name))
        return name


def _host_status(name: str, heard: Mapping[str, HostRevision]) -> dict[str, Any]:
    """Return one line of the status; heartbeats of every host reach only some."""
    if name not in heard:
        return {"host": name, "revision": None, "cut_off": None}
    row = heard[name]
    return {
        "host": name,
        "revision": row.revision,
        "heard_s_ago": round(row.heard_s_ago, 1),
        "cut_off": row.silent,
    }


def _drain_answer(result: Result[Any, StoreError]) -> web.Response:
    if result.is_error():
        return error_response(result.error)
    return web.json_response(to_plain(result.ok), status=HTTPStatus.OK)
