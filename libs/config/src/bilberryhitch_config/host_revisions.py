"""Which configuration revision is in force at which host, by heartbeats."""

from typing import NamedTuple

SILENT_S = 2.0


class HostRevision(NamedTuple):
    """What the last heartbeat of a host said.

    :param heard_s_ago: seconds since that heartbeat
    :param silent: whether the host counts as cut off
    """

    host: str
    revision: int
    heard_s_ago: float
    silent: bool


class InForce:
    """The last revision heard from each host."""

    def __init__(self) -> None:
        self._heard: dict[str, tuple[int, float]] = {}

    def hear(self, host: str, revision: int, now_s: float) -> None:
        """Take the revision of a heartbeat; ``now_s`` is loop time."""
        self._heard[host] = (revision, now_s)

    def newest(self, now_s: float) -> tuple[str, int]:
        """Return the host with the highest revision that is not silent."""
        heard = [
            (revision, host)
            for host, (revision, at_s) in self._heard.items()
            if now_s - at_s <= SILENT_S
        ]
        revision, host = max(heard, default=(0, ""))
        return host, revision

    def view(self, now_s: float) -> list[HostRevision]:
        """Return every host heard from, sorted by name."""
        return [
            HostRevision(host, revision, now_s - at_s, now_s - at_s > SILENT_S)
            for host, (revision, at_s) in sorted(self._heard.items())
        ]
