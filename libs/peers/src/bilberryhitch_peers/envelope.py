"""Wire format of the peer link: a header and a message frame, both msgpack."""

from typing import Literal

import msgspec

from .messages import Message

MAX_MESSAGE_BYTES = 8 * 1024 * 1024


class Header(msgspec.Struct, frozen=True, array_like=True):
    """First frame of every message.

    :ivar sender: name of the sending host
    :ivar kind: one-way message, call that expects a reply, or reply
    :ivar call_id: correlates a call and its reply; empty for ``send``
    """

    sender: str
    kind: Literal["send", "call", "reply"]
    call_id: str = ""


_encoder = msgspec.msgpack.Encoder()
_headers = msgspec.msgpack.Decoder(Header)
_messages: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def pack(header: Header, message: Message) -> tuple[bytes, bytes]:
    """Return the two frames of a message."""
    return _encoder.encode(header), _encoder.encode(message)


def unpack(frames: list[bytes]) -> tuple[Header, Message]:
    """Decode header and message from the frames after the routing frame.

    :raises msgspec.DecodeError: there are not two frames, or one is invalid
    """
    try:
        header, message = frames
    except ValueError as error:
        raise msgspec.DecodeError(f"{len(frames)} frames instead of 2") from error
    return _headers.decode(header), _messages.decode(message)
