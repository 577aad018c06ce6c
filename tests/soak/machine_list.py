"""A stand-in of the platform's list of machines, which is paged and out of date."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable

import msgspec
from aiohttp import web
from bilberryhitch_adapter_standins import Listener

PAGE_SIZE = 3
# Longest time between two readings of the workers, in seconds.
MAX_AGE_S = 1.0


class MachineList:
    """Lists one machine for each living worker, in the state of up to a second ago.

    The list may change between two of its pages.

    :param living: returns the identifiers of the workers that live
    """

    def __init__(self, living: Callable[[], Iterable[str]], rng: random.Random) -> None:
        self._living = living
        self._rng = rng
        self._listener = Listener(self._handle, rng)
        self._workers: list[str] = []
        self._read_at = 0.0
        self._reader: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return ``ip:port``."""
        return self._listener.address

    async def start(self) -> None:
        """Start the HTTP server."""
        await self._listener.start()
        self._reader = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the HTTP server."""
        if self._reader is not None:
            self._reader.cancel()
            await asyncio.gather(self._reader, return_exceptions=True)
        await self._listener.close()

    async def _run(self) -> None:
        while True:
            self._read()
            await asyncio.sleep(self._rng.uniform(0.2, MAX_AGE_S))

    def _read(self) -> None:
        self._workers = sorted(self._living())
        self._read_at = time.monotonic()

    async def _handle(self, request: web.Request) -> web.Response:
        if not request.path.endswith("/machines"):
            return web.Response(status=400)
        if time.monotonic() - self._read_at > MAX_AGE_S:
            self._read()
        first = int(request.query.get("page-token", 0))
        page = self._workers[first : first + PAGE_SIZE]
        document = {
            "machines": [
                {"machine": f"m-{name}", "pool": "pool", "state": "up", "id": name}
                for name in page
            ]
        }
        if first + PAGE_SIZE < len(self._workers):
            document["next-token"] = str(first + PAGE_SIZE)
        return web.Response(body=msgspec.json.encode(document))
