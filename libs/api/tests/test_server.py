import asyncio

import aiohttp
from aiohttp import web
from bilberryhitch_api.server import ApiServer, health_routes
from bilberryhitch_model import Address


def make_server(routes, **options):
    return ApiServer(
        Address("127.0.0.1", 0),
        routes,
        max_body_bytes=1000,
        **{"max_calls": 10, **options},
    )


def url(server, path):
    return f"http://127.0.0.1:{server.address.port}{path}"


def test_finish_in_flight_waits_for_running_handlers():
    async def main():
        release = asyncio.Event()

        async def slow(_):
            await release.wait()
            return web.Response(text="x" * 100_000)

        server = make_server([web.get("/", slow)])
        await server.start()
        async with aiohttp.ClientSession() as session:
            call = asyncio.create_task(session.get(url(server, "/")))
            await asyncio.sleep(0.05)
            finished = asyncio.create_task(server.finish_in_flight())
            await asyncio.sleep(0.05)
            assert not finished.done()
            release.set()
            await finished
            await server.close()
            response = await call
            assert len(await response.read()) == 100_000

    asyncio.run(main())


def test_call_beyond_the_limit_is_rejected_as_not_run():
    async def main():
        release = asyncio.Event()

        async def slow(_):
            await release.wait()
            return web.Response()

        server = make_server([web.get("/", slow)], max_calls=1)
        await server.start()
        async with aiohttp.ClientSession() as session:
            call = asyncio.create_task(session.get(url(server, "/")))
            await asyncio.sleep(0.05)
            async with session.get(url(server, "/")) as rejected:
                assert rejected.status == 503
                assert rejected.headers["Bilberryhitch-Outcome"] == "not_run"
            release.set()
            (await call).close()
        await server.close()

    asyncio.run(main())


def test_readiness_and_metrics():
    async def main():
        server = make_server(health_routes(lambda: False, lambda: b"a 1\n"))
        await server.start()
        async with aiohttp.ClientSession() as session:
            found = {}
            for path in ("/healthz", "/readyz", "/metrics"):
                async with session.get(url(server, path)) as response:
                    found[path] = response.status
        await server.close()
        assert found == {"/healthz": 200, "/readyz": 503, "/metrics": 200}

    asyncio.run(main())
