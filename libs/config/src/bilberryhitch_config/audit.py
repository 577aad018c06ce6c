"""The trail of operators' actions other than table changes."""

from typing import NamedTuple

import msgspec
from bilberryhitch_model import from_plain
from bilberryhitch_model.errors import BadInput
from bilberryhitch_platform import Row, TableService

from .rows import scan_all

AUDIT = "audit/"
# Keys start with the time, so the newest entries are found by reading back from
# now in growing steps.
STEPS_S = (3_600.0, 86_400.0, 30 * 86_400.0)


class AuditEntry(NamedTuple):
    """One action of an operator.

    :param at: UTC seconds
    :param action: ``drain`` or ``undrain``
    :param host: the host acted on
    """

    at: float
    operation_id: str
    operator: str
    action: str
    host: str


async def read_audit(tables: TableService, limit: int, now: float) -> list[AuditEntry]:
    """Return the last actions, newest first.

    Rows that do not decode are left out.

    :param now: UTC seconds
    :raises StoreUnavailable: the store cannot be read
    """
    for step_s in STEPS_S:
        rows = await _rows(tables, f"{AUDIT}{max(0.0, now - step_s):017.6f}")
        if len(rows) >= limit:
            return _entries(rows, limit)
    return _entries(await _rows(tables, ""), limit)


async def _rows(tables: TableService, after: str) -> list[Row]:
    rows: list[Row] = []
    async for page in scan_all(tables, AUDIT, after):
        rows += page
    return rows


def _entries(rows: list[Row], limit: int) -> list[AuditEntry]:
    entries = []
    for row in reversed(rows):
        try:
            entries.append(from_plain(AuditEntry, msgspec.json.decode(row.value)))
        except (BadInput, msgspec.DecodeError):
            continue
    return entries[:limit]
