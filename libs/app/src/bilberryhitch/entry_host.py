"""Assembles an entry host from its services."""

import asyncio
import random
import time
import uuid
from collections.abc import Mapping
from typing import NamedTuple

from bilberryhitch_api.admin import admin_routes
from bilberryhitch_api.authentication import caller_authenticator
from bilberryhitch_api.callers import caller_routes
from bilberryhitch_api.server import ApiServer, health_routes
from bilberryhitch_config import ConfigService, read_audit
from bilberryhitch_gangs import HttpWorkerClient, JobService, PlannerSet
from bilberryhitch_membership import HeartbeatFields, Membership
from bilberryhitch_model import Address, Identity, JobRecord
from bilberryhitch_peers import Message, PeerLink
from bilberryhitch_platform import (
    HostList,
    OperationsSweeper,
    PlatformClient,
    TableService,
)
from bilberryhitch_requests import HttpExecutorClient, RequestService
from bilberryhitch_scheduling import PoolScheduler
from bilberryhitch_settings import Settings
from bilberryhitch_telemetry import events, log, scrape

from .message_dispatch import make_message_handler

FULL_USAGE_INTERVAL_HEARTBEATS = 20


class PlatformServices(NamedTuple):
    """The services of the platform that an entry host uses."""

    tables: TableService
    host_list: HostList


