"""The bounded queue of one peer and the task that empties it."""

import asyncio
import contextlib
from collections import deque
from enum import Enum
from typing import cast

import zmq
import zmq.asyncio

Frames = tuple[bytes, bytes]


class SendState(Enum):
    """How far a message got."""

    QUEUED = "queued"
    SENT = "sent"
    WITHDRAWN = "withdrawn"


class Outgoing:
    """A message on its way out.

    :ivar state: ``SENT`` from the moment the peer may receive it
    """

    __slots__ = ("frames", "state")

    def __init__(self, frames: Frames) -> None:
        self.frames = frames
        self.state = SendState.QUEUED


class Outbox:
    """Messages to one peer, in order.

    Messages stay in this queue, where they can be withdrawn, until a connection
    exists and takes them: ``ZMQ_IMMEDIATE`` keeps ZeroMQ from holding messages
    for a peer that is not connected.

    :param socket: a connected DEALER; closed with the outbox
    :param limit: most messages that wait
    """

    def __init__(self, socket: zmq.asyncio.Socket, limit: int) -> None:
        self._socket = socket
        self._writable = zmq.asyncio.Poller()
        self._writable.register(socket, zmq.POLLOUT)
        self._limit = limit
        self._queue: deque[Outgoing] = deque()
        self._waiting = 0
        self._filled = asyncio.Event()
        self._emptied = asyncio.Event()
        self._emptied.set()
        self._task = asyncio.create_task(self._run())

    def offer(self, outgoing: Outgoing) -> bool:
        """Queue a message; ``False`` when the queue is full."""
        if self._waiting >= self._limit:
            return False
        self._queue.append(outgoing)
        self._waiting += 1
        self._filled.set()
        self._emptied.clear()
        return True

    def withdraw(self, outgoing: Outgoing) -> bool:
        """Take a message back; ``False`` when the peer may receive it."""
        if outgoing.state is SendState.QUEUED:
            outgoing.state = SendState.WITHDRAWN
            self._one_less()
        return outgoing.state is SendState.WITHDRAWN

    async def drain(self, timeout_s: float) -> None:
        """Wait until the queue is empty, at most ``timeout_s`` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._emptied.wait()

    async def close(self, linger_ms: int) -> None:
        """Stop sending; what is queued is never sent."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        while self._queue:
            self.withdraw(self._queue[0])
        self._socket.close(linger=linger_ms)

    async def _run(self) -> None:
        while True:
            await self._filled.wait()
            if not self._queue:
                self._filled.clear()
                continue
            # Polling costs more than a send, and most sends succeed at once.
            if not self._send_first():
                await self._writable.poll()

    def _send_first(self) -> bool:
        """Send the first message; ``False`` when no connection takes it now.

        With ``NOBLOCK`` the send is decided before this task is suspended, so a
        message is never both withdrawn and sent.
        """
        outgoing = self._queue[0]
        sending = cast(
            "asyncio.Future[object]",
            self._socket.send_multipart(outgoing.frames, flags=zmq.NOBLOCK),
        )
        if sending.exception() is not None:
            return False
        self._queue.popleft()
        outgoing.state = SendState.SENT
        self._one_less()
        return True

    def _one_less(self) -> None:
        self._waiting -= 1
        if self._waiting == 0:
            self._emptied.set()
        while self._queue and self._queue[0].state is SendState.WITHDRAWN:
            self._queue.popleft()
