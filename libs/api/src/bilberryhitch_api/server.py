"""The HTTP server of an entry host."""

import asyncio
from collections.abc import Callable, Iterable

from aiohttp import web
from bilberryhitch_model import Address
from bilberryhitch_model.errors import NotRun

from .errors import Handler, error_middleware

BUSY_RETRY_AFTER_S = 1.0


class ApiServer:
    """Serves the HTTP API on one address.

    :param routes: routes for callers, operators and monitoring
    :param max_body_bytes: maximum size of an HTTP request body, in bytes
    :param max_calls: maximum number of concurrent HTTP requests; further ones are
        rejected as not run
    :param shutdown_wait_s: how long :meth:`close` waits for open connections, in
        seconds
    """

    def __init__(
        self,
        bind: Address,
        routes: Iterable[web.RouteDef],
        *,
        max_body_bytes: int,
        max_calls: int,
        shutdown_wait_s: float = 1.0,
    ) -> None:
        application = web.Application(
            client_max_size=max_body_bytes,
            middlewares=[error_middleware, self._limit_concurrency],
        )
        application.add_routes(list(routes))
        self._bind = bind
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=shutdown_wait_s
        )
        self._site: web.TCPSite | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self._in_flight = 0
        self._max_calls = max_calls

    @property
    def address(self) -> Address:
        """The address the server listens on, with the actual port if it was 0."""
        if not self._runner.addresses:
            return self._bind
        ip, port = self._runner.addresses[0][:2]
        return Address(ip, port)

    async def start(self) -> None:
        """Start listening."""
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, self._bind.ip, self._bind.port)
        await self._site.start()

    async def finish_in_flight(self) -> None:
        """Wait until no HTTP request is being handled."""
        await self._idle.wait()

    async def stop_listening(self) -> None:
        """Stop accepting connections; open ones are still served."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def close(self) -> None:
        """Close all connections; to be called after :meth:`finish_in_flight`."""
        await self._runner.cleanup()

    @web.middleware
    async def _limit_concurrency(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if self._in_flight >= self._max_calls:
            raise NotRun("too many calls at this entry host", BUSY_RETRY_AFTER_S)
        self._in_flight += 1
        self._idle.clear()
        try:
            return await handler(request)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()


def health_routes(
    ready: Callable[[], bool], metrics_text: Callable[[], bytes]
) -> list[web.RouteDef]:
    """Return the routes for load balancer checks and for metrics scrapes.

    :param ready: whether this host should receive traffic
    :param metrics_text: returns the metrics in the Prometheus text format
    """

    async def healthz(_: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(_: web.Request) -> web.Response:
        if ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def metrics(_: web.Request) -> web.Response:
        return web.Response(body=metrics_text(), content_type="text/plain")

    return [
        web.get("/healthz", healthz),
        web.get("/readyz", readyz),
        web.get("/metrics", metrics),
    ]
