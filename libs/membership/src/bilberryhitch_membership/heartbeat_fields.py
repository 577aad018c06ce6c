"""Heartbeat fields that are provided by other services of the entry host."""

from collections.abc import Mapping
from typing import NamedTuple


class HeartbeatFields(NamedTuple):
    """Fields of :class:`~bilberryhitch_peers.Heartbeat` of the same names."""

    config_revision: int = 0
    usage: Mapping[str, float] = {}
    free_slots: Mapping[str, int] = {}
