"""Messages between entry hosts, encoded as msgpack.

New fields are appended with defaults, so that two versions can exchange messages
during a rolling restart.
"""

import msgspec
from bilberryhitch_model import Explanation, Host, Outcome, RequestCall


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Periodic liveness message.

    :ivar incarnation: the current run of the sender's process
    :ivar leaving: whether the sender is shutting down
    :ivar config_revision: revision of the configuration in force at the sender
    :ivar usage: usage since the start of the incarnation, in accelerator or slot
        seconds, by ``<pool>/<client account>``
    :ivar free_slots: free executor slots at the sender, by pool
    :ivar drains_revision: store revision up to which the sender has read drains
    :ivar marks_digest: digest of the boots and incarnations of the hosts that the
        sender knows to be leaving
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
    """Committed configuration changes in revision order, or a snapshot.

    :ivar changes: encoded :class:`~bilberryhitch_model.ConfigChange` records
    :ivar snapshot: encoded :class:`~bilberryhitch_model.Tables`, or empty
    """

    revision: int
    changes: list[bytes] = []
    snapshot: bytes = b""


class ConfigAsk(msgspec.Struct, frozen=True, tag="config_ask"):
    """Requests the changes after revision ``since``; answered by a ConfigOffer."""

    since: int


class DrainNotice(msgspec.Struct, frozen=True, tag="drain_notice"):
    """A host is leaving, or its drain was cancelled.

    :ivar store_revision: revision of the drain row; 0 if the notice is not about
        a drain
    :ivar boot_id: boot of the host that the platform's host list shows as leaving
    :ivar incarnation: run of the entry host's process that announced its shutdown
    """

    host: str
    leaving: bool
    store_revision: int
    boot_id: str = ""
    incarnation: str = ""


class ForwardRequest(msgspec.Struct, frozen=True, tag="forward_request"):
    """A request forwarded to the entry host that owns the executor slots.

    :ivar handle: forward id, which starts with the request's handle
    :ivar wait_s: longest wait for a slot at the receiver, in seconds
    """

    call: RequestCall
    handle: str
    wait_s: float


class ForwardReply(msgspec.Struct, frozen=True, tag="forward_reply"):
    """Outcome of a forwarded request.

    :ivar handle: run id, or the forward id if no run was started
    """

    handle: str
    outcome: Outcome


class RequestStatusAsk(msgspec.Struct, frozen=True, tag="request_status_ask"):
    """Requests the outcome of a request or of a forwarded run, or a grant.

    :ivar handle: handle, sent to the host that made it, or run id: sent to the host
        that forwarded the request it asks for a grant, sent to the host that runs
        it for the outcome
    """

    handle: str
    client_account: str


class RequestStatusReply(msgspec.Struct, frozen=True, tag="request_status_reply"):
    """Reply to a :class:`RequestStatusAsk`.

    :ivar handle: handle or run id of the query
    :ivar outcome: the outcome; its detail is ``granted`` if a grant was given. ``None``
        if the handle or run id is unknown
    """

    handle: str
    outcome: Outcome | None


class JobNotice(msgspec.Struct, frozen=True, tag="job_notice"):
    """A job row was created or changed."""

    job_id: str
    state: str


class CancelJob(msgspec.Struct, frozen=True, tag="cancel_job"):
    """Requests that the planner cancel a job."""

    job_id: str


class CancelReply(msgspec.Struct, frozen=True, tag="cancel_reply"):
    """The encoded job record as the receiver of a :class:`CancelJob` found it.

    :ivar record: empty if the receiver could not read the record
    """

    job_id: str
    record: bytes


class ExplainAsk(msgspec.Struct, frozen=True, tag="explain_ask"):
    """Requests the planner's explanation of a job's state."""

    job_id: str


class ExplainReply(msgspec.Struct, frozen=True, tag="explain_reply"):
    """The explanation; ``None`` if the receiver does not plan the job."""

    job_id: str
    explanation: Explanation | None


class HostListAsk(msgspec.Struct, frozen=True, tag="host_list_ask"):
    """Requests the platform's host list; sent by a host that never could read it."""


class HostListReply(msgspec.Struct, frozen=True, tag="host_list_reply"):
    """The host list that the sender last read from the platform."""

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