class EntryHost:
    """One entry host: services, peer link and HTTP API.

    :param platform: replaces the platform at the URL in the settings
    """

    def __init__(
        self, settings: Settings, platform: PlatformServices | None = None
    ) -> None:
        self._settings = settings
        self._identity = Identity(settings.host, settings.data_centre, _new_id())
        self._client: PlatformClient | None = None
        if platform is None:
            self._client = _platform_client(settings)
            platform = PlatformServices(self._client, self._client)
        self._platform = platform
        self._closing = False
        self._heartbeats = 0
        self._sent_usage: dict[str, float] = {}
        self._link = PeerLink(
            self._identity,
            settings.peer_address,
            settings.peers,
            make_message_handler(self),
            queue_limit=settings.limits.peer_queue,
            report=_log_dropped_message,
        )
        self._build_services()
        self._api = self._build_api()

    @property
    def api_address(self) -> Address:
        """The address on which the API listens."""
        return self._api.address

    @property
    def link(self) -> PeerLink:
        """The link to the other entry hosts."""
        return self._link

    @property
    def membership(self) -> Membership:
        """The membership service: live and leaving hosts."""
        return self._membership

    @property
    def config(self) -> ConfigService:
        """The configuration service: routes and pools."""
        return self._config

    @property
    def jobs(self) -> JobService:
        """The job service."""
        return self._jobs

    @property
    def requests(self) -> RequestService:
        """The request service."""
        return self._requests

    @property
    def ready(self) -> bool:
        """Whether load balancers should send traffic to this host."""
        return self._config.ready and not self._closing

    async def start(self) -> None:
        """Start every service, the API last."""
        log(events.PROCESS_STARTED, data_centre=self._identity.data_centre)
        if self._client is not None:
            await self._client.start()
        await self._workers.start()
        await self._executors.start()
        await self._link.start()
        await self._membership.start()
        await self._config.start()
        await self._requests.start()
        await self._jobs.start()
        await self._planners.start()
        await self._sweeper.start()
        await self._api.start()
        log(events.PROCESS_READY, address=str(self.api_address))

    async def close(self) -> None:
        """Complete work in progress and stop; new work is rejected as not run.

        The API listens until the end: load balancers send traffic for a while after
        the shutdown has begun, and a response tells callers that nothing ran.
        """
        self._closing = True
        self._membership.leave()
        log(events.PROCESS_STOPPING)
        limit_s = self._settings.limits.shutdown_wait_s
        try:
            async with asyncio.timeout(limit_s):
                await self._finish_work()
        except TimeoutError:
            log(events.SHUTDOWN_LIMIT_REACHED, limit_s=limit_s)
        await self._close_resources()
        log(events.PROCESS_STOPPED)

    async def _finish_work(self) -> None:
        await self._jobs.close()
        await asyncio.gather(self._requests.close(), self._planners.close())
        await self._api.finish_in_flight()

    async def _close_resources(self) -> None:
        await self._api.stop_listening()
        await self._api.close()
        await self._sweeper.close()
        await self._config.close()
        await self._membership.close()
        await self._link.close()
        await self._workers.close()
        await self._executors.close()
        if self._client is not None:
            await self._client.close()

    def _build_services(self) -> None:
        tables = self._platform.tables
        self._workers = HttpWorkerClient()
        self._executors = HttpExecutorClient()
        self._membership = Membership(
            self._identity,
            tables,
            self._platform.host_list,
            now=time.time,
            new_id=_new_id,
            broadcast=self._link.broadcast,
            send=self._link.send,
            peers=self._settings.peers,
            heartbeat_fields=self._heartbeat_fields,
        )
        self._config = ConfigService(
            tables,
            now=time.time,
            new_id=_new_id,
            broadcast=self._membership.fan_out,
            hosts=self._membership.hosts,
            send=self._link.send,
            broadcast_local=self._broadcast_local,
        )
        self._build_work_services(tables)
        self._sweeper = OperationsSweeper(tables, new_id=_new_id)

    def _build_work_services(self, tables: TableService) -> None:
        self._planners = PlannerSet(
            self._identity,
            tables,
            self._workers,
            tables_view=lambda: self._config.tables_view,
            members=self._membership,
            make_scheduler=PoolScheduler,
            now=time.time,
            new_id=_new_id,
            on_change=self._job_changed,
        )
        self._jobs = JobService(
            self._identity,
            tables,
            tables_view=lambda: self._config.tables_view,
            hosts=self._membership.hosts,
            entry_hosts=self._membership.entry_hosts,
            planners=self._planners,
            link=self._link,
            now=time.time,
            new_id=_new_id,
        )
        self._requests = RequestService(
            self._identity,
            tables,
            config=self._config,
            membership=self._membership,
            peers=self._link,
            executors=self._executors,
            now=time.time,
            new_id=_new_id,
            rng=random.Random(),
            outcome_limit=self._settings.limits.outcome_memory,
            queue_limit=self._settings.limits.max_queued,
        )

    def _build_api(self) -> ApiServer:
        limits = self._settings.limits
        routes = [
            *caller_routes(
                self._requests,
                self._jobs,
                caller_authenticator(self._settings.callers),
                max_body_bytes=limits.max_body_bytes,
            ),
            *admin_routes(
                self._config,
                self._membership,
                lambda limit: read_audit(self._platform.tables, limit, time.time()),
                self._settings.operators,
                max_body_bytes=limits.max_body_bytes,
                max_rows={"routes": limits.max_routes, "pools": limits.max_pools},
            ),
            *health_routes(lambda: self.ready, scrape),
        ]
        return ApiServer(
            self._settings.api_address,
            routes,
            max_body_bytes=limits.max_body_bytes,
            max_calls=limits.max_connections,
        )

    def _job_changed(self, record: JobRecord) -> None:
        self._jobs.notify_changed(record)

    def _broadcast_local(self, message: Message) -> None:
        self._link.broadcast(message, self._identity.data_centre)

    def _heartbeat_fields(self) -> HeartbeatFields:
        return HeartbeatFields(
            self._config.tables_view.revision,
            self._changed_usage(),
            self._requests.free_slots(),
        )

    def _changed_usage(self) -> dict[str, float]:
        """Return the usage that changed since the last heartbeat.

        With 330 client accounts, all totals in every heartbeat took ten times the
        control traffic allowed. Totals are cumulative: a lost heartbeat is compensated
        by the next change, or by the next heartbeat with all totals.
        """
        usage = self._requests.usage()
        full = self._heartbeats % FULL_USAGE_INTERVAL_HEARTBEATS == 0
        previous = {} if full else self._sent_usage
        self._heartbeats += 1
        self._sent_usage = usage
        return {
            name: total for name, total in usage.items() if previous.get(name) != total
        }


def _platform_client(settings: Settings) -> PlatformClient:
    platform = settings.platform
    return PlatformClient(platform.url, token=platform.token)


def _log_dropped_message(reason: str, fields: Mapping[str, object]) -> None:
    log(events.PEER_MESSAGE_DROPPED, reason=reason, **fields)


def _new_id() -> str:
    return uuid.uuid4().hex
