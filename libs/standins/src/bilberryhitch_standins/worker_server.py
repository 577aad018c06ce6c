"""Stand-in of a worker: the worker protocol over HTTP, with fault injection.

The protocol is that of ``bilberryhitch_gangs``, not of ``bilberryhitch_planner``.
"""

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
MODEL_FAULTS = ("refuse_starts", "fail_everything", "ignore_checkpoint")
USAGE_SAMPLES = 1000

Action = Callable[[dict[str, Any]], object]


class WorkerStandin:
    """HTTP server of one simulated worker.

    ``POST /faults`` sets the faults given in its body: ``refuse_starts``,
    ``fail_everything``, ``ignore_checkpoint``, ``paused`` (calls wait), ``slow_s``
    (delay before each call, in seconds) and ``lose_answers`` (number of calls that are
    carried out without an answer). ``POST /faults/restart`` simulates a restart of the
    worker, which loses all leases.

    :param bind: IP address to listen on
    :param port: TCP port; 0 lets the kernel choose
    :param lag_s: age of the reported usage, in seconds
    :ivar model: lease table of the worker
    """

    def __init__(
        self, host: Host, bind: str = "127.0.0.1", port: int = 0, lag_s: float = 1.0
    ) -> None:
        self.model = WorkerModel(host, time.monotonic)
        self._bind = bind
        self._port = port
        self._usage_lag_s = lag_s
        self._delay_s = 0.0
        self._lose_answers = 0
        self._unpaused = asyncio.Event()
        self._unpaused.set()
        self._usage_samples: deque[tuple[float, dict[str, int]]] = deque(
            maxlen=USAGE_SAMPLES
        )
        self._runner: web.AppRunner | None = None

    async def start(self) -> Address:
        """Listen.

        :returns: the address that callers connect to
        """
        app = web.Application()
        app.add_routes(self._routes())
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._bind, self._port)
        await site.start()
        ip, port = self._runner.addresses[0][:2]
        return Address(ip, port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._unpaused.set()
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
        routes = [
            web.post(path, self._post(action)) for path, action in actions.items()
        ]
        return [
            *routes,
            web.get("/v1/state", self._get(lambda _: model.state())),
            web.get("/v1/usage", self._get(lambda _: self._get_delayed_usage())),
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
        await self._unpaused.wait()
        if self._delay_s:
            await asyncio.sleep(self._delay_s)
        response = self._call_model(action, body)
        self._usage_samples.append((time.monotonic(), self.model.usage()))
        if self._lose_answers > 0 and request.transport is not None:
            self._lose_answers -= 1
            request.transport.abort()
        return response

    @staticmethod
    def _call_model(action: Action, body: dict[str, Any]) -> web.Response:
        try:
            return web.json_response(to_plain(action(body)))
        except StaleToken as error:
            document = {"highest": error.highest}
            return web.json_response(document, status=HTTP_CONFLICT)
        except WorkerRefused as error:
            refusal = {"reason": error.reason}
            return web.json_response(refusal, status=HTTP_CONFLICT)
        except (TypeError, ValueError) as error:
            refusal = {"reason": str(error)}
            return web.json_response(refusal, status=HTTP_BAD_REQUEST)

    def _get_delayed_usage(self) -> dict[str, int]:
        """Return the newest usage sample that is at least ``lag_s`` seconds old."""
        before = time.monotonic() - self._usage_lag_s
        samples = [usage for at, usage in self._usage_samples if at <= before]
        if samples:
            return samples[-1]
        return {"accelerators": 0, "cores": 0, "memory_gb": 0}

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = await request.json()
        for name in MODEL_FAULTS:
            if name in faults:
                setattr(self.model, name, bool(faults[name]))
        self._delay_s = float(faults.get("slow_s", self._delay_s))
        self._lose_answers = int(faults.get("lose_answers", self._lose_answers))
        if faults.get("paused"):
            self._unpaused.clear()
        elif "paused" in faults:
            self._unpaused.set()
        return web.json_response({})

    async def _restart(self, _: web.Request) -> web.Response:
        self.model.restart()
        return web.json_response({"boot_id": self.model.boot_id})
