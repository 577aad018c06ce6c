"""The worker stand-in: the worker protocol over HTTP, with fault switches."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from aiohttp import web
from bilberryhitch_model import Address, Host, to_plain
from bilberryhitch_model.errors import StaleToken, WorkerRefused

from .worker_model import WorkerModel

HTTP_CONFLICT = 409
HTTP_BAD_REQUEST = 400
MODEL_SWITCHES = ("refuse_starts", "fail_everything", "ignore_checkpoint")
USAGE_SAMPLES = 1000

Action = Callable[[dict[str, Any]], object]


class WorkerStandin:
    """One worker behind a TCP port.

    ``POST /faults`` sets switches: ``refuse_starts``, ``fail_everything``,
    ``ignore_checkpoint``, ``paused`` (calls wait), ``slow_s`` (seconds before
    each call) and ``lose_answers`` (how many calls are carried out without an
    answer). ``POST /faults/restart`` loses every lease.

    :param lag_s: age of the usage that is reported, in seconds
    :ivar model: the lease table behind the server
    """

    def __init__(
        self, host: Host, bind: str = "127.0.0.1", port: int = 0, lag_s: float = 1.0
    ) -> None:
        self.model = WorkerModel(host, time.monotonic)
        self._bind = bind
        self._port = port
        self._lag_s = lag_s
        self._slow_s = 0.0
        self._lose_answers = 0
        self._running = asyncio.Event()
        self._running.set()
        self._usage: deque[tuple[float, dict[str, int]]] = deque(maxlen=USAGE_SAMPLES)
        self._runner: web.AppRunner | None = None

    async def start(self) -> Address:
        """Listen; returns the address, with the port the kernel chose."""
        app = web.Application()
        app.add_routes(self._routes())
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._bind, self._port)
        await site.start()
        ip, port = self._runner.addresses[0][:2]
        return Address(ip, port)

    async def close(self) -> None:
        """Stop listening and drop every connection."""
        self._running.set()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def _routes(self) -> list[web.RouteDef]:
        model = self.model
        actions: dict[str, Action] = {
            "/v1/leases": lambda body: model.reserve(**body),
            "/v1/leases/start": lambda body: model.start(**body),
            "/v1/renew": lambda body: model.renew(**body),
            "/v1/leases/checkpoint": lambda body: model.checkpoint(**body),
            "/v1/leases/throttle": lambda body: model.throttle(**body),
            "/v1/leases/stop": lambda body: model.stop(**body),
            "/v1/leases/release": lambda body: model.release(**body),
        }
        routes = [web.post(path, self._post(act)) for path, act in actions.items()]
        return [
            *routes,
            web.get("/v1/state", self._get(lambda _: model.state())),
            web.get("/v1/usage", self._get(lambda _: self._lagging_usage())),
            web.get("/v1/history", self._get(lambda _: model.history)),
            web.post("/faults", self._set_faults),
            web.post("/faults/restart", self._restart),
        ]

    def _post(self, action: Action) -> Callable[..., Any]:
        async def handle(request: web.Request) -> web.StreamResponse:
            body = await request.json()
            return await self._answer(request, action, body)

        return handle

    def _get(self, action: Action) -> Callable[..., Any]:
        async def handle(request: web.Request) -> web.StreamResponse:
            return await self._answer(request, action, {})

        return handle

    async def _answer(
        self, request: web.Request, action: Action, body: dict[str, Any]
    ) -> web.StreamResponse:
        await self._running.wait()
        if self._slow_s:
            await asyncio.sleep(self._slow_s)
        response = self._carry_out(action, body)
        self._usage.append((time.monotonic(), self.model.usage()))
        if self._lose_answers > 0 and request.transport is not None:
            self._lose_answers -= 1
            request.transport.abort()
        return response

    @staticmethod
    def _carry_out(action: Action, body: dict[str, Any]) -> web.Response:
        try:
            return web.json_response(to_plain(action(body)))
        except StaleToken as error:
            plain = {"highest": error.highest}
            return web.json_response(plain, status=HTTP_CONFLICT)
        except WorkerRefused as error:
            plain_reason = {"reason": error.reason}
            return web.json_response(plain_reason, status=HTTP_CONFLICT)
        except (TypeError, ValueError) as error:
            plain_reason = {"reason": str(error)}
            return web.json_response(plain_reason, status=HTTP_BAD_REQUEST)

    def _lagging_usage(self) -> dict[str, int]:
        """Return the newest sample that is at least ``lag_s`` old."""
        before = time.monotonic() - self._lag_s
        samples = [usage for at, usage in self._usage if at <= before]
        if samples:
            return samples[-1]
        return {"accelerators": 0, "cores": 0, "memory_gb": 0}

    async def _set_faults(self, request: web.Request) -> web.Response:
        switches = await request.json()
        for name in MODEL_SWITCHES:
            if name in switches:
                setattr(self.model, name, bool(switches[name]))
        self._slow_s = float(switches.get("slow_s", self._slow_s))
        self._lose_answers = int(switches.get("lose_answers", self._lose_answers))
        if switches.get("paused"):
            self._running.clear()
        elif "paused" in switches:
            self._running.set()
        return web.json_response({})

    async def _restart(self, _: web.Request) -> web.Response:
        self.model.restart()
        return web.json_response({"boot_id": self.model.boot_id})
