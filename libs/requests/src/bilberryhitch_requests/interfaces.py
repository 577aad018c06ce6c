"""Interfaces that the request path requires from the other libraries."""

from typing import Protocol

from bilberryhitch_model import Host, Tables
from bilberryhitch_peers import Message


class ConfigView(Protocol):
    """Read access to the current configuration."""

    @property
    def tables_view(self) -> Tables:
        """The current routes and pools."""


class MembershipView(Protocol):
    """Read access to this process's view of live and leaving hosts."""

    def entry_hosts(self, data_centre: str) -> list[str]:
        """Return the live entry hosts that are not leaving, sorted by name."""

    def endpoints(self, kind: str, data_centre: str) -> list[Host]:
        """Return the executors or workers that may receive new work."""

    def is_leaving(self, host: str) -> bool:
        """Return whether the host is leaving."""


class PeerCalls(Protocol):
    """Calls to other entry hosts."""

    async def call(self, host: str, message: Message, timeout_s: float) -> Message:
        """Send a message and return the reply.

        :raises PeerUnsent: the message was not sent and the peer will not get it
        :raises PeerTimeout: no reply came in time; the peer may have got the message
        """
