"""Request handles, and the ids of forwards and of their runs.

A handle is ``<data_centre>.<host>.<incarnation>.<unique>``. A forward id appends
``~<number>`` to it, and the run id at the owner appends ``~<nonce>`` to that.
"""

from typing import NamedTuple

from bilberryhitch_model import Identity

HANDLE_PART_COUNT = 4
FORWARD_SEPARATOR = "~"
# The first letter of the unique part tells whether the handle may have an outcome row,
# so that status queries for requests without a key need no store read.
KEYED_PREFIX = "k"
UNKEYED_PREFIX = "u"


class Handle(NamedTuple):
    """A parsed handle."""

    data_centre: str
    host: str
    incarnation: str
    unique: str

    @property
    def keyed(self) -> bool:
        """Whether the request had an idempotency key."""
        return self.unique.startswith(KEYED_PREFIX)

    def belongs_to(self, identity: Identity) -> bool:
        """Return whether the process with this identity made the handle."""
        return self[:3] == (
            identity.data_centre,
            identity.host,
            identity.incarnation,
        )


def make_handle(identity: Identity, unique: str, *, keyed: bool) -> str:
    """Return a handle for a request of the process with this identity."""
    mark = KEYED_PREFIX if keyed else UNKEYED_PREFIX
    start = (identity.data_centre, identity.host, identity.incarnation)
    return ".".join((*start, mark + unique))


def parse_handle(text: str) -> Handle | None:
    """Return the parsed handle, or ``None`` if the text is not a handle."""
    parts = text.split(".")
    if len(parts) != HANDLE_PART_COUNT or not all(parts) or FORWARD_SEPARATOR in text:
        return None
    return Handle(*parts)


def make_forward_id(handle: str, number: int) -> str:
    """Return the id of the numbered forward of a request."""
    return f"{handle}{FORWARD_SEPARATOR}{number}"


def make_run_id(forward_id: str, nonce: str) -> str:
    """Return the id of a run of a forward at its owner."""
    return f"{forward_id}{FORWARD_SEPARATOR}{nonce}"


def split_run_id(run_id: str) -> tuple[str, str]:
    """Return the handle and the forward id of a run id, or two empty strings."""
    forward_id, _, nonce = run_id.rpartition(FORWARD_SEPARATOR)
    handle, _, number = forward_id.rpartition(FORWARD_SEPARATOR)
    return (handle, forward_id) if nonce and number else ("", "")
