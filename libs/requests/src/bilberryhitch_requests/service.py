"""The request path of an entry host: submit, status, peer messages, shutdown."""

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
from .enquiries import Enquiries
from .executor_client import ExecutorClient
from .forwarded import ForwardedRequests
from .forwarding import Forwarder, PeerSlots
from .handles import make_handle
from .keyed import KeyedRequests
from .outcomes import MAX_RECORDS, Outcomes, RequestRecord
from .ports import ConfigView, MembershipView, PeerCalls
from .reporting import report_outcome
from .running import RequestRunner
from .slots import SLOTS_PER_EXECUTOR, ExecutorSlots, Owner
from .waiting import WaitingRequests

TICK_S = 0.25
MAX_QUEUED = 10_000
PROBE_TIMEOUT_S = 1.0


class RequestService:
    """Takes requests of callers and answers each one truthfully.

    :param owner: which entry host owns an executor
    :param outcome_limit: finished requests remembered
    :param queue_limit: most requests waiting for each pool in this process; a
        pool's own ``max_queued`` may be lower
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
        owner: Owner = rendezvous_owner,
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
            released=self._pump,
            owner=owner,
            slots_per_executor=slots_per_executor,
        )
        self._peer_slots = PeerSlots(
            identity.data_centre, identity.host, membership, self._slots, rng
        )
        self._dispatcher = Dispatcher(executors, self._slots, new_id=new_id)
        self._forwarder = Forwarder(identity.data_centre, peers, membership)
        self._outcomes = Outcomes(outcome_limit)
        self._forwarded = ForwardedRequests(
            self._forwarder, self._dispatcher, Outcomes(outcome_limit), new_id=new_id
        )
        self._runner = RequestRunner(
            config,
            self._dispatcher,
            self._forwarder,
            peer_slots=self._peer_slots,
            waiting_for=self._waiting_for,
            rng=rng,
        )
        claims = Claims(tables, now=now, new_id=new_id)
        self._enquiries = Enquiries(
            identity, self._outcomes, self._forwarded, self._forwarder, claims
        )
        self._keyed = KeyedRequests(claims, self._spawn, self._enquiries.known_outcome)
        self._waiting: dict[str, WaitingRequests] = {}
        self._heard_usage: dict[str, dict[str, float]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._ticker: asyncio.Task[None] | None = None
        self._closing = False

    async def start(self) -> None:
        """Begin to follow membership and to probe executors."""
        self._slots.refresh()
        self._ticker = asyncio.create_task(self._tick())

    async def close(self) -> None:
        """Refuse new work as not run and finish all that was accepted."""
        self._closing = True
        for waiting in self._waiting.values():
            waiting.refuse_forwarded("shutting down")
        while self._tasks:
            await asyncio.wait(set(self._tasks))
        if self._ticker is not None:
            self._ticker.cancel()
            await asyncio.wait({self._ticker})
            self._ticker = None

    async def submit(self, call: RequestCall) -> Outcome:
        """Run a request.

        :returns: the outcome; after the route's time-out, ``not_run`` if no
            attempt was made and ``unknown`` with a handle otherwise
        :raises BadInput: the body is too long, or the key belongs to another body
        :raises NotFound: the account has no such request route
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
        record = self._outcomes.open(handle, call.client_account)
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
        return record.answer()

    async def status(
        self, handle: str, client_account: str
    ) -> Result[Outcome, NotFound | StoreError]:
        """Return the outcome under a handle of the account, as known now."""
        return await self._enquiries.status(handle, client_account)

    async def handle(self, sender: str, message: Message) -> Message | None:
        """Answer a peer's message about requests."""
        if isinstance(message, ForwardRequest):
            return await self._handle_forward(sender, message)
        if isinstance(message, RequestStatusAsk):
            outcome = await self._enquiries.answer(sender, message)
            return RequestStatusReply(message.handle, outcome)
        return None

    def free_slots(self) -> dict[str, int]:
        """Return free slots by pool, for heartbeats; none while shutting down."""
        if self._closing:
            return {}
        return {
            pool: max(0, free - len(self._waiting.get(pool, ())))
            for pool, free in self._slots.free_slots().items()
        }

    def usage(self) -> dict[str, float]:
        """Return slot seconds served since the start, for heartbeats."""
        return dict(self._dispatcher.usage)

    def hear_free_slots(self, host: str, free_slots: dict[str, int]) -> None:
        """Take over the free slots in a peer's heartbeat."""
        if host == self._identity.host:
            return
        self._peer_slots.hear(host, free_slots)
        self._pump()

    def hear_usage(self, host: str, usage: dict[str, float]) -> None:
        """Take over the usage in a peer's heartbeat; entries left out are unchanged."""
        if host == self._identity.host:
            return
        heard = self._heard_usage.get(host, {})
        self._heard_usage[host] = {**heard, **usage}
        for name, total_s in usage.items():
            before_s = heard.get(name, 0.0)
            # A smaller total comes from a new incarnation, which starts at 0.
            cost_s = total_s - before_s if total_s >= before_s else total_s
            pool, _, account = name.partition("/")
            row = self._config.tables_view.pools.get(pool)
            if cost_s > 0.0 and row is not None and row.work == "request":
                self._waiting_for(row).charge_remote(account, cost_s)

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
            # Only an unexpected exception leaves the record open here.
            if record.outcome is None:
                record.lose(record.run)
                record.close("internal failure")

    async def _handle_forward(
        self, sender: str, message: ForwardRequest
    ) -> ForwardReply:
        tables = self._config.tables_view
        route = tables.routes.get(message.call.route)
        pool = tables.pools.get(route.pool) if route is not None else None
        if self._closing or route is None or pool is None:
            return ForwardReply(message.handle, Outcome("not_run", detail="refused"))
        serving = self._forwarded.serve(sender, message, route, self._waiting_for(pool))
        return await asyncio.shield(self._spawn(serving))

    def _waiting_for(self, pool: Pool) -> WaitingRequests:
        waiting = self._waiting.get(pool.name)
        if waiting is None:
            waiting = WaitingRequests(
                self._bounded(pool), self._slots, self._peer_slots.pick
            )
            self._waiting[pool.name] = waiting
        return waiting

    def _bounded(self, pool: Pool) -> Pool:
        limit = min(pool.max_queued, self._queue_limit)
        return pool._replace(max_queued=limit)

    def _pump(self) -> None:
        for waiting in self._waiting.values():
            waiting.pump()

    async def _tick(self) -> None:
        while True:
            self._slots.refresh()
            pools = self._config.tables_view.pools
            for name, waiting in self._waiting.items():
                if name in pools:
                    waiting.set_pool(self._bounded(pools[name]))
                waiting.expire_usage()
            for host in self._slots.due_probes():
                self._spawn(self._probe(host))
            self._pump()
            await asyncio.sleep(TICK_S)

    async def _probe(self, host: Host) -> None:
        answered = await self._executors.probe(host, PROBE_TIMEOUT_S)
        self._slots.probed(host.name, answered=answered)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
