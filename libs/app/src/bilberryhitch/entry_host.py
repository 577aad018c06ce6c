"""Wires the libraries into one entry host."""

import asyncio
import random
import time
import uuid
from typing import NamedTuple

from bilberryhitch_api.admin import admin_routes
from bilberryhitch_api.callers import caller_routes
from bilberryhitch_api.server import ApiServer, health_routes
from bilberryhitch_config import ConfigService
from bilberryhitch_gangs import HttpWorkerClient, JobService, PlannerSet
from bilberryhitch_membership import Membership, Vitals
from bilberryhitch_model import Address, Identity
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

from .caller_tokens import token_authentication
from .message_routing import route_messages


class Platform(NamedTuple):
    """The platform's services, when they are not reached over HTTP."""

    tables: TableService
    host_list: HostList


class EntryHost:
    """One entry host: services, peer link and API.

    :param platform: used instead of the platform that the settings name
    """

    def __init__(self, settings: Settings, platform: Platform | None = None) -> None:
        self._settings = settings
        self._identity = Identity(settings.host, settings.data_centre, _new_id())
        self._client = None if platform else _platform_client(settings)
        self._platform = platform or Platform(self._client, self._client)
        self._closing = False
        self._link = PeerLink(
            self._identity,
            settings.peer_address,
            settings.peers,
            route_messages(self),
            report=_report_dropped,
        )
        self._build_services()
        self._api = self._build_api()

    @property
    def api_address(self) -> Address:
        """Where the API listens."""
        return self._api.address

    @property
    def membership(self) -> Membership:
        """Live and leaving hosts."""
        return self._membership

    @property
    def config(self) -> ConfigService:
        """Routes and pools."""
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
        """Whether the balancer should send work here."""
        return self._config.ready and not self._closing
