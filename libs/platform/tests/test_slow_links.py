"""Reads of the platform over a slow link."""

import asyncio

import pytest
from aiohttp import web
from bilberryhitch_model.errors import StoreUnavailable
from bilberryhitch_platform import PlatformClient

# The response arrives steadily and takes twice the limit of a call.
LIMIT_S = 0.5
PARTS = 20
PART_PAUSE_S = 0.05


async def read_object(part_pause_s):
    async def handle(request):
        response = web.StreamResponse()
        await response.prepare(request)
        for _ in range(PARTS):
            await response.write(b"x" * 1_000)
            await asyncio.sleep(part_pause_s)
        return response

    app = web.Application()
    app.router.add_get("/{path:.*}", handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    port = runner.addresses[0][1]
    client = PlatformClient(f"http://127.0.0.1:{port}", timeout_s=LIMIT_S)
    await client.start()
    try:
        return await client.get_object("large")
    finally:
        await client.close()
        await runner.cleanup()


def test_an_object_that_arrives_steadily_is_read_to_its_end():
    """Guards against a large object that is requested again for ever."""
    assert len(asyncio.run(read_object(PART_PAUSE_S))) == PARTS * 1_000


def test_an_object_that_stops_arriving_is_given_up():
    """Guards against a host that waits for ever on a connection that was cut."""
    with pytest.raises(StoreUnavailable):
        asyncio.run(read_object(3600))
