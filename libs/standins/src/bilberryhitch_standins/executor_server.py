"""Stand-in of an executor: 8 slots, 64 connections, fault injection."""

import asyncio
import json
from typing import NamedTuple

import msgspec
from aiohttp import web
from bilberryhitch_model import Address, Host, from_plain
from bilberryhitch_model.errors import BadInput

from .executor_faults import ExecutorFault, ExecutorFaults

SLOTS = 8
CONNECTION_LIMIT = 64
MAX_BODY_BYTES = 16_777_216
MAX_SLEEP_S = 3600.0
CONNECTION_CLOSE_TIMEOUT_S = 0.1
NOT_ACCEPTED_TEXT = "not accepted"


class RunBody(NamedTuple):
    """Instructions to the stand-in in the body of a request.

    :param sleep_s: run time of the request in seconds
    :param answer: the body of the answer
    :param fail: whether the run ends in a failure (status 500)
    """

    sleep_s: float = 0.0
    answer: str = ""
    fail: bool = False


class RanEntry(NamedTuple):
    """A request that began to run."""

    attempt_id: str
    route: str
    answer: str


class ExecutorStandin:
    """HTTP server with the executor protocol.

    :param host: the executor's row in the host list
    :param bind: IP address to listen on
    :param port: TCP port; 0 lets the kernel choose
    :ivar faults: active faults, also set over ``/faults``
    :ivar ran: requests that began to run, also listed under ``/v1/ran``
    :ivar peak_running: highest number of requests that held a slot at a time
    """

    def __init__(self, host: Host, bind: str = "127.0.0.1", port: int = 0) -> None:
        self.host = host
        self.faults = ExecutorFaults()
        self.ran: list[RanEntry] = []
        self.peak_running = 0
        self._bind = bind
        self._port = port
        self._running = 0
        self._last_attempt = "none"
        self._runner: web.AppRunner | None = None

    async def start(self) -> Address:
        """Listen.

        :returns: the address that callers connect to
        """
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v1/run", self._run)
        app.router.add_get("/v1/ran", self._list_ran)
        app.router.add_get("/faults", self._list_faults)
        app.router.add_post("/faults", self._put_fault)
        app.router.add_delete("/faults", self._clear_faults)
        self._runner = web.AppRunner(app, shutdown_timeout=CONNECTION_CLOSE_TIMEOUT_S)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._bind, self._port).start()
        ip, port = self._runner.addresses[0][:2]
        return Address(ip, port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is None:
            return
        runner, self._runner = self._runner, None
        self.faults.clear()
        await runner.cleanup()

    async def _run(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.headers.get("Attempt-Id", "")
        if not attempt_id:
            return web.json_response({"rule": "Attempt-Id is required"}, status=400)
        if self._connection_count() > CONNECTION_LIMIT or self._running >= SLOTS:
            return self._refuse(attempt_id)
        self._running += 1
        self.peak_running = max(self.peak_running, self._running)
        try:
            return await self._run_in_slot(request, attempt_id)
        finally:
            self._running -= 1

    def _connection_count(self) -> int:
        if self._runner is None or self._runner.server is None:
            return 0
        return len(self._runner.server.connections)

    def _refuse(self, attempt_id: str) -> web.Response:
        response = web.Response(status=503, text=NOT_ACCEPTED_TEXT)
        response.headers["Attempt-Id"] = attempt_id
        if self._connection_count() > CONNECTION_LIMIT:
            response.force_close()
        return response

    async def _run_in_slot(
        self, request: web.Request, attempt_id: str
    ) -> web.StreamResponse:
        try:
            body = _parse_body(await request.read())
        except BadInput as error:
            return web.json_response({"rule": error.rule}, status=400)
        await self.faults.wait_while_paused()
        if self.faults.consume("drop_before"):
            return _abort_connection(request)
        route = request.headers.get("Route", "")
        self.ran.append(RanEntry(attempt_id, route, body.answer))
        slow = self.faults.consume("slow")
        await asyncio.sleep(body.sleep_s + (slow.seconds if slow else 0.0))
        if self.faults.consume("drop_after"):
            return _abort_connection(request)
        return await self._send_answer(request, attempt_id, body)

    async def _send_answer(
        self, request: web.Request, attempt_id: str, body: RunBody
    ) -> web.StreamResponse:
        content = body.answer.encode()
        if long := self.faults.consume("over_long"):
            content += b"x" * long.extra_bytes
        sent_id, self._last_attempt = attempt_id, attempt_id
        if self.faults.consume("wrong_attempt"):
            sent_id = f"{attempt_id}-other"
        status = 500 if body.fail or self.faults.consume("fail") else 200
        if self.faults.consume("truncate"):
            return await _send_truncated(request, sent_id, content)
        response = web.Response(status=status, body=content)
        response.headers["Attempt-Id"] = sent_id
        if self.faults.consume("duplicate"):
            await response.prepare(request)
            await response.write_eof()
            _send_duplicate(request, sent_id, content)
        return response

    async def _list_ran(self, request: web.Request) -> web.Response:
        return web.json_response([entry._asdict() for entry in self.ran])

    async def _list_faults(self, request: web.Request) -> web.Response:
        return web.json_response(self.faults.active())

    async def _put_fault(self, request: web.Request) -> web.Response:
        try:
            fault = from_plain(ExecutorFault, json.loads(await request.text()))
        except (BadInput, json.JSONDecodeError) as error:
            return web.json_response({"rule": str(error)}, status=400)
        self.faults.put(fault)
        return web.json_response(self.faults.active())

    async def _clear_faults(self, request: web.Request) -> web.Response:
        self.faults.clear()
        return web.json_response([])


def _parse_body(data: bytes) -> RunBody:
    """Return the instructions; a body that is not a JSON object is echoed."""
    try:
        plain = msgspec.json.decode(data)
    except msgspec.DecodeError:
        return RunBody(answer=data.decode(errors="replace"))
    if not isinstance(plain, dict):
        return RunBody(answer=data.decode(errors="replace"))
    known = {key: plain[key] for key in RunBody._fields if key in plain}
    body = from_plain(RunBody, known)
    if not 0.0 <= body.sleep_s <= MAX_SLEEP_S:
        raise BadInput("sleep_s", body.sleep_s, f"between 0 and {MAX_SLEEP_S}")
    return body


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _send_truncated(
    request: web.Request, attempt_id: str, content: bytes
) -> web.StreamResponse:
    """Announce one byte more than is sent, then close the connection."""
    response = web.StreamResponse(headers={"Attempt-Id": attempt_id})
    response.content_length = len(content) + 1
    await response.prepare(request)
    await response.write(content)
    if request.transport is not None:
        request.transport.close()
    return response


def _send_duplicate(request: web.Request, attempt_id: str, content: bytes) -> None:
    """Send the same answer a second time on the same connection."""
    if request.transport is None:
        return
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"Attempt-Id: {attempt_id}\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    request.transport.write(head.encode() + content)
