"""Live and leaving hosts, as this process knows them."""

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
from .drains import DrainRecord, DrainRow, drains_of, read_rows, write_drain
from .entry_hosts import EntryHosts
from .leaving import Leaving
from .polling import Poller
from .rendezvous import owner
from .vitals import Vitals

HEARTBEAT_S = 0.5
DRAIN_POLL_S = 1.0
HOST_LIST_POLL_S = 2.0
GREETING_S = 3.0  # a fresh process sends heartbeats to everybody for this long
HOST_LIST_LAG_S = 60.0
FORGET_S = 3600.0
FORGET_POLL_S = 60.0
CATCH_UP_NOTICES = 64  # most notices sent to one peer for one of its heartbeats


class Membership:
    """Hosts by heartbeat, host list and drains; a hint, never a promise.

    What a process learns about a leaving host is sent to every peer at once,
    and passed on once by each that learns it from a peer. Heartbeats carry a
    digest of what the sender knows; a peer that knows more sends it the rest.

    :param now: UTC seconds, for operators' records only
    :param broadcast: sends a message to every peer
    :param send: sends a message to one peer; without it heartbeats are broadcast
    :param peers: entry hosts of the settings
    :param host_list_lag_s: longest lag of the host list that is allowed for
    :param vitals: contents of the heartbeats that other services provide
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
        vitals: Callable[[], Vitals] = Vitals,
        host_list_lag_s: float = HOST_LIST_LAG_S,
    ) -> None:
        self._identity = identity
        self._tables = tables
        self._host_list = host_list
        self._now = now
        self._new_id = new_id
        self._broadcast = broadcast
        self._send = send
        self._peers = tuple(peers)
        self._vitals = vitals
        self._started_s = 0.0
        self._entry = EntryHosts(identity, self._peers, self._started_s)
        self._listed: dict[str, Host] = {}
        self._listed_s = 0.0
        self._list_poll = 0
        self._list_applied = 0
        self._leaving = Leaving(identity, host_list_lag_s)
        self._boot_rows = BootRows(tables, new_id)
        self._cursors: defaultdict[str, int] = defaultdict(int)
        self._boot_row_keeper = Poller(DRAIN_POLL_S, self._keep_boot_rows)
        self._pollers = (
            Poller(DRAIN_POLL_S, self._poll_drains),
            Poller(HOST_LIST_POLL_S, self._poll_host_list),
            self._boot_row_keeper,
            Poller(FORGET_POLL_S, self._forget_gone),
        )
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start heartbeats and polls; does not wait for the first answers."""
        self._started_s = self._time_s()
        self._entry = EntryHosts(self._identity, self._peers, self._started_s)
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
        """Take a heartbeat of a peer."""
        host = heartbeat.host
        if host == self._identity.host:
            return
        now_s = self._time_s()
        if not self._leaving.observe_run(host, heartbeat.incarnation, now_s):
            return  # late message of an earlier run
        self._entry.record_heartbeat(heartbeat, now_s)
        if heartbeat.leaving:
            notice = DrainNotice(host, True, 0, incarnation=heartbeat.incarnation)
            self._learn(notice)
        self._catch_up(heartbeat)

    def receive_drain_notice(self, notice: DrainNotice) -> None:
        """Take a peer's notice that a host is leaving or its drain was undone."""
        self._learn(notice)

    def answer_host_list(self) -> HostListReply | None:
        """Return the host list for a peer, if this process has read it."""
        if not self._list_applied:
            return None
        return HostListReply(list(self._listed.values()))

    def receive_host_list(self, reply: HostListReply) -> None:
        """Take a peer's host list unless this process has read its own."""
        if not self._list_applied:
            self._apply_list(reply.hosts)

    def entry_hosts(self, data_centre: str) -> list[str]:
        """Return live entry hosts that are not leaving, sorted by name."""
        live = self._entry.live(data_centre, self._time_s())
        return [host for host in live if not self.is_leaving(host)]

    def endpoints(self, kind: str, data_centre: str) -> list[Host]:
        """Return listed executors or workers that may get new work."""
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
        """Return every known host with the state this process gives it."""
        unlisted = [
            Host(name, "entry", data_centre, "")
            for name, data_centre in self._entry.unlisted().items()
        ]
        return [
            host._replace(state="leaving") if self.is_leaving(host.name) else host
            for host in (*self._listed.values(), *unlisted)
        ]

    async def drain(self, host: str, operator: str) -> Result[DrainRecord, StoreError]:
        """Keep new work from a host until :meth:`undrain`.

        ``StoreAnswerLost`` means that the drain may have been recorded.

        :raises BadInput: the name breaks the rule for names
        """
        return await self._write_drain(host, True, operator)

    async def undrain(
        self, host: str, operator: str
    ) -> Result[DrainRecord, StoreError]:
        """Undo a drain.

        :raises BadInput: the name breaks the rule for names
        """
        return await self._write_drain(host, False, operator)

    def leave(self) -> None:
        """Announce that this process is leaving."""
        me = self._identity
        self._learn(DrainNotice(me.host, True, 0, incarnation=me.incarnation))
        self.fan_out(self._heartbeat())

    def fan_out(self, message: Message) -> None:
        """Send a message to whoever gets this process's heartbeats."""
        now_s = self._time_s()
        if self._send is None or now_s - self._started_s < GREETING_S:
            self._broadcast(message)
            return
        for host in self._entry.fan_out(now_s):
            self._send(host, message)

    async def _write_drain(
        self, host: str, leaving: bool, operator: str
    ) -> Result[DrainRecord, StoreError]:
        drain = DrainRow(host, leaving, operator, self._now())
        result = await write_drain(self._tables, drain, self._new_id)
        if result.is_ok():
            self._learn(DrainNotice(host, leaving, result.ok.revision))
        return result

    def _learn(self, notice: DrainNotice) -> bool:
        """Take what a notice says and pass it on if it is new."""
        news = self._leaving.learn(notice, self._time_s())
        if news:
            self._broadcast(notice)
        return news

    def _catch_up(self, heartbeat: Heartbeat) -> None:
        """Send a peer what its heartbeat shows it does not know."""
        missing = self._leaving.missing_at(heartbeat, self._time_s())
        if not missing or self._send is None:
            return
        # Successive heartbeats get successive parts of a long list.
        first = self._cursors[heartbeat.host] % len(missing)
        self._cursors[heartbeat.host] = first + CATCH_UP_NOTICES
        for notice in (missing[first:] + missing[:first])[:CATCH_UP_NOTICES]:
            self._send(heartbeat.host, notice)

    async def _send_heartbeats(self) -> None:
        while True:
            self.fan_out(self._heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    def _heartbeat(self) -> Heartbeat:
        me = self._identity
        vitals = self._vitals()
        leaving = self._leaving.run_is_leaving(me.host, self._time_s())
        return Heartbeat(
            me.host,
            me.data_centre,
            me.incarnation,
            leaving,
            vitals.config_revision,
            dict(vitals.usage),
            dict(vitals.free_slots),
            self._leaving.drains_revision,
            self._leaving.digest(self._time_s()),
        )

    async def _poll_drains(self) -> None:
        since = self._leaving.drains_revision
        rows, complete_to = await read_rows(self._tables, since)
        for row in rows:
            for notice in (*drains_of(row), *self._boot_rows.read(row)):
                self._learn(notice)
        self._leaving.drains_revision = max(self._leaving.drains_revision, complete_to)

    async def _forget_gone(self) -> None:
        before_s = self._time_s() - FORGET_S
        self._entry.forget(before_s)
        self._leaving.forget(before_s, self._listed)

    async def _poll_host_list(self) -> None:
        self._list_poll += 1
        number = self._list_poll
        try:
            hosts = await self._host_list.list_hosts()
        except StoreError:
            self._ask_host_list()
            raise
        if number < self._list_applied:
            return  # an answer to a later poll overtook this one
        self._list_applied = number
        self._apply_list(hosts)

    def _ask_host_list(self) -> None:
        """Ask peers while the platform's own list was never read.

        A fresh process that owns executors by its rank must know them, also
        while the platform cannot be reached.
        """
        if not self._list_applied:
            self._broadcast(HostListAsk())

    def _apply_list(self, hosts: Sequence[Host]) -> None:
        before, self._listed = self._listed, {host.name: host for host in hosts}
        self._entry.set_listed(hosts)
        for host in hosts:
            # Most of the rows are as before; with thousands of them, looking
            # closer at each was most of what control cost in processor time.
            row_before = before.get(host.name)
            if row_before == host and host.state == "live":
                continue
            if row_before is not None:
                self._leaving.observe_boot(row_before, self._listed_s)
            self._leaving.observe_boot(host, self._time_s())
            if host.state == "live":
                continue
            if self._learn(DrainNotice(host.name, True, 0, boot_id=host.boot_id)):
                self._boot_rows.must_save(host.name)
                self._boot_row_keeper.poll_now()
        self._listed_s = self._time_s()

    async def _keep_boot_rows(self) -> None:
        """Save what this process learned from the list; delete what is over."""
        await self._boot_rows.save(self._boot_marks)
        stored = self._boot_rows.hosts
        await self._boot_rows.delete(filter(self._is_reopened, stored))

    def _is_reopened(self, host: str) -> bool:
        """Whether this process deletes the row of a host with a newer boot."""
        if host not in self._listed or self._boot_marks(host):
            return False
        me = self._identity
        return owner(host, self.entry_hosts(me.data_centre) or [me.host]) == me.host

    def _boot_marks(self, host: str) -> tuple[str, ...]:
        return self._leaving.boot_marks(host, self._time_s())

    def _time_s(self) -> float:
        return asyncio.get_running_loop().time()
