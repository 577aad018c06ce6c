"""Schema of a settings file, which msgspec validates."""

from typing import Annotated, Literal

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
# IP addresses only, as a host name would need a resolver at the start of the process.
Ip = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:]{2,45}$")]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^\s]+$", max_length=500)]
Sha256 = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


class AddressSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An address to listen on or to connect to."""

    ip: Ip
    port: Port


class IdentitySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name and data centre of this host."""

    host: Name
    data_centre: Name


class PeerSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Another entry host."""

    host: Name
    data_centre: Name
    ip: Ip
    port: Port


class PlatformSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """URL of the platform and the bearer token for it."""

    url: Url
    token: Annotated[str, msgspec.Meta(min_length=1, max_length=4_096)]


class CallerSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The client account and caller that a token authenticates."""

    client_account: Name
    caller: Name


class LimitsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the load and memory of the process.

    :ivar max_body_bytes: size of a request body of a caller or operator
    :ivar max_queued: number of requests that wait for a slot in this process
    :ivar max_connections: number of connections of callers and operators
    :ivar peer_queue: number of messages queued for each peer
    :ivar max_routes: number of rows of the routes table
    :ivar max_pools: number of rows of the pools table
    :ivar outcome_memory: number of outcomes kept in memory for requests without an
        idempotency key
    :ivar shutdown_wait_s: how long a shutdown waits for work in progress; unlimited
        by default
    """

    max_body_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=1 << 28)] = 1 << 20
    max_queued: Count = 2_000
    max_connections: Count = 1_000
    peer_queue: Count = 1_000
    max_routes: Annotated[int, msgspec.Meta(ge=1, le=5_000)] = 5_000
    max_pools: Annotated[int, msgspec.Meta(ge=1, le=500)] = 500
    outcome_memory: Count = 10_000
    shutdown_wait_s: Annotated[float, msgspec.Meta(gt=0)] | None = None


class SettingsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a settings file."""

    identity: IdentitySection
    api: AddressSection
    peer: AddressSection
    platform: PlatformSection
    peers: list[PeerSection] = []
    operators: dict[Name, Sha256] = {}
    callers: dict[Sha256, CallerSection] = {}
    limits: LimitsSection = LimitsSection()
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    otlp_endpoint: Url | None = None
