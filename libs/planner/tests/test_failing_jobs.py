"""Jobs that fail, stall or are refused wherever they run, beside sound ones.

Pattern: the workers are sound. A job fails on each worker that starts it and is started
again and again. Other jobs must not be kept from the workers for that.
"""

import pytest
from bilberryhitch_jobs import (
    CrashCount,
    JobProgress,
    JobState,
    Resources,
    UnitProgress,
)
from bilberryhitch_planner import EndKind, StartOrder, StartOutcome, StopOrder
from bilberryhitch_testing.planner_harness import (
    PlannerHarness,
    ended,
    entry,
    queue,
    request,
    running,
    step,
)

BATCH = queue("batch", 2)
URGENT = queue("urgent", 0)
ROUND_S = 0.1
FAIL_S = 1.0
# The platform allows a job to wait for 3 s beside free workers, and an urgent one
# within its guarantee for 2.7 s.
ALLOWED_S = 3.0
URGENT_ALLOWED_S = 2.7


def lasting(count=1, *, gpu=1, cpu=500, **fields):
    wanted = step(count, gpu=gpu, long_running=True, **fields)
    return wanted._replace(demand=Resources(cpu, 500, gpu), estimate_s=1.0)


class Site:
    """Workers that carry out each order at once.

    :param fails: returns after how many seconds a run fails; None if it does not
    :ivar began_at: time of the first start, by job
    :ivar starts: time, task and worker of each start
    """

    def __init__(self, workers, fails, **options):
        entries = [
            each
            if not isinstance(each, str)
            else entry(each, f"r{number // 2}", labels=frozenset({"a", each}))
            for number, each in enumerate(workers)
        ]
        self.harness = PlannerHarness(*entries, **options)
        self.fails = fails
        self.stalled = set()
        self.refused = set()
        self.began_at = {}
        self.starts = []
        self._runs = {each.worker: {} for each in entries}
        self._ends = {each.worker: [] for each in entries}
        self._sequences = dict.fromkeys(self._runs, 0)
        self._beat()

    @property
    def now(self):
        return self.harness.now

    def submit(self, job):
        self.harness.add(job)

    def advance(self, seconds):
        until = self.harness.now + seconds
        while self.harness.now < until - ROUND_S / 2:
            self.harness.now += ROUND_S
            self._beat()
            self._carry_out(self.harness.plan())

    def waited_s(self, job, since):
        """Return after how long a job began; infinity if it did not."""
        return self.began_at.get(job, float("inf")) - since

    def _beat(self):
        for name, runs in self._runs.items():
            for key, (order, since) in list(runs.items()):
                self._end_run(name, key, order, self.now - since)
            listed = [
                running(order, self._percent(*run))
                for run in runs.values()
                for order in [run[0]]
            ]
            ends, self._ends[name] = self._ends[name], []
            self.harness.send_heartbeat(name, listed, ends)

    def _end_run(self, name, key, order, age_s):
        job = order.task.job
        if job in self.stalled:
            return
        fail_s = self.fails(order.task, name)
        wanted = self.harness.planner.jobs[job].request.steps[order.task.step]
        if fail_s is not None and age_s >= fail_s - 1e-6:
            self._list_end(name, key, EndKind.FAILED)
        elif not wanted.long_running and age_s >= wanted.estimate_s:
            self._list_end(name, key, EndKind.DONE)

    def _list_end(self, name, key, how):
        order, _ = self._runs[name].pop(key)
        self._sequences[name] += 1
        self._ends[name].append(ended(order, how, self._sequences[name]))

    def _percent(self, order, since):
        if order.task.job in self.stalled:
            return 0.0
        return min(100.0, 10.0 + 50.0 * (self.now - since))

    def _carry_out(self, orders):
        for order in orders:
            name, key = order.worker, (order.task, order.run)
            if isinstance(order, StopOrder):
                if key in self._runs[name]:
                    self._list_end(name, key, EndKind.STOPPED)
                self.harness.answer_stop(order)
            elif isinstance(order, StartOrder):
                self._start(order, name, key)

    def _start(self, order, name, key):
        job = order.task.job
        if job in self.refused:
            self.harness.answer_start(order, StartOutcome.REFUSED)
            return
        self.began_at.setdefault(job, self.now)
        self.starts.append((self.now, order.task, name))
        self._runs[name][key] = (order, self.now)
        self.harness.answer_start(order)


