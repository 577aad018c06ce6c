"""Point 1 by brute force, for fleets of a few dozen accelerators."""

from itertools import pairwise

LIMIT_BLOCK = 4  # aligned blocks inside a worker are of 1, 2 or 4 accelerators


class ReclaimOracle:
    """Judges placements, evictions and reported shortfalls.

    An accelerator is a pair of a host's name and an index. A cell is a frozenset of
    accelerators.
    """

    def __init__(self, hosts):
        """:param hosts: rows ``(name, rack, position, accelerators)``."""
        self.hosts = {row[0]: row for row in hosts}
        self.rows = []
        self.unusable = {}
        self.running = {}
        self.evicting = set()
        self.levels = self._levels()
        self.width = max(row[3] for row in hosts)
        self._candidates = {}

    def start(self, job_id, account, *, shape, accelerators, borrowed, may_borrow):
        """Record a start; ``shape`` is (tasks, accelerators per task).

        Tasks that ask for no accelerators may occupy some for their cores.
        """
        taken = frozenset(accelerators)
        whole = len(taken) == shape[0] * shape[1] or not shape[1]
        assert whole, f"{job_id}: gang is not whole"
        assert may_borrow or not borrowed, f"{job_id} must not borrow"
        for other, (_, _, used) in self.running.items():
            assert not taken & used, f"{job_id} starts on accelerators of {other}"
        for host, _ in taken:
            assert not self.unusable.get(host), f"{job_id} starts on {host}"
        if shape[1]:
            cells = self.candidates(*shape)
            assert any(taken <= cell for cell in cells), f"{job_id} is not adjacent"
        self.running[job_id] = (account, borrowed, taken)

    def evict(self, job_id):
        """Record a decided eviction."""
        assert job_id in self.running, f"{job_id} is evicted but does not run"
        assert self.running[job_id][1], f"{job_id} is evicted but did not borrow"
        self.evicting.add(job_id)

    def end(self, job_id):
        """Record that a job holds nothing any more."""
        self.running.pop(job_id, None)
        self.evicting.discard(job_id)

    def check_bound(self, bound):
        """Check bound cells ``(account, size, accelerators, jobs)``."""
        seen = set()
        for account, size, place, jobs in bound:
            cell = frozenset(place)
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
        """New jobs enter guaranteed cells only within the guarantee's size."""
        old = {job_id for row in before for job_id in row[3]}
        counts, grown, uses = {}, set(), {}
        for account, size, count in self.rows:
            counts[account, size] = counts.get((account, size), 0) + count
        for account, size, _, jobs in after:
            taken = [self.running[j][2] for j in jobs if j in self.running]
            use = sum(map(len, taken))
            assert use <= size, f"{account} uses more than its cell"
            uses[account, size] = uses.get((account, size), 0) + use
            if set(jobs) - old:
                grown.add((account, size))
        for key in grown:
            allowed = counts.get(key, 0) * key[1]
            assert uses[key] <= allowed, f"{key} grew beyond its guarantee"

    def missing(self, bound):
        """Return the unbound cells that cannot be kept, by (account, size).

        Guarantees keep their cells largest first, then in table order.
        """
        firm = {
            accelerator
            for _, borrowed, used in self.running.values()
            if not borrowed
            for accelerator in used
        }
        for _, _, place, _ in bound:
            firm.update(place)
        wanted = self.unbound(bound)
        kept, missing = [], {}
        for key in sorted(wanted, key=lambda key: -key[1]):
            for _ in range(wanted[key]):
                if self._pack([*kept, key[1]], firm):
                    kept.append(key[1])
                else:
                    missing[key] = missing.get(key, 0) + 1
        return missing

    def unbound(self, bound):
        """Return the cells that are not bound, by (account, size)."""
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
        return within and any(self._room(cell, per_task) >= tasks for cell in cells)

    def guarantee_cells(self, size):
        """Return the cells that can hold a guarantee."""
        if size <= self.width:
            return self.candidates(1, size)
        return self.candidates(-(-size // self.width), self.width)

    def candidates(self, tasks, per_task):
        """Return the smallest aligned cells that hold a gang when empty."""
        found = self._candidates.get((tasks, per_task))
        if found is None:
            holding = [c for c in self.levels if self._room(c, per_task) >= tasks]
            found = [c for c in holding if not any(other < c for other in holding)]
            self._candidates[tasks, per_task] = found
        return found

    def _room(self, cell, per_task):
        by_host = {}
        for host, _ in cell:
            by_host[host] = by_host.get(host, 0) + 1
        return sum(count // per_task for count in by_host.values())

    def _pack(self, sizes, firm):
        """Find disjoint usable cells for all sizes, by backtracking."""
        if not sizes:
            return True
        size = max(sizes)
        rest = list(sizes)
        rest.remove(size)
        for cell in self.guarantee_cells(size):
            usable = not any(self.unusable.get(host) for host, _ in cell)
            if usable and not cell & firm and self._pack(rest, firm | cell):
                return True
        return False

    def _levels(self):
        racks = {}
        for name, rack, position, count in self.hosts.values():
            racks.setdefault(rack, {})[position] = {(name, i) for i in range(count)}
        cells = set()
        level = []
        for rack in sorted(racks):
            row = racks[rack]
            level.append(frozenset().union(*row.values()))
            for step in (1, 2, 4):
                for start in range(0, max(row) + 1, step):
                    group = [row.get(p) for p in range(start, start + step)]
                    if all(group):
                        cells.add(frozenset().union(*group))
        for name, _, _, count in self.hosts.values():
            for size in (1, 2, LIMIT_BLOCK):
                edges = range(0, count + 1, size)
                for start, end in pairwise(edges):
                    cells.add(frozenset((name, i) for i in range(start, end)))
        while level:
            cells.update(level)
            pairs = range(0, len(level), 2)
            joined = [frozenset().union(*level[i : i + 2]) for i in pairs]
            level = joined if len(level) > 1 else []
        return sorted(cells, key=lambda cell: (len(cell), sorted(cell)))
