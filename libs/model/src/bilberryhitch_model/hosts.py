"""Hosts, their addresses, and the identity of a running entry host."""

from typing import Literal, NamedTuple

HostKind = Literal["entry", "executor", "worker"]
HostState = Literal["live", "leaving"]


class Identity(NamedTuple):
    """One process of an entry host.

    :param incarnation: unique id of the process
    """

    host: str
    data_centre: str
    incarnation: str


class Address(NamedTuple):
    """A TCP address with a numeric IP address."""

    ip: str
    port: int


class PeerAddress(NamedTuple):
    """Address on which another entry host listens for peer messages."""

    host: str
    data_centre: str
    address: Address


class Host(NamedTuple):
    """One row of the platform's host list.

    :param address: control address as ``ip:port``
    :param boot_id: changes whenever the host restarts
    :param position: index of the host within its rack; consecutive ones are adjacent
    :param memory_gb: memory in GB
    """

    name: str
    kind: HostKind
    data_centre: str
    address: str
    state: HostState = "live"
    boot_id: str = ""
    rack: str = ""
    position: int = 0
    accelerators: int = 0
    cores: int = 0
    memory_gb: int = 0
