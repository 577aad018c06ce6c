"""Tasks that crash the workers that start them, and workers that crash by themselves.

Pattern: a task ends its worker by its start. The worker is back after some seconds,
under its identifier or another one; its other tasks are lost with it. Planners are
killed in between.
"""

import pytest
from bilberryhitch_jobs import (
    CrashCount,
    JobProgress,
    JobState,
    Placement,
    Schedule,
    UnitProgress,
    decode_progress,
    encode_progress,
)
from bilberryhitch_jobs.progress import MAX_BYTES_WITH_PLACEMENTS
from bilberryhitch_planner import EndKind, StartOrder, StopOrder
from bilberryhitch_planner.units import MAX_CRASHES, MAX_CRASHES_ALONE
from bilberryhitch_testing.planner_harness import (
    START_UNIX_S,
    PlannerHarness,
    ended,
    entry,
    queue,
    request,
    running,
    step,
)

# Starts after the third crash of a task, of which one fewer is allowed.
FORBIDDEN_STARTS = 3
RESTART_S = 5.0
ROUND_S = 0.5
LIMIT_S = 120.0
KINDS = {
    "urgent task": request("deadly", step()),
    "batch task": request("deadly", step(3), route=queue("batch", 2)),
    "urgent gang": request("deadly", step(4, gang=True)),
    "wide gang": request("deadly", step(10, gpu=2, gang=True), route=queue("batch", 2)),
    "long-running task": request("deadly", step(long_running=True)),
    "long-running gang": request("deadly", step(3, gang=True, long_running=True)),
    "second step": request("deadly", step(), step(depends_on=(0,))),
    "scheduled job": request(
        "deadly", step(), schedule=Schedule(2, START_UNIX_S, 1000.0)
    ),
    "task limited per worker": request("deadly", step(4, max_tasks_per_worker=1)),
    "task with checkpoints": request("deadly", step(saves_progress=True)),
}


