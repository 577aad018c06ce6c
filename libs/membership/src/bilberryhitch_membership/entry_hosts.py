"""Which entry hosts exist, which are alive, and who gets heartbeats."""

from collections.abc import Iterable, Sequence

from bilberryhitch_model import Host, Identity, PeerAddress
from bilberryhitch_peers import Heartbeat

SILENT_S = 2.0
FRESH_S = 2.0
REMOTE_PEERS = 2


class EntryHosts:
    """Entry hosts by heartbeat; the list only says who may exist.

    :param peers: entry hosts of the settings
    :param started_s: loop time at which this process started
    """

    def __init__(
        self, identity: Identity, peers: Sequence[PeerAddress], started_s: float
    ) -> None:
        self._identity = identity
        self._settings = {peer.host: peer.data_centre for peer in peers}
        self._started_s = started_s
        self._listed: dict[str, str] = {}
        self._heard: dict[str, tuple[str, float]] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Note a sign of life."""
        self._heard[heartbeat.host] = (heartbeat.data_centre, now_s)

    def set_listed(self, hosts: Iterable[Host]) -> None:
        """Replace what the host list says."""
        self._listed = {
            host.name: host.data_centre for host in hosts if host.kind == "entry"
        }

    def forget(self, before_s: float) -> None:
        """Forget hosts last heard before a loop time."""
        gone = [host for host, (_, at_s) in self._heard.items() if at_s < before_s]
        for host in gone:
            del self._heard[host]

    def live(self, data_centre: str, now_s: float) -> list[str]:
        """Return this host and those heard within 2 s, sorted by name.

        In the first 2 s of this process every listed host counts as heard.
        """
        names = {
            host
            for host, (where, at_s) in self._heard.items()
            if where == data_centre and now_s - at_s < SILENT_S
        }
        if data_centre == self._identity.data_centre:
            names.add(self._identity.host)
        if now_s - self._started_s < FRESH_S:
            names.update(h for h, where in self._listed.items() if where == data_centre)
        return sorted(names)

    def unlisted(self) -> dict[str, str]:
        """Return names and data centres of heard hosts that are not listed."""
        return {
            host: where
            for host, (where, _) in self._heard.items()
            if host not in self._listed
        }

    def fan_out(self, now_s: float) -> list[str]:
        """Return who gets heartbeats.

        All of the own data centre, and two of each other: the own place among
        the live hosts of the own data centre picks the two, so that all senders
        together cover the other data centre.
        """
        me = self._identity
        known = self._known()
        targets = [
            host
            for host, where in known.items()
            if where == me.data_centre and host != me.host
        ]
        place = self.live(me.data_centre, now_s).index(me.host)
        for data_centre in sorted({*known.values()} - {me.data_centre}):
            there = sorted(host for host in known if known[host] == data_centre)
            picks = {
                (place * REMOTE_PEERS + number) % len(there)
                for number in range(REMOTE_PEERS)
            }
            targets += [there[pick] for pick in sorted(picks)]
        return targets

    def _known(self) -> dict[str, str]:
        heard = {host: where for host, (where, _) in self._heard.items()}
        return self._settings | self._listed | heard
