"""Bounded queue of outgoing messages to one peer and the task that sends them."""

import asyncio
import contextlib
from collections import deque
from enum import Enum
from typing import cast

import zmq
import zmq.asyncio

Frames = tuple[bytes, bytes]


class SendState(Enum):
    """Delivery state of an outgoing message."""

    QUEUED = "queued"
    SENT = "sent"
    WITHDRAWN = "withdrawn"


class OutgoingMessage:
    """An outgoing message.

    :ivar state: ``SENT`` from the moment the peer may receive it
    """

    __slots__ = ("frames", "state")

    def __init__(self, frames: Frames) -> None:
        self.frames = frames
        self.state = SendState.QUEUED


class Outbox:
    """Sends messages to one peer in order.

    A message stays in this queue, from which it can be withdrawn, until a
    connection accepts it: ``ZMQ_IMMEDIATE`` keeps ZeroMQ from queueing messages
    for a peer that is not connected.

    :param socket: a DEALER socket on which connect was called; closed with the
        outbox
    :param limit: maximum number of queued messages
    """

    def __init__(self, socket: zmq.asyncio.Socket, limit: int) -> None:
        self._socket = socket
        self._writable = zmq.asyncio.Poller()
        self._writable.register(socket, zmq.POLLOUT)
        self._limit = limit
        self._queue: deque[OutgoingMessage] = deque()
        self._waiting = 0
        self._filled = asyncio.Event()
        self._emptied = asyncio.Event()
        self._emptied.set()
        self._task = asyncio.create_task(self._run())

    def offer(self, outgoing: OutgoingMessage) -> bool:
        """Queue a message; return ``False`` if the queue is full."""
        if self._waiting >= self._limit:
            return False
        self._queue.append(outgoing)
        self._waiting += 1
        self._filled.set()
        self._emptied.clear()
        return True

    def withdraw(self, outgoing: OutgoingMessage) -> bool:
        """Withdraw a message; return ``False`` if the peer may receive it."""
        if outgoing.state is SendState.QUEUED:
            outgoing.state = SendState.WITHDRAWN
            self._decrement_waiting()
        return outgoing.state is SendState.WITHDRAWN

    async def drain(self, timeout_s: float) -> None:
        """Wait until the queue is empty, at most ``timeout_s`` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._emptied.wait()

    async def close(self, linger_ms: int) -> None:
        """Stop sending and withdraw all queued messages."""
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
            # Polling costs more than a send, and most sends succeed immediately.
            if not self._send_first():
                await self._writable.poll()

    def _send_first(self) -> bool:
        """Send the first message; return ``False`` if no connection accepts it now.

        With ``NOBLOCK`` the send succeeds or fails before this task yields, so a
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
        self._decrement_waiting()
        return True

    def _decrement_waiting(self) -> None:
        self._waiting -= 1
        if self._waiting == 0:
            self._emptied.set()
        while self._queue and self._queue[0].state is SendState.WITHDRAWN:
            self._queue.popleft()
