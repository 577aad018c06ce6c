"""What the request path needs of the other libraries."""

from typing import Protocol

from bilberryhitch_model import Host, Tables
from bilberryhitch_peers import Message


class ConfigView(Protocol):
    """The configuration in force."""

    @property
    def tables_view(self) -> Tables:
        """Routes and pools now in force."""


class MembershipView(Protocol):
    """Live and leaving hosts, as far as this process knows."""

    def entry_hosts(self, data_centre: str) -> list[str]:
        """Return live entry hosts that are not leaving, sorted."""

    def endpoints(self, kind: str, data_centre: str) -> list[Host]:
        """Return endpoint hosts usable for new work."""

    def is_leaving(self, host: str) -> bool:
        """Return whether the host is leaving."""


class PeerCalls(Protocol):
    """Calls to other entry hosts."""

    async def call(self, host: str, message: Message, timeout_s: float) -> Message:
        """Send a message and return its answer.

        :raises PeerUnsent: the peer never sees the message
        :raises PeerTimeout: the peer may have seen it
        """
