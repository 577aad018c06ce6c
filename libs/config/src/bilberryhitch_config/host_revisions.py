"""The current configuration revision of each entry host, from heartbeats."""

from typing import NamedTuple

SILENT_AFTER_S = 2.0


class HostRevision(NamedTuple):
    """The configuration revision in the last heartbeat of a host.

    :param heard_s_ago: seconds since that heartbeat
    :param silent: whether the host counts as unreachable
    """

    host: str
    revision: int
    heard_s_ago: float
    silent: bool


class HostRevisions:
    """The last configuration revision received from each host."""

    def __init__(self) -> None:
        self._last_heartbeats: dict[str, tuple[int, float]] = {}

    def record(self, host: str, revision: int, now_s: float) -> None:
        """Record the revision of a heartbeat; ``now_s`` is loop time."""
        self._last_heartbeats[host] = (revision, now_s)

    def newest(self, now_s: float) -> tuple[str, int]:
        """Return the host with the highest revision among those not silent."""
        live = [
            (revision, host)
            for host, (revision, at_s) in self._last_heartbeats.items()
            if now_s - at_s <= SILENT_AFTER_S
        ]
        revision, host = max(live, default=(0, ""))
        return host, revision

    def list_hosts(self, now_s: float) -> list[HostRevision]:
        """Return all hosts that ever sent a heartbeat, sorted by name."""
        return [
            HostRevision(host, revision, now_s - at_s, now_s - at_s > SILENT_AFTER_S)
            for host, (revision, at_s) in sorted(self._last_heartbeats.items())
        ]
