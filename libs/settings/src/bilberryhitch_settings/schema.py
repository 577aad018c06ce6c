"""Shape of a settings file, checked by msgspec."""

from typing import Annotated, Literal

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
# A hostname would need a resolver at start; addresses are IP numbers.
Ip = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:]{2,45}$")]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^\s]+$", max_length=500)]
Sha256 = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


class AddressFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An address to listen on or to connect to."""

    ip: Ip
    port: Port


class IdentityFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which host this is."""

    host: Name
    data_centre: Name


class PeerFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Another entry host."""

    host: Name
    data_centre: Name
    ip: Ip
    port: Port


class PlatformFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform is and the credential for it."""

    url: Url
    token: Annotated[str, msgspec.Meta(min_length=1, max_length=4_096)]


class CallerFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who a caller token stands for."""

    client_account: Name
    caller: Name


class LimitsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of what the process takes on.

    :ivar max_body_bytes: largest body of a caller or operator
    :ivar max_queued: requests that wait for a slot in this process
    :ivar max_connections: connections of callers and operators
    :ivar peer_queue: messages queued for each peer
    :ivar max_routes: rows of the routes table
    :ivar max_pools: rows of the pools table
    :ivar outcome_memory: outcomes of unkeyed requests kept in memory
    :ivar shutdown_wait_s: longest wait for work in flight; none by default
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
    """The whole file."""

    identity: IdentityFile
    api: AddressFile
    peer: AddressFile
    platform: PlatformFile
    peers: list[PeerFile] = []
    operators: dict[Name, Sha256] = {}
    callers: dict[Sha256, CallerFile] = {}
    limits: LimitsFile = LimitsFile()
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    otlp_endpoint: Url | None = None