class Site:
    """Workers of which the ones that start a deadly task crash, and their planners.

    :param is_deadly: tells whether a task crashes the worker that starts it
    :param same_identifier: crashed workers come back under their identifier
    :ivar starts: start orders by task, with the number of crashes under it before
    :ivar beside: tasks that were started on a worker beside a run of another job
    """

    def __init__(self, is_deadly, *, workers=6, same_identifier=False):
        self.is_deadly = is_deadly
        self.same_identifier = same_identifier
        self.harness = PlannerHarness(*(entry(f"w{n}") for n in range(workers)))
        self.born = {f"w{n}": 1 for n in range(workers)}
        self.back_at = {}
        self.requests = {}
        self.crashes = {}
        self.starts = {}
        self.beside = set()
        self.running = {}
        self.sequences = {}
        self.stopped = []
        self.unanswered_stops = []
        self.finish_at = {}
        self.work_s = 2.0
        self._beat()

    def submit(self, job):
        self.requests[job.job] = job
        self.harness.add(job)

    def advance(self, seconds, *, stop=lambda: False):
        until = self.harness.now + seconds
        while self.harness.now < until and not stop():
            self.harness.now += ROUND_S
            self._return_workers()
            self._answer_stops()
            self._beat()
            self._carry_out(self.harness.plan())

    def take_over(self):
        """Replace the planner by one that knows what was stored and nothing else."""
        former = self.harness.planner
        stored = {
            name: decode_progress(name, encode_progress(job.progress()))
            for name, job in former.jobs.items()
            if job.started
        }
        roster = former.workers
        successor = PlannerHarness(inherited_revision=200, inherited_until=0.0)
        successor.now = self.harness.now
        successor.planner._inherited_until = successor.now + 12.0
        for name in roster:
            successor.planner.add_unregistered_worker(name, now=successor.now)
        self.harness = successor
        for name, job in self.requests.items():
            successor.add(job, stored.get(name))
        for name in self.born:
            if name not in self.back_at:
                successor.planner.add_worker(entry(name), now=successor.now)

    def confirm_ends(self):
        """Tell the planner which workers have certainly ended."""
        for name in set(self.harness.planner.workers) - set(self.born):
            self._remove(name)

    def _carry_out(self, orders):
        for order in orders:
            runs = self.running.get(order.worker, {})
            if isinstance(order, StopOrder):
                self.unanswered_stops.append(order)
                if (order.task, order.run) in runs:
                    self.stopped.append(runs.pop((order.task, order.run)))
        self._answer_stops()
        self._start([order for order in orders if isinstance(order, StartOrder)])

    def _start(self, orders):
        for order in orders:
            name = order.worker
            if name in self.back_at or name not in self.born:
                continue
            task = order.task
            self.starts.setdefault(task, []).append(self.crashes.get(task, 0))
            runs = self.running.setdefault(name, {})
            if any(other.job != task.job for other, _ in runs):
                self.beside.add(task)
            runs[task, order.run] = order
            self.harness.answer_start(order)
            self.finish_at[task, order.run] = self.harness.now + self.work_s
        for name in {order.worker for order in orders}:
            deadly = [
                task for task, _ in self.running.get(name, {}) if self.is_deadly(task)
            ]
            if deadly:
                self.crash(name, deadly)

    def _answer_stops(self):
        """Answer the stops of the workers that are up; the others are repeated."""
        up = self.born.keys() - self.back_at.keys()
        for order in self.unanswered_stops:
            if order.worker in up:
                self.harness.answer_stop(order)
        self.unanswered_stops = [
            order for order in self.unanswered_stops if order.worker not in up
        ]

    def _next_sequence(self, name):
        key = (name, self.born[name])
        self.sequences[key] = self.sequences.get(key, 0) + 1
        return self.sequences[key]

    def crash(self, name, under=()):
        for task in under:
            self.crashes[task] = self.crashes.get(task, 0) + 1
        self.running.pop(name, None)
        self.back_at[name] = self.harness.now + RESTART_S
        if not self.same_identifier:
            del self.born[name]
            self._remove(name)

    def _remove(self, name):
        harness = self.harness
        harness.planner.remove_ended_worker(
            name, now=harness.now, unix_s=START_UNIX_S + harness.now
        )

    def _return_workers(self):
        for name, at in list(self.back_at.items()):
            if at > self.harness.now:
                continue
            del self.back_at[name]
            if self.same_identifier:
                self.born[name] += 1
                continue
            new = f"{name}'"
            self.born[new] = 1
            self.harness.planner.add_worker(entry(new), now=self.harness.now)

    def _beat(self):
        now = self.harness.now
        for name, born in self.born.items():
            if name in self.back_at:
                continue
            stopped = [order for order in self.stopped if order.worker == name]
            self.stopped = [order for order in self.stopped if order not in stopped]
            ends = [
                ended(order, EndKind.STOPPED, self._next_sequence(name))
                for order in stopped
            ]
            for (task, run), order in list(self.running.get(name, {}).items()):
                if self.finish_at[task, run] <= now:
                    del self.running[name][task, run]
                    ends.append(ended(order, sequence=self._next_sequence(name)))
            listed = [
                running(order, percent=now)
                for order in self.running.get(name, {}).values()
            ]
            self.harness.send_heartbeat(name, listed, ends, born_ms=born)


def is_of_deadly_job(task):
    return task.job == "deadly"


def assert_given_up(site):
    assert site.harness.state("deadly") is JobState.FAILED
    for task, crashes in site.starts.items():
        after_three = [before for before in crashes if before >= 3]
        assert len(after_three) < FORBIDDEN_STARTS, (task, crashes)


@pytest.mark.parametrize("same_identifier", [False, True])
@pytest.mark.parametrize("kind", KINDS)
def test_a_task_that_crashes_its_workers_is_given_up(kind, same_identifier):
    """Guards against one task that crashes worker after worker, whatever its kind and
    however its workers come back.
    """
    site = Site(is_of_deadly_job, same_identifier=same_identifier)
    site.submit(KINDS[kind])
    site.advance(LIMIT_S)
    assert_given_up(site)


def test_a_single_deadly_member_of_a_gang_is_found():
    site = Site(lambda task: task.job == "deadly" and task.ordinal == 2)
    site.submit(request("deadly", step(4, gpu=8, gang=True)))
    site.advance(LIMIT_S)
    assert_given_up(site)


