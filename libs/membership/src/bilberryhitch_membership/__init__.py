"""Live and leaving hosts: heartbeats, host list and drains."""

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
