"""TCP proxy on loopback that delays, resets or drops data in one direction."""

import asyncio
import random
from contextlib import suppress

READ_SIZE_BYTES = 65_536


class Proxy:
    """Forwards bytes between clients and one server.

    A connection whose data was dropped once transfers nothing more in that direction,
    as after a network partition. Connections opened after the fault work.

    :ivar target: ``ip:port`` of the server
    :ivar drop_requests: drop the data that clients send
    :ivar drop_answers: drop the data that the server sends
    :ivar delay_s: delay of every chunk in each direction, in seconds
    :ivar late_s: new connections reach the server up to this many seconds late, in any
        order, with what their clients sent before they gave up
    :ivar bytes_per_s: bandwidth of each connection in each direction; None for no limit
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.drop_requests = False
        self.drop_answers = False
        self.delay_s = 0.0
        self.late_s = 0.0
        self.bytes_per_s: float | None = None
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._held: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return ``ip:port``."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        """Listen on a port that the kernel chooses."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        connections = list(self._connections)
        for connection in connections:
            connection.cancel()
        await asyncio.gather(*connections, return_exceptions=True)

    def reset(self) -> None:
        """Abort all open connections."""
        for writer in self._writers:
            writer.transport.abort()

    def drop_held(self) -> None:
        """Drop the connections that have not reached the server."""
        for connection in self._held:
            connection.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = asyncio.create_task(self._serve_connection(reader, writer))
        self._connections.add(connection)
        connection.add_done_callback(self._connections.discard)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        writers = {writer}
        try:
            await self._hold_back()
            server_reader, server_writer = await asyncio.open_connection(
                host, int(port)
            )
            writers.add(server_writer)
            self._writers |= writers
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, server_writer, "drop_requests"))
                group.create_task(self._forward(server_reader, writer, "drop_answers"))
        except* (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers -= writers
            for each in writers:
                each.transport.abort()
                with suppress(OSError):
                    await each.wait_closed()

    async def _hold_back(self) -> None:
        if not self.late_s:
            return
        connection = asyncio.current_task()
        assert connection is not None
        self._held.add(connection)
        try:
            await asyncio.sleep(random.uniform(0.0, self.late_s))
        finally:
            self._held.discard(connection)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, drop_flag: str
    ) -> None:
        dropped = False
        while data := await reader.read(READ_SIZE_BYTES):
            pause_s = self.delay_s
            if self.bytes_per_s is not None:
                pause_s += len(data) / self.bytes_per_s
            if pause_s:
                await asyncio.sleep(pause_s)
            dropped = dropped or getattr(self, drop_flag)
            if not dropped:
                writer.write(data)
                await writer.drain()
        if not dropped:
            with suppress(OSError):
                writer.write_eof()
