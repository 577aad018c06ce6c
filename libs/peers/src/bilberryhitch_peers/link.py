"""Message link between entry hosts over ZeroMQ."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from itertools import count
from typing import Any, NamedTuple

import msgspec
import zmq
import zmq.asyncio
from bilberryhitch_model import Address, Identity, PeerAddress
from bilberryhitch_model.errors import PeerTimeout, PeerUnsent

from .envelope import MAX_MESSAGE_BYTES, Header, pack, unpack
from .messages import Message
from .outbox import Outbox, OutgoingMessage, SendState

QUEUE_LIMIT = 256
MAX_CONCURRENT_HANDLERS = 1024
# Send and receive queue of ZeroMQ per connection; messages in it cannot be withdrawn.
SOCKET_QUEUE_MESSAGES = 64
KEEPALIVE_INTERVAL_MS = 1000
KEEPALIVE_TIMEOUT_MS = 3000
RECONNECT_DELAY_MS = 100
MAX_RECONNECT_DELAY_MS = 1000
CLOSE_DRAIN_TIMEOUT_S = 0.5
LINGER_MS = 200

Handler = Callable[[str, Message], Awaitable[Message | None]]
Report = Callable[[str, Mapping[str, object]], None]


class _Call(NamedTuple):
    host: str
    answer: asyncio.Future[Message]


class _Peer(NamedTuple):
    address: PeerAddress
    outbox: Outbox


class LinkCounts:
    """Counters of a link since it was created.

    :ivar undecodable: received messages dropped because they did not decode
    :ivar refused: messages not queued, because the queue was full, the message
        too large or the peer unknown
    :ivar late_replies: replies dropped because no call was waiting for them
    :ivar overloaded: messages dropped because too many were being handled
    :ivar handler_failures: messages whose handler raised an exception
    """

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        self.undecodable = 0
        self.refused = 0
        self.late_replies = 0
        self.overloaded = 0
        self.handler_failures = 0


class PeerLink:
    """Sends messages to other entry hosts and receives theirs.

    One ROUTER socket receives; each peer has one DEALER socket, one bounded
    queue and one task. A reply is sent over the replying host's own DEALER.

    :param bind: address to listen on; with port 0 the kernel chooses a port
    :param handler: called with sender and message for everything but replies;
        its result is the reply to a call. Handlers start in order of arrival and
        run concurrently
    :param queue_limit: maximum number of queued messages per peer
    :param max_message_bytes: maximum size of a frame
    :param report: called with reason and log fields for each dropped message
    :ivar counts: counters of this link
    """

    def __init__(
        self,
        identity: Identity,
        bind: Address,
        peers: Sequence[PeerAddress],
        handler: Handler,
        *,
        queue_limit: int = QUEUE_LIMIT,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
        report: Report = lambda event, fields: None,
    ) -> None:
        self._identity = identity
        self._bind = bind
        self._addresses = tuple(peers)
        self._handler = handler
        self._queue_limit = queue_limit
        self._max_bytes = max_message_bytes
        self._report = report
        self._context: zmq.asyncio.Context | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._receiving: asyncio.Task[None] | None = None
        self._handling: set[asyncio.Task[None]] = set()
        self._closing: set[asyncio.Task[None]] = set()
        self._peers: dict[str, _Peer] = {}
        self._calls: dict[str, _Call] = {}
        self._numbers = count(1)
        self.counts = LinkCounts()

    async def start(self) -> Address:
        """Bind the socket and connect to every peer.

        :returns: the address bound
        :raises zmq.ZMQError: the address cannot be bound
        """
        self._context = zmq.asyncio.Context()
        router = self._new_socket(zmq.ROUTER)
        router.setsockopt(zmq.MAXMSGSIZE, self._max_bytes)
        router.bind(f"tcp://{self._bind.ip}:{self._bind.port}")
        self._router = router
        self._receiving = asyncio.create_task(self._receive(router))
        self.set_peers(self._addresses)
        endpoint = router.getsockopt_string(zmq.LAST_ENDPOINT)
        return Address(self._bind.ip, int(endpoint.rpartition(":")[2]))

    async def close(self) -> None:
        """Send queued messages for at most half a second, then stop.

        Calls in progress raise :class:`PeerUnsent` or :class:`PeerTimeout`.
        """
        if self._context is None:
            return
        outboxes = [peer.outbox for peer in self._peers.values()]
        await asyncio.gather(
            *(outbox.drain(CLOSE_DRAIN_TIMEOUT_S) for outbox in outboxes)
        )
        self._peers.clear()
        for outbox in outboxes:
            await outbox.close(LINGER_MS)
        for call in self._calls.values():
            call.answer.cancel()
        tasks = [task for task in (self._receiving, *self._handling) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *self._closing, return_exceptions=True)
        if self._router is not None:
            self._router.close(linger=0)
        # Termination blocks until lingering sockets are closed.
        await asyncio.to_thread(self._context.term)
        self._context = None

    def set_peers(self, peers: Sequence[PeerAddress]) -> None:
        """Replace the peers; a peer with the same address keeps its queue."""
        wanted = {peer.host: peer for peer in peers if peer.host != self._identity.host}
        for host, peer in list(self._peers.items()):
            if wanted.get(host) != peer.address:
                del self._peers[host]
                _spawn_tracked(self._closing, peer.outbox.close(LINGER_MS))
        for host, address in wanted.items():
            if host not in self._peers:
                outbox = Outbox(self._connect(address), self._queue_limit)
                self._peers[host] = _Peer(address, outbox)

    def send(self, host: str, message: Message) -> bool:
        """Queue a message; delivery is not guaranteed.

        :returns: ``False`` if it was not queued
        """
        header = Header(self._identity.host, "send")
        return self._queue(host, pack(header, message)) is not None

    def broadcast(self, message: Message, data_centre: str | None = None) -> None:
        """Queue a message to every peer, or to every peer of one data centre."""
        frames = pack(Header(self._identity.host, "send"), message)
        for host, peer in self._peers.items():
            if data_centre in (None, peer.address.data_centre):
                self._queue(host, frames)

    async def call(self, host: str, message: Message, timeout_s: float) -> Message:
        """Send a message and return its reply.

        :raises PeerUnsent: the message was not and will not be sent
        :raises PeerTimeout: the peer may have received the message
        """
        call_id = f"{self._identity.incarnation}-{next(self._numbers)}"
        header = Header(self._identity.host, "call", call_id)
        outgoing = self._queue(host, pack(header, message))
        if outgoing is None:
            raise PeerUnsent(host)
        outbox = self._peers[host].outbox
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._calls[call_id] = _Call(host, answer)
        try:
            done, _ = await asyncio.wait({answer}, timeout=timeout_s)
        finally:
            del self._calls[call_id]
            outbox.withdraw(outgoing)
        if done and not answer.cancelled():
            return answer.result()
        if outgoing.state is SendState.WITHDRAWN:
            raise PeerUnsent(host)
        raise PeerTimeout(host)

    def _queue(self, host: str, frames: tuple[bytes, bytes]) -> OutgoingMessage | None:
        peer = self._peers.get(host)
        size = sum(map(len, frames))
        outgoing = OutgoingMessage(frames)
        if (
            peer is None
            or max(map(len, frames)) > self._max_bytes
            or not peer.outbox.offer(outgoing)
        ):
            self.counts.refused += 1
            self._report("peer message refused", {"host": host, "bytes": size})
            return None
        self.counts.sent += 1
        self.counts.sent_bytes += size
        return outgoing

    async def _receive(self, router: zmq.asyncio.Socket) -> None:
        while True:
            _, *frames = await router.recv_multipart()
            self.counts.received += 1
            self.counts.received_bytes += sum(map(len, frames))
            try:
                header, message = unpack(frames)
            except msgspec.DecodeError as error:
                self.counts.undecodable += 1
                self._report("peer message undecodable", {"reason": str(error)})
                continue
            if header.kind == "reply":
                self._deliver_reply(header, message)
            elif len(self._handling) >= MAX_CONCURRENT_HANDLERS:
                self.counts.overloaded += 1
                self._report("peer message dropped", {"host": header.sender})
            else:
                _spawn_tracked(self._handling, self._handle(header, message))

    def _deliver_reply(self, header: Header, message: Message) -> None:
        call = self._calls.get(header.call_id)
        if call is None or call.host != header.sender or call.answer.done():
            self.counts.late_replies += 1
            return
        call.answer.set_result(message)

    async def _handle(self, header: Header, message: Message) -> None:
        try:
            reply = await self._handler(header.sender, message)
        except Exception as error:  # a failing handler must not stop the link
            self.counts.handler_failures += 1
            fields = {"host": header.sender, "error": repr(error)}
            self._report("peer handler failed", fields)
            return
        if reply is None or header.kind != "call":
            return
        answer = Header(self._identity.host, "reply", header.call_id)
        self._queue(header.sender, pack(answer, reply))

    def _connect(self, peer: PeerAddress) -> zmq.asyncio.Socket:
        socket = self._new_socket(zmq.DEALER)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_DELAY_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_DELAY_MS)
        socket.connect(f"tcp://{peer.address.ip}:{peer.address.port}")
        return socket

    def _new_socket(self, kind: int) -> zmq.asyncio.Socket:
        assert self._context is not None, "the link is not started"
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.SNDHWM, SOCKET_QUEUE_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, SOCKET_QUEUE_MESSAGES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, KEEPALIVE_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, KEEPALIVE_TIMEOUT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TTL, KEEPALIVE_TIMEOUT_MS)
        return socket


def _spawn_tracked(
    tasks: set[asyncio.Task[None]], work: Coroutine[Any, Any, None]
) -> None:
    """Run ``work`` as a task that ``tasks`` references until it ends."""
    task = asyncio.create_task(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
