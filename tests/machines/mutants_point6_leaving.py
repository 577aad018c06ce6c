"""Memberships that each lack one mechanism of point 6."""

import asyncio

from bilberryhitch_membership import Membership
from bilberryhitch_membership.drains import Drains
from bilberryhitch_membership.entry_hosts import EntryHosts
from bilberryhitch_membership.incarnation_tracker import IncarnationTracker
from bilberryhitch_membership.polling import Poller

from .world_point6_leaving import HOST_LIST_LAG_S


class NoNotices(Membership):
    """Does not send drain notices to peers."""

    def _apply_notice(self, notice):
        return self._leaving.apply_notice(notice, self._time_s())


class NoCatchUp(Membership):
    """Does not send peers the notices that their heartbeats show to be missing."""

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

    async def _sync_boot_rows(self):
        pass


class NoStickyLeaving(Membership):
    """Accepts a host list that shows a leaving boot live again."""

    def _apply_list(self, hosts):
        for host in hosts:
            if host.state == "live":
                self._leaving._boots.pop(host.name, None)
        super()._apply_list(hosts)


class LastListedIsNewest(Membership):
    """Treats the listed boot as the newest one."""

    def _apply_list(self, hosts):
        for host in hosts:
            self._leaving._boots[host.name]._reorder_window_s = 0.0
        super()._apply_list(hosts)


class NoSourceLag(Membership):
    """Ignores that a lagging list may not yet show a boot that is leaving."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._leaving._boots.default_factory = lambda: IncarnationTracker(
            HOST_LIST_LAG_S
        )


class LastNoticeWins(Membership):
    """Applies drain notices in the order of arrival, not of revision."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._leaving._drains = UnversionedDrains()


class UnversionedDrains(Drains):
    def apply_notice(self, notice):
        is_new = super().apply_notice(notice)
        self._notices[notice.host] = notice
        return is_new


class NoLeaveNotice(Membership):
    """Does not announce that it is leaving."""

    def leave(self):
        pass


class NoSilenceTimeout(Membership):
    """Counts every entry host that ever sent a heartbeat as live."""

    def entry_hosts(self, data_centre):
        heard = self._entry_hosts._last_heartbeats
        live = {host for host, (where, _) in heard.items() if where == data_centre}
        live.update(super().entry_hosts(data_centre))
        return [host for host in live if not self.is_leaving(host)]


class LongInitialListValidity(Membership):
    """Counts listed entry hosts as live for a minute after its start."""

    async def start(self):
        await super().start()
        self._entry_hosts = EntryHosts(self._identity, (), self._started_s + 58.0)


def late_notice(machine):
    """ruwi1 learns of a drain before the delayed notice of an older undrain arrives."""
    machine.advance(0.6)
    machine.set_link(0.7, False)
    machine.write_drain("ruwi2", "w1", False)
    machine.set_link(0.0, False)
    machine.write_drain("ruwi1", "w1", True)
    machine.advance(4.0)


def single_path_without_heartbeats(machine):
    """seeb3 is connected to ruwi1 only, from which it receives no heartbeats."""
    machine.set_link(0.7, False)
    machine.leave_one_path("seeb3", "ruwi1")
    machine.write_drain("ruwi1", "w1", True)
    machine.advance(4.0)


def restart_without_store(machine):
    machine.set_store("ruwi2", "down")
    machine.write_drain("ruwi1", "w1", True)
    machine.restart("ruwi2")
    machine.advance(4.0)


def drain_while_cut(machine):
    machine.cut_from_peers("ruwi2")
    machine.write_drain("ruwi1", "w1", True)
    machine.advance(4.0)


def drain_after_a_slow_answer(machine):
    machine.cut_from_peers("ruwi2")
    machine.advance(0.6)
    machine.set_store("ruwi2", "slow")
    machine.advance(0.6)
    machine.set_store("ruwi2", "none")
    machine.write_drain("ruwi1", "w1", True)
    machine.advance(4.0)


def lagging_list_while_cut(machine):
    machine.cut_from_peers("ruwi2")
    machine.set_host_list("ruwi2", "lag", 20.0, "w1")
    machine.list_state("w1", "leaving")
    machine.advance(4.0)
    machine.advance(4.0)


def listed_live_again(machine):
    machine.list_state("w1", "leaving")
    machine.advance(4.0)
    machine.list_state("w1", "live")
    machine.advance(4.0)


def earlier_boot_listed(machine):
    """A lagging list shows an earlier boot, long after the processes started."""
    for _ in range(11):
        machine.advance(4.0)
    machine.reboot("w1")
    machine.advance(4.0)
    machine.list_state("w1", "leaving")
    machine.advance(4.0)
    machine.set_host_list("ruwi1", "lag", 20.0, "w1")
    machine.advance(4.0)


def boot_not_yet_listed(machine):
    machine.set_host_list("ruwi2", "lag", 20.0, "w1")
    machine.reboot("w1")
    machine.list_state("w1", "leaving")
    machine.advance(4.0)
    machine.advance(4.0)


def leave(machine):
    machine.leave("ruwi2")
    machine.advance(4.0)


def leave_while_cut(machine):
    machine.cut_from_peers("ruwi2")
    machine.leave("ruwi2")
    machine.advance(4.0)


def restart_after_a_leave(machine):
    machine.cut_from_peers("ruwi2")
    machine.leave("ruwi2")
    machine.restart("ruwi1")
    machine.advance(4.0)


# The shortest known history in which each missing mechanism shows.
MUTANTS = {
    NoNotices: single_path_without_heartbeats,
    NoCatchUp: restart_without_store,
    NoDrainPoll: drain_while_cut,
    SequentialPolls: drain_after_a_slow_answer,
    NoBootRows: lagging_list_while_cut,
    NoStickyLeaving: listed_live_again,
    LastListedIsNewest: earlier_boot_listed,
    NoSourceLag: boot_not_yet_listed,
    LastNoticeWins: late_notice,
    NoLeaveNotice: leave,
    NoSilenceTimeout: leave_while_cut,
    LongInitialListValidity: restart_after_a_leave,
}
