import asyncio
import contextlib

import pytest
import zmq
import zmq.asyncio
from bilberryhitch_model import Address, Identity, PeerAddress
from bilberryhitch_model.errors import PeerTimeout, PeerUnsent
from bilberryhitch_peers import ConfigAsk, ConfigOffer, Heartbeat, JobNotice, PeerLink
from bilberryhitch_peers.envelope import Header, pack

LOOPBACK = Address("127.0.0.1", 0)
UNREACHABLE_PEER = PeerAddress("ghost", "ruwi", Address("127.0.0.1", 9))  # discard port
PEER_TIMEOUT_S = 10.0


class RecordingHost:
    """A link whose handler records messages and answers ``ConfigAsk``."""

    def __init__(self, name, **limits):
        self.received = []
        self.answer_after_s = 0.0
        self.link = PeerLink(
            Identity(name, "ruwi", f"{name}-1"), LOOPBACK, [], self.handle, **limits
        )

    async def handle(self, sender, message):
        self.received.append((sender, message))
        if isinstance(message, JobNotice) and message.state == "bad":
            raise ValueError(message)
        if isinstance(message, ConfigAsk):
            await asyncio.sleep(self.answer_after_s)
            return ConfigOffer(message.since)
        return None


def run_with_pair(scenario, **limits):
    async def main():
        hosts = [RecordingHost("e1", **limits), RecordingHost("e2", **limits)]
        addresses = [
            PeerAddress(name, "ruwi", await host.link.start())
            for name, host in zip(("e1", "e2"), hosts, strict=True)
        ]
        try:
            for host in hosts:
                host.link.set_peers([*addresses, UNREACHABLE_PEER])
            await hosts[0].link.call("e2", ConfigAsk(0), PEER_TIMEOUT_S)
            await scenario(*hosts)
        finally:
            for host in hosts:
                await host.link.close()

    asyncio.run(main())


async def wait_for_condition(condition):
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition not met within 10 s")


def test_concurrent_calls_get_their_own_replies():
    # Guards against replies that are delivered to another call.
    async def scenario(e1, e2):
        calls = [e1.link.call("e2", ConfigAsk(n), PEER_TIMEOUT_S) for n in range(50)]
        answers = await asyncio.gather(*calls)
        assert [answer.revision for answer in answers] == list(range(50))

    run_with_pair(scenario)


def test_late_reply_is_dropped():
    # Guards against a late reply that completes the next call.
    async def scenario(e1, e2):
        e2.answer_after_s = 0.2
        with pytest.raises(PeerTimeout):
            await e1.link.call("e2", ConfigAsk(1), 0.05)
        e2.answer_after_s = 0.0
        answer = await e1.link.call("e2", ConfigAsk(2), PEER_TIMEOUT_S)
        assert answer.revision == 2
        await wait_for_condition(lambda: e1.link.counts.late_replies == 1)

    run_with_pair(scenario)


def test_reply_from_another_host_is_dropped():
    # Guards against a host that replies to a call made to another host.
    async def scenario(e1, e2):
        future = asyncio.get_running_loop().create_future()
        from bilberryhitch_peers.link import _Call

        e1.link._calls["e1-1-x"] = _Call("e3", future)
        frames = pack(Header("e2", "reply", "e1-1-x"), ConfigOffer(1))
        e2.link._queue("e1", frames)
        await wait_for_condition(lambda: e1.link.counts.late_replies == 1)
        assert not future.done()
        del e1.link._calls["e1-1-x"]

    run_with_pair(scenario)


def test_call_to_an_unreachable_peer_raises_unsent():
    # Guards against a withdrawn message that is sent when the peer connects.
    async def scenario(e1, e2):
        for host in ("ghost", "unknown"):
            with pytest.raises(PeerUnsent):
                await e1.link.call(host, ConfigAsk(1), 0.05)
        assert len(e2.received) == 1

    run_with_pair(scenario)


