"""Who uses which accelerators, cores and memory of a data centre's pool."""

from collections.abc import Iterable, Sequence

from bilberryhitch_model import Host, Member, Shape

from .cells import CellTree, effective_accelerators
from .jobs import Job
from .occupancy import CellIndex


class HostUse:
    """What is used on one worker.

    :ivar unusable: reasons why it takes no new work; empty if it does
    :ivar jobs: jobs with tasks on it, and how many tasks
    """

    __slots__ = ("cores", "host", "jobs", "memory_gb", "unusable")

    def __init__(self, host: Host) -> None:
        self.host = host
        self.cores = host.cores
        self.memory_gb = host.memory_gb
        self.jobs: dict[str, int] = {}
        self.unusable: set[str] = set()


class Fleet:
    """Bookkeeping of placements; all updates are incremental.

    A job that waits for evictions claims accelerators that others still own; they
    become its own when their owner is removed.

    :ivar free: marks accelerators that are owned, claimed, reserved or unusable
    :ivar clear: marks accelerators that evictions cannot make free
    :ivar owner: job that occupies each accelerator
    :ivar claim: job that waits for each accelerator
    """

    def __init__(self, hosts: Iterable[Host]) -> None:
        rows = list(hosts)
        self.tree = CellTree(rows)
        self.free = CellIndex(self.tree)
        self.clear = CellIndex(self.tree)
        self.owner: list[str | None] = [None] * self.tree.accelerators
        self.claim: list[str | None] = [None] * self.tree.accelerators
        self.hosts = {host.name: HostUse(host) for host in rows}
        self.jobs: dict[str, Job] = {}
        self._by_cores: dict[int, dict[str, None]] = {}
        self._most_cores = 0
        for name in self.hosts:
            self._list_cores(name)

    def place(self, job: Job, members: Sequence[Member]) -> None:
        """Give the members' resources to a job, or claims on them."""
        job.members = tuple(members)
        self.jobs[job.job_id] = job
        for member in members:
            taken = self.accelerators(member)
            for accelerator in taken:
                if self.owner[accelerator] is None:
                    self.owner[accelerator] = job.job_id
                else:
                    self.claim[accelerator] = job.job_id
            self.free.take(taken)
            if job.firm:
                self.clear.take(taken)
            self._use(member, job, 1)

    def remove(self, job: Job) -> None:
        """Take a job's resources and claims back."""
        del self.jobs[job.job_id]
        for member in job.members:
            taken = self.accelerators(member)
            for accelerator in taken:
                if self.owner[accelerator] == job.job_id:
                    self.owner[accelerator] = self.claim[accelerator]
                self.claim[accelerator] = None
            self.free.give(taken)
            if job.firm:
                self.clear.give(taken)
            self._use(member, job, -1)
        job.members = ()

    def accelerators(self, member: Member) -> list[int]:
        """Return the accelerators of a member as numbers of the tree."""
        first = self.tree.first.get(member.host, 0)
        return [first + index for index in member.accelerators]

    def usable(self, host: str) -> bool:
        """Return whether a host takes new work."""
        use = self.hosts.get(host)
        return use is not None and not use.unusable

    def set_unusable(self, host: str, reason: str, value: bool) -> None:
        """Add or remove a reason why a host takes no new work."""
        use = self.hosts.get(host)
        if use is None or (reason in use.unusable) == value:
            return
        was_usable = not use.unusable
        self._unlist_cores(host)
        if value:
            use.unusable.add(reason)
        else:
            use.unusable.remove(reason)
        self._list_cores(host)
        if was_usable == (not use.unusable):
            return
        accelerators = self.tree.accelerators_of(host)
        for index in (self.free, self.clear):
            if value:
                index.take(accelerators)
            else:
                index.give(accelerators)

    def core_members(self, shape: Shape, firm: bool) -> list[Member] | None:
        """Find workers for tasks without accelerators; best fit by free cores.

        :param firm: only on workers without accelerators, where no guarantee lies
        """
        left = shape.tasks
        members: list[Member] = []
        for cores in range(max(shape.cores, 0), self._most_cores + 1):
            for name in self._by_cores.get(cores, ()):
                use = self.hosts[name]
                if firm and use.host.accelerators:
                    continue
                fits = min(left, _fits(shape, use))
                if fits:
                    members.append(Member(name, (), fits, use.host.boot_id))
                    left -= fits
                if not left:
                    return members
        return None

    def member(self, host: str, accelerators: list[int], tasks: int) -> Member:
        """Return a member in terms of the worker's own accelerator numbers."""
        first = self.tree.first[host]
        indices = tuple(sorted(number - first for number in accelerators))
        return Member(host, indices, tasks, self.hosts[host].host.boot_id)

    def per_task(self, host: str, shape: Shape) -> int:
        """Return the accelerators that one task occupies on a host, 0 if none fits."""
        return effective_accelerators(shape, self.tree.profiles[host])

    def _use(self, member: Member, job: Job, sign: int) -> None:
        use = self.hosts.get(member.host)
        if use is None:
            return
        self._unlist_cores(member.host)
        use.cores -= sign * member.tasks * job.shape.cores
        use.memory_gb -= sign * member.tasks * job.shape.memory_gb
        if sign > 0:
            use.jobs[job.job_id] = member.tasks
        else:
            use.jobs.pop(job.job_id, None)
        self._list_cores(member.host)

    def _list_cores(self, name: str) -> None:
        use = self.hosts[name]
        if use.unusable or use.cores <= 0:
            return
        self._by_cores.setdefault(use.cores, {})[name] = None
        self._most_cores = max(self._most_cores, use.cores)

    def _unlist_cores(self, name: str) -> None:
        bucket = self._by_cores.get(self.hosts[name].cores)
        if bucket is not None:
            bucket.pop(name, None)


def _fits(shape: Shape, use: HostUse) -> int:
    by_cores = use.cores // shape.cores if shape.cores else shape.tasks
    by_memory = use.memory_gb // shape.memory_gb if shape.memory_gb else shape.tasks
    return max(0, min(by_cores, by_memory))
