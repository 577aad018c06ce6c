"""The rows of the workers that a pool names, and why some take no new work."""

from collections.abc import Sequence

from bilberryhitch_model import Guarantee, Host, Pool


class Roster:
    """Known workers and marks on them.

    :ivar pool: the pool whose workers and guarantees count; one that names no
        hosts has all of its data centre
    """

    def __init__(self, data_centre: str, pool: Pool, hosts: Sequence[Host]) -> None:
        self.pool = pool
        self._data_centre = data_centre
        self._rows: dict[str, Host] = {}
        self._marks: dict[str, set[str]] = {}
        for host in hosts:
            self.put(host)

    def put(self, host: Host) -> bool:
        """Store a row.

        :returns: whether a row with the same place and resources was known
        """
        known = self._rows.get(host.name)
        self._rows[host.name] = host
        return known is not None and _place(known) == _place(host)

    def mark(self, host: str, reason: str, value: bool) -> bool:
        """Add or remove a reason why a host takes no new work.

        :returns: whether this changed anything
        """
        marks = self._marks.setdefault(host, set())
        if (reason in marks) == value:
            return False
        if value:
            marks.add(reason)
        else:
            marks.remove(reason)
        return True

    def marks(self, host: Host) -> list[str]:
        """Return the reasons why a host takes no new work."""
        self.mark(host.name, "leaving", host.state == "leaving")
        return sorted(self._marks[host.name])

    def members(self) -> list[Host]:
        """Return the rows of the pool's workers."""
        names = set(self.pool.hosts)
        return [
            host
            for host in self._rows.values()
            if host.data_centre == self._data_centre
            and (not names or host.name in names)
        ]

    def guarantees(self) -> list[Guarantee]:
        """Return the guarantees in the data centre, in table order."""
        rows = self.pool.guarantees
        return [row for row in rows if row.data_centre == self._data_centre]


def _place(host: Host) -> tuple[str, int, int, int, int]:
    return host.rack, host.position, host.accelerators, host.cores, host.memory_gb
