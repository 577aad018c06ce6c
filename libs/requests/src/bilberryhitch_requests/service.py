"""Request service of an entry host: submission, status, peer messages, shutdown."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from bilberryhitch_membership import owner as rendezvous_owner
from bilberryhitch_model import Host, Identity, Outcome, Pool, RequestCall, Route
from bilberryhitch_model.errors import BadInput, NotFound, StoreError
from bilberryhitch_peers import (
    ForwardReply,
    ForwardRequest,
    Message,
    RequestStatusAsk,
    RequestStatusReply,
)
from bilberryhitch_platform import TableService
from expression import Result

from .claims import Claims
from .dispatch import Dispatcher
from .executor_client import ExecutorClient
from .forwarded import ForwardedRequests
from .forwarding import Forwarder, PeerSlots
from .handles import make_handle
from .interfaces import ConfigView, MembershipView, PeerCalls
from .keyed_requests import KeyedRequests
from .reporting import report_outcome
from .request_queue import RequestQueue
from .request_records import MAX_RECORDS, RequestRecord, RequestRecords
from .request_runner import RequestRunner
from .slots import SLOTS_PER_EXECUTOR, ExecutorSlots, SelectOwner
from .status_lookup import StatusLookup

MAINTENANCE_INTERVAL_S = 0.25
MAX_QUEUED = 10_000
PROBE_TIMEOUT_S = 1.0


class RequestService:
    """Accepts requests and returns an outcome for each of them.

    An outcome is ``not_run`` only if the request has not run and never will; where
    that is not certain, it is ``unknown``.

    :param now: returns the time in UTC seconds
    :param new_id: returns a unique id
    :param owner: selects the entry host that owns an executor
    :param outcome_limit: number of finished requests whose outcomes are kept
    :param queue_limit: maximum queue length per pool in this process; a pool's
        ``max_queued`` may be lower
    :param slots_per_executor: concurrent requests per executor
    """

    def __init__(
        self,
        identity: Identity,
        tables: TableService,
        *,
        config: ConfigView,
        membership: MembershipView,
        peers: PeerCalls,
        executors: ExecutorClient,
        now: Callable[[], float],
        new_id: Callable[[], str],
        rng: random.Random,
        owner: SelectOwner = rendezvous_owner,
        outcome_limit: int = MAX_RECORDS,
        queue_limit: int = MAX_QUEUED,
        slots_per_executor: int = SLOTS_PER_EXECUTOR,
    ) -> None:
        self._identity = identity
        self._config = config
        self._executors = executors
        self._new_id = new_id
        self._queue_limit = queue_limit
        self._slots = ExecutorSlots(
            identity,
            config,
            membership,
            on_release=self._assign_slots,
            owner=owner,
            slots_per_executor=slots_per_executor,
        )
        self._peer_slots = PeerSlots(
            identity.data_centre, identity.host, membership, self._slots, rng
        )
        self._dispatcher = Dispatcher(executors, self._slots, new_id=new_id)
        self._forwarder = Forwarder(identity.data_centre, peers, membership)
        self._records = RequestRecords(outcome_limit)
        self._forwarded = ForwardedRequests(
            self._forwarder,
            self._dispatcher,
            RequestRecords(outcome_limit),
            new_id=new_id,
        )
        self._runner = RequestRunner(
            config,
            self._dispatcher,
            self._forwarder,
            peer_slots=self._peer_slots,
            queue_for=self._queue_for,
            rng=rng,
        )
        claims = Claims(tables, now=now, new_id=new_id)
        self._status_lookup = StatusLookup(
            identity, self._records, self._forwarded, self._forwarder, claims
        )
        self._keyed = KeyedRequests(
            claims, self._spawn, self._status_lookup.known_outcome
        )
        self._queues: dict[str, RequestQueue] = {}
        self._peer_usage: dict[str, dict[str, float]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._maintenance_task: asyncio.Task[None] | None = None
        self._closing = False

    async def start(self) -> None:
        """Start the periodic refresh of executors, their probes and the queues."""
        self._slots.refresh()
        self._maintenance_task = asyncio.create_task(self._run_maintenance())

    async def close(self) -> None:
        """Reject new requests as ``not_run`` and finish the accepted ones."""
        self._closing = True
        for queue in self._queues.values():
            queue.refuse_forwarded("shutting down")
        while self._tasks:
            await asyncio.wait(set(self._tasks))
        if self._maintenance_task is not None:
            self._maintenance_task.cancel()
            await asyncio.wait({self._maintenance_task})
            self._maintenance_task = None

    async def submit(self, call: RequestCall) -> Outcome:
        """Run a request and wait for its outcome.

        :returns: the outcome; after the route's timeout it is ``not_run`` if no
            attempt was made and otherwise ``unknown`` with a handle
        :raises BadInput: the body is longer than the route allows, or the
            idempotency key was used with another request
        :raises NotFound: the client account has no request route of this name
        """
        route = self._route(call)
        started_s = asyncio.get_running_loop().time()
        outcome = await self._submit(call, route)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        report_outcome(call, outcome, elapsed_s)
        return outcome

    async def _submit(self, call: RequestCall, route: Route) -> Outcome:
        if self._closing:
            return Outcome("not_run", detail="shutting down", retry_after_s=1.0)
        handle = make_handle(self._identity, self._new_id(), keyed=bool(call.key))
        record = self._records.open(handle, call.client_account)
        self._spawn(self._serve(call, route, record))
        try:
            async with asyncio.timeout(route.timeout_s):
                await record.done.wait()
        except TimeoutError:
            record.close("timed out")
        except asyncio.CancelledError:
            record.close("caller left")
            raise
        if record.error is not None:
            raise record.error
        return record.current_outcome()

    async def status(
        self, handle: str, client_account: str
    ) -> Result[Outcome, NotFound | StoreError]:
        """Return the current outcome for a handle of the client account."""
        return await self._status_lookup.status(handle, client_account)

    async def handle(self, sender: str, message: Message) -> Message | None:
        """Handle a message of a peer.

        :returns: the reply, or ``None`` if the message is not about requests
        """
        if isinstance(message, ForwardRequest):
            return await self._handle_forward(sender, message)
        if isinstance(message, RequestStatusAsk):
            outcome = await self._status_lookup.answer(sender, message)
            return RequestStatusReply(message.handle, outcome)
        return None

    def free_slots(self) -> dict[str, int]:
        """Return the free slots by pool, for heartbeats; empty during shutdown."""
        if self._closing:
            return {}
        return {
            pool: max(0, free - len(self._queues.get(pool, ())))
            for pool, free in self._slots.free_slots().items()
        }

    def usage(self) -> dict[str, float]:
        """Return the slot seconds used since the start, for heartbeats.

        :returns: totals by ``<pool>/<client account>``
        """
        return dict(self._dispatcher.usage)

    def receive_free_slots(self, host: str, free_slots: dict[str, int]) -> None:
        """Store the free slots by pool from a peer's heartbeat."""
        if host == self._identity.host:
            return
        self._peer_slots.update(host, free_slots)
        self._assign_slots()

    def receive_usage(self, host: str, usage: dict[str, float]) -> None:
        """Charge the usage reported in a peer's heartbeat.

        :param usage: total slot seconds by ``<pool>/<client account>``; totals that
            the heartbeat omits are unchanged
        """
        if host == self._identity.host:
            return
        known = self._peer_usage.get(host, {})
        self._peer_usage[host] = {**known, **usage}
        for name, total_s in usage.items():
            before_s = known.get(name, 0.0)
            # A total that decreased comes from a new incarnation, which starts at 0.
            cost_s = total_s - before_s if total_s >= before_s else total_s
            pool, _, account = name.partition("/")
            row = self._config.tables_view.pools.get(pool)
            if cost_s > 0.0 and row is not None and row.work == "request":
                self._queue_for(row).charge_remote(account, cost_s)

    def _route(self, call: RequestCall) -> Route:
        route = self._config.tables_view.routes.get(call.route)
        owned = route is not None and route.client_account == call.client_account
        if route is None or not owned or route.work != "request":
            raise NotFound("route", call.route)
        if len(call.body) > route.max_body_bytes:
            rule = f"at most {route.max_body_bytes} bytes"
            raise BadInput("body", len(call.body), rule)
        return route

    async def _serve(
        self, call: RequestCall, route: Route, record: RequestRecord
    ) -> None:
        try:
            if not call.key:
                record.finish(await self._runner.run(call, route, record))
                return
            await self._keyed.serve(
                call, route, record, lambda: self._runner.run(call, route, record)
            )
        finally:
            # The record is still open only after an unexpected exception.
            if record.outcome is None:
                record.record_lost(record.run_id)
                record.close("internal failure")

    async def _handle_forward(
        self, sender: str, message: ForwardRequest
    ) -> ForwardReply:
        tables = self._config.tables_view
        route = tables.routes.get(message.call.route)
        pool = tables.pools.get(route.pool) if route is not None else None
        if self._closing or route is None or pool is None:
            return ForwardReply(message.handle, Outcome("not_run", detail="refused"))
        serving = self._forwarded.serve(sender, message, route, self._queue_for(pool))
        return await asyncio.shield(self._spawn(serving))

    def _queue_for(self, pool: Pool) -> RequestQueue:
        queue = self._queues.get(pool.name)
        if queue is None:
            queue = RequestQueue(
                self._with_queue_limit(pool), self._slots, self._peer_slots.select
            )
            self._queues[pool.name] = queue
        return queue

    def _with_queue_limit(self, pool: Pool) -> Pool:
        limit = min(pool.max_queued, self._queue_limit)
        return pool._replace(max_queued=limit)

    def _assign_slots(self) -> None:
        for queue in self._queues.values():
            queue.assign_slots()

    async def _run_maintenance(self) -> None:
        while True:
            self._slots.refresh()
            pools = self._config.tables_view.pools
            for name, queue in self._queues.items():
                if name in pools:
                    queue.update_pool(self._with_queue_limit(pools[name]))
                queue.expire_usage()
            for host in self._slots.take_due_probes():
                self._spawn(self._probe(host))
            self._assign_slots()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    async def _probe(self, host: Host) -> None:
        answered = await self._executors.probe(host, PROBE_TIMEOUT_S)
        self._slots.record_probe(host.name, answered=answered)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
