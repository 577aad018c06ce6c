"""What this process knows about leaving hosts, from whatever source."""

import hashlib
from collections import defaultdict
from collections.abc import Container

from bilberryhitch_model import Host, Identity
from bilberryhitch_peers import DrainNotice, Heartbeat

from .drains import Drains
from .entry_hosts import SILENT_S
from .run_ledger import RunLedger


class Leaving:
    """Drains, boots that the list called leaving, and runs that said so.

    :param host_list_lag_s: longest lag of the host list that is allowed for
    :ivar drains_revision: store revision up to which all drains are known
    """

    def __init__(self, identity: Identity, host_list_lag_s: float) -> None:
        self._drains = Drains()
        self._boots: defaultdict[str, RunLedger] = defaultdict(
            lambda: RunLedger(host_list_lag_s, host_list_lag_s)
        )
        self._runs: defaultdict[str, RunLedger] = defaultdict(
            lambda: RunLedger(SILENT_S)
        )
        self._runs[identity.host].observe(identity.incarnation, 0.0)
        self._marked: set[str] = set()
        self._me = identity.host
        self._last_news_s: dict[str, float] = {}
        self.drains_revision = 0

    def learn(self, notice: DrainNotice, now_s: float) -> bool:
        """Take what a notice says.

        :returns: whether others may not know it yet
        """
        if notice.store_revision:
            return self._drains.learn(notice)
        self._last_news_s[notice.host] = now_s
        self._marked.add(notice.host)
        if notice.incarnation:
            return self._runs[notice.host].close(notice.incarnation, now_s)
        return self._boots[notice.host].close(notice.boot_id, now_s)

    def observe_run(self, host: str, incarnation: str, now_s: float) -> bool:
        """Note the run of an entry host; ``False`` when it is an earlier one."""
        self._last_news_s[host] = now_s
        runs = self._runs[host]
        runs.observe(incarnation, now_s)
        return runs.current == incarnation

    def observe_boot(self, host: Host, now_s: float) -> None:
        """Note the boot that the host list shows."""
        self._last_news_s[host.name] = now_s
        boots = self._boots[host.name]
        boots.observe(host.boot_id, now_s)
        if boots.is_leaving(now_s):
            self._marked.add(host.name)

    def forget(self, before_s: float, listed: Container[str]) -> None:
        """Drop the runs of hosts that are gone; drains stay.

        :param before_s: nothing was heard of the host since this loop time
        :param listed: hosts that are kept because the host list shows them
        """
        for host, at_s in list(self._last_news_s.items()):
            if at_s < before_s and host not in listed and host != self._me:
                del self._last_news_s[host]
                self._boots.pop(host, None)
                self._runs.pop(host, None)

    def is_leaving(self, host: str, now_s: float) -> bool:
        """Whether the host must not get new work."""
        return (
            self._drains.is_leaving(host)
            or (host in self._boots and self._boots[host].is_leaving(now_s))
            or (host in self._runs and self._runs[host].is_leaving(now_s))
        )

    def run_is_leaving(self, host: str, now_s: float) -> bool:
        """Whether the process on an entry host announced its own leaving."""
        return host in self._runs and self._runs[host].is_leaving(now_s)

    def shows_newest_boot(self, host: Host) -> bool:
        """Whether a row of the host list is about the newest known boot."""
        return self._boots[host.name].current == host.boot_id

    def boot_marks(self, host: str, now_s: float) -> tuple[str, ...]:
        """Return the leaving boots of a host, unless a newer one is live."""
        return self._boots[host].marks(now_s) if host in self._boots else ()

    def missing_at(self, peer: Heartbeat, now_s: float) -> list[DrainNotice]:
        """Return what the sender of a heartbeat may not know."""
        missing = self._drains.since(peer.drains_revision)
        if peer.marks_digest != self.digest(now_s):
            missing += self._marks(now_s)
        return missing

    def digest(self, now_s: float) -> int:
        """Return a digest of the leaving boots and runs, equal where they are."""
        marks = sorted((m.host, m.boot_id, m.incarnation) for m in self._marks(now_s))
        data = hashlib.blake2b(repr(marks).encode(), digest_size=7).digest()
        return int.from_bytes(data, "big")

    def _marks(self, now_s: float) -> list[DrainNotice]:
        notices: list[DrainNotice] = []
        for host in list(self._marked):
            marks = [
                DrainNotice(host, True, 0, boot_id=boot)
                for boot in self.boot_marks(host, now_s)
            ]
            if host in self._runs:
                marks += [
                    DrainNotice(host, True, 0, incarnation=run)
                    for run in self._runs[host].marks(now_s)
                ]
            if not marks:
                self._marked.discard(host)
            notices += marks
        return notices
