"""This process's view of the live and leaving hosts."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Sequence

from bilberryhitch_model import Host, Identity, PeerAddress
from bilberryhitch_model.errors import StoreError
from bilberryhitch_peers import (
    DrainNotice,
    Heartbeat,
    HostListAsk,
    HostListReply,
    Message,
)
from bilberryhitch_platform import HostList, TableService
from expression import Result

from .boot_rows import BootRows
from .drains import DrainRecord, DrainRow, drain_notices, read_drain_rows, write_drain
from .entry_hosts import EntryHosts
from .heartbeat_fields import HeartbeatFields
from .leaving_hosts import LeavingHosts
from .polling import Poller
from .rendezvous import owner

HEARTBEAT_INTERVAL_S = 0.5
DRAIN_POLL_INTERVAL_S = 1.0
HOST_LIST_POLL_INTERVAL_S = 2.0
# For this time after its start a process sends its heartbeats to every peer.
STARTUP_BROADCAST_S = 3.0
MAX_HOST_LIST_LAG_S = 60.0
HOST_RETENTION_S = 3600.0
EXPIRY_INTERVAL_S = 60.0
MAX_CATCH_UP_NOTICES = 64  # notices sent in response to one heartbeat


class Membership:
    """View of all hosts from heartbeats, the host list and drains; it may be stale.

    A process that learns about a leaving host broadcasts this immediately, and each
    peer that learns it from a message broadcasts it once more. Heartbeats carry a
    digest of what the sender knows; a peer that knows more sends the missing notices.

    :param now: returns the time in UTC seconds, used only in drain and audit rows
    :param new_id: returns a unique id
    :param broadcast: sends a message to every peer
    :param send: sends a message to one peer; without it heartbeats are broadcast
    :param peers: entry hosts named in the settings
    :param heartbeat_fields: returns the heartbeat fields provided by other services
    :param host_list_lag_s: maximum lag of the host list that is tolerated
    """

    def __init__(
        self,
        identity: Identity,
        tables: TableService,
        host_list: HostList,
        *,
        now: Callable[[], float],
        new_id: Callable[[], str],
        broadcast: Callable[[Message], None],
        send: Callable[[str, Message], bool] | None = None,
        peers: Sequence[PeerAddress] = (),
        heartbeat_fields: Callable[[], HeartbeatFields] = HeartbeatFields,
        host_list_lag_s: float = MAX_HOST_LIST_LAG_S,
    ) -> None:
        self._identity = identity
        self._tables = tables
        self._host_list = host_list
        self._now = now
        self._new_id = new_id
        self._broadcast = broadcast
        self._send = send
        self._peers = tuple(peers)
        self._heartbeat_fields = heartbeat_fields
        self._started_s = 0.0
        self._entry_hosts = EntryHosts(identity, self._peers, self._started_s)
        self._listed: dict[str, Host] = {}
        self._list_applied_s = 0.0
        self._last_list_poll = 0
        self._applied_list_poll = 0
        self._leaving = LeavingHosts(identity, host_list_lag_s)
        self._boot_rows = BootRows(tables, new_id)
        self._catch_up_offsets: defaultdict[str, int] = defaultdict(int)
        self._boot_row_poller = Poller(DRAIN_POLL_INTERVAL_S, self._sync_boot_rows)
        self._pollers = (
            Poller(DRAIN_POLL_INTERVAL_S, self._poll_drains),
            Poller(HOST_LIST_POLL_INTERVAL_S, self._poll_host_list),
            self._boot_row_poller,
            Poller(EXPIRY_INTERVAL_S, self._expire_hosts),
        )
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start heartbeats and polls without waiting for the first answers."""
        self._started_s = self._time_s()
        self._entry_hosts = EntryHosts(self._identity, self._peers, self._started_s)
        for poller in self._pollers:
            await poller.start()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def close(self) -> None:
        """Stop heartbeats and polls."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
            await asyncio.gather(self._heartbeats, return_exceptions=True)
        for poller in self._pollers:
            await poller.close()

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat of a peer."""
        host = heartbeat.host
        if host == self._identity.host:
            return
        now_s = self._time_s()
        if not self._leaving.observe_process(host, heartbeat.incarnation, now_s):
            return  # delayed message of an earlier incarnation
        self._entry_hosts.record_heartbeat(heartbeat, now_s)
        if heartbeat.leaving:
            notice = DrainNotice(host, True, 0, incarnation=heartbeat.incarnation)
            self._apply_notice(notice)
        self._catch_up(heartbeat)

    def receive_drain_notice(self, notice: DrainNotice) -> None:
        """Handle a peer's notice that a host is leaving or was undrained."""
        self._apply_notice(notice)

    def answer_host_list(self) -> HostListReply | None:
        """Return the host list for a peer.

        :returns: the reply, or ``None`` if this process has not read the list yet
        """
        if not self._applied_list_poll:
            return None
        return HostListReply(list(self._listed.values()))

    def receive_host_list(self, reply: HostListReply) -> None:
        """Apply a peer's host list unless this process has read one itself."""
        if not self._applied_list_poll:
            self._apply_list(reply.hosts)

    def entry_hosts(self, data_centre: str) -> list[str]:
        """Return the live entry hosts that are not leaving, sorted by name."""
        live = self._entry_hosts.live(data_centre, self._time_s())
        return [host for host in live if not self.is_leaving(host)]

    def endpoints(self, kind: str, data_centre: str) -> list[Host]:
        """Return the listed executors or workers that may receive new work."""
        return [
            host
            for host in self._listed.values()
            if host.kind == kind
            and host.data_centre == data_centre
            and host.state == "live"
            and self._leaving.shows_newest_boot(host)
            and not self.is_leaving(host.name)
        ]

    def is_leaving(self, host: str) -> bool:
        """Whether the host is known to be leaving."""
        return self._leaving.is_leaving(host, self._time_s())

    def hosts(self) -> list[Host]:
        """Return every known host with its state in this process's view."""
        unlisted = [
            Host(name, "entry", data_centre, "")
            for name, data_centre in self._entry_hosts.unlisted().items()
        ]
        return [
            host._replace(state="leaving") if self.is_leaving(host.name) else host
            for host in (*self._listed.values(), *unlisted)
        ]

    async def drain(self, host: str, operator: str) -> Result[DrainRecord, StoreError]:
        """Drain a host: it receives no new work until :meth:`undrain`.

        :param operator: name of the operator, for the drain and audit rows
        :returns: the committed drain, or the store's error; after a
            ``StoreAnswerLost`` the drain may have been committed
        :raises BadInput: the host name is not valid
        """
        return await self._write_drain(host, True, operator)

    async def undrain(
        self, host: str, operator: str
    ) -> Result[DrainRecord, StoreError]:
        """Undo the drain of a host; see :meth:`drain`.

        :raises BadInput: the host name is not valid
        """
        return await self._write_drain(host, False, operator)

    def leave(self) -> None:
        """Announce that this process is leaving."""
        own = self._identity
        self._apply_notice(DrainNotice(own.host, True, 0, incarnation=own.incarnation))
        self.fan_out(self._heartbeat())

    def fan_out(self, message: Message) -> None:
        """Send a message to the targets of this process's heartbeats."""
        now_s = self._time_s()
        if self._send is None or now_s - self._started_s < STARTUP_BROADCAST_S:
            self._broadcast(message)
            return
        for host in self._entry_hosts.heartbeat_targets(now_s):
            self._send(host, message)

    async def _write_drain(
        self, host: str, leaving: bool, operator: str
    ) -> Result[DrainRecord, StoreError]:
        drain = DrainRow(host, leaving, operator, self._now())
        result = await write_drain(self._tables, drain, self._new_id)
        if result.is_ok():
            self._apply_notice(DrainNotice(host, leaving, result.ok.revision))
        return result

    def _apply_notice(self, notice: DrainNotice) -> bool:
        """Apply a notice and broadcast it if it is new."""
        is_new = self._leaving.apply_notice(notice, self._time_s())
        if is_new:
            self._broadcast(notice)
        return is_new

    def _catch_up(self, heartbeat: Heartbeat) -> None:
        """Send a peer the notices that are missing according to its heartbeat."""
        missing = self._leaving.notices_missing_at(heartbeat, self._time_s())
        if not missing or self._send is None:
            return
        # A long list is sent in parts, one in response to each heartbeat.
        first = self._catch_up_offsets[heartbeat.host] % len(missing)
        self._catch_up_offsets[heartbeat.host] = first + MAX_CATCH_UP_NOTICES
        for notice in (missing[first:] + missing[:first])[:MAX_CATCH_UP_NOTICES]:
            self._send(heartbeat.host, notice)

    async def _send_heartbeats(self) -> None:
        while True:
            self.fan_out(self._heartbeat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _heartbeat(self) -> Heartbeat:
        own = self._identity
        heartbeat_fields = self._heartbeat_fields()
        leaving = self._leaving.process_is_leaving(own.host, self._time_s())
        return Heartbeat(
            own.host,
            own.data_centre,
            own.incarnation,
            leaving,
            heartbeat_fields.config_revision,
            dict(heartbeat_fields.usage),
            dict(heartbeat_fields.free_slots),
            self._leaving.drains_revision,
            self._leaving.digest(self._time_s()),
        )

    async def _poll_drains(self) -> None:
        since = self._leaving.drains_revision
        rows, complete_to = await read_drain_rows(self._tables, since)
        for row in rows:
            for notice in (*drain_notices(row), *self._boot_rows.load(row)):
                self._apply_notice(notice)
        self._leaving.drains_revision = max(self._leaving.drains_revision, complete_to)

    async def _expire_hosts(self) -> None:
        before_s = self._time_s() - HOST_RETENTION_S
        self._entry_hosts.expire(before_s)
        self._leaving.expire(before_s, self._listed)

    async def _poll_host_list(self) -> None:
        self._last_list_poll += 1
        poll_number = self._last_list_poll
        try:
            hosts = await self._host_list.list_hosts()
        except StoreError:
            self._ask_host_list()
            raise
        if poll_number < self._applied_list_poll:
            return  # the answer to a later poll was applied before this one
        self._applied_list_poll = poll_number
        self._apply_list(hosts)

    def _ask_host_list(self) -> None:
        """Ask peers for the host list if it was never read from the platform.

        A restarted process needs the list to know which executors it owns, even if the
        platform is unreachable.
        """
        if not self._applied_list_poll:
            self._broadcast(HostListAsk())

    def _apply_list(self, hosts: Sequence[Host]) -> None:
        before, self._listed = self._listed, {host.name: host for host in hosts}
        self._entry_hosts.set_listed(hosts)
        for host in hosts:
            # Most rows are unchanged. With thousands of hosts, processing all of them
            # took most of the CPU time of the control plane.
            row_before = before.get(host.name)
            if row_before == host and host.state == "live":
                continue
            if row_before is not None:
                self._leaving.observe_boot(row_before, self._list_applied_s)
            self._leaving.observe_boot(host, self._time_s())
            if host.state == "live":
                continue
            if self._apply_notice(
                DrainNotice(host.name, True, 0, boot_id=host.boot_id)
            ):
                self._boot_rows.mark_unsaved(host.name)
                self._boot_row_poller.poll_now()
        self._list_applied_s = self._time_s()

    async def _sync_boot_rows(self) -> None:
        """Write rows for newly leaving boots; delete rows that are obsolete."""
        await self._boot_rows.save(self._leaving_boots)
        stored = self._boot_rows.hosts
        await self._boot_rows.delete(filter(self._should_delete_boot_row, stored))

    def _should_delete_boot_row(self, host: str) -> bool:
        """Whether the row of a host is obsolete and this process must delete it.

        A row is obsolete once the host is live with a newer boot.
        """
        if host not in self._listed or self._leaving_boots(host):
            return False
        own = self._identity
        return owner(host, self.entry_hosts(own.data_centre) or [own.host]) == own.host

    def _leaving_boots(self, host: str) -> tuple[str, ...]:
        return self._leaving.leaving_boots(host, self._time_s())

    def _time_s(self) -> float:
        return asyncio.get_running_loop().time()
