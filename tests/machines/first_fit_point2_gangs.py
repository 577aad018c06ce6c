"""First-fit scheduler without guarantees or sharing; stands in for PoolScheduler."""

from bilberryhitch_model import (
    Evict,
    Explanation,
    Host,
    Member,
    Placement,
    Pool,
    QueuedJob,
    Start,
)
from expression import Ok


class FirstFitScheduler:
    """Places jobs in order of submission on the first hosts with free accelerators.

    :ivar to_evict: ids of the jobs that the next ``decide`` evicts
    """

    def __init__(self, data_centre, pool: Pool, hosts):
        self._hosts: dict[str, Host] = {host.name: host for host in hosts}
        self._unavailable: set[str] = set()
        self._queue: dict[str, QueuedJob] = {}
        self._placed: dict[str, tuple[QueuedJob, Placement]] = {}
        self.to_evict: list[str] = []

    def take_dropped(self):
        return []

    def shortfall(self):
        return []

    def submit(self, job, now):
        self._queue[job.job_id] = job
        return Ok(None)

    def cancel(self, job_id):
        return self._queue.pop(job_id, None) is not None

    def decide(self, now):
        evictions = [Evict(job_id, "") for job_id in self.to_evict]
        self.to_evict = []
        starts = []
        for job in list(self._queue.values()):
            placement = self._place(job)
            if placement is not None:
                self._placed[job.job_id] = (self._queue.pop(job.job_id), placement)
                starts.append(Start(job.job_id, placement, borrowed=False))
        return [*evictions, *starts]

    def adopt(self, job, placement, borrowed, now):
        self._placed[job.job_id] = (job, placement)

    def started(self, job_id, now):
        pass

    def start_failed(self, job_id, host, now):
        self.evicted(job_id, now)

    def finished(self, job_id, now, completed=True):
        self._placed.pop(job_id, None)

    def evicted(self, job_id, now):
        job, _ = self._placed.pop(job_id)
        self._queue[job_id] = job

    def host_lost(self, host):
        self._unavailable.add(host)

    def host_back(self, host):
        self._hosts[host.name] = host
        self._unavailable.discard(host.name)

    def quarantine(self, host):
        self._unavailable.add(f"quarantine {host}")

    def end_quarantine(self, host):
        self._unavailable.discard(f"quarantine {host}")

    def set_pool(self, pool):
        pass

    def explain(self, job_id):
        return Explanation(job_id, "queued", "first-fit", "")

    def _place(self, job):
        remaining, members = job.shape.tasks, []
        for name in sorted(self._hosts):
            if {name, f"quarantine {name}"} & self._unavailable or not remaining:
                continue
            free = self._free(name)
            tasks = min(remaining, len(free) // job.shape.accelerators)
            if tasks:
                used = tuple(free[: tasks * job.shape.accelerators])
                members.append(Member(name, used, tasks))
                remaining -= tasks
        return None if remaining else Placement(tuple(members))

    def _free(self, name):
        taken = {
            index
            for _, placement in self._placed.values()
            for member in placement.members
            if member.host == name
            for index in member.accelerators
        }
        return [i for i in range(self._hosts[name].accelerators) if i not in taken]
