"""Point 1: a guaranteed shape can always be reclaimed from borrowers."""

import hypothesis.strategies as st
import pytest
from bilberryhitch_model import (
    Evict,
    Guarantee,
    Host,
    Pool,
    QueuedJob,
    Shape,
    Start,
)
from bilberryhitch_scheduling import PoolScheduler, allocator, preemption
from bilberryhitch_scheduling.adopted_jobs import AdoptedJobs
from bilberryhitch_scheduling.allocator import Allocator
from bilberryhitch_scheduling.guaranteed_cells import GuaranteedCells
from bilberryhitch_scheduling.pool_state import PoolState
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from .harness import STEPS_PER_HISTORY, Counts, Point, run_point
from .oracle_point1_reclaim import ReclaimOracle

HISTORIES = 100
ACCOUNTS = ("a", "b", "c")
# Each fleet: accelerators per worker, by rack, and the sizes of its guarantees.
FLEETS = (
    (((2,) * 6, (2,) * 6), (1, 2, 3, 4, 8, 12)),
    (((4,) * 4, (4,) * 2, (1,) * 3), (1, 2, 4, 8)),
    (((8, 8), (8, 1, 8, 1)), (1, 4, 8, 16)),
    (((1,) * 8, (1,) * 6), (1, 2, 4, 6)),
)


def make_hosts(racks):
    return [
        Host(
            f"w{rack}-{position}",
            "worker",
            "ruwi",
            "",
            rack=f"rack-{rack}",
            position=position,
            accelerators=count,
            cores=4 * count,
            memory_gb=4 * count,
        )
        for rack, row in enumerate(racks)
        for position, count in enumerate(row)
    ]


