"""Stand-in of the platform: tables, objects and host list over HTTP."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from bilberryhitch_model import Address, Host, decode, encode
from bilberryhitch_model.errors import BadInput
from bilberryhitch_platform import MemoryHostList, MemoryObjects, MemoryTables
from bilberryhitch_platform.wire import (
    EFFECT_HEADER,
    MAX_OBJECT_BYTES,
    MAX_SCAN_ROWS,
    MAX_TRANSACTION_BYTES,
    NO_EFFECT,
    Committed,
    Conflicted,
    PageAnswer,
    RowAnswer,
    Transaction,
    WireRow,
)

MAX_HOST_BYTES = 16 * 1024
MAX_HOST_SNAPSHOTS = 10_000
FAULTS_PATH = "/faults"
CONNECTION_CLOSE_TIMEOUT_S = 0.5

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults; ``PUT /faults`` replaces all of them.

    :ivar down: refuse every call before it has an effect
    :ivar slow_s: delay before every call, in seconds
    :ivar lose_answers: number of the next writes that are applied and whose
        connection is then aborted without an answer
    :ivar host_list_lag_s: age of the host list that is served, in seconds
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    host_list_lag_s: float = 0.0


class PlatformStandin:
    """HTTP server of the platform, with its state in memory.

    :param bind: IP address to listen on
    :param port: TCP port; 0 lets the kernel choose
    :ivar faults: active faults, also served under ``/faults``
    :ivar reads: number of table reads served
    :ivar writes: number of transactions served
    """

    def __init__(self, bind: str = "127.0.0.1", port: int = 0) -> None:
        self._bind = bind
        self._port = port
        self._runner: web.AppRunner | None = None
        self._host_snapshots: deque[tuple[float, tuple[Host, ...]]] = deque(
            maxlen=MAX_HOST_SNAPSHOTS
        )
        self.tables = MemoryTables()
        self.objects = MemoryObjects()
        self.host_list = MemoryHostList()
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    async def start(self) -> Address:
        """Listen.

        :returns: the address that clients connect to
        :raises OSError: the address cannot be bound
        """
        application = web.Application(
            client_max_size=MAX_OBJECT_BYTES, middlewares=[self._inject_faults]
        )
        application.add_routes(self._routes())
        await self._record_host_snapshot()
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=CONNECTION_CLOSE_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self._bind, self._port).start()
        ip, port = self._runner.addresses[0][:2]
        return Address(ip, port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def _routes(self) -> list[web.RouteDef]:
        return [
            web.get("/v1/tables/row", self._get_row),
            web.get("/v1/tables/rows", self._scan),
            web.post("/v1/tables/transactions", self._transact),
            web.put("/v1/objects/{key}", self._put_object),
            web.get("/v1/objects/{key}", self._get_object),
            web.get("/v1/hosts", self._list_hosts),
            web.put("/v1/hosts/{name}", self._put_host),
            web.delete("/v1/hosts/{name}", self._delete_host),
            web.get(FAULTS_PATH, self._get_faults),
            web.put(FAULTS_PATH, self._put_faults),
        ]

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path == FAULTS_PATH:
            return await handler(request)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.down:
            return _build_refusal(503, "down")
        try:
            response = await handler(request)
        except (BadInput, msgspec.DecodeError, ValueError) as error:
            return _build_refusal(400, str(error))
        except web.HTTPException as error:
            return _build_refusal(error.status, error.reason)
        if request.method != "GET" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            _abort_transport(request)
        return response

    async def _get_row(self, request: web.Request) -> web.Response:
        self.reads += 1
        row = await self.tables.get(request.query.get("key", ""))
        return _build_json_response(
            RowAnswer(None if row is None else WireRow.from_row(row))
        )

    async def _scan(self, request: web.Request) -> web.Response:
        self.reads += 1
        query = request.query
        limit = min(int(query.get("limit", MAX_SCAN_ROWS)), MAX_SCAN_ROWS)
        page = await self.tables.scan(
            query.get("prefix", ""),
            int(query.get("since", 0)),
            query.get("after", ""),
            max(limit, 1),
        )
        return _build_json_response(PageAnswer.from_page(page))

    async def _transact(self, request: web.Request) -> web.Response:
        body = await _read_limited_body(request, MAX_TRANSACTION_BYTES)
        transaction = msgspec.json.decode(body, type=Transaction)
        self.writes += 1
        result = await self.tables.transact(
            transaction.to_expects(), transaction.to_writes()
        )
        if result.is_ok():
            return _build_json_response(Committed(result.ok))
        conflict = result.error
        return _build_json_response(
            Conflicted(conflict.key, conflict.found_revision), status=409
        )

    async def _put_object(self, request: web.Request) -> web.Response:
        body = await _read_limited_body(request, MAX_OBJECT_BYTES)
        await self.objects.put_object(request.match_info["key"], body)
        return _build_json_response({})

    async def _get_object(self, request: web.Request) -> web.Response:
        body = await self.objects.get_object(request.match_info["key"])
        if body is None:
            return _build_refusal(404, "no such object")
        return web.Response(body=body)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        as_of_s = asyncio.get_running_loop().time() - self.faults.host_list_lag_s
        hosts: tuple[Host, ...] = self._host_snapshots[0][1]
        for recorded_s, snapshot in self._host_snapshots:
            if recorded_s > as_of_s:
                break
            hosts = snapshot
        return web.Response(body=encode(hosts), content_type="application/json")

    async def _put_host(self, request: web.Request) -> web.Response:
        body = await _read_limited_body(request, MAX_HOST_BYTES)
        host = decode(Host, body)
        if host.name != request.match_info["name"]:
            raise BadInput("name", host.name, "must be the name in the path")
        self.host_list.set_host(host)
        await self._record_host_snapshot()
        return _build_json_response({})

    async def _delete_host(self, request: web.Request) -> web.Response:
        self.host_list.remove_host(request.match_info["name"])
        await self._record_host_snapshot()
        return _build_json_response({})

    async def _record_host_snapshot(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._host_snapshots.append((now_s, tuple(await self.host_list.list_hosts())))

    async def _get_faults(self, request: web.Request) -> web.Response:
        return _build_json_response(self.faults)

    async def _put_faults(self, request: web.Request) -> web.Response:
        try:
            self.faults = msgspec.json.decode(await request.read(), type=Faults)
        except msgspec.DecodeError as error:
            return _build_refusal(400, str(error))
        return _build_json_response(self.faults)


async def _read_limited_body(request: web.Request, limit: int) -> bytes:
    if (request.content_length or 0) > limit:
        raise web.HTTPRequestEntityTooLarge(limit, request.content_length or 0)
    body = await request.read()
    if len(body) > limit:
        raise web.HTTPRequestEntityTooLarge(limit, len(body))
    return body


def _abort_transport(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def _build_json_response(body: object, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


def _build_refusal(status: int, reason: str) -> web.Response:
    """Return an error response whose header says that the call had no effect."""
    response = _build_json_response({"reason": reason}, status)
    response.headers[EFFECT_HEADER] = NO_EFFECT
    return response