def test_message_to_a_peer_that_starts_later_is_withdrawn_or_sent():
    # Guards against sending a withdrawn message when the peer starts again at the
    # same address.
    async def scenario(e1, e2):
        e3 = RecordingHost("e3")
        address = await e3.link.start()
        await e3.link.close()
        e1.link.set_peers([PeerAddress("e3", "ruwi", address)])
        with pytest.raises(PeerUnsent):
            await e1.link.call("e3", ConfigAsk(1), 0.05)
        assert e1.link.send("e3", JobNotice("j", "queued"))
        e3 = RecordingHost("e3")
        e3.link._bind = address
        await e3.link.start()
        await wait_for_condition(lambda: e3.received)
        assert e3.received == [("e1", JobNotice("j", "queued"))]
        await e3.link.close()

    run_with_pair(scenario)


def test_full_queue_refuses_new_messages():
    async def scenario(e1, e2):
        sent = [e1.link.send("ghost", JobNotice(str(n), "queued")) for n in range(5)]
        assert sent == [True, True, True, False, False]
        assert e1.link.counts.refused == 2

    run_with_pair(scenario, queue_limit=3)


def test_oversized_messages_are_refused_on_both_sides():
    async def scenario(e1, e2):
        large = ConfigOffer(1, snapshot=bytes(2000))
        assert not e1.link.send("e2", large)
        e1.link._max_bytes = 10_000
        assert e1.link.send("e2", large)
        # The oversized message closes the connection, and with it are lost the
        # messages that were sent after it.
        for _ in range(20):
            with contextlib.suppress(PeerTimeout, PeerUnsent):
                await e1.link.call("e2", ConfigAsk(3), 0.5)
                break
        assert e2.received[-1] == ("e1", ConfigAsk(3))
        assert all(not isinstance(message, ConfigOffer) for _, message in e2.received)

    run_with_pair(scenario, max_message_bytes=1000)


def test_undecodable_messages_and_failing_handlers_do_not_stop_the_link():
    # Guards against a peer of a newer version, or any other process, that stops
    # the receive loop.
    async def scenario(e1, e2):
        context = zmq.asyncio.Context()
        dealer = context.socket(zmq.DEALER)
        dealer.connect(e2.link._router.getsockopt_string(zmq.LAST_ENDPOINT))
        good = pack(Header("e1", "send"), ConfigAsk(1))
        for frames in ([b"x"], [b"\xc1", good[1]], [good[0], b"\x81\xa4type\xa1z"]):
            await dealer.send_multipart(frames)
        await wait_for_condition(lambda: e2.link.counts.undecodable == 3)
        context.destroy(linger=0)
        e1.link.send("e2", JobNotice("j", "bad"))
        await wait_for_condition(lambda: e2.link.counts.handler_failures == 1)
        await e1.link.call("e2", ConfigAsk(1), PEER_TIMEOUT_S)

    run_with_pair(scenario)


def test_broadcast_reaches_only_the_given_data_centre():
    async def scenario(e1, e2):
        heartbeat = Heartbeat("e1", "ruwi", "e1-1", False, 1)
        e1.link.broadcast(heartbeat, "seeb")
        e1.link.broadcast(heartbeat, "ruwi")
        await e1.link.call("e2", ConfigAsk(1), PEER_TIMEOUT_S)
        assert [m for _, m in e2.received if isinstance(m, Heartbeat)] == [heartbeat]

    run_with_pair(scenario)


def test_close_ends_calls_in_progress():
    async def scenario(e1, e2):
        e2.answer_after_s = PEER_TIMEOUT_S
        call = asyncio.create_task(e1.link.call("e2", ConfigAsk(1), PEER_TIMEOUT_S))
        await wait_for_condition(lambda: len(e2.received) == 2)
        await e1.link.close()
        with pytest.raises(PeerTimeout):
            await call

    run_with_pair(scenario)