def names(count):
    return [f"w{number}" for number in range(count)]


def fails_always(task, _worker):
    return FAIL_S if task.job.startswith("bad") else None


BAD_JOBS = {
    "one task on each worker": [lasting(8, max_tasks_per_worker=1)],
    "half of the workers": [lasting(4, max_tasks_per_worker=1)],
    "packed tasks": [lasting(32)],
    "most accelerators": [lasting(40)],
    "one task": [lasting()],
    "gang": [lasting(8, gang=True, max_tasks_per_worker=1)],
    "gangs on two workers": [lasting(2, gpu=8, gang=True)] * 3,
    "many jobs": [lasting()] * 12,
    "two jobs": [lasting(8, max_tasks_per_worker=1)] * 2,
}


@pytest.mark.parametrize("route", [BATCH, URGENT], ids=["patient", "urgent"])
@pytest.mark.parametrize("kind", BAD_JOBS)
def test_lasting_tasks_that_fail_everywhere_leave_the_workers_to_others(kind, route):
    """Guards against workers that are all kept from other jobs for good, as tasks that
    last fail on each of them.
    """
    site = Site(names(8), fails_always)
    for number, wanted in enumerate(BAD_JOBS[kind]):
        site.submit(request(f"bad{number}", wanted, route=BATCH))
    site.advance(10.0)
    for number in range(5):
        began = site.now
        job = f"sound{number}"
        site.submit(request(job, step(), route=route, account="b"))
        site.advance(ALLOWED_S)
        assert site.waited_s(job, began) < ALLOWED_S, job


@pytest.mark.parametrize("workers", [1, 2])
def test_a_job_that_fails_on_the_few_workers_it_may_use_leaves_them_to_others(workers):
    """Guards against workers that are kept from all but the failing job, as no others
    can show whose fault it is.
    """
    site = Site(names(workers), fails_always)
    for number in range(3):
        wanted = lasting(workers, max_tasks_per_worker=1)
        site.submit(request(f"bad{number}", wanted, route=BATCH))
    site.advance(10.0)
    for number in range(5):
        began = site.now
        site.submit(request(f"sound{number}", step(), route=BATCH, account="b"))
        site.advance(ALLOWED_S + 2.5)
        assert site.waited_s(f"sound{number}", began) < ALLOWED_S


def test_failing_tasks_that_are_let_in_do_not_prolong_a_quarantine():
    """Guards against a worker that is closed to ordinary jobs for good, as tasks that
    last are let in on it after a while and fail there.
    """
    site = Site(["w0", "w1"], fails_always)
    half = lasting(gpu=1, cpu=30_000, required_label="w1")
    site.submit(request("filler", half, route=BATCH))
    site.submit(request("bad", lasting(required_label="w0"), route=BATCH))
    site.advance(10.0)
    for number in range(3):
        began = site.now
        job = f"sound{number}"
        site.submit(request(job, step(gpu=4), route=BATCH, account="b"))
        site.advance(12.0)
        assert site.waited_s(job, began) < 9.0


def test_an_urgent_job_within_its_guarantee_passes_quarantines():
    """Guards against a guarantee that is not kept, as all workers are in quarantine."""
    site = Site(["w0", "w1"], fails_always, guaranteed=8)
    patient = step(2, gpu=1, max_tasks_per_worker=1)._replace(
        estimate_s=300.0, demand=Resources(24_000, 1_000, 1)
    )
    site.submit(request("patient", patient, route=BATCH, account="b"))
    for number in range(4):
        wanted = lasting(2, max_tasks_per_worker=1)
        site.submit(request(f"bad{number}", wanted, route=BATCH, account="b"))
    site.advance(10.0)
    for number in range(4):
        began = site.now
        site.submit(request(f"urgent{number}", step(gpu=4), route=URGENT))
        site.advance(5.0)
        assert site.waited_s(f"urgent{number}", began) < URGENT_ALLOWED_S


