"""Which accelerators, cores and memory of a pool are allocated to which job."""

from collections.abc import Iterable, Sequence

from bilberryhitch_model import Host, Member, Shape

from .cell_index import CellIndex
from .cells import CellTree, effective_accelerators
from .jobs import Job


class HostUsage:
    """Free resources and running tasks of one worker.

    :ivar free_cores: cores that are not allocated; negative while a job that
        claims them waits for evictions
    :ivar free_memory_gb: memory that is not allocated, in GB
    :ivar jobs: number of tasks on the worker by job id, in order of allocation
    :ivar unusable: reasons why the worker takes no new work; empty if it does
    """

    __slots__ = ("free_cores", "free_memory_gb", "host", "jobs", "unusable")

    def __init__(self, host: Host) -> None:
        self.host = host
        self.free_cores = host.cores
        self.free_memory_gb = host.memory_gb
        self.jobs: dict[str, int] = {}
        self.unusable: set[str] = set()


class PoolState:
    """Allocations of one pool in one data centre; all updates are incremental.

    A job that waits for evictions claims accelerators that other jobs still own. It
    becomes their owner when the other job is released.

    :ivar tree: cells of the pool's workers
    :ivar free: accelerators are marked in it if they are owned, claimed, reserved
        or unusable
    :ivar reclaimable: accelerators are marked in it if evictions of borrowers cannot
        free them
    :ivar owner: id of the job that owns each accelerator, or ``None``
    :ivar claim: id of the job that claims each accelerator, or ``None``
    :ivar hosts: usage of each worker by name
    :ivar jobs: allocated jobs by id
    """

    def __init__(self, hosts: Iterable[Host]) -> None:
        rows = list(hosts)
        self.tree = CellTree(rows)
        self.free = CellIndex(self.tree)
        self.reclaimable = CellIndex(self.tree)
        self.owner: list[str | None] = [None] * self.tree.accelerators
        self.claim: list[str | None] = [None] * self.tree.accelerators
        self.hosts = {host.name: HostUsage(host) for host in rows}
        self.jobs: dict[str, Job] = {}
        self._hosts_by_free_cores: dict[int, dict[str, None]] = {}
        self._max_free_cores = 0
        for name in self.hosts:
            self._index_by_free_cores(name)

    def allocate(self, job: Job, members: Sequence[Member]) -> None:
        """Allocate the members to a job; accelerators in use are claimed."""
        job.members = tuple(members)
        self.jobs[job.job_id] = job
        for member in members:
            taken = self.accelerators(member)
            for accelerator in taken:
                if self.owner[accelerator] is None:
                    self.owner[accelerator] = job.job_id
                else:
                    self.claim[accelerator] = job.job_id
            self.free.mark(taken)
            if job.protected:
                self.reclaimable.mark(taken)
            self._update_host_usage(member, job, 1)

    def release(self, job: Job) -> None:
        """Release a job's resources and claims."""
        del self.jobs[job.job_id]
        for member in job.members:
            taken = self.accelerators(member)
            for accelerator in taken:
                if self.owner[accelerator] == job.job_id:
                    self.owner[accelerator] = self.claim[accelerator]
                self.claim[accelerator] = None
            self.free.unmark(taken)
            if job.protected:
                self.reclaimable.unmark(taken)
            self._update_host_usage(member, job, -1)
        job.members = ()

    def accelerators(self, member: Member) -> list[int]:
        """Return the accelerators of a member, numbered as in the cell tree."""
        first = self.tree.first_accelerator.get(member.host, 0)
        return [first + index for index in member.accelerators]

    def usable(self, host: str) -> bool:
        """Return whether a host is known and takes new work."""
        usage = self.hosts.get(host)
        return usage is not None and not usage.unusable

    def set_unusable(self, host: str, reason: str, value: bool) -> None:
        """Add or remove a reason why a host takes no new work."""
        usage = self.hosts.get(host)
        if usage is None or (reason in usage.unusable) == value:
            return
        was_usable = not usage.unusable
        self._unindex_by_free_cores(host)
        if value:
            usage.unusable.add(reason)
        else:
            usage.unusable.remove(reason)
        self._index_by_free_cores(host)
        if was_usable == (not usage.unusable):
            return
        accelerators = self.tree.accelerators_of(host)
        for index in (self.free, self.reclaimable):
            if value:
                index.mark(accelerators)
            else:
                index.unmark(accelerators)

    def cpu_members(self, shape: Shape, protected: bool) -> list[Member] | None:
        """Find workers for tasks without accelerators; best fit by free cores.

        :param protected: use only workers without accelerators, because no
            guarantee can need their cores
        :returns: one member per worker, or ``None`` if not all tasks fit
        """
        tasks_left = shape.tasks
        members: list[Member] = []
        for cores in range(max(shape.cores, 0), self._max_free_cores + 1):
            for name in self._hosts_by_free_cores.get(cores, ()):
                usage = self.hosts[name]
                if protected and usage.host.accelerators:
                    continue
                fits = min(tasks_left, _tasks_that_fit(shape, usage))
                if fits:
                    members.append(Member(name, (), fits, usage.host.boot_id))
                    tasks_left -= fits
                if not tasks_left:
                    return members
        return None

    def make_member(self, host: str, accelerators: list[int], tasks: int) -> Member:
        """Return a member whose accelerators are numbered within its worker."""
        first = self.tree.first_accelerator[host]
        indices = tuple(sorted(number - first for number in accelerators))
        return Member(host, indices, tasks, self.hosts[host].host.boot_id)

    def accelerators_per_task(self, host: str, shape: Shape) -> int:
        """Return the accelerators one task takes on a host, 0 if it does not fit."""
        return effective_accelerators(shape, self.tree.profiles[host])

    def _update_host_usage(self, member: Member, job: Job, sign: int) -> None:
        usage = self.hosts.get(member.host)
        if usage is None:
            return
        self._unindex_by_free_cores(member.host)
        usage.free_cores -= sign * member.tasks * job.shape.cores
        usage.free_memory_gb -= sign * member.tasks * job.shape.memory_gb
        if sign > 0:
            usage.jobs[job.job_id] = member.tasks
        else:
            usage.jobs.pop(job.job_id, None)
        self._index_by_free_cores(member.host)

    def _index_by_free_cores(self, name: str) -> None:
        usage = self.hosts[name]
        if usage.unusable or usage.free_cores <= 0:
            return
        self._hosts_by_free_cores.setdefault(usage.free_cores, {})[name] = None
        self._max_free_cores = max(self._max_free_cores, usage.free_cores)

    def _unindex_by_free_cores(self, name: str) -> None:
        bucket = self._hosts_by_free_cores.get(self.hosts[name].free_cores)
        if bucket is not None:
            bucket.pop(name, None)


def _tasks_that_fit(shape: Shape, usage: HostUsage) -> int:
    by_cores = usage.free_cores // shape.cores if shape.cores else shape.tasks
    by_memory = (
        usage.free_memory_gb // shape.memory_gb if shape.memory_gb else shape.tasks
    )
    return max(0, min(by_cores, by_memory))
