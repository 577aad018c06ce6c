"""The proxy's faults do what the soak takes them to do."""

import asyncio

import pytest

from tests.soak.proxy import Proxy


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def talk(scene):
    async def run():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        proxy = Proxy(f"127.0.0.1:{port}")
        await proxy.start()
        host, _, port = proxy.address.rpartition(":")
        opened = []

        async def connect():
            opened.append(await asyncio.open_connection(host, int(port)))
            return opened[-1]

        try:
            await scene(proxy, connect)
        finally:
            for _, writer in opened:
                writer.transport.abort()
            await proxy.close()
            server.close()

    asyncio.run(run())


async def answered(reader, writer):
    writer.write(b"x")
    try:
        async with asyncio.timeout(0.2):
            return await reader.read(1) == b"x"
    except TimeoutError:
        return False


@pytest.mark.parametrize("switch", ["drop_requests", "drop_answers"])
def test_a_cut_connection_stays_silent_and_a_new_one_works(switch):
    async def scene(proxy, connect):
        old = await connect()
        assert await answered(*old)
        setattr(proxy, switch, True)
        assert not await answered(*old)
        setattr(proxy, switch, False)
        assert not await answered(*old)
        assert await answered(*await connect())

    talk(scene)


def test_connections_are_reset():
    async def scene(proxy, connect):
        reader, writer = await connect()
        assert await answered(reader, writer)
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            assert await reader.read(1) == b""
            raise ConnectionResetError

    talk(scene)