@pytest.mark.parametrize("count", [1, 4, 8, 24])
def test_a_job_that_stalls_everywhere_leaves_the_workers_to_others(count):
    """Guards against workers that are all kept from other jobs for good, as tasks of
    one job make no progress on any of them and are moved on again and again.
    """
    site = Site(names(8), fails_always)
    site.stalled.add("bad")
    wanted = step(count)._replace(estimate_s=1.0)
    site.submit(request("bad", wanted, route=BATCH))
    site.advance(20.0)
    for number in range(5):
        began = site.now
        site.submit(request(f"sound{number}", step(), route=BATCH, account="b"))
        site.advance(ALLOWED_S)
        assert site.waited_s(f"sound{number}", began) < ALLOWED_S


def test_a_job_whose_starts_are_refused_everywhere_leaves_the_workers_to_others():
    """Guards against workers that are all kept from other jobs for good, as the starts
    of one job are refused on each of them.
    """
    site = Site(names(8), fails_always)
    site.refused.add("bad")
    site.submit(request("bad", step(64), route=URGENT))
    site.advance(10.0)
    for number in range(5):
        began = site.now
        site.submit(request(f"sound{number}", step(), route=BATCH, account="b"))
        site.advance(ALLOWED_S)
        assert site.waited_s(f"sound{number}", began) < ALLOWED_S


FAULTY = frozenset({"w0", "w1"})
SOUND_JOBS = {
    "single tasks": step(6),
    "tasks apart": step(4, max_tasks_per_worker=1),
    "gang": step(12, gang=True),
    "lasting tasks": lasting(4, max_tasks_per_worker=1),
}


@pytest.mark.parametrize("kind", SOUND_JOBS)
def test_workers_that_fail_all_they_start_are_avoided(kind):
    """Guards against workers that fail work after work, as their failures are taken
    for those of the jobs.
    """

    def fails(_task, worker):
        return 0.5 if worker in FAULTY else None

    site = Site(names(8), fails)
    for number in range(20):
        wanted = SOUND_JOBS[kind]
        # Four of the others have room for no more jobs that last.
        if number < 8 or not wanted.long_running:
            job = request(f"job{number}", wanted, route=queue("batch", 2, attempts=9))
            site.submit(job)
        site.advance(1.0)
    wasted = [at for at, _, worker in site.starts if worker in FAULTY]
    assert len([at for at in wasted if at > 10.0]) <= len(FAULTY) * 4


def test_sound_jobs_do_not_clear_a_worker_that_fails_them():
    """Guards against a worker that is let off too soon: its failures count again once
    the job that failed there has done well on others.
    """

    def fails(_task, worker):
        return 0.5 if worker == "w0" else None

    site = Site(["w0", "w1"], fails)
    for number in range(4):
        site.submit(request(f"job{number}", step(8), route=queue("batch", 2, 9)))
        site.advance(4.0)
    assert all(job.finished for job in site.harness.planner.jobs.values())
    assert sum(worker == "w0" for _, _, worker in site.starts) <= 24


def test_suspects_that_fail_by_themselves_let_others_in():
    """Guards against workers that are all kept from other jobs for good, as tasks that
    may have crashed a worker run alone there, fail soon, and begin anew.
    """
    site = Site(names(8), fails_always)
    wanted = lasting(8, max_tasks_per_worker=1)
    job = request("bad", wanted, route=URGENT)
    unit = UnitProgress(False, 1, crashes={0: CrashCount(1, 1)})
    units = {(0, 0, index): unit for index in range(8)}
    site.harness.add(job, JobProgress(JobState.RUNNING, job.account, units))
    site.advance(10.0)
    for number in range(5):
        began = site.now
        site.submit(request(f"sound{number}", step(), route=BATCH, account="b"))
        site.advance(ALLOWED_S)
        assert site.waited_s(f"sound{number}", began) < ALLOWED_S
