"""Keeps the configuration tables of this process up to date and commits changes."""

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
    EMPTY_TABLES,
    RecentChanges,
    apply_changes,
    decode_offer,
    make_read_only,
)
from .commits import ConfigError
from .host_revisions import HostRevision, HostRevisions
from .rows import HeadRow, read_changes, read_head, read_history, read_snapshot

# A snapshot replaces the changes if more than this are missing.
MAX_INCREMENTAL_CHANGES = 100
MIN_ASK_INTERVAL_S = 0.5

Subscriber = Callable[[Tables], None]


class ConfigService:
    """Commits operators' changes and adopts committed changes.

    A process adopts only revisions higher than its own, from three sources: its own
    commits, polls of the store, and offers of peers. Both tables are replaced
    together.

    :param now: returns UTC seconds, for the history only
    :param new_id: returns a unique operation id
    :param broadcast: sends a message to the peers that receive heartbeats
    :param hosts: returns the known hosts, against which guarantees are checked
    :param poll_s: seconds between polls of the store
    :param send: sends a message to one peer; without it, queries are broadcast
    :param broadcast_local: sends a message to the entry hosts of this data centre
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
        self._view = EMPTY_TABLES
        self._confirmed_empty = False
        self._recent_changes = RecentChanges(MAX_INCREMENTAL_CHANGES)
        self._host_revisions = HostRevisions()
        self._subscribers: list[Subscriber] = []
        self._last_ask_s = float("-inf")
        self._store_down = False
        self._poll_task: asyncio.Task[None] | None = None

    @property
    def tables_view(self) -> Tables:
        """The current tables; replaced on adoption, never modified in place."""
        return self._view

    @property
    def ready(self) -> bool:
        """Whether a revision was adopted, or the store is known to hold none yet."""
        return self._view.revision > 0 or self._confirmed_empty

    async def start(self) -> None:
        """Start polling the store; does not wait for the first response."""
        self._ask("")
        self._poll_task = asyncio.create_task(self._poll_forever())

    async def close(self) -> None:
        """Stop polling the store."""
        if self._poll_task is None:
            return
        self._poll_task.cancel()
        await asyncio.gather(self._poll_task, return_exceptions=True)
        self._poll_task = None

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each adopted version of the tables, in order."""
        self._subscribers.append(subscriber)

    async def commit(
        self, change: TableChange, base_revision: int, operator: str
    ) -> Result[Commit, ConfigError]:
        """Commit an operator's change on top of ``base_revision``.

        :returns: the commit, or the error. ``StoreAnswerLost`` is the only error
            after which the change may have been committed; if it was, the history
            shows a change with the operation id of the error.
        """
        base = await self._check_base_revision(base_revision)
        if base.is_error():
            return self._log_rejection(base.error, operator)
        checked = commits.check(self._view, change, self._hosts())
        if checked.is_error():
            return self._log_rejection(checked.error, operator)
        proposal = commits.propose(
            base.ok, change, operator, now=self._now, new_id=self._new_id
        )
        try:
            written = await commits.write(self._tables, proposal)
        except StoreError as error:
            return Error(error)
        if written.is_error():
            return self._log_rejection(written.error, operator)
        return Ok(self._apply_commit(written.ok))

    async def tables_at(self, base_revision: int) -> Result[Tables, ConfigError]:
        """Return the tables of ``base_revision`` if no later one is committed."""
        base = await self._check_base_revision(base_revision)
        return Error(base.error) if base.is_error() else Ok(self._view)

    async def check(
        self, change: TableChange, base_revision: int
    ) -> Result[Tables, ConfigError]:
        """Return the tables after a change, without committing it."""
        base = await self._check_base_revision(base_revision)
        if base.is_error():
            return Error(base.error)
        checked = commits.check(self._view, change, self._hosts())
        return Error(checked.error) if checked.is_error() else Ok(checked.ok)

    async def receive(self, offer: ConfigOffer, *, forward: bool = True) -> None:
        """Adopt a peer's offer if its revision is higher.

        :param forward: whether to forward it to the entry hosts of this data centre
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
        """Return the changes that the sender lacks, or ``None`` if it lacks none."""
        if ask.since >= self._view.revision:
            return None
        return self._offer(ask.since)

    async def handle(self, sender: str, message: Message) -> Message | None:
        """Process a message of a peer.

        :returns: the reply to a ``ConfigAsk``, unless it was sent already
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
        """Record the revision of a peer's heartbeat; request it if it is higher."""
        self._host_revisions.record(host, revision, self._loop_time_s())
        if revision > self._view.revision:
            self._ask(host)

    def host_revisions(self) -> list[HostRevision]:
        """Return the current revision of each entry host, from its heartbeats."""
        return self._host_revisions.list_hosts(self._loop_time_s())

    async def history(self, limit: int) -> list[ConfigChange]:
        """Return the last ``limit`` committed changes, newest first.

        :raises StoreUnavailable: the store cannot be read
        """
        return await read_history(self._tables, limit)

    async def _check_base_revision(self, revision: int) -> Result[HeadRow, ConfigError]:
        """Return the head row if ``revision`` is the last committed and current one."""
        try:
            head = await read_head(self._tables)
            await self._catch_up(head)
            if head.revision == revision == self._view.revision:
                return Ok(head)
            return Error(await commits.read_conflict(self._tables))
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
        """Adopt the committed changes in the store, at least up to ``head``."""
        missing = head.revision - self._view.revision
        if missing <= 0:
            return
        if self._view.revision and missing <= MAX_INCREMENTAL_CHANGES:
            since = self._view.revision
            changes = await read_changes(self._tables, since, MAX_INCREMENTAL_CHANGES)
            self._adopt(apply_changes(self._view, changes), changes)
        if self._view.revision < head.revision:
            self._adopt(await read_snapshot(self._tables), ())

    def _adopt(self, tables: Tables, changes: Sequence[ConfigChange]) -> None:
        """Replace the current tables; an equal or lower revision is ignored."""
        if tables.revision <= self._view.revision:
            return
        self._view = make_read_only(tables)
        self._recent_changes.add(changes, tables.revision)
        metrics.CONFIG_REVISION.set(tables.revision)
        log(events.CONFIG_ADOPTED, revision=tables.revision)
        for subscriber in self._subscribers:
            try:
                subscriber(self._view)
            except Exception as error:
                log(events.TASK_FAILED, task="config subscriber", error=error)

    def _apply_commit(self, change: ConfigChange) -> Commit:
        log(events.CONFIG_COMMITTED, revision=change.revision, operator=change.operator)
        self._adopt(apply_changes(self._view, [change]), [change])
        if self._view.revision >= change.revision:
            self._broadcast(self._offer(change.revision - 1))
        return Commit(change.revision, change.operator, change.at)

    def _log_rejection(
        self, error: ConfigError, operator: str
    ) -> Result[Commit, ConfigError]:
        if isinstance(error, ConfigConflict):
            log(events.CONFIG_CONFLICT, operator=operator, winner=error.operator)
        elif isinstance(error, TableInvalid):
            log(events.CONFIG_REFUSED, operator=operator, error=error)
        return Error(error)

    def _offer(self, since: int) -> ConfigOffer:
        return self._recent_changes.offer(self._view, since)

    def _ask(self, host: str) -> None:
        """Request missing changes from a peer, or from all if ``host`` is empty.

        At most one request is sent per ``MIN_ASK_INTERVAL_S``.
        """
        now_s = self._loop_time_s()
        if now_s - self._last_ask_s < MIN_ASK_INTERVAL_S:
            return
        self._last_ask_s = now_s
        ask = ConfigAsk(self._view.revision)
        if host and self._send is not None:
            self._send(host, ask)
        else:
            self._broadcast(ask)

    def _loop_time_s(self) -> float:
        return asyncio.get_running_loop().time()
