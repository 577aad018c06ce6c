"""Memberships that each lack one mechanism of point 6."""

import asyncio

from bilberryhitch_membership import Membership
from bilberryhitch_membership.drains import Drains
from bilberryhitch_membership.entry_hosts import EntryHosts
from bilberryhitch_membership.polling import Poller
from bilberryhitch_membership.run_ledger import RunLedger


class NoNotices(Membership):
    """Tells peers nothing at once."""

    def _learn(self, notice):
        return self._leaving.learn(notice, self._time_s())


class NoCatchUp(Membership):
    """Does not tell peers what their heartbeats show they lack."""

    def _catch_up(self, heartbeat):
        pass


class NoDrainPoll(Membership):
    """Does not read drain rows."""

    async def _poll_drains(self):
        pass


class SequentialPolls(Membership):
    """Waits for each answer before the next poll."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        drains, *others = self._pollers
        self._pollers = (SequentialPoller(1.0, drains._poll), *others)


class SequentialPoller(Poller):
    async def _run(self):
        while True:
            await self._poll_once()
            await asyncio.sleep(self._interval_s)


class NoBootRows(Membership):
    """Does not save what it learned from the host list."""

    async def _keep_boot_rows(self):
        pass


class NotSticky(Membership):
    """Believes a list that shows a leaving boot live again."""

    def _apply_list(self, hosts):
        for host in hosts:
            if host.state == "live":
                self._leaving._boots[host.name] = RunLedger()
        super()._apply_list(hosts)


class LastShownIsNewest(Membership):
    """Takes the boot that the list shows for the newest."""

    def _apply_list(self, hosts):
        for host in hosts:
            ledger = self._leaving._boots[host.name]
            if ledger.current != host.boot_id:
                self._leaving._boots[host.name] = RunLedger()
        super()._apply_list(hosts)


class NoHold(Membership):
    """Believes a lagging list rather than news of a boot it never showed."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._leaving._boots.default_factory = RunLedger


class LastNoticeWins(Membership):
    """Takes drain notices in the order of their arrival."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._leaving._drains = UnversionedDrains()


class UnversionedDrains(Drains):
    def learn(self, notice):
        known = self._notices.get(notice.host)
        self._notices[notice.host] = notice
        return known is None or known != notice


class LeavesSilently(Membership):
    """Does not announce its own leaving."""

    def leave(self):
        pass


class NeverSilent(Membership):
    """Counts every entry host that was ever heard as live."""

    def entry_hosts(self, data_centre):
        heard = self._entry._heard
        live = {host for host, (where, _) in heard.items() if where == data_centre}
        live.update(super().entry_hosts(data_centre))
        return [host for host in live if not self.is_leaving(host)]


class TrustsTheListLonger(Membership):
    """Counts listed entry hosts as live for a minute after its start."""

    async def start(self):
        await super().start()
        self._entry = EntryHosts(self._identity, (), self._started_s + 58.0)


MUTANTS = [
    NoNotices,
    NoCatchUp,
    NoDrainPoll,
    SequentialPolls,
    NoBootRows,
    NotSticky,
    LastShownIsNewest,
    NoHold,
    LastNoticeWins,
    LeavesSilently,
    NeverSilent,
    TrustsTheListLonger,
]
