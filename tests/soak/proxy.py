"""A loopback proxy that delays, resets, silences or cuts connections one way."""

import asyncio
from contextlib import suppress

CHUNK = 65_536


class Proxy:
    """Passes bytes between callers and one server.

    A connection of which bytes were dropped stays silent in that direction for good,
    as behind a cut; new ones work once the cut is over.

    :ivar drop_requests: what callers send is lost
    :ivar drop_answers: what the server sends is lost
    :ivar delay_s: added to every piece in each direction
    """

    def __init__(self, target: str) -> None:
        self.drop_requests = False
        self.drop_answers = False
        self.delay_s = 0.0
        self._target = target
        self._server: asyncio.Server | None = None
        self._links: set[asyncio.Task[None]] = set()
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
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        links = list(self._links)
        for link in links:
            link.cancel()
        await asyncio.gather(*links, return_exceptions=True)

    def reset(self) -> None:
        """Abort all open connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = asyncio.create_task(self._link(reader, writer))
        self._links.add(link)
        link.add_done_callback(self._links.discard)

    async def _link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        pair = {writer}
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            pair.add(far_writer)
            self._writers |= pair
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer, "drop_requests"))
                group.create_task(self._pump(far_reader, writer, "drop_answers"))
        except* (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers -= pair
            for each in pair:
                each.transport.abort()
                with suppress(OSError):
                    await each.wait_closed()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, switch: str
    ) -> None:
        silent = False
        while data := await reader.read(CHUNK):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            silent = silent or getattr(self, switch)
            if not silent:
                writer.write(data)
                await writer.drain()
        if not silent:
            with suppress(OSError):
                writer.write_eof()
