"""In-memory state of a gang: its members, their last reports and why it ends."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Literal, NamedTuple

from bilberryhitch_model import Host, JobRecord, Member

from .job_rows import JobRow, attempt_id
from .worker_client import CALL_TIMEOUT_S, LeaseView, WorkerView

LEASE_TERM_S = 10.0
# With renewals every 3 s, answered within 1 s, an older report means that one was
# missed. The gang gets no further renewals until every member has reported again.
MAX_SEEN_AGE_S = 4.5
NEVER = float("-inf")

EndCause = Literal["finished", "failed", "lost", "unstarted", "evict", "cancel"]


class EndReason(NamedTuple):
    """Why a gang ends.

    :param host: the worker at fault; empty if there is none
    """

    cause: EndCause
    host: str = ""


class MemberState:
    """State of one worker's part of a gang.

    :ivar last_seen_at: loop time at which the last call was sent whose answer
        showed the task running
    :ivar lease_expiry: loop time by which the lease has expired unless another
        planner renewed it
    :ivar done: whether the task finished successfully
    :ivar started: whether the task is known to have started
    """

    def __init__(self, host: Host, member: Member) -> None:
        self.host = host
        self.member = member
        self.last_seen_at = NEVER
        self.lease_expiry = NEVER
        self.done = False
        self.started = False

    def extend_lease_expiry(self, at: float, term_s: float) -> None:
        """Record that a call was sent at loop time ``at`` that may extend the lease."""
        self.lease_expiry = max(self.lease_expiry, at + CALL_TIMEOUT_S + term_s)


class Gang:
    """One attempt of a job.

    :ivar running: whether every task was started and leases are being renewed
    :ivar running_since: loop time of the start; ``NEVER`` for an adopted gang
    :ivar end: resolves once with the :class:`EndReason`
    """

    def __init__(self, row: JobRow, hosts: Mapping[str, Host]) -> None:
        self.row = row
        self.running = False
        self.running_since = NEVER
        self.end: asyncio.Future[EndReason] = asyncio.get_running_loop().create_future()
        self.members: dict[str, MemberState] = {
            member.host: MemberState(hosts[member.host], member)
            for member in row.record.members
        }

    @property
    def record(self) -> JobRecord:
        """The job record of this attempt."""
        return self.row.record

    @property
    def attempt_id(self) -> str:
        """Name of this attempt's lease on every worker."""
        return attempt_id(self.row.record)

    @property
    def all_seen_at(self) -> float:
        """Latest loop time at which every unfinished member was seen running."""
        seen = [state.last_seen_at for state in self.members.values() if not state.done]
        return min(seen, default=NEVER)

    def term_s(self, now: float) -> float:
        """Return the lease term in seconds for a renewal sent now; 0 for none.

        The term counts from the last time at which all members were seen
        running. The leases of a partial gang then expire within one term and one
        call timeout even if the planner ends before it detects the loss.
        """
        if not self.running or self.end.done():
            return 0.0
        if len(self.members) == 1:
            return LEASE_TERM_S
        age = now - self.all_seen_at
        return LEASE_TERM_S - age if age <= MAX_SEEN_AGE_S else 0.0

    def finish(self, reason: EndReason) -> None:
        """End the gang; only the first reason counts."""
        if not self.end.done():
            self.end.set_result(reason)

    def set_boot_ids(self, boot_ids: Sequence[str]) -> None:
        """Record the boot id of each worker that holds a reservation."""
        members = []
        for state, boot_id in zip(self.members.values(), boot_ids, strict=True):
            state.member = state.member._replace(boot_id=boot_id)
            members.append(state.member)
        record = self.record._replace(members=tuple(members))
        self.row = self.row._replace(record=record)

    def observe(self, host: str, view: WorkerView, sent_at: float) -> None:
        """Update a member from a worker's answer to a call sent at ``sent_at``."""
        matching = [item for item in view.leases if item.attempt_id == self.attempt_id]
        lease = matching[0] if matching else None
        self.observe_lease(host, view.boot_id, lease, sent_at)

    def observe_lease(
        self, host: str, boot_id: str, lease: LeaseView | None, sent_at: float
    ) -> None:
        """Update a member from its lease; ``None`` if the worker has no such lease."""
        state = self.members[host]
        if state.done or not self.running:
            return
        if boot_id != state.member.boot_id or lease is None:
            self.finish(EndReason("lost", host))
            return
        state.started = state.started or lease.started
        if lease.state == "running":
            state.last_seen_at = max(state.last_seen_at, sent_at)
        elif lease.state == "finished":
            state.done = True
        elif lease.state == "held":
            # The previous planner ended between the checkpoint and the stop.
            self.finish(EndReason("evict"))
        else:
            causes: dict[str, EndCause] = {"reserved": "unstarted", "failed": "failed"}
            self.finish(EndReason(causes.get(lease.state, "lost"), host))
        if all(state.done for state in self.members.values()):
            self.finish(EndReason("finished"))
