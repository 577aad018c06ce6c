"""What this process knows about leaving hosts, from whatever source."""

import hashlib
from collections import defaultdict

from bilberryhitch_model import Host, Identity
from bilberryhitch_peers import DrainNotice, Heartbeat

from .drains import Drains
from .run_ledger import RunLedger

HOST_LIST_LAG_S = 60.0  # longest lag of the host list that is allowed for


class Leaving:
    """Drains, boots that the list called leaving, and runs that said so.

    :ivar drains_revision: store revision up to which all drains are known
    """

    def __init__(self, identity: Identity) -> None:
        self._drains = Drains()
        self._boots: defaultdict[str, RunLedger] = defaultdict(
            lambda: RunLedger(HOST_LIST_LAG_S)
        )
        self._runs: defaultdict[str, RunLedger] = defaultdict(RunLedger)
        self._runs[identity.host].observe(identity.incarnation)
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
        if notice.incarnation:
            return self._runs[notice.host].close(notice.incarnation, now_s)
        return self._boots[notice.host].close(notice.boot_id, now_s)

    def observe_run(self, host: str, incarnation: str, now_s: float) -> bool:
        """Note the run of an entry host; ``False`` when it is an earlier one."""
        self._last_news_s[host] = now_s
        runs = self._runs[host]
        runs.observe(incarnation)
        return runs.current == incarnation

    def observe_boot(self, host: str, boot_id: str, now_s: float) -> None:
        """Note the boot that the host list shows."""
        self._last_news_s[host] = now_s
        self._boots[host].observe(boot_id)

    def forget(self, before_s: float) -> None:
        """Drop the runs of hosts of which nothing was heard since; drains stay."""
        gone = [host for host, at_s in self._last_news_s.items() if at_s < before_s]
        for host in gone:
            del self._last_news_s[host]
            if host != self._me:
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

    def boot_marks(self, host: str) -> tuple[str, ...]:
        """Return the leaving boots of a host, unless a newer one is live."""
        return self._boots[host].marks if host in self._boots else ()

    def missing_at(self, peer: Heartbeat) -> list[DrainNotice]:
        """Return what the sender of a heartbeat may not know."""
        missing = self._drains.since(peer.drains_revision)
        if peer.marks_digest != self.digest():
            missing += self._marks()
        return missing

    def digest(self) -> int:
        """Return a digest of the leaving boots and runs, equal where they are."""
        marks = sorted((m.host, m.boot_id, m.incarnation) for m in self._marks())
        data = hashlib.blake2b(repr(marks).encode(), digest_size=7).digest()
        return int.from_bytes(data, "big")

    def _marks(self) -> list[DrainNotice]:
        boots = [
            DrainNotice(host, True, 0, boot_id=boot)
            for host, ledger in self._boots.items()
            for boot in ledger.marks
        ]
        runs = [
            DrainNotice(host, True, 0, incarnation=run)
            for host, ledger in self._runs.items()
            for run in ledger.marks
        ]
        return boots + runs
