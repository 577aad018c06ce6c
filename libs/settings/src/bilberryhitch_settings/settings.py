"""Settings of one process, read from a JSON file with comments."""

import ipaddress
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Literal, NamedTuple

import msgspec
from bilberryhitch_model import (
    Address,
    PeerAddress,
    parse_jsonc,
    shorten_value,
    value_at,
)
from bilberryhitch_model.errors import BadInput, SettingsInvalid
from expression import Error, Ok, Result

from .schema import LimitsSection, SettingsFile

MAX_FILE_BYTES = 4 << 20
_SECRET_PATHS = ("$.platform.token", "$.operators", "$.callers")

Limits = LimitsSection


class Platform(NamedTuple):
    """URL of the platform and the bearer token for it, which ``repr`` redacts."""

    url: str
    token: str

    def __repr__(self) -> str:
        return f"Platform(url={self.url!r}, token='[redacted]')"


class Caller(NamedTuple):
    """The client account and caller that a token authenticates."""

    client_account: str
    caller: str


class Settings(NamedTuple):
    """Validated settings.

    :param operators: lower-case hex SHA-256 digests of the tokens, by operator name
    :param callers: callers by the lower-case hex SHA-256 digest of their token
    :param otlp_endpoint: URL that receives metrics over OTLP; empty for none
    """

    host: str
    data_centre: str
    api_address: Address
    peer_address: Address
    peers: tuple[PeerAddress, ...]
    platform: Platform
    operators: Mapping[str, str]
    callers: Mapping[str, Caller]
    limits: Limits
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"]
    otlp_endpoint: str


def load_settings(path: Path) -> Result[Settings, SettingsInvalid]:
    """Read and validate a settings file.

    :returns: the settings, or the first error with file, line or path, value and
        rule; the value never contains credentials
    """
    file = str(path)
    try:
        with path.open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            rule = f"has at most {MAX_FILE_BYTES} bytes"
            return Error(SettingsInvalid(file, "$", "", rule))
        document = parse_jsonc(data.decode())
        content = msgspec.convert(document, SettingsFile)
    except OSError as error:
        return Error(SettingsInvalid(file, "$", "", f"is readable: {error.strerror}"))
    except UnicodeDecodeError as error:
        return Error(SettingsInvalid(file, f"byte {error.start}", "", "is UTF-8"))
    except BadInput as error:
        return Error(SettingsInvalid(file, error.field, "", error.rule))
    except msgspec.ValidationError as error:
        return Error(_schema_error(file, document, error))
    for violation in _find_violations(file, content):
        return Error(violation)
    return Ok(_to_settings(content))


def _schema_error(
    file: str, document: Any, error: msgspec.ValidationError
) -> SettingsInvalid:
    rule, _, location = str(error).partition(" - at `")
    path = location.rstrip("`") or "$"
    is_secret = any(path.startswith(prefix) for prefix in _SECRET_PATHS)
    value = "" if is_secret or path == "$" else value_at(document, path)
    if isinstance(value, Mapping | list):
        value = ""
    return SettingsInvalid(file, path, shorten_value(value), rule)


def _find_violations(file: str, content: SettingsFile) -> Iterator[SettingsInvalid]:
    """Yield violations of rules that the schema cannot express."""
    addresses = {"$.api.ip": content.api.ip, "$.peer.ip": content.peer.ip}
    host_names = {content.identity.host}
    for index, peer in enumerate(content.peers):
        addresses[f"$.peers[{index}].ip"] = peer.ip
        if peer.host in host_names:
            rule = "is named once and is not this host"
            yield SettingsInvalid(file, f"$.peers[{index}].host", peer.host, rule)
        host_names.add(peer.host)
        if peer.port == 0:
            path = f"$.peers[{index}].port"
            yield SettingsInvalid(file, path, 0, "is a port to connect to")
    for path, text in addresses.items():
        try:
            ipaddress.ip_address(text)
        except ValueError:
            yield SettingsInvalid(file, path, text, "is an IP number")
    if len(set(content.operators.values())) < len(content.operators):
        yield SettingsInvalid(file, "$.operators", "", "has one token per operator")
    shared_tokens = set(content.operators.values()) & set(content.callers)
    if shared_tokens:
        rule = "has no token that is an operator's"
        yield SettingsInvalid(file, "$.callers", "", rule)


def _to_settings(content: SettingsFile) -> Settings:
    return Settings(
        host=content.identity.host,
        data_centre=content.identity.data_centre,
        api_address=Address(content.api.ip, content.api.port),
        peer_address=Address(content.peer.ip, content.peer.port),
        peers=tuple(
            PeerAddress(peer.host, peer.data_centre, Address(peer.ip, peer.port))
            for peer in content.peers
        ),
        platform=Platform(content.platform.url, content.platform.token),
        operators=content.operators,
        callers={
            digest: Caller(caller.client_account, caller.caller)
            for digest, caller in content.callers.items()
        },
        limits=content.limits,
        log_level=content.log_level,
        otlp_endpoint=content.otlp_endpoint or "",
    )
