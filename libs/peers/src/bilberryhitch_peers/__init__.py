"""ZeroMQ link between entry hosts and its message types."""

from .link import LinkCounts, PeerLink
from .messages import (
    CancelJob,
    CancelReply,
    ConfigAsk,
    ConfigOffer,
    DrainNotice,
    ExplainAsk,
    ExplainReply,
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    HostListAsk,
    HostListReply,
    JobNotice,
    Message,
    RequestStatusAsk,
    RequestStatusReply,
)

__all__ = [
    "CancelJob",
    "CancelReply",
    "ConfigAsk",
    "ConfigOffer",
    "DrainNotice",
    "ExplainAsk",
    "ExplainReply",
    "ForwardReply",
    "ForwardRequest",
    "Heartbeat",
    "HostListAsk",
    "HostListReply",
    "JobNotice",
    "LinkCounts",
    "Message",
    "PeerLink",
    "RequestStatusAsk",
    "RequestStatusReply",
]
