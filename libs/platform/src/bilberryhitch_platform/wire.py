"""Bodies of the platform's HTTP protocol, as in ``docs/platform-protocol.md``.

JSON; msgspec encodes and decodes bytes as base64.
"""

import msgspec

from .interfaces import Delete, Expect, Page, Put, Row, Write

EFFECT_HEADER = "Platform-Effect"
NO_EFFECT = "none"
MAX_TRANSACTION_BYTES = 4 * 1024 * 1024
MAX_OBJECT_BYTES = 64 * 1024 * 1024
MAX_SCAN_ROWS = 1000


class WireRow(msgspec.Struct):
    """A row; ``revision`` as in :class:`~.interfaces.Row`."""

    key: str
    value: bytes
    revision: int

    @classmethod
    def from_row(cls, row: Row) -> "WireRow":
        """Return the wire form of a row."""
        return cls(row.key, row.value, row.revision)

    def to_row(self) -> Row:
        """Return the row."""
        return Row(self.key, self.value, self.revision)


class RowAnswer(msgspec.Struct):
    """Response to a read of one row."""

    row: WireRow | None


class PageAnswer(msgspec.Struct):
    """Response to a scan."""

    rows: list[WireRow]
    revision: int
    more: bool

    @classmethod
    def from_page(cls, page: Page) -> "PageAnswer":
        """Return the wire form of a page."""
        rows = [WireRow.from_row(row) for row in page.rows]
        return cls(rows, page.revision, page.more)

    def to_page(self) -> Page:
        """Return the page."""
        return Page(tuple(row.to_row() for row in self.rows), self.revision, self.more)


class WireExpect(msgspec.Struct):
    """A precondition of a transaction."""

    key: str
    revision: int


class WireWrite(msgspec.Struct):
    """A write; the row is deleted if there is no value."""

    key: str
    value: bytes | None = None


class Transaction(msgspec.Struct):
    """Request body of a transaction."""

    expects: list[WireExpect]
    writes: list[WireWrite]

    def to_expects(self) -> list[Expect]:
        """Return the preconditions."""
        return [Expect(expect.key, expect.revision) for expect in self.expects]

    def to_writes(self) -> list[Write]:
        """Return the writes."""
        return [
            Delete(write.key) if write.value is None else Put(write.key, write.value)
            for write in self.writes
        ]


class Committed(msgspec.Struct):
    """Response to a transaction that was applied."""

    revision: int


class Conflicted(msgspec.Struct):
    """Response to a transaction whose precondition failed."""

    key: str
    found_revision: int


def to_wire_write(write: Write) -> WireWrite:
    """Return the wire form of a write."""
    if isinstance(write, Delete):
        return WireWrite(write.key)
    return WireWrite(write.key, write.value)
