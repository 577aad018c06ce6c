"""Tests of the faults that the proxy injects for the soak test."""

import asyncio

import pytest

from tests.soak.proxy import Proxy


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def run_with_proxy(scenario):
    async def run():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        proxy = Proxy(f"127.0.0.1:{port}")
        await proxy.start()
        host, _, port = proxy.address.rpartition(":")
        connections = []

        async def connect():
            connections.append(await asyncio.open_connection(host, int(port)))
            return connections[-1]

        try:
            await scenario(proxy, connect)
        finally:
            for _, writer in connections:
                writer.transport.abort()
            await proxy.close()
            server.close()

    asyncio.run(run())


async def is_answered(reader, writer):
    writer.write(b"x")
    try:
        async with asyncio.timeout(0.2):
            return await reader.read(1) == b"x"
    except TimeoutError:
        return False


@pytest.mark.parametrize("drop_flag", ["drop_requests", "drop_answers"])
def test_only_connections_opened_after_the_drop_work(drop_flag):
    async def scenario(proxy, connect):
        old = await connect()
        assert await is_answered(*old)
        setattr(proxy, drop_flag, True)
        assert not await is_answered(*old)
        setattr(proxy, drop_flag, False)
        assert not await is_answered(*old)
        assert await is_answered(*await connect())

    run_with_proxy(scenario)


def test_reset_aborts_open_connections():
    async def scenario(proxy, connect):
        reader, writer = await connect()
        assert await is_answered(reader, writer)
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            assert await reader.read(1) == b""
            raise ConnectionResetError

    run_with_proxy(scenario)


def test_late_connection_delivers_what_its_client_sent_before_it_gave_up():
    """Guards against late orders that are lost in the proxy instead of carried out."""
    received = []

    async def keep(reader, writer):
        received.append(await reader.read(100))
        writer.close()

    async def run():
        server = await asyncio.start_server(keep, "127.0.0.1", 0)
        proxy = Proxy(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        await proxy.start()
        proxy.late_s = 0.2
        host, _, port = proxy.address.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"order")
            await writer.drain()
            writer.close()
            await asyncio.sleep(0.4)
            assert received == [b"order"]
        finally:
            await proxy.close()
            server.close()

    asyncio.run(run())
