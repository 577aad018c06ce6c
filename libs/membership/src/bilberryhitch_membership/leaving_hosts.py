"""Leaving hosts known to this process: drains, leaving boots and processes."""

import hashlib
from collections import defaultdict
from collections.abc import Container

from bilberryhitch_model import Host, Identity
from bilberryhitch_peers import DrainNotice, Heartbeat

from .drains import Drains
from .entry_hosts import LIVENESS_TIMEOUT_S
from .incarnation_tracker import IncarnationTracker


class LeavingHosts:
    """Combines the three reasons for which a host is leaving.

    A host is leaving if it is drained, if its newest boot was listed as leaving, or if
    the newest process on it announced that it is leaving.

    :param host_list_lag_s: maximum lag of the host list that is tolerated
    :ivar drains_revision: store revision up to which all drains are known
    """

    def __init__(self, identity: Identity, host_list_lag_s: float) -> None:
        self._drains = Drains()
        self._boots: defaultdict[str, IncarnationTracker] = defaultdict(
            lambda: IncarnationTracker(host_list_lag_s, host_list_lag_s)
        )
        self._processes: defaultdict[str, IncarnationTracker] = defaultdict(
            lambda: IncarnationTracker(LIVENESS_TIMEOUT_S)
        )
        self._processes[identity.host].observe(identity.incarnation, 0.0)
        self._maybe_leaving: set[str] = set()
        self._own_host = identity.host
        self._last_update_s: dict[str, float] = {}
        self.drains_revision = 0

    def apply_notice(self, notice: DrainNotice, now_s: float) -> bool:
        """Apply a notice.

        :param now_s: loop time
        :returns: whether the notice was new and should be passed on to peers
        """
        if notice.store_revision:
            return self._drains.apply_notice(notice)
        self._last_update_s[notice.host] = now_s
        self._maybe_leaving.add(notice.host)
        if notice.incarnation:
            return self._processes[notice.host].mark_leaving(notice.incarnation, now_s)
        return self._boots[notice.host].mark_leaving(notice.boot_id, now_s)

    def observe_process(self, host: str, incarnation: str, now_s: float) -> bool:
        """Record the process incarnation that an entry host's heartbeat shows.

        :returns: whether it is the newest known incarnation
        """
        self._last_update_s[host] = now_s
        processes = self._processes[host]
        processes.observe(incarnation, now_s)
        return processes.newest == incarnation

    def observe_boot(self, host: Host, now_s: float) -> None:
        """Record the boot that the host list shows."""
        self._last_update_s[host.name] = now_s
        boots = self._boots[host.name]
        boots.observe(host.boot_id, now_s)
        if boots.is_leaving(now_s):
            self._maybe_leaving.add(host.name)

    def expire(self, before_s: float, listed: Container[str]) -> None:
        """Remove the boots and processes of hosts that disappeared; drains are kept.

        :param before_s: hosts without an update since this loop time are removed
        :param listed: names of the hosts in the host list, which are kept
        """
        for host, at_s in list(self._last_update_s.items()):
            if at_s < before_s and host not in listed and host != self._own_host:
                del self._last_update_s[host]
                self._boots.pop(host, None)
                self._processes.pop(host, None)

    def is_leaving(self, host: str, now_s: float) -> bool:
        """Whether the host must not receive new work."""
        return (
            self._drains.is_leaving(host)
            or (host in self._boots and self._boots[host].is_leaving(now_s))
            or (host in self._processes and self._processes[host].is_leaving(now_s))
        )

    def process_is_leaving(self, host: str, now_s: float) -> bool:
        """Whether the process on an entry host announced that it is leaving."""
        return host in self._processes and self._processes[host].is_leaving(now_s)

    def shows_newest_boot(self, host: Host) -> bool:
        """Whether a row of the host list shows the newest known boot of the host."""
        return self._boots[host.name].newest == host.boot_id

    def leaving_boots(self, host: str, now_s: float) -> tuple[str, ...]:
        """Return the leaving boots of a host; none if a newer boot is live."""
        return self._boots[host].leaving_ids(now_s) if host in self._boots else ()

    def notices_missing_at(self, peer: Heartbeat, now_s: float) -> list[DrainNotice]:
        """Return the notices that the sender of a heartbeat may not know."""
        missing = self._drains.since(peer.drains_revision)
        if peer.marks_digest != self.digest(now_s):
            missing += self._incarnation_notices(now_s)
        return missing

    def digest(self, now_s: float) -> int:
        """Return a digest of all leaving boots and processes.

        Two processes that know the same ones return the same digest.
        """
        keys = sorted(
            (notice.host, notice.boot_id, notice.incarnation)
            for notice in self._incarnation_notices(now_s)
        )
        data = hashlib.blake2b(repr(keys).encode(), digest_size=7).digest()
        return int.from_bytes(data, "big")

    def _incarnation_notices(self, now_s: float) -> list[DrainNotice]:
        notices: list[DrainNotice] = []
        for host in list(self._maybe_leaving):
            host_notices = [
                DrainNotice(host, True, 0, boot_id=boot)
                for boot in self.leaving_boots(host, now_s)
            ]
            if host in self._processes:
                host_notices += [
                    DrainNotice(host, True, 0, incarnation=incarnation)
                    for incarnation in self._processes[host].leaving_ids(now_s)
                ]
            if not host_notices:
                self._maybe_leaving.discard(host)
            notices += host_notices
        return notices
