"""Known entry hosts, their liveness, and the targets of heartbeats."""

from collections.abc import Iterable, Sequence

from bilberryhitch_model import Host, Identity, PeerAddress
from bilberryhitch_peers import Heartbeat

LIVENESS_TIMEOUT_S = 2.0
STARTUP_GRACE_S = 2.0
PEERS_PER_REMOTE_DATA_CENTRE = 2


class EntryHosts:
    """Tracks entry hosts by their heartbeats.

    The settings and the host list name hosts that may exist; only heartbeats show
    that they are live.

    :param peers: entry hosts named in the settings
    :param started_s: loop time at which this process started
    """

    def __init__(
        self, identity: Identity, peers: Sequence[PeerAddress], started_s: float
    ) -> None:
        self._identity = identity
        self._configured = {peer.host: peer.data_centre for peer in peers}
        self._started_s = started_s
        self._listed: dict[str, str] = {}
        self._last_heartbeats: dict[str, tuple[str, float]] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Record a heartbeat received at a loop time."""
        self._last_heartbeats[heartbeat.host] = (heartbeat.data_centre, now_s)

    def set_listed(self, hosts: Iterable[Host]) -> None:
        """Replace the entry hosts known from the host list."""
        self._listed = {
            host.name: host.data_centre for host in hosts if host.kind == "entry"
        }

    def expire(self, before_s: float) -> None:
        """Remove hosts whose last heartbeat is older than a loop time."""
        expired = [
            host for host, (_, at_s) in self._last_heartbeats.items() if at_s < before_s
        ]
        for host in expired:
            del self._last_heartbeats[host]

    def live(self, data_centre: str, now_s: float) -> list[str]:
        """Return the live entry hosts of a data centre, sorted by name.

        These are this host and the hosts with a heartbeat in the last 2 s. In the first
        2 s of this process every listed host counts as live.
        """
        names = {
            host
            for host, (location, at_s) in self._last_heartbeats.items()
            if location == data_centre and now_s - at_s < LIVENESS_TIMEOUT_S
        }
        if data_centre == self._identity.data_centre:
            names.add(self._identity.host)
        if now_s - self._started_s < STARTUP_GRACE_S:
            names.update(
                h for h, location in self._listed.items() if location == data_centre
            )
        return sorted(names)

    def unlisted(self) -> dict[str, str]:
        """Return the data centres of hosts with heartbeats that are not listed."""
        return {
            host: location
            for host, (location, _) in self._last_heartbeats.items()
            if host not in self._listed
        }

    def heartbeat_targets(self, now_s: float) -> list[str]:
        """Return the hosts to which this host sends its heartbeats.

        These are all hosts of the same data centre and two hosts of each remote one.
        The position of this host among the live hosts of its data centre selects the
        two, so that all senders together cover the remote data centre.
        """
        own = self._identity
        known = self._data_centres()
        targets = [
            host
            for host, location in known.items()
            if location == own.data_centre and host != own.host
        ]
        position = self.live(own.data_centre, now_s).index(own.host)
        for data_centre in sorted({*known.values()} - {own.data_centre}):
            remote_hosts = sorted(host for host in known if known[host] == data_centre)
            indices = {
                (position * PEERS_PER_REMOTE_DATA_CENTRE + number) % len(remote_hosts)
                for number in range(PEERS_PER_REMOTE_DATA_CENTRE)
            }
            targets += [remote_hosts[index] for index in sorted(indices)]
        return targets

    def _data_centres(self) -> dict[str, str]:
        heard = {
            host: location for host, (location, _) in self._last_heartbeats.items()
        }
        return self._configured | self._listed | heard