class ReclaimMachine(RuleBasedStateMachine):
    """Drives a scheduler and passes each of its decisions to the oracle."""

    counts = Counts()

    @initialize(fleet=st.sampled_from(FLEETS), data=st.data())
    def begin(self, fleet, data):
        self.counts.histories += 1
        racks, self.sizes = fleet
        self.hosts = {host.name: host for host in make_hosts(racks)}
        rows = [
            (h.name, h.rack, h.position, h.accelerators) for h in self.hosts.values()
        ]
        self.oracle = ReclaimOracle(rows)
        self.now, self.submitted = 0.0, 0
        self.jobs, self.placed = {}, {}
        self.lost, self.quarantined = set(), set()
        self.clearing = {}
        self.pool = Pool("gpu", "job", guarantees=self.draw_guarantees(data))
        self.oracle.rows = self.rows()
        self.scheduler = self.make_scheduler()

    def make_scheduler(self):
        return PoolScheduler("ruwi", self.pool, list(self.hosts.values()))

    def draw_guarantees(self, data):
        row = st.builds(
            Guarantee,
            client_account=st.sampled_from(ACCOUNTS[:2]),
            data_centre=st.just("ruwi"),
            accelerators=st.sampled_from(self.sizes),
            cells=st.integers(1, 2),
        )
        return tuple(data.draw(st.lists(row, max_size=4)))

    def rows(self):
        rows = self.pool.guarantees
        return [(row.client_account, row.accelerators, row.cells) for row in rows]

    def bound(self):
        return [
            (
                row.client_account,
                row.accelerators,
                [(host, index) for host, taken in row.location for index in taken],
                row.jobs,
            )
            for row in self.scheduler.bound_cells()
        ]

    def missing(self):
        found = self.scheduler.shortfall()
        return {(row.client_account, row.accelerators): row.missing for row in found}

    def stage(self, job_id):
        return self.scheduler.explain(job_id).state

    @rule(
        account=st.sampled_from(ACCOUNTS),
        tasks=st.sampled_from((1, 1, 2, 3, 4, 8)),
        per_task=st.sampled_from((1, 1, 2, 4, 8)),
        may_borrow=st.booleans(),
        urgent=st.sampled_from((False, False, True)),
        cores=st.sampled_from((0, 1, 4)),
    )
    def submit(self, *, account, tasks, per_task, may_borrow, urgent, cores):
        shape = Shape(tasks, per_task, min(cores, 4 * per_task), 1)
        urgency = "urgent" if urgent else "normal"
        self.queue(account, shape, may_borrow=may_borrow, urgency=urgency)

    @precondition(lambda self: self.pool.guarantees)
    @rule(data=st.data(), whole=st.booleans(), extra=st.integers(-1, 1))
    def fill_guarantee(self, data, whole, extra):
        """Submit large or small jobs just under, up to or over a guarantee."""
        row = data.draw(st.sampled_from(self.pool.guarantees))
        tasks = row.accelerators if whole else 1
        for _ in range(row.cells * row.accelerators // tasks + extra):
            self.queue(row.client_account, Shape(tasks, 1, 1, 1))
        self.decide(0.0)

    @rule(cores=st.integers(1, 8), account=st.sampled_from(ACCOUNTS))
    def submit_without_accelerators(self, cores, account):
        self.queue(account, Shape(2, 0, cores))

    def queue(self, account, shape, **options):
        self.submitted += 1
        declared_s = 5.0 * shape.tasks
        row = QueuedJob(
            f"j{self.submitted}",
            account,
            "render",
            "caller",
            shape,
            declared_s=declared_s,
            **options,
        )
        if self.scheduler.submit(row, self.now).is_ok():
            self.jobs[row.job_id] = row

    @rule(gap=st.sampled_from((0.0, 1.0, 100.0)))
    def decide(self, gap):
        self.now += gap
        before, bound = self.missing(), self.bound()
        confirmed = self.clearing_confirmed()
        decisions = self.scheduler.decide(self.now)
        for decision in decisions:
            self.record(decision)
        after = self.missing()
        for key, count in after.items():
            assert count <= before.get(key, 0), f"{key} has lost a cell"
        for job_id in confirmed:
            assert self.stage(job_id) != "clearing", f"{job_id} waits again"
        self.oracle.check_grown(bound, self.bound())
        self.check_started()
        self.update_clearing()

    @rule()
    def decide_at_once(self):
        """Decide often: most faults show only after several decisions."""
        self.decide(0.0)

    def record(self, decision):
        row = self.jobs[decision.job_id]
        if isinstance(decision, Evict):
            if row.shape.accelerators:
                self.oracle.evict(row.job_id)
            assert row.may_borrow, f"{row.job_id} may not borrow but is evicted"
            return
        assert isinstance(decision, Start)
        taken = [
            (member.host, index)
            for member in decision.placement.members
            for index in member.accelerators
        ]
        shape = (row.shape.tasks, row.shape.accelerators)
        if taken:
            self.oracle.start(
                row.job_id,
                row.client_account,
                shape=shape,
                accelerators=taken,
                borrowed=decision.borrowed,
                may_borrow=row.may_borrow,
            )
        self.placed[row.job_id] = (decision.placement, decision.borrowed)
        self.scheduler.started(row.job_id, self.now)

    def clearing_confirmed(self):
        """Return the clearing jobs whose evictions have all been confirmed."""
        return [j for j, waits in self.clearing.items() if not waits]

    def update_clearing(self):
        stages = {job_id: self.stage(job_id) for job_id in self.jobs}
        waiting = self.evicted_jobs()
        self.clearing = {
            job_id: self.clearing.get(job_id, set(waiting))
            for job_id, stage in stages.items()
            if stage == "clearing"
        }

    def eviction_confirmed(self, job_id):
        for waits in self.clearing.values():
            waits.discard(job_id)

    def check_started(self):
        """Check that no queued job fits a free cell of its account's guarantee."""
        bound = self.bound()
        left = self.oracle.unbound(bound)
        for key, count in self.oracle.missing(bound).items():
            left[key] -= count
        for row in self.jobs.values():
            if not row.shape.accelerators or self.stage(row.job_id) != "queued":
                continue
            for (account, size), count in left.items():
                if account != row.client_account or not count:
                    continue
                fits = self.oracle.fits(row.shape.tasks, row.shape.accelerators, size)
                assert not fits, f"{row.job_id} fits the guarantee but is not started"

    def pick(self, data, job_ids):
        return data.draw(st.sampled_from(sorted(job_ids)))

    def running(self):
        return [j for j in self.jobs if self.stage(j) == "running"]

    def evicted_jobs(self):
        explain = self.scheduler.explain
        return [j for j in self.jobs if explain(j).rule == "reclaimed"]

    @precondition(lambda self: self.running())
    @rule(data=st.data())
    def finish(self, data):
        job_id = self.pick(data, self.running())
        self.scheduler.finished(job_id, self.now)
        self.oracle.end(job_id)
        self.eviction_confirmed(job_id)
        del self.jobs[job_id]

    @precondition(lambda self: self.evicted_jobs())
    @rule(data=st.data(), all_of_them=st.booleans())
    def answer_eviction(self, data, all_of_them):
        waiting = self.evicted_jobs()
        for job_id in waiting if all_of_them else [self.pick(data, waiting)]:
            self.scheduler.evicted(job_id, self.now)
            self.oracle.end(job_id)
            self.eviction_confirmed(job_id)

    @precondition(lambda self: self.running())
    @rule(data=st.data())
    def fail_start(self, data):
        self.counts.faults += 1
        job_id = self.pick(data, self.running())
        self.scheduler.start_failed(job_id, "w0-0", self.now)
        self.oracle.end(job_id)
        self.eviction_confirmed(job_id)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data())
    def cancel(self, data):
        job_id = self.pick(data, self.jobs)
        if self.scheduler.cancel(job_id):
            del self.jobs[job_id]
            self.clearing.pop(job_id, None)

    @rule(data=st.data(), whole_rack=st.booleans())
    def lose(self, data, whole_rack):
        self.counts.faults += 1
        host = self.hosts[data.draw(st.sampled_from(sorted(self.hosts)))]
        for other in self.hosts.values():
            if other == host or (whole_rack and other.rack == host.rack):
                self.lost.add(other.name)
                self.scheduler.host_lost(other.name)
        self.update_unusable()

    @rule(back=st.booleans())
    def restore(self, back):
        for name in sorted(self.lost):
            self.lost.discard(name)
            self.scheduler.host_back(self.hosts[name]._replace(boot_id="again"))
            if back:
                break
        self.update_unusable()

    @rule(data=st.data(), release=st.booleans())
    def quarantine(self, data, release):
        name = data.draw(st.sampled_from(sorted(self.hosts)))
        if release:
            self.quarantined.discard(name)
            self.scheduler.end_quarantine(name)
        else:
            self.quarantined.add(name)
            self.scheduler.quarantine(name)
        self.update_unusable()

    @rule(data=st.data(), borrowing=st.booleans())
    def set_pool(self, data, borrowing):
        self.adopt_pool(self.draw_guarantees(data), borrowing)

    @precondition(lambda self: self.pool.guarantees)
    @rule(data=st.data(), to=st.sampled_from(ACCOUNTS), cells=st.integers(0, 2))
    def change_guarantee(self, data, to, cells):
        """Resize a guarantee or move it to another account."""
        rows = list(self.pool.guarantees)
        index = data.draw(st.integers(0, len(rows) - 1))
        owner = rows[index].client_account
        if cells:
            rows[index] = rows[index]._replace(client_account=to, cells=cells)
        else:
            del rows[index]
        self.adopt_pool(tuple(rows), self.pool.borrowing)
        self.queue(owner, Shape(1, 1, 1, 1))
        self.decide(0.0)

    def adopt_pool(self, rows, borrowing):
        self.pool = self.pool._replace(guarantees=rows, borrowing=borrowing)
        self.scheduler.set_pool(self.pool)
        self.oracle.rows = self.rows()
        self.clearing = {}

    @rule()
    def take_over(self):
        """Replace the scheduler by one that knows jobs and hosts, but no evictions."""
        placed = {job_id: self.placed[job_id] for job_id in self.running()}
        before = sum(self.missing().values())
        self.scheduler = self.make_scheduler()
        for name in sorted(self.lost):
            self.scheduler.host_lost(name)
        for name in sorted(self.quarantined):
            self.scheduler.quarantine(name)
        for job_id, row in list(self.jobs.items()):
            if job_id in placed:
                placement, borrowed = placed[job_id]
                self.scheduler.adopt(row, placement, borrowed, self.now)
            elif self.scheduler.submit(row, self.now).is_error():
                del self.jobs[job_id]
        self.clearing = {}
        after = sum(self.missing().values())
        assert after <= before, "a takeover lost guaranteed cells"

    def update_unusable(self):
        names = self.lost | self.quarantined
        self.oracle.unusable = dict.fromkeys(names, True)
        self.clearing = {}

    @invariant()
    def check(self):
        if not hasattr(self, "scheduler"):
            return
        self.counts.steps += 1
        bound = self.bound()
        self.oracle.check_bound(bound)
        inside = {job_id for row in bound for job_id in row[3]}
        if any(
            self.stage(job_id) == "clearing" for job_id in self.jobs.keys() - inside
        ):
            return  # the oracle cannot see which cell such a job reserves
        reported, expected = self.missing(), self.oracle.missing(bound)
        assert reported == expected, f"shortfall {reported}, expected {expected}"