@pytest.mark.parametrize("same_identifier", [False, True])
@pytest.mark.parametrize("kind", KINDS)
def test_crashes_are_counted_across_planners(kind, same_identifier):
    """Guards against a count that each new planner begins anew."""
    site = Site(is_of_deadly_job, same_identifier=same_identifier)
    site.submit(KINDS[kind])
    for _ in range(12):
        site.advance(RESTART_S * 2, stop=lambda: sum(site.crashes.values()) % 2)
        site.take_over()
        site.confirm_ends()
    site.advance(LIMIT_S)
    assert_given_up(site)


def crash_seen_by_successor(how, stored_born=7):
    """Return a job of which a former planner had placed the run on ``w0``."""
    harness = PlannerHarness(inherited_revision=200, inherited_until=12.0)
    harness.planner.add_unregistered_worker("w0", now=0.0)
    unit = UnitProgress(False, 1, placements={0: Placement("w0", stored_born)})
    stored = JobProgress(JobState.RUNNING, "a", {(0, 0, 0): unit})
    stored = decode_progress("j", encode_progress(stored))
    harness.add(request("j", step()), stored)
    if how == "gone":
        harness.planner.remove_ended_worker("w0", now=1.0, unix_s=START_UNIX_S)
    elif how == "lapsed":
        harness.now = 13.0
        harness.plan()
    else:
        harness.planner.add_worker(entry("w0"), now=0.0)
        harness.send_heartbeat("w0", born_ms={"reborn": 9, "same": 7}[how])
    (unit,) = harness.planner.jobs["j"].units
    return unit


@pytest.mark.parametrize(
    ("how", "total"), [("gone", 1), ("lapsed", 1), ("reborn", 1), ("same", 0)]
)
def test_a_successor_counts_a_crash_that_its_predecessor_did_not_see(how, total):
    """Guards against crashes that are lost with the planner that gave the order."""
    unit = crash_seen_by_successor(how)
    assert unit.crashes.get(0, CrashCount()).total == total
    assert not unit.placements


def test_a_placement_on_a_worker_that_is_no_longer_known_counts_as_a_crash():
    """Guards against crashes that are lost if a planner is killed after it has removed
    the worker from the roster and before it has stored the count.
    """
    harness = PlannerHarness(inherited_revision=200, inherited_until=12.0)
    unit = UnitProgress(False, 1, placements={0: Placement("w0", 7)})
    stored = JobProgress(JobState.RUNNING, "a", {(0, 0, 0): unit})
    harness.add(request("j", step()), stored)
    (unit,) = harness.planner.jobs["j"].units
    assert unit.crashes[0].total == 1


def test_a_sound_neighbour_of_deadly_tasks_is_done():
    """Guards against a job that is given up for its neighbour's crash."""
    site = Site(is_of_deadly_job, workers=4)
    site.submit(request("sound", step(6), route=queue("batch", 2)))
    site.submit(request("gang", step(3, gang=True)))
    site.submit(request("deadly", step(3), route=queue("batch", 2)))
    site.advance(LIMIT_S)
    assert_given_up(site)
    assert site.harness.state("sound") is JobState.COMPLETED
    assert site.harness.state("gang") is JobState.COMPLETED
    for task, crashes in site.starts.items():
        if task.job == "deadly":
            assert len(crashes) <= 1 + MAX_CRASHES_ALONE


def test_nothing_is_placed_beside_a_task_that_may_crash_its_worker():
    """Guards against work that is lost with each crash of a known suspect."""
    site = Site(is_of_deadly_job, workers=3)
    site.submit(request("deadly", step(), route=queue("batch", 2)))
    site.advance(2 * ROUND_S)
    assert site.crashes
    for number in range(12):
        site.submit(request(f"sound{number}", step(2), route=queue("batch", 2)))
        site.advance(ROUND_S)
    site.advance(LIMIT_S)
    assert_given_up(site)
    assert not {task for task in site.beside if task.job == "deadly"}


def test_a_suspect_gets_an_idle_worker_in_a_busy_pool():
    """Guards against a suspect that waits for ever as every worker runs something."""
    site = Site(is_of_deadly_job, workers=3)
    site.submit(request("deadly", step(), route=queue("batch", 2)))
    site.advance(2 * ROUND_S)
    for number in range(60):
        site.submit(request(f"batch{number}", step(5), route=queue("batch", 2)))
        site.advance(ROUND_S)
    site.advance(LIMIT_S)
    assert_given_up(site)


