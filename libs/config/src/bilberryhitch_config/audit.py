"""The audit log of operator actions other than table changes."""

from typing import NamedTuple

import msgspec
from bilberryhitch_model import from_plain
from bilberryhitch_model.errors import BadInput
from bilberryhitch_platform import Row, TableService

from .rows import scan_pages

AUDIT_PREFIX = "audit/"
# Rows are scanned in ascending order of time only. The newest entries are found by
# scanning from ever earlier start times.
LOOKBACK_STEPS_S = (3_600.0, 86_400.0, 30 * 86_400.0)


class AuditEntry(NamedTuple):
    """One action of an operator.

    :param at: UTC seconds
    :param action: ``drain`` or ``undrain``
    :param host: name of the drained or undrained host
    """

    at: float
    operation_id: str
    operator: str
    action: str
    host: str


async def read_audit(tables: TableService, limit: int, now: float) -> list[AuditEntry]:
    """Return the last operator actions, newest first.

    Rows that cannot be decoded are skipped.

    :param limit: maximum number of entries
    :param now: current time in UTC seconds
    :raises StoreUnavailable: the store cannot be read
    """
    for lookback_s in LOOKBACK_STEPS_S:
        rows = await _scan_audit(
            tables, f"{AUDIT_PREFIX}{max(0.0, now - lookback_s):017.6f}"
        )
        if len(rows) >= limit:
            return _decode_entries(rows, limit)
    return _decode_entries(await _scan_audit(tables, ""), limit)


async def _scan_audit(tables: TableService, after: str) -> list[Row]:
    rows: list[Row] = []
    async for page in scan_pages(tables, AUDIT_PREFIX, after):
        rows += page
    return rows


def _decode_entries(rows: list[Row], limit: int) -> list[AuditEntry]:
    entries = []
    for row in reversed(rows):
        try:
            entries.append(from_plain(AuditEntry, msgspec.json.decode(row.value)))
        except (BadInput, msgspec.DecodeError):
            continue
    return entries[:limit]