def run_without_shrinking(histories):
    """Search for a violation; the failing history need not be minimal."""
    options = settings(
        max_examples=histories,
        stateful_step_count=STEPS_PER_HISTORY,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    seed(2)(ReclaimMachine)
    run_state_machine_as_test(ReclaimMachine, settings=options)


POINT = Point(1, ReclaimMachine, ReclaimMachine.counts)


def test_point_holds():
    """Guards against guaranteed cells that borrowers or other accounts block."""
    run_point(POINT, seed_number=1, histories=HISTORIES)


def reduce_first_rows(self, need, short):
    missing = {}
    for key in need.counts:
        given = min(short, self.unbound_count(key))
        short -= given
        if given:
            missing[key] = given
    return missing


def preempt_any_job(pool_state, shape, now):
    left = preemption.count_obtainable(
        pool_state, lambda owner: owner.stage != "clearing"
    )
    for kind in pool_state.tree.candidate_kinds(shape):
        for cell in pool_state.tree.by_kind[kind]:
            members = preemption.place_in_cell(pool_state, left, cell, shape)
            if members is not None:
                yield members


REMOVED_MECHANISMS = {
    "check of protected jobs against guarantees": (
        Allocator,
        "keeps_guarantees",
        lambda self, members: True,
    ),
    "waiting for evictions": (allocator, "victims", lambda *args: {}),
    "protection of guaranteed jobs": (
        allocator,
        "preempting_placements",
        preempt_any_job,
    ),
    "no lending to jobs that may not borrow": (
        Allocator,
        "requires_protection",
        lambda self, job: False,
    ),
    "exclusion of lost hosts": (PoolState, "set_unusable", lambda self, *args: None),
    "table order of the shortfall": (
        GuaranteedCells,
        "_missing_by_key",
        reduce_first_rows,
    ),
    "binding at takeover": (AdoptedJobs, "bind_cells", lambda self: []),
    "end of a shrunk guarantee": (
        GuaranteedCells,
        "allowed_accelerators",
        lambda *args: 10**6,
    ),
    "size of a guarantee": (Allocator, "_stays_within_guarantee", lambda *args: True),
    "check of bindings": (Allocator, "_shortage_not_grown", lambda self, before: True),
    "reclaim": (Allocator, "_bind_new_cell", lambda self, job, key, now: None),
}


@pytest.mark.parametrize("mechanism", REMOVED_MECHANISMS)
def test_removed_mechanism_is_detected(mechanism, monkeypatch):
    """Guards against a machine that can't detect a faulty scheduler."""
    monkeypatch.setattr(*REMOVED_MECHANISMS[mechanism])
    with pytest.raises(AssertionError):
        run_without_shrinking(histories=200)


def make_oracle(*rows):
    oracle = ReclaimOracle([(f"w{n}", "r", n, 2) for n in range(4)])
    oracle.rows = list(rows)
    return oracle


def start_job(oracle, job_id, account, *places, borrowed=False, per_task=1):
    shape = (len(places) // per_task, per_task)
    options = {"borrowed": borrowed, "may_borrow": borrowed}
    oracle.start(job_id, account, shape=shape, accelerators=places, **options)


def test_oracle_rejects_an_accelerator_allocated_twice():
    oracle = make_oracle()
    start_job(oracle, "j1", "a", ("w0", 0))
    with pytest.raises(AssertionError, match="accelerators of j1"):
        start_job(oracle, "j2", "b", ("w0", 0))


def test_oracle_rejects_a_gang_across_aligned_cells():
    oracle = make_oracle()
    with pytest.raises(AssertionError, match="not adjacent"):
        start_job(oracle, "j1", "a", ("w0", 1), ("w1", 0), per_task=1)


def test_oracle_rejects_the_eviction_of_a_guaranteed_job():
    oracle = make_oracle(("a", 2, 1))
    start_job(oracle, "j1", "a", ("w0", 0))
    with pytest.raises(AssertionError, match="did not borrow"):
        oracle.evict("j1")


def test_oracle_counts_a_guarantee_blocked_by_protected_jobs():
    oracle = make_oracle(("a", 8, 1), ("b", 2, 1))
    start_job(oracle, "j1", "c", ("w0", 0))
    assert oracle.missing([]) == {("a", 8): 1}


def test_oracle_rejects_a_job_of_another_account_in_a_bound_cell():
    oracle = make_oracle(("a", 2, 1))
    start_job(oracle, "j1", "b", ("w0", 0))
    with pytest.raises(AssertionError, match="holds a cell"):
        oracle.check_bound([("a", 2, [("w0", 0), ("w0", 1)], ["j2"])])


def test_oracle_rejects_a_new_job_in_a_cell_of_a_removed_guarantee():
    oracle = make_oracle()
    cell = [("w0", 0), ("w0", 1)]
    start_job(oracle, "j1", "a", cell[0])
    start_job(oracle, "j2", "a", cell[1])
    with pytest.raises(AssertionError, match="grew"):
        oracle.check_grown([("a", 2, cell, ["j1"])], [("a", 2, cell, ["j1", "j2"])])