def test_a_suspect_runs_beside_others_if_no_worker_can_become_idle():
    """Guards against a job that waits for ever in a pool that is mostly idle, as a
    long-running task keeps each worker busy.
    """
    site = Site(lambda task: False, workers=2)
    site.work_s = 1000.0
    lasting = step(2, max_tasks_per_worker=1, long_running=True)
    site.submit(request("lasting", lasting))
    site.advance(2 * ROUND_S)
    crashed = UnitProgress(False, 1, crashes={0: CrashCount(1, 1, 0)})
    stored = JobProgress(JobState.RUNNING, "a", {(0, 0, 0): crashed})
    site.harness.add(request("suspect", step()), stored)
    site.advance(5.0)
    (unit,) = site.harness.planner.jobs["suspect"].units
    assert unit.runs


@pytest.mark.parametrize("announced", ["draining", "upkeep"])
def test_the_announced_end_of_a_worker_is_no_crash(announced):
    """Guards against jobs that are given up as their workers leave or have upkeep."""
    harness = PlannerHarness(entry("w0"))
    harness.send_heartbeat("w0", born_ms=1)
    harness.add(request("j", step()))
    harness.start_all()
    if announced == "draining":
        harness.planner.add_worker(entry("w0", draining=True), now=harness.now)
    else:
        harness.planner.cordoned = frozenset({"w0"})
    harness.planner.remove_ended_worker("w0", now=0.5, unix_s=START_UNIX_S)
    (unit,) = harness.planner.jobs["j"].units
    assert not unit.crashes


@pytest.mark.parametrize("same_identifier", [False, True])
def test_a_sound_job_outlives_workers_that_crash_by_themselves(same_identifier):
    """Guards against a job that is given up as workers go down and up by turns."""
    site = Site(lambda task: False, workers=4, same_identifier=same_identifier)
    site.work_s = 6.0
    site.submit(request("sound", step(2, saves_progress=True)))
    for number in range(8):
        site.advance(1.5)
        flapping = [name for name in site.born if name not in site.back_at][:1]
        if number % 2 == 0 and flapping:
            site.crash(flapping[0])
    site.advance(LIMIT_S)
    assert site.harness.state("sound") is JobState.COMPLETED


def test_a_long_running_task_is_not_given_up_for_crashes_months_apart():
    """Guards against services that are given up after their hosts have failed often
    enough over a long time.
    """
    site = Site(lambda task: False, workers=4)
    site.work_s = 10_000.0
    site.submit(request("service", step(long_running=True)))
    for _ in range(2 * MAX_CRASHES):
        site.advance(RESTART_S)
        (name,) = (name for name, runs in site.running.items() if runs)
        site.harness.now += 400.0
        site._beat()
        site.crash(name)
    site.advance(RESTART_S)
    assert site.harness.state("service") is JobState.RUNNING


def test_a_row_of_an_earlier_version_has_neither_crashes_nor_placements():
    """Guards against a takeover between different versions that loses progress."""
    units = {(0, 0, 0): UnitProgress(False, 3, (1, 2), "c")}
    value = encode_progress(JobProgress(JobState.RUNNING, "a", units))
    # An array of seven elements, of which earlier versions write the first four.
    assert value[0] == 0x97
    earlier = bytes([0x94]) + value[1:-3]
    assert decode_progress("j", earlier).units == units


def test_progress_too_large_for_a_row_is_stored_without_placements():
    """Guards against a planner that can store nothing, as one row is too large."""
    units = {
        (0, 0, index): UnitProgress(
            False, 1, (), "c" * 34, {}, {index: Placement(f"i-{index:010x}", 2**41)}
        )
        for index in range(1_200)
    }
    progress = JobProgress(JobState.RUNNING, "a", units)
    value = encode_progress(progress)
    assert len(value) <= MAX_BYTES_WITH_PLACEMENTS
    read = decode_progress("j", value)
    assert all(unit.last_run == 1 for unit in read.units.values())


