"""Membership of hosts: liveness, draining, heartbeats and the host list."""

from .drains import DrainAudit, DrainRecord, DrainRow
from .heartbeat_fields import HeartbeatFields
from .membership import Membership
from .rendezvous import owner, ranked

__all__ = [
    "DrainAudit",
    "DrainRecord",
    "DrainRow",
    "HeartbeatFields",
    "Membership",
    "owner",
    "ranked",
]
