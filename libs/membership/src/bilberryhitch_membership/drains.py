"""Drain rows, written for operators; the highest store revision wins."""

import re
from collections.abc import Callable
from typing import Literal, NamedTuple

from bilberryhitch_model import encode, from_plain
from bilberryhitch_model.errors import BadInput, StoreError
from bilberryhitch_peers import DrainNotice
from bilberryhitch_platform import Put, Row, TableService, Write, commit
from expression import Error, Ok, Result
from msgspec import DecodeError, json

DRAIN_PREFIX = "drains/"
AUDIT_PREFIX = "audit/"
HOST_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


class DrainRow(NamedTuple):
    """Value of a drain row; ``at`` is UTC seconds."""

    host: str
    leaving: bool
    operator: str
    at: float


class DrainRecord(NamedTuple):
    """A drain or undrain that was committed.

    :param at: UTC seconds
    :param revision: store revision of the row
    """

    host: str
    leaving: bool
    operator: str
    at: float
    revision: int


class DrainAudit(NamedTuple):
    """Audit row of a drain or undrain; ``at`` is UTC seconds."""

    at: float
    operation_id: str
    operator: str
    action: Literal["drain", "undrain"]
    host: str


class Drains:
    """The latest drain notice of each host known to this process."""

    def __init__(self) -> None:
        self._notices: dict[str, DrainNotice] = {}

    def apply_notice(self, notice: DrainNotice) -> bool:
        """Store a notice unless its revision or a higher one is known.

        :returns: whether the notice was new
        """
        known = self._notices.get(notice.host)
        if known is not None and known.store_revision >= notice.store_revision:
            return False
        self._notices[notice.host] = notice
        return True

    def is_leaving(self, host: str) -> bool:
        """Whether the latest known notice of the host is a drain."""
        notice = self._notices.get(host)
        return notice is not None and notice.leaving

    def since(self, revision: int) -> list[DrainNotice]:
        """Return the notices with a store revision above the given one."""
        return [
            notice
            for notice in self._notices.values()
            if notice.store_revision > revision
        ]


async def read_drain_rows(tables: TableService, since: int) -> tuple[list[Row], int]:
    """Read the rows under ``drains/`` with a revision above the given one.

    :returns: the rows, and the store revision up to which they are complete
    """
    page = await tables.scan(DRAIN_PREFIX, since)
    complete_to = page.revision
    rows = list(page.rows)
    while page.more:
        page = await tables.scan(DRAIN_PREFIX, since, page.rows[-1].key)
        rows += page.rows
    return rows, complete_to


def drain_notices(row: Row) -> list[DrainNotice]:
    """Return the notice of a drain row in a list; empty for rows of other kinds."""
    host = row.key.removeprefix(DRAIN_PREFIX)
    try:
        drain = from_plain(DrainRow, json.decode(row.value))
    except (BadInput, DecodeError):
        return []
    if drain.host != host:
        return []
    return [DrainNotice(host, drain.leaving, row.revision)]


async def write_drain(
    tables: TableService,
    drain: DrainRow,
    new_id: Callable[[], str],
) -> Result[DrainRecord, StoreError]:
    """Write a drain row and its audit row in one commit.

    :returns: the committed drain, or why the store did not confirm it
    :raises BadInput: the host name is not valid
    """
    if HOST_NAME_PATTERN.fullmatch(drain.host) is None:
        raise BadInput("host", drain.host, HOST_NAME_PATTERN.pattern)
    operation_id = new_id()
    action: Literal["drain", "undrain"] = "drain" if drain.leaving else "undrain"
    audit = DrainAudit(drain.at, operation_id, drain.operator, action, drain.host)
    writes: list[Write] = [
        Put(DRAIN_PREFIX + drain.host, encode(drain)),
        Put(f"{AUDIT_PREFIX}{drain.at:017.6f}-{operation_id}", encode(audit)),
    ]
    try:
        result = await commit(tables, [], writes, operation_id)
    except StoreError as error:
        return Error(error)
    if result.is_error():
        return Error(result.error)
    return Ok(DrainRecord(*drain, result.ok))
