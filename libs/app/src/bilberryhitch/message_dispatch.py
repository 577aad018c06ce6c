"""Dispatches messages from peers to the services of an entry host."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from bilberryhitch_config import ConfigService
from bilberryhitch_gangs import JobService
from bilberryhitch_membership import Membership
from bilberryhitch_peers import (
    CancelJob,
    ConfigAsk,
    ConfigOffer,
    DrainNotice,
    ExplainAsk,
    ForwardRequest,
    Heartbeat,
    HostListAsk,
    HostListReply,
    JobNotice,
    Message,
    PeerLink,
    RequestStatusAsk,
)
from bilberryhitch_requests import RequestService

Handler = Callable[[str, Message], Awaitable[Message | None]]


class Services(Protocol):
    """The services of an entry host that process messages."""

    @property
    def link(self) -> PeerLink:
        """The link to the other entry hosts."""

    @property
    def membership(self) -> Membership:
        """The membership service: live and leaving hosts."""

    @property
    def config(self) -> ConfigService:
        """The configuration service: routes and pools."""

    @property
    def jobs(self) -> JobService:
        """The job service."""

    @property
    def requests(self) -> RequestService:
        """The request service."""


def make_message_handler(services: Services) -> Handler:
    """Return the message handler for the peer link.

    It returns the reply to a message, or ``None``.
    """

    async def handle(sender: str, message: Message) -> Message | None:
        if isinstance(message, Heartbeat):
            _receive_heartbeat(services, message)
            return None
        if isinstance(message, DrainNotice):
            services.membership.receive_drain_notice(message)
            return None
        if isinstance(message, HostListAsk):
            _send_host_list(services, sender)
            return None
        if isinstance(message, HostListReply):
            services.membership.receive_host_list(message)
            return None
        if isinstance(message, ConfigOffer | ConfigAsk):
            return await services.config.handle(sender, message)
        if isinstance(message, JobNotice | CancelJob | ExplainAsk):
            return await services.jobs.handle(sender, message)
        if isinstance(message, ForwardRequest | RequestStatusAsk):
            return await services.requests.handle(sender, message)
        return None

    return handle


def _send_host_list(services: Services, host: str) -> None:
    reply = services.membership.answer_host_list()
    if reply is not None:
        services.link.send(host, reply)


def _receive_heartbeat(services: Services, heartbeat: Heartbeat) -> None:
    services.membership.receive_heartbeat(heartbeat)
    services.config.receive_revision(heartbeat.host, heartbeat.config_revision)
    services.requests.receive_free_slots(heartbeat.host, heartbeat.free_slots)
    services.requests.receive_usage(heartbeat.host, heartbeat.usage)
