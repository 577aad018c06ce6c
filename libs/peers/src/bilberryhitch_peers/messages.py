"""Messages between entry hosts, encoded as msgpack.

New fields are appended with defaults, so that processes of two versions can
exchange messages during a rolling restart.
"""

import msgspec
from bilberryhitch_model import Explanation, Host, Outcome, RequestCall


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Periodic sign of life.

    :ivar usage: cost served since the start of the incarnation, in accelerator
        or slot seconds, by ``<pool>/<client account>``
    :ivar free_slots: executor slots free at the sender, by pool
    :ivar drains_revision: store revision up to which the sender knows all drains
    :ivar marks_digest: digest of the runs of hosts the sender knows to be leaving
    """

    host: str
    data_centre: str
    incarnation: str
    leaving: bool
    config_revision: int
    usage: dict[str, float] = {}
    free_slots: dict[str, int] = {}
    drains_revision: int = 0
    marks_digest: int = 0


class ConfigOffer(msgspec.Struct, frozen=True, tag="config_offer"):
    """Committed changes in revision order, or a whole snapshot.

    :ivar changes: encoded :class:`~bilberryhitch_model.ConfigChange` records
    :ivar snapshot: encoded :class:`~bilberryhitch_model.Tables`, or empty
    """

    revision: int
    changes: list[bytes] = []
    snapshot: bytes = b""


class ConfigAsk(msgspec.Struct, frozen=True, tag="config_ask"):
    """Asks for what was committed after ``since``; answered by an offer."""

    since: int


class DrainNotice(msgspec.Struct, frozen=True, tag="drain_notice"):
    """A host is leaving, or its drain was undone.

    :ivar store_revision: revision of the drain row; 0 when the notice is not
        about a drain
    :ivar boot_id: boot of the host that the platform's list called leaving
    :ivar incarnation: run of the entry host's process that announced its leaving
    """

    host: str
    leaving: bool
    store_revision: int
    boot_id: str = ""
    incarnation: str = ""


class ForwardRequest(msgspec.Struct, frozen=True, tag="forward_request"):
    """A request handed to the owner of executor slots.

    :ivar handle: handle under which the first entry host knows the request
    :ivar wait_s: how long the first entry host will wait for the answer
    """

    call: RequestCall
    handle: str
    wait_s: float


class ForwardReply(msgspec.Struct, frozen=True, tag="forward_reply"):
    """Outcome of a forwarded request."""

    handle: str
    outcome: Outcome


class RequestStatusAsk(msgspec.Struct, frozen=True, tag="request_status_ask"):
    """Asks the entry host named in a handle for the outcome."""

    handle: str
    client_account: str


class RequestStatusReply(msgspec.Struct, frozen=True, tag="request_status_reply"):
    """What that entry host knows; ``None`` when it does not know the handle."""

    handle: str
    outcome: Outcome | None


class JobNotice(msgspec.Struct, frozen=True, tag="job_notice"):
    """A job row was created or changed."""

    job_id: str
    state: str


class CancelJob(msgspec.Struct, frozen=True, tag="cancel_job"):
    """Asks the planner to cancel a job."""

    job_id: str


class CancelReply(msgspec.Struct, frozen=True, tag="cancel_reply"):
    """The encoded job record after the cancellation, or empty."""

    job_id: str
    record: bytes


class ExplainAsk(msgspec.Struct, frozen=True, tag="explain_ask"):
    """Asks the planner why a job is where it is."""

    job_id: str


class ExplainReply(msgspec.Struct, frozen=True, tag="explain_reply"):
    """The explanation, or ``None`` when the job is not with this planner."""

    job_id: str
    explanation: Explanation | None


class HostListAsk(msgspec.Struct, frozen=True, tag="host_list_ask"):
    """Asks for the platform's host list, which the sender could never read."""


class HostListReply(msgspec.Struct, frozen=True, tag="host_list_reply"):
    """The host list as the sender last read it from the platform."""

    hosts: list[Host]


Message = (
    Heartbeat
    | ConfigOffer
    | ConfigAsk
    | DrainNotice
    | ForwardRequest
    | ForwardReply
    | RequestStatusAsk
    | RequestStatusReply
    | JobNotice
    | CancelJob
    | CancelReply
    | ExplainAsk
    | ExplainReply
    | HostListAsk
    | HostListReply
)
