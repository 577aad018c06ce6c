"""Reading and replacing the routes and pools tables over HTTP."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Literal, Protocol

from aiohttp import web
from bilberryhitch_config import ConfigError, HostRevision
from bilberryhitch_model import (
    Commit,
    ConfigChange,
    Pool,
    Route,
    TableChange,
    Tables,
    parse_json,
    parse_rows,
    quote,
    to_plain,
)
from bilberryhitch_model.errors import BadInput
from expression import Result

from .bodies import query_number, read_body
from .diff import changed_rows, table_diff
from .errors import error_response

Table = Literal["routes", "pools"]
OperatorHandler = Callable[[web.Request, str], Awaitable[web.Response]]
MAX_REVISION = 10**12


class AdminLimits(Protocol):
    """The limits that the handlers need."""

    @property
    def max_body_bytes(self) -> int:
        """Largest body, in bytes."""


class Config(Protocol):
    """What the handlers need of the configuration service."""

    @property
    def tables_view(self) -> Tables:
        """Tables in force."""

    @property
    def ready(self) -> bool:
        """Whether a revision is in force."""

    async def tables_at(self, base_revision: int) -> Result[Tables, ConfigError]:
        """Return the tables of a revision if it is the last accepted one."""

    async def commit(
        self, change: TableChange, base_revision: int, operator: str
    ) -> Result[Commit, ConfigError]:
        """Commit a change."""

    async def check(
        self, change: TableChange, base_revision: int
    ) -> Result[Tables, ConfigError]:
        """Check a change without committing it."""

    async def history(self, limit: int) -> list[ConfigChange]:
        """Return accepted changes, newest first."""

    def in_force(self) -> list[HostRevision]:
        """Return revisions by host."""


class TableHandlers:
    """Reads and replaces the two tables."""

    def __init__(self, config: Config, limits: AdminLimits) -> None:
        self._config = config
        self._limits = limits

    def get(self, table: Table) -> OperatorHandler:
        """Return the handler that answers a table with its revision."""

        async def handle(request: web.Request, operator: str) -> web.Response:
            view = self._config.tables_view
            rows = view.routes if table == "routes" else view.pools
            body = [to_plain(row) for _, row in sorted(rows.items())]
            return web.json_response({"revision": view.revision, table: body})

        return handle

    def put(self, table: Table) -> OperatorHandler:
        """Return the handler that replaces a table."""

        async def handle(request: web.Request, operator: str) -> web.Response:
            data = await read_body(request, self._limits.max_body_bytes)
            base, rows = _replacement(request, table, parse_json(data, comments=True))
            dry_run = _dry_run(request)
            # The rows to write follow from the tables of the base revision; an
            # older view of this process would lose changes made since.
            based = await self._config.tables_at(base)
            if based.is_error():
                return error_response(based.error)
            old = based.ok
            change = _change(table, rows, old)
            if dry_run:
                checked = await self._config.check(change, base)
                if checked.is_error():
                    return error_response(checked.error)
            else:
                committed = await self._config.commit(change, base, operator)
                if committed.is_error():
                    return error_response(committed.error)
            return _difference(table, old, change, base, dry_run)

        return handle


def _replacement(
    request: web.Request, table: Table, plain: Any
) -> tuple[int, Sequence[Route] | Sequence[Pool]]:
    """Return the base revision and the rows of a body.

    The body is a list of rows, or the object that the table is read as; its
    revision is the base unless the query names one.
    """
    base = query_number(request, "base_revision", 0, MAX_REVISION, low=0)
    named = "base_revision" in request.query
    rows = plain
    if isinstance(plain, Mapping):
        for key in plain:
            if key not in (table, "revision"):
                raise BadInput(quote(key), "", f"is `{table}` or `revision`")
        rows = plain.get(table)
        if not named and "revision" in plain:
            base, named = _revision(plain["revision"]), True
    if not named:
        raise BadInput("base_revision", "", "is given")
    parsed: Result[Any, Any] = (
        parse_rows(Route, rows) if table == "routes" else parse_rows(Pool, rows)
    )
    if parsed.is_error():
        raise parsed.error
    return base, parsed.ok


def _revision(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_REVISION:
        raise BadInput("revision", quote(value), "is a revision")
    return value


def _change(table: Table, rows: Sequence[Any], old: Tables) -> TableChange:
    if table == "routes":
        puts, deletes = changed_rows(old.routes, rows)
        return TableChange(put_routes=puts, delete_routes=deletes)
    put_pools, delete_pools = changed_rows(old.pools, rows)
    return TableChange(put_pools=put_pools, delete_pools=delete_pools)


def _difference(
    table: Table, old: Tables, change: TableChange, base: int, dry_run: bool
) -> web.Response:
    if table == "routes":
        routes = {row.name: row for row in change.put_routes}
        kept = {n: r for n, r in old.routes.items() if n not in change.delete_routes}
        diff = table_diff(old.routes, {**kept, **routes})
    else:
        pools = {row.name: row for row in change.put_pools}
        left = {n: p for n, p in old.pools.items() if n not in change.delete_pools}
        diff = table_diff(old.pools, {**left, **pools})
    body = {"revision": base if dry_run else base + 1, "dry_run": dry_run}
    return web.json_response({**body, "difference": to_plain(diff)})


def _dry_run(request: web.Request) -> bool:
    text = request.query.get("dry_run", "0")
    if text not in ("0", "1"):
        raise BadInput("dry_run", quote(text), "is 0 or 1")
    return text == "1"
