"""A gang in memory: its members, what was seen of them and how it ends."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Literal, NamedTuple

from bilberryhitch_model import Host, JobRecord, Member

from .job_rows import JobRow, attempt_id
from .worker_client import CALL_TIMEOUT_S, LeaseView, WorkerView

TERM_S = 10.0
# A gang with an older sighting is in doubt: one renewal (every 3 s, answered
# within 1 s) was missed. It gets no further renewals until it is seen whole.
DOUBT_S = 4.5
NEVER = float("-inf")

Cause = Literal["finished", "failed", "lost", "unstarted", "evict", "cancel"]


class Ending(NamedTuple):
    """Why a gang ends; ``host`` is the worker at fault, if one is."""

    cause: Cause
    host: str = ""


class MemberState:
    """One worker's part of a gang.

    :ivar seen_at: loop time at which the last call was sent whose answer showed
        the task running
    :ivar alive_until: loop time after which the lease has lapsed unless another
        planner renewed it
    :ivar done: the task finished with success
    :ivar started: whether the task is known to have started
    """

    def __init__(self, host: Host, member: Member) -> None:
        self.host = host
        self.member = member
        self.seen_at = NEVER
        self.alive_until = NEVER
        self.done = False
        self.started = False

    def lease_sent(self, at: float, term_s: float) -> None:
        """Note that a call was sent that may extend the lease."""
        self.alive_until = max(self.alive_until, at + CALL_TIMEOUT_S + term_s)


class Gang:
    """One attempt of a job.

    :ivar running: every task was started and leases are being renewed
    :ivar running_since: loop time of the start; long ago for an adopted gang
    :ivar end: resolves once with the :class:`Ending`
    """

    def __init__(self, row: JobRow, hosts: Mapping[str, Host]) -> None:
        self.row = row
        self.running = False
        self.running_since = NEVER
        self.end: asyncio.Future[Ending] = asyncio.get_running_loop().create_future()
        self.members: dict[str, MemberState] = {
            member.host: MemberState(hosts[member.host], member)
            for member in row.record.members
        }

    @property
    def record(self) -> JobRecord:
        """The job's record with this attempt."""
        return self.row.record

    @property
    def attempt_id(self) -> str:
        """Lease name of this attempt on every worker."""
        return attempt_id(self.row.record)

    @property
    def whole_at(self) -> float:
        """Latest loop time at which every unfinished member is known to have run."""
        seen = [state.seen_at for state in self.members.values() if not state.done]
        return min(seen, default=NEVER)

    def term_s(self, now: float) -> float:
        """Return the term a renewal sent now may grant; 0 for no renewal.

        The term counts from the last time the gang was seen whole, so that the
        leases of a partial gang lapse within one term and one call time-out
        even when the planner ends before it sees the loss.
        """
        if not self.running or self.end.done():
            return 0.0
        if len(self.members) == 1:
            return TERM_S
        age = now - self.whole_at
        return TERM_S - age if age <= DOUBT_S else 0.0

    def finish(self, ending: Ending) -> None:
        """End the gang for the first cause given."""
        if not self.end.done():
            self.end.set_result(ending)

    def set_boot_ids(self, boot_ids: Sequence[str]) -> None:
        """Record the run of each worker that holds a reservation."""
        members = []
        for state, boot_id in zip(self.members.values(), boot_ids, strict=True):
            state.member = state.member._replace(boot_id=boot_id)
            members.append(state.member)
        record = self.record._replace(members=tuple(members))
        self.row = self.row._replace(record=record)

    def observe(self, host: str, view: WorkerView, sent_at: float) -> None:
        """Take in what a worker answered to a call sent at ``sent_at``."""
        found = [item for item in view.leases if item.attempt_id == self.attempt_id]
        lease = found[0] if found else None
        self.observe_lease(host, view.boot_id, lease, sent_at)

    def observe_lease(
        self, host: str, boot_id: str, lease: LeaseView | None, sent_at: float
    ) -> None:
        """Take in one lease's state; ``None`` means that the worker has none."""
        state = self.members[host]
        if state.done or not self.running:
            return
        if boot_id != state.member.boot_id or lease is None:
            self.finish(Ending("lost", host))
            return
        state.started = state.started or lease.started
        if lease.state == "running":
            state.seen_at = max(state.seen_at, sent_at)
        elif lease.state == "finished":
            state.done = True
        elif lease.state == "held":
            # An earlier planner ended between the checkpoint and the stop.
            self.finish(Ending("evict"))
        else:
            causes: dict[str, Cause] = {"reserved": "unstarted", "failed": "failed"}
            self.finish(Ending(causes.get(lease.state, "lost"), host))
        if all(state.done for state in self.members.values()):
            self.finish(Ending("finished"))
