"""Brute-force oracle for point 1, for fleets of a few dozen accelerators."""

from itertools import pairwise

MAX_BLOCK = 4  # aligned blocks inside a worker are of 1, 2 or 4 accelerators


class ReclaimOracle:
    """Checks placements, evictions and reported shortfalls.

    An accelerator is a pair ``(host name, index)``. A cell is a frozenset of
    accelerators.
    """

    def __init__(self, hosts):
        """:param hosts: rows ``(name, rack, position, accelerators)``."""
        self.hosts = {row[0]: row for row in hosts}
        self.rows = []
        self.unusable = {}
        self.running = {}
        self.evicting = set()
        self.groups = set()
        self.cells = self._aligned_cells()
        self.max_worker_accelerators = max(row[3] for row in hosts)
        self._candidates = {}

    def start(self, job_id, account, *, shape, accelerators, borrowed, may_borrow):
        """Record a start; ``shape`` is (tasks, accelerators per task).

        Tasks that ask for no accelerators may occupy some for their cores.
        """
        allocated = frozenset(accelerators)
        complete = len(allocated) == shape[0] * shape[1] or not shape[1]
        assert complete, f"{job_id}: gang is incomplete"
        assert may_borrow or not borrowed, f"{job_id} must not borrow"
        for other, (_, _, used) in self.running.items():
            assert not allocated & used, f"{job_id} starts on accelerators of {other}"
        for host, _ in allocated:
            assert not self.unusable.get(host), f"{job_id} starts on {host}"
        if shape[1]:
            cells = self.candidates(*shape)
            assert any(allocated <= cell for cell in cells), f"{job_id} is not adjacent"
        self.running[job_id] = (account, borrowed, allocated)

    def evict(self, job_id):
        """Record a decision to evict a job."""
        assert job_id in self.running, f"{job_id} is evicted but does not run"
        assert self.running[job_id][1], f"{job_id} is evicted but did not borrow"
        self.evicting.add(job_id)

    def end(self, job_id):
        """Record that a job has released its accelerators."""
        self.running.pop(job_id, None)
        self.evicting.discard(job_id)

    def check_bound(self, bound):
        """Check bound cells ``(account, size, accelerators, jobs)``."""
        seen = set()
        for account, size, location, jobs in bound:
            cell = frozenset(location)
            assert cell in self.guarantee_cells(size), f"{account}: not a cell"
            assert not cell & seen, f"{account}: cell bound twice"
            assert jobs, f"{account}: cell is bound without a job"
            seen |= cell
            for job_id, (owner, borrowed, used) in self.running.items():
                if not borrowed and used & cell:
                    assert owner == account, f"{job_id} holds a cell of {account}"
                    assert used <= cell, f"{job_id} leaves its cell"
                    assert job_id in jobs, f"{job_id} is not counted in its cell"

    def check_grown(self, before, after):
        """Check that cells with new jobs stay within the guarantee's size."""
        old = {job_id for row in before for job_id in row[3]}
        counts, grown, uses = {}, set(), {}
        for account, size, count in self.rows:
            counts[account, size] = counts.get((account, size), 0) + count
        for account, size, _, jobs in after:
            allocated = [self.running[j][2] for j in jobs if j in self.running]
            use = sum(map(len, allocated))
            assert use <= size, f"{account} uses more than its cell"
            uses[account, size] = uses.get((account, size), 0) + use
            if set(jobs) - old:
                grown.add((account, size))
        for key in grown:
            allowed = counts.get(key, 0) * key[1]
            assert uses[key] <= allowed, f"{key} grew beyond its guarantee"

    def missing(self, bound):
        """Return how many unbound cells can't be reserved, by (account, size).

        Cells are reserved in order of decreasing size, then in table order.
        """
        protected = {
            accelerator
            for _, borrowed, used in self.running.values()
            if not borrowed
            for accelerator in used
        }
        for _, _, location, _ in bound:
            protected.update(location)
        wanted = self.unbound(bound)
        reserved, missing = [], {}
        for key in sorted(wanted, key=lambda key: -key[1]):
            for _ in range(wanted[key]):
                if self._can_place([*reserved, key[1]], protected):
                    reserved.append(key[1])
                else:
                    missing[key] = missing.get(key, 0) + 1
        return missing

    def unbound(self, bound):
        """Return how many cells are not bound, by (account, size)."""
        wanted = {}
        for account, size, count in self.rows:
            wanted[account, size] = wanted.get((account, size), 0) + count
        for account, size, _, _ in bound:
            if wanted.get((account, size), 0) > 0:
                wanted[account, size] -= 1
        return wanted

    def fits(self, tasks, per_task, size):
        """Return whether a gang fits into a guaranteed cell."""
        cells = self.guarantee_cells(size)
        within = tasks * per_task <= size
        return within and any(
            self._task_capacity(cell, per_task) >= tasks for cell in cells
        )

    def guarantee_cells(self, size):
        """Return the cells that can hold a guarantee."""
        if size <= self.max_worker_accelerators:
            return self.candidates(1, size)
        return self.candidates(
            -(-size // self.max_worker_accelerators), self.max_worker_accelerators
        )

    def candidates(self, tasks, per_task):
        """Return the aligned cells among which a gang counts as adjacent."""
        found = self._candidates.get((tasks, per_task))
        if found is None:
            holding = [
                c for c in self.cells if self._task_capacity(c, per_task) >= tasks
            ]
            found = [c for c in holding if not any(other < c for other in holding)]
            if all(cell in self.groups for cell in found):
                found = holding  # larger than a rack: any group of adjacent racks
            self._candidates[tasks, per_task] = found
        return found

    def _task_capacity(self, cell, per_task):
        by_host = {}
        for host, _ in cell:
            by_host[host] = by_host.get(host, 0) + 1
        return sum(count // per_task for count in by_host.values())

    def _can_place(self, sizes, protected):
        """Return whether disjoint usable cells exist for all sizes (backtracking)."""
        if not sizes:
            return True
        size = max(sizes)
        rest = list(sizes)
        rest.remove(size)
        for cell in self.guarantee_cells(size):
            usable = not any(self.unusable.get(host) for host, _ in cell)
            if (
                usable
                and not cell & protected
                and self._can_place(rest, protected | cell)
            ):
                return True
        return False

    def _aligned_cells(self):
        racks = {}
        for name, rack, position, count in self.hosts.values():
            racks.setdefault(rack, {})[position] = {(name, i) for i in range(count)}
        cells = set()
        groups = []
        for rack in sorted(racks):
            row = racks[rack]
            groups.append(frozenset().union(*row.values()))
            for step in (1, 2, 4):
                for start in range(0, max(row) + 1, step):
                    group = [row.get(p) for p in range(start, start + step)]
                    if all(group):
                        cells.add(frozenset().union(*group))
        for name, _, _, count in self.hosts.values():
            for size in (1, 2, MAX_BLOCK):
                edges = range(0, count + 1, size)
                for start, end in pairwise(edges):
                    cells.add(frozenset((name, i) for i in range(start, end)))
        while groups:
            cells.update(groups)
            pairs = range(0, len(groups), 2)
            joined = [frozenset().union(*groups[i : i + 2]) for i in pairs]
            self.groups.update(set(joined) - set(groups))
            groups = joined if len(groups) > 1 else []
        return sorted(cells, key=lambda cell: (len(cell), sorted(cell)))
