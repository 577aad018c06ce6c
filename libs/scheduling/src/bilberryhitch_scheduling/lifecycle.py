"""State transitions of jobs, and the charges for their allocations."""

from bilberryhitch_model import Decision, Evict, Start

from .account_shares import AccountShares
from .allocator import Allocator
from .fair_queue import Dropped, FairQueue
from .jobs import Job


class Lifecycle:
    """All jobs of a scheduler, queued or allocated.

    :ivar allocator: replaced by the scheduler when the set of workers changes
    :ivar jobs: all jobs by id
    :ivar awaiting_evictions: allocated jobs that wait for evictions of borrowers, by id
    :ivar capacity_freed: whether capacity became free since the queue was last tried
    """

    def __init__(self, max_queued: int) -> None:
        self.allocator: Allocator
        self.jobs: dict[str, Job] = {}
        self.awaiting_evictions: dict[str, Job] = {}
        self.shares = AccountShares()
        self.capacity_freed = False
        self.queue: FairQueue[Job] = FairQueue(
            max_queued,
            weight=self.shares.weight,
            below_guarantee=self._below_guarantee,
            urgent_first=lambda account: self.allows_urgent(account, 0.0),
        )

    def enqueue(self, job: Job) -> Dropped[Job] | None:
        """Queue a job and return the entry that a full queue dropped for it, if any."""
        spec = job.spec
        job.stage = "queued"
        job.entry, dropped = self.queue.push(
            job,
            spec.client_account,
            spec.kind,
            spec.caller,
            signature=(spec.shape, spec.may_borrow),
            urgent=job.urgent,
            droppable=not job.was_started,
        )
        return dropped

    def requeue(self, job_id: str, now: float) -> None:
        """Release an allocated job and queue it again."""
        job = self.jobs.get(job_id)
        if job is not None and job.stage != "queued":
            self.release(job, now)
            self.enqueue(job)

    def requeue_unusable(self) -> None:
        """Requeue jobs that wait for evictions on a worker that takes no new work."""
        for job in list(self.awaiting_evictions.values()):
            if not all(
                self.allocator.pool_state.usable(member.host) for member in job.members
            ):
                self.release(job, 0.0)
                self.enqueue(job)

    def displace(self, job: Job) -> None:
        """Requeue a job that waits for evictions and lost its claims to another job."""
        self.release(job, 0.0)
        self.enqueue(job)

    def record_allocation(self, job: Job) -> None:
        """Count and charge an allocation that was just made."""
        if job.job_id in self.allocator.reservations:
            self.allocator.reservations.remove(job.job_id)
            self.capacity_freed = True
        self.shares.count_usage(job, 1)
        self.charge(job, job.expected_s)
        self.queue.refresh(job.spec.client_account)

    def decide_evictions(self, job: Job) -> list[Decision]:
        """Return the evictions that a job waits for and that were not decided yet."""
        decisions: list[Decision] = []
        for victim_id in sorted(job.pending_evictions):
            victim = self.jobs[victim_id]
            if not victim.evicting:
                victim.evicting = True
                decisions.append(Evict(victim_id, job.job_id))
        return decisions

    def decide_start(self, job: Job, now: float) -> Start:
        """Return the start of a job that waits for no more evictions."""
        del self.awaiting_evictions[job.job_id]
        job.stage = "starting"
        job.started_at = now
        job.was_started = True
        return Start(job.job_id, job.placement, not job.protected)

    def bind_adopted(self) -> None:
        """Bind the guaranteed cells of adopted jobs, and count their usage there."""
        for job in self.allocator.bind_adopted():
            if job.bound_cell is not None:
                self.shares.move_to_guarantee(job)
                self.queue.refresh(job.spec.client_account)

    def release(self, job: Job, now: float) -> None:
        """Release a job's allocation; jobs that wait for its eviction are updated."""
        self.shares.count_usage(job, -1)
        self.allocator.release(job)
        ran_s = max(0.0, now - job.started_at) if job.stage != "clearing" else 0.0
        self.charge(job, ran_s - job.charged_s)
        job.charged_s = 0.0
        self.awaiting_evictions.pop(job.job_id, None)
        job.pending_evictions = set()
        job.evicting = False
        for waiting in self.awaiting_evictions.values():
            waiting.pending_evictions.discard(job.job_id)
        self.queue.refresh(job.spec.client_account)
        self.capacity_freed = True

    def remove(self, job: Job) -> None:
        """Remove a job that has no allocation."""
        del self.jobs[job.job_id]
        if job.entry is not None:
            self.queue.remove(job.entry)
        if job.job_id in self.allocator.reservations:
            self.allocator.reservations.remove(job.job_id)
            self.capacity_freed = True
        self.shares.count_job(job.spec.client_account, -1)

    def charge(self, job: Job, run_s: float) -> None:
        """Charge run time; usage inside a guarantee is not charged to the account."""
        spec = job.spec
        cost = job.charged_accelerators * run_s
        job.charged_s += run_s
        if not job.guaranteed:
            self.queue.charge(spec.client_account, cost, spec.kind, spec.caller)
        else:
            self.queue.charge_below_account(
                spec.client_account, cost, spec.kind, spec.caller
            )

    def _below_guarantee(self, client_account: str) -> bool:
        used = self.shares.guaranteed_use.get(client_account, 0)
        return used < self.allocator.guarantees.guaranteed_accelerators(client_account)

    def allows_urgent(self, client_account: str, size: float) -> bool:
        """Return whether urgent work of a size is within an account's fair share.

        :param size: accelerators of the work
        """
        total = self.allocator.pool_state.tree.accelerators
        return self.shares.allows_urgent(client_account, size, total)
