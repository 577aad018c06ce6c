"""Membership of hosts: liveness, draining, heartbeats and the host list."""

from .drains import DrainAudit, DrainRecord, DrainRow
from .membership import Membership
from .rendezvous import owner, ranked
from .vitals import Vitals

__all__ = [
    "DrainAudit",
    "DrainRecord",
    "DrainRow",
    "Membership",
    "Vitals",
    "owner",
    "ranked",
]
