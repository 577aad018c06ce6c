"""Routes and pools in force in this process."""

import asyncio
from collections.abc import Callable, Sequence

from bilberryhitch_model import Commit, ConfigChange, Host, TableChange, Tables
from bilberryhitch_model.errors import (
    BadInput,
    ConfigConflict,
    StoreError,
    TableInvalid,
)
from bilberryhitch_peers import ConfigAsk, ConfigOffer, Message
from bilberryhitch_platform import TableService
from bilberryhitch_telemetry import events, log, metrics
from expression import Error, Ok, Result

from . import commits
from .adoption import (
    NOTHING,
    RecentChanges,
    apply_changes,
    decode_offer,
    make_read_only,
)
from .commits import ConfigError
from .host_revisions import HostRevision, InForce
from .rows import HeadRow, read_changes, read_head, read_history, read_snapshot

# Beyond this many missing changes a snapshot is read or sent instead.
MAX_CHANGES = 100
ASK_INTERVAL_S = 0.5

Callback = Callable[[Tables], None]


class ConfigService:
    """Commits operators' changes and adopts what was accepted.

    A process adopts only a higher revision, from three sources: its own commits,
    the polled store, and offers of peers. A view is replaced as a whole.

    :param now: UTC seconds, for the audit trail only
    :param broadcast: sends a message along the heartbeat fan-out
    :param hosts: hosts known, to check guarantees against
    :param poll_s: seconds between polls of the store
    :param send: sends a message to one peer; without it questions are broadcast
    :param broadcast_local: sends a message to the hosts of this data centre
    """

    def __init__(
        self,
        tables: TableService,
        *,
        now: Callable[[], float],
        new_id: Callable[[], str],
        broadcast: Callable[[Message], None],
        hosts: Callable[[], Sequence[Host]],
        poll_s: float = 1.0,
        send: Callable[[str, Message], object] | None = None,
        broadcast_local: Callable[[Message], None] | None = None,
    ) -> None:
        self._tables = tables
        self._now = now
        self._new_id = new_id
        self._broadcast = broadcast
        self._hosts = hosts
        self._poll_s = poll_s
        self._send = send
        self._broadcast_local = broadcast_local
        self._view = NOTHING
        self._confirmed_empty = False
        self._recent = RecentChanges(MAX_CHANGES)
        self._in_force = InForce()
        self._callbacks: list[Callback] = []
        self._last_ask_s = float("-inf")
        self._store_down = False
        self._polling: asyncio.Task[None] | None = None

    @property
    def tables_view(self) -> Tables:
        """Revision, routes and pools now in force; never changed in place."""
        return self._view

    @property
    def ready(self) -> bool:
        """Whether a revision was adopted, or the store holds none yet."""
        return self._view.revision > 0 or self._confirmed_empty

    async def start(self) -> None:
        """Start polling; does not wait for the first answer."""
        self._ask("")
        self._polling = asyncio.create_task(self._poll_forever())

    async def close(self) -> None:
        """Stop polling."""
        if self._polling is None:
            return
        self._polling.cancel()
        await asyncio.gather(self._polling, return_exceptions=True)
        self._polling = None

    def subscribe(self, callback: Callback) -> None:
        """Call ``callback`` with each view from now on, in order of revision."""
        self._callbacks.append(callback)

    async def commit(
        self, change: TableChange, base_revision: int, operator: str
    ) -> Result[Commit, ConfigError]:
        """Commit an operator's change on top of ``base_revision``.

        :returns: the accepted revision. Of the errors only ``StoreAnswerLost``
            leaves open whether the change was accepted; its operation id is
            that of the change in the history.
        """
        based = await self._based_on(base_revision)
        if based.is_error():
            return self._refused(based.error, operator)
        checked = commits.check(self._view, change, self._hosts())
        if checked.is_error():
            return self._refused(checked.error, operator)
        proposal = commits.propose(
            based.ok, change, operator, now=self._now, new_id=self._new_id
        )
        try:
            written = await commits.write(self._tables, proposal)
        except StoreError as error:
            return Error(error)
        if written.is_error():
            return self._refused(written.error, operator)
        return Ok(self._accepted(written.ok))

    async def tables_at(self, base_revision: int) -> Result[Tables, ConfigError]:
        """Return the tables of a revision if it is the last accepted one."""
        based = await self._based_on(base_revision)
        return Error(based.error) if based.is_error() else Ok(self._view)

    async def check(
        self, change: TableChange, base_revision: int
    ) -> Result[Tables, ConfigError]:
        """Return the tables that a change would lead to, without committing."""
        based = await self._based_on(base_revision)
        if based.is_error():
            return Error(based.error)
        checked = commits.check(self._view, change, self._hosts())
        return Error(checked.error) if checked.is_error() else Ok(checked.ok)

    async def receive(self, offer: ConfigOffer, *, forward: bool = True) -> None:
        """Adopt a peer's offer if it leads to a higher revision.

        :param forward: whether to offer it to the hosts of this data centre
        """
        before = self._view.revision
        if offer.revision <= before:
            return
        try:
            offered = decode_offer(offer)
        except BadInput as error:
            log(events.CONFIG_OFFER_DROPPED, revision=offer.revision, error=error)
            return
        if offered.snapshot is not None:
            self._adopt(offered.snapshot, ())
        self._adopt(apply_changes(self._view, offered.changes), offered.changes)
        if self._view.revision < offer.revision:
            self._ask("")
        if forward and self._view.revision > before and self._broadcast_local:
            self._broadcast_local(self._offer(before))

    def answer(self, ask: ConfigAsk) -> ConfigOffer | None:
        """Return what the asking peer lacks, or ``None`` when it lacks nothing."""
        if ask.since >= self._view.revision:
            return None
        return self._offer(ask.since)

    async def handle(self, sender: str, message: Message) -> Message | None:
        """Take a peer's message.

        :returns: the answer to a question, unless it was sent already
        """
        if isinstance(message, ConfigOffer):
            await self.receive(message)
            return None
        if not isinstance(message, ConfigAsk):
            return None
        offer = self.answer(message)
        if offer is None or self._send is None:
            return offer
        self._send(sender, offer)
        return None

    def receive_revision(self, host: str, revision: int) -> None:
        """Take the revision of a peer's heartbeat; ask for it if it is higher."""
        self._in_force.hear(host, revision, self._time_s())
        if revision > self._view.revision:
            self._ask(host)

    def host_revisions(self) -> list[HostRevision]:
        """Return the revision of every host heard from, by its heartbeats."""
        return self._in_force.view(self._time_s())

    async def history(self, limit: int) -> list[ConfigChange]:
        """Return the last accepted changes, newest first.

        :raises StoreUnavailable: the store cannot be read
        """
        return await read_history(self._tables, limit)

    async def _based_on(self, revision: int) -> Result[HeadRow, ConfigError]:
        """Return the head row if ``revision`` is accepted last and in force here."""
        try:
            head = await read_head(self._tables)
            await self._catch_up(head)
            if head.revision == revision == self._view.revision:
                return Ok(head)
            return Error(await commits.conflict(self._tables))
        except StoreError as error:
            return Error(error)

    async def _poll_forever(self) -> None:
        while True:
            await self._poll_once()
            if not self.ready:
                self._ask("")
            await asyncio.sleep(self._poll_s)

    async def _poll_once(self) -> None:
        try:
            head = await read_head(self._tables)
            await self._catch_up(head)
        except StoreError as error:
            if not self._store_down:
                log(events.STORE_UNAVAILABLE, service="config", error=error)
            self._store_down = True
            return
        except BadInput as error:
            log(events.CONFIG_ROWS_UNREADABLE, error=error)
            return
        except Exception as error:
            log(events.TASK_FAILED, task="config poll", error=error)
            return
        self._confirmed_empty = head.revision == 0
        if self._store_down:
            log(events.STORE_RECOVERED, service="config")
        self._store_down = False

    async def _catch_up(self, head: HeadRow) -> None:
        """Adopt what the store holds, at least up to ``head``."""
        missing = head.revision - self._view.revision
        if missing <= 0:
            return
        if self._view.revision and missing <= MAX_CHANGES:
            since = self._view.revision
            changes = await read_changes(self._tables, since, MAX_CHANGES)
            self._adopt(apply_changes(self._view, changes), changes)
        if self._view.revision < head.revision:
            self._adopt(await read_snapshot(self._tables), ())

    def _adopt(self, tables: Tables, changes: Sequence[ConfigChange]) -> None:
        """Put ``tables`` in force; an old or equal revision changes nothing."""
        if tables.revision <= self._view.revision:
            return
        self._view = make_read_only(tables)
        self._recent.add(changes, tables.revision)
        metrics.CONFIG_REVISION.set(tables.revision)
        log(events.CONFIG_ADOPTED, revision=tables.revision)
        for callback in self._callbacks:
            try:
                callback(self._view)
            except Exception as error:
                log(events.TASK_FAILED, task="config subscriber", error=error)

    def _accepted(self, change: ConfigChange) -> Commit:
        log(events.CONFIG_COMMITTED, revision=change.revision, operator=change.operator)
        self._adopt(apply_changes(self._view, [change]), [change])
        if self._view.revision >= change.revision:
            self._broadcast(self._offer(change.revision - 1))
        return Commit(change.revision, change.operator, change.at)

    def _refused(
        self, error: ConfigError, operator: str
    ) -> Result[Commit, ConfigError]:
        if isinstance(error, ConfigConflict):
            log(events.CONFIG_CONFLICT, operator=operator, winner=error.operator)
        elif isinstance(error, TableInvalid):
            log(events.CONFIG_REFUSED, operator=operator, error=error)
        return Error(error)

    def _offer(self, since: int) -> ConfigOffer:
        return self._recent.offer(self._view, since)

    def _ask(self, host: str) -> None:
        """Ask a peer, or all of the fan-out, for what is missing here."""
        now_s = self._time_s()
        if now_s - self._last_ask_s < ASK_INTERVAL_S:
            return
        self._last_ask_s = now_s
        ask = ConfigAsk(self._view.revision)
        if host and self._send is not None:
            self._send(host, ask)
        else:
            self._broadcast(ask)

    def _time_s(self) -> float:
        return asyncio.get_running_loop().time()
