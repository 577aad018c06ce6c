"""Handles of requests and the ids of their forwarded copies.

A handle is ``<data_centre>.<host>.<incarnation>.<unique>``. A forward adds
``~<number>``, and the run of a forwarded copy adds ``~<nonce>`` of its owner.
"""

from typing import NamedTuple

from bilberryhitch_model import Identity

HANDLE_PARTS = 4
FORWARD_MARK = "~"
# The first letter of the unique part tells whether a row may exist under the
# handle, so that questions about unkeyed requests cost no store read.
KEYED_MARK = "k"
UNKEYED_MARK = "u"


class Handle(NamedTuple):
    """The parts of a handle."""

    data_centre: str
    host: str
    incarnation: str
    unique: str

    @property
    def keyed(self) -> bool:
        """Whether the request had an idempotency key."""
        return self.unique.startswith(KEYED_MARK)

    def belongs_to(self, identity: Identity) -> bool:
        """Return whether this run of this host made the handle."""
        return self[:3] == (
            identity.data_centre,
            identity.host,
            identity.incarnation,
        )


def make_handle(identity: Identity, unique: str, *, keyed: bool) -> str:
    """Return a new handle."""
    mark = KEYED_MARK if keyed else UNKEYED_MARK
    start = (identity.data_centre, identity.host, identity.incarnation)
    return ".".join((*start, mark + unique))


def parse_handle(text: str) -> Handle | None:
    """Return the parts, or ``None`` when the text is no handle."""
    parts = text.split(".")
    if len(parts) != HANDLE_PARTS or not all(parts) or FORWARD_MARK in text:
        return None
    return Handle(*parts)


def forward_id(handle: str, number: int) -> str:
    """Return the id of the numbered forward of a request."""
    return f"{handle}{FORWARD_MARK}{number}"


def run_id(forward: str, nonce: str) -> str:
    """Return the id of one copy of a forward at its owner."""
    return f"{forward}{FORWARD_MARK}{nonce}"


def split_run_id(run: str) -> tuple[str, str]:
    """Return handle and forward id of a run id; empty when it is none."""
    forward, _, nonce = run.rpartition(FORWARD_MARK)
    handle, _, number = forward.rpartition(FORWARD_MARK)
    return (handle, forward) if nonce and number else ("", "")