def test_a_reply_without_the_time_of_the_start_is_no_restart():
    """Guards against runs that are started again elsewhere while they go on."""
    harness = PlannerHarness(entry("w0"))
    harness.send_heartbeat("w0", born_ms=1)
    harness.add(request("j", step()))
    (order,) = harness.start_all()
    harness.now = 0.5
    harness.send_heartbeat("w0", [running(order)], born_ms=0)
    (unit,) = harness.planner.jobs["j"].units
    assert unit.runs
    assert not unit.crashes


def test_a_successor_starts_a_suspect_on_an_idle_worker():
    """Guards against a suspect that is placed beside others right after a takeover, as
    it has waited since long before.
    """
    harness = PlannerHarness(*(entry(f"w{n}") for n in range(4)))
    for name in ("w0", "w1", "w2", "w3"):
        harness.send_heartbeat(name)
    harness.now = 10.0
    harness.send_all_heartbeats()
    harness.add(request("other", step()))
    (busy,) = harness.start_all()
    crashed = UnitProgress(False, 2, crashes={0: CrashCount(2, 2, 1)})
    stored = JobProgress(JobState.RUNNING, "a", {(0, 0, 0): crashed})
    harness.add(request("suspect", step()), stored, revision=0)
    (unit,) = harness.planner.jobs["suspect"].units
    unit.waiting_since = 0.0
    (order,) = harness.plan_starts()
    assert order.worker != busy.worker


def test_a_successor_does_not_place_a_suspect_beside_others_at_once():
    """Guards against a suspect that counts the time before a takeover as time for which
    no worker has become idle.
    """
    harness = PlannerHarness(entry("w0"), entry("w1"))
    for name in ("w0", "w1"):
        harness.send_heartbeat(name)
    harness.now = 10.0
    harness.send_all_heartbeats()
    harness.add(request("others", step(2, max_tasks_per_worker=1)))
    assert len(harness.start_all()) == 2
    crashed = UnitProgress(False, 2, crashes={0: CrashCount(2, 2, 1)})
    stored = JobProgress(JobState.RUNNING, "a", {(0, 0, 0): crashed})
    harness.add(request("suspect", step()), stored, revision=0)
    (unit,) = harness.planner.jobs["suspect"].units
    unit.waiting_since = 0.0
    assert harness.plan_starts() == []
    harness.now = 13.0
    harness.send_all_heartbeats()
    assert len(harness.plan_starts()) == 1


def test_a_guarantee_is_reclaimed_from_a_suspect_that_runs_alone():
    """Guards against a guarantee that a patient suspect blocks, as nothing may run
    beside it.
    """
    harness = PlannerHarness(entry("w0"), guaranteed=8)
    harness.send_heartbeat("w0")
    crashed = UnitProgress(False, 2, crashes={0: CrashCount(1, 1, 0)})
    stored = JobProgress(JobState.RUNNING, "b", {(0, 0, 0): crashed})
    patient = request("suspect", step(), route=queue("batch", 2), account="b")
    harness.add(patient, stored)
    (order,) = harness.start_all()
    harness.now = 1.0
    harness.send_all_heartbeats()
    harness.add(request("urgent", step(gpu=2)))
    stops = []
    for _ in range(4):
        harness.now += 0.1
        harness.send_all_heartbeats()
        stops += [each for each in harness.plan() if isinstance(each, StopOrder)]
    assert [stop.task for stop in stops] == [order.task]
    harness.send_heartbeat("w0", ended=[ended(order, EndKind.STOPPED)])
    assert [each.task.job for each in harness.plan_starts()][:1] == ["urgent"]


@pytest.mark.parametrize(("born", "total"), [(1, 0), (2, 1)])
def test_a_lapsed_lease_counts_once_the_worker_is_seen_to_have_crashed(born, total):
    """Guards against jobs that are given up for partitions, and against crashes that
    are not counted as the worker could not be looked up in time.
    """
    harness = PlannerHarness(entry("w0"), entry("w1"))
    harness.send_heartbeat("w0", born_ms=1)
    harness.add(request("j", step()))
    harness.start_all()
    harness.now = 12.0
    harness.plan()
    (unit,) = harness.planner.jobs["j"].units
    assert not unit.runs
    assert not unit.crashes
    harness.now = 13.0
    harness.send_heartbeat("w0", born_ms=born)
    assert unit.crashes.get(0, CrashCount()).total == total
