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

from .schema import LimitsFile, SettingsFile

MAX_FILE_BYTES = 4 << 20
_SECRET_PATHS = ("$.platform.token", "$.operators", "$.callers")

Limits = LimitsFile


class Platform(NamedTuple):
    """Where the platform is; the token is left out of its text form."""

    url: str
    token: str

    def __repr__(self) -> str:
        return f"Platform(url={self.url!r}, token='[redacted]')"


class Caller(NamedTuple):
    """Who a caller token stands for."""

    client_account: str
    caller: str


class Settings(NamedTuple):
    """Checked settings.

    :param operators: lower-case hex SHA-256 of the token, by operator name
    :param callers: who is calling, by lower-case hex SHA-256 of the token
    :param otlp_endpoint: URL that receives metrics, or empty
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
    """Read and check a settings file.

    :returns: the settings, or the first fault with file, line or path, value
        and rule; credentials are never part of the value
    """
    file = str(path)
    try:
        with path.open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            rule = f"has at most {MAX_FILE_BYTES} bytes"
            return Error(SettingsInvalid(file, "$", "", rule))
        plain = parse_jsonc(data.decode())
        checked = msgspec.convert(plain, SettingsFile)
    except OSError as error:
        return Error(SettingsInvalid(file, "$", "", f"is readable: {error.strerror}"))
    except UnicodeDecodeError as error:
        return Error(SettingsInvalid(file, f"byte {error.start}", "", "is UTF-8"))
    except BadInput as error:
        return Error(SettingsInvalid(file, error.field, "", error.rule))
    except msgspec.ValidationError as error:
        return Error(_schema_error(file, plain, error))
    for violation in _violations(file, checked):
        return Error(violation)
    return Ok(_settings(checked))


def _schema_error(
    file: str, plain: Any, error: msgspec.ValidationError
) -> SettingsInvalid:
    rule, _, place = str(error).partition(" - at `")
    path = place.rstrip("`") or "$"
    secret = any(path.startswith(prefix) for prefix in _SECRET_PATHS)
    value = "" if secret or path == "$" else value_at(plain, path)
    if isinstance(value, Mapping | list):
        value = ""
    return SettingsInvalid(file, path, shorten_value(value), rule)


def _violations(file: str, checked: SettingsFile) -> Iterator[SettingsInvalid]:
    """Yield what the schema cannot express."""
    addresses = {"$.api.ip": checked.api.ip, "$.peer.ip": checked.peer.ip}
    names = {checked.identity.host}
    for index, peer in enumerate(checked.peers):
        addresses[f"$.peers[{index}].ip"] = peer.ip
        if peer.host in names:
            rule = "is named once and is not this host"
            yield SettingsInvalid(file, f"$.peers[{index}].host", peer.host, rule)
        names.add(peer.host)
        if peer.port == 0:
            path = f"$.peers[{index}].port"
            yield SettingsInvalid(file, path, 0, "is a port to connect to")
    for path, text in addresses.items():
        try:
            ipaddress.ip_address(text)
        except ValueError:
            yield SettingsInvalid(file, path, text, "is an IP number")
    if len(set(checked.operators.values())) < len(checked.operators):
        yield SettingsInvalid(file, "$.operators", "", "has one token per operator")
    shared = set(checked.operators.values()) & set(checked.callers)
    if shared:
        rule = "has no token that is an operator's"
        yield SettingsInvalid(file, "$.callers", "", rule)


def _settings(checked: SettingsFile) -> Settings:
    return Settings(
        host=checked.identity.host,
        data_centre=checked.identity.data_centre,
        api_address=Address(checked.api.ip, checked.api.port),
        peer_address=Address(checked.peer.ip, checked.peer.port),
        peers=tuple(
            PeerAddress(peer.host, peer.data_centre, Address(peer.ip, peer.port))
            for peer in checked.peers
        ),
        platform=Platform(checked.platform.url, checked.platform.token),
        operators=checked.operators,
        callers={
            digest: Caller(caller.client_account, caller.caller)
            for digest, caller in checked.callers.items()
        },
        limits=checked.limits,
        log_level=checked.log_level,
        otlp_endpoint=checked.otlp_endpoint or "",
    )
