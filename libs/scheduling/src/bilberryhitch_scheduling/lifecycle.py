"""Jobs on their way through the queue, their places, and the charges for them."""

from bilberryhitch_model import Decision, Evict, Start

from .fair_queue import Dropped, FairQueue
from .jobs import Job
from .shares import Shares
from .starting import Starter


class Lifecycle:
    """All jobs of a scheduler, queued and placed.

    :ivar clearing: jobs that keep a place while borrowers are evicted from it
    :ivar freed: capacity became free since the queue was last looked at
    :ivar starter: replaced by the scheduler when the set of workers changes
    """

    def __init__(self, max_queued: int) -> None:
        self.starter: Starter
        self.jobs: dict[str, Job] = {}
        self.clearing: dict[str, Job] = {}
        self.shares = Shares()
        self.freed = False
        self.queue: FairQueue[Job] = FairQueue(
            max_queued,
            weight=self.shares.weight,
            first=self._below_guarantee,
            urgent_first=lambda account: self.allows_urgent(account, 0.0),
        )

    def enqueue(self, job: Job) -> Dropped[Job] | None:
        """Queue a job and return what the full queue dropped for it."""
        row = job.queued
        job.stage = "queued"
        job.entry, dropped = self.queue.push(
            job,
            row.client_account,
            row.kind,
            row.caller,
            signature=(row.shape, row.may_borrow),
            urgent=job.urgent,
            droppable=not job.ran,
        )
        return dropped

    def put_back(self, job_id: str, now: float) -> None:
        """Queue a placed job again."""
        job = self.jobs.get(job_id)
        if job is not None and job.stage != "queued":
            self.release(job, now)
            self.enqueue(job)

    def requeue_broken(self) -> None:
        """Take the claims back that include a worker that takes no new work."""
        for job in list(self.clearing.values()):
            if not all(
                self.starter.fleet.usable(member.host) for member in job.members
            ):
                self.release(job, 0.0)
                self.enqueue(job)

    def displace(self, job: Job) -> None:
        """Queue a job again that loses its claims to a guaranteed job."""
        self.release(job, 0.0)
        self.enqueue(job)

    def place(self, job: Job) -> None:
        """Count and charge a place that was just assigned to a job."""
        if job.job_id in self.starter.reservations:
            self.starter.reservations.drop(job.job_id)
            self.freed = True
        self.shares.count_use(job, 1)
        self.charge(job, job.expected_s)
        self.queue.refresh(job.queued.client_account)

    def evict(self, job: Job) -> list[Decision]:
        """Decide the evictions that a job waits for and that were not decided."""
        decisions: list[Decision] = []
        for victim_id in sorted(job.waiting):
            victim = self.jobs[victim_id]
            if not victim.evicting:
                victim.evicting = True
                decisions.append(Evict(victim_id, job.job_id))
        return decisions

    def start(self, job: Job, now: float) -> Start:
        """Decide the start of a job whose place is clear."""
        del self.clearing[job.job_id]
        job.stage = "starting"
        job.started_at = now
        job.ran = True
        return Start(job.job_id, job.placement, not job.firm)

    def settle(self) -> None:
        """Bind the cells of adopted jobs, and count them as guaranteed."""
        for job in self.starter.settle():
            if job.cell is not None:
                self.shares.count_entry(job)
                self.queue.refresh(job.queued.client_account)

    def release(self, job: Job, now: float) -> None:
        """Take a job's place back and wake those that wait for it."""
        self.shares.count_use(job, -1)
        self.starter.remove(job)
        ran_s = max(0.0, now - job.started_at) if job.stage != "clearing" else 0.0
        self.charge(job, ran_s - job.charged_s)
        job.charged_s = 0.0
        self.clearing.pop(job.job_id, None)
        job.waiting = set()
        job.evicting = False
        for waiting in self.clearing.values():
            waiting.waiting.discard(job.job_id)
        self.queue.refresh(job.queued.client_account)
        self.freed = True

    def forget(self, job: Job) -> None:
        """Remove a job that holds no resources."""
        del self.jobs[job.job_id]
        if job.entry is not None:
            self.queue.remove(job.entry)
        if job.job_id in self.starter.reservations:
            self.starter.reservations.drop(job.job_id)
            self.freed = True
        self.shares.count_job(job.queued.client_account, -1)

    def charge(self, job: Job, seconds: float) -> None:
        """Charge accelerator seconds; inside a guarantee not to the account."""
        row = job.queued
        cost = job.size * seconds
        job.charged_s += seconds
        if not job.guaranteed:
            self.queue.charge(row.client_account, cost, row.kind, row.caller)
        else:
            self.queue.charge_inside(row.client_account, cost, row.kind, row.caller)

    def _below_guarantee(self, client_account: str) -> bool:
        used = self.shares.guaranteed_use.get(client_account, 0)
        return used < self.starter.guarantees.guaranteed(client_account)

    def allows_urgent(self, client_account: str, size: float) -> bool:
        """Return whether urgent work of a size is within an account's share."""
        total = self.starter.fleet.tree.accelerators
        return self.shares.allows_urgent(client_account, size, total)
