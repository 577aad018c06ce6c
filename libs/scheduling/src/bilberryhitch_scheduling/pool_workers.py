"""The workers of a pool, and the reasons why some take no new work."""

from collections.abc import Sequence

from bilberryhitch_model import Guarantee, Host, Pool


class PoolWorkers:
    """Known hosts, the pool's workers among them, and which are unusable.

    :ivar pool: row of the pool; one that lists no hosts has all workers of the
        data centre
    """

    def __init__(self, data_centre: str, pool: Pool, hosts: Sequence[Host]) -> None:
        self.pool = pool
        self._data_centre = data_centre
        self._hosts: dict[str, Host] = {}
        self._unusable_reasons: dict[str, set[str]] = {}
        for host in hosts:
            self.put(host)

    def put(self, host: Host) -> bool:
        """Add or replace the row of a host.

        :returns: whether the host was known with the same location and resources
        """
        known = self._hosts.get(host.name)
        self._hosts[host.name] = host
        return known is not None and _layout(known) == _layout(host)

    def set_unusable(self, host: str, reason: str, value: bool) -> bool:
        """Add or remove a reason why a host takes no new work.

        :returns: whether the reasons changed
        """
        reasons = self._unusable_reasons.setdefault(host, set())
        if (reason in reasons) == value:
            return False
        if value:
            reasons.add(reason)
        else:
            reasons.remove(reason)
        return True

    def unusable_reasons(self, host: Host) -> list[str]:
        """Return the sorted reasons why a host takes no new work, empty for none."""
        self.set_unusable(host.name, "leaving", host.state == "leaving")
        return sorted(self._unusable_reasons[host.name])

    def workers(self) -> list[Host]:
        """Return the rows of the pool's workers in the data centre."""
        names = set(self.pool.hosts)
        return [
            host
            for host in self._hosts.values()
            if host.data_centre == self._data_centre
            and (not names or host.name in names)
        ]

    def guarantees(self) -> list[Guarantee]:
        """Return the guarantees in the data centre, in table order."""
        rows = self.pool.guarantees
        return [row for row in rows if row.data_centre == self._data_centre]


def _layout(host: Host) -> tuple[str, int, int, int, int]:
    return host.rack, host.position, host.accelerators, host.cores, host.memory_gb
