"""No wait without an end: random pools, jobs and crashes, judged by the rule for waits.

Some worlds have jobs that fail or stall wherever they run, or whose starts are refused,
and planners that are replaced.

The oracle goes by the orders alone. While a job has nothing running, there is room for
its next unit twice over and less than half of each resource is in use, it must start
within 3 s; a long-running task however much is in use. The first holds once all jobs
have been there for 14 s, the second after 7 s without a crash or the loss of a planner.
"""

import random

import pytest
from bilberryhitch_jobs import Resources, decode_progress, encode_progress
from bilberryhitch_planner import EndKind, StartOrder, StartOutcome, StopOrder
from bilberryhitch_testing.planner_harness import (
    CAPACITY,
    PlannerHarness,
    ended,
    entry,
    queue,
    request,
    running,
    step,
)

TRAFFIC_S, END_S, ROUND_S = 20.0, 45.0, 0.25
FINISH_S, CALM_S, ALLOWED_S = 14.0, 7.0, 3.0
# How long a planner waits at most for what an earlier one may have started.
INHERITED_S = 12.0
LASTING_START_S = 6.0
QUEUES = (queue("urgent", 0), queue("long", 1), queue("batch", 2))


class World:
    """Workers that carry out a planner's orders and crash at random moments.

    :param bad_share: share of the jobs that do not run well on any worker
    :param takeovers: number of times that the planner is replaced
    :ivar late: units that waited for too long, with the time at which that was seen
    """

    def __init__(self, seed, bad_share=0.0, takeovers=0):
        self.rng = random.Random(seed)
        self.bad_rng = random.Random(seed + 1_000)
        self.bad_share = bad_share
        self.takeovers = takeovers
        self.requests = {}
        self.fail_s = {}
        self.stalled, self.refused = set(), set()
        count = self.rng.randint(3, 10)
        self.names = [f"w{number}" for number in range(count)]
        self.harness = PlannerHarness(
            *(entry(name, f"r{n // 3}") for n, name in enumerate(self.names))
        )
        self.born = dict.fromkeys(self.names, 1)
        self.back_at = {}
        self.runs = {name: {} for name in self.names}
        self.ends = {name: [] for name in self.names}
        self.sequences = dict.fromkeys(self.names, 0)
        self.stops = []
        self.work_s = {}
        self.last_run_at = {}
        self.waits_since = {}
        self.disturbed_at = float("-inf")
        self.late = set()

    def play(self):
        """Play the traffic and the calm after it."""
        self._beat()
        submit_at = sorted(
            self.rng.uniform(0.0, TRAFFIC_S) for _ in range(self.rng.randint(3, 25))
        )
        crash_at = sorted(
            self.rng.uniform(1.0, TRAFFIC_S) for _ in range(self.rng.randint(0, 16))
        )
        takeover_at = sorted(
            self.bad_rng.uniform(1.0, TRAFFIC_S) for _ in range(self.takeovers)
        )
        while self.harness.now < END_S:
            self.harness.now += ROUND_S
            while takeover_at and takeover_at[0] <= self.harness.now:
                takeover_at.pop(0)
                self._take_over()
            while submit_at and submit_at[0] <= self.harness.now:
                submit_at.pop(0)
                self._submit(len(submit_at))
            while crash_at and crash_at[0] <= self.harness.now:
                crash_at.pop(0)
                self._crash()
            self._return_workers()
            self._beat()
            self._carry_out(self.harness.plan())
            if self.refused:
                # A start that is refused is followed by another round at once.
                self._carry_out(self.harness.plan())
            self._judge()

    def _submit(self, number):
        rng, lasting = self.rng, self.rng.random() < 0.35
        gang = rng.random() < 0.4
        estimate_s = rng.uniform(0.5, 8.0)
        fields = {"gang": gang, "long_running": lasting}
        if rng.random() < 0.3:
            fields["data_rack"] = rng.choice(["r0", "r1"])
        if gang and rng.random() < 0.5:
            fields["same_rack"] = True
        if not gang and rng.random() < 0.5:
            fields["max_tasks_per_worker"] = 1
        demand = Resources(
            rng.choice([1_000, 4_000, 16_000]), 1_000, rng.choice([0, 1, 1, 2, 4, 8])
        )
        wanted = step(rng.randint(1, 6), **fields)
        wanted = wanted._replace(demand=demand, estimate_s=estimate_s)
        job = f"job{number}"
        self.work_s[job] = (
            float("inf") if lasting else estimate_s * rng.choice([0.3, 1.0, 1.0, 4.0])
        )
        self.requests[job] = request(job, wanted, route=rng.choice(QUEUES))
        self.harness.add(self.requests[job])
        if self.bad_rng.random() < self.bad_share:
            self._spoil(job)

    def _spoil(self, job):
        """Let a job fail or stall wherever it runs, or let its starts be refused."""
        how = self.bad_rng.choice(["fails", "fails", "stalls", "refused"])
        if how == "fails":
            self.fail_s[job] = self.bad_rng.choice([0.25, 1.0, 5.0])
        else:
            (self.stalled if how == "stalls" else self.refused).add(job)

    def _take_over(self):
        """Replace the planner by one that knows what was stored and nothing else."""
        former, now = self.harness.planner, self.harness.now
        stored = {
            name: decode_progress(name, encode_progress(job.progress()))
            for name, job in former.jobs.items()
            if job.started
        }
        self.harness = PlannerHarness(
            inherited_revision=200, inherited_until=now + INHERITED_S
        )
        self.harness.now = now
        for name in former.workers:
            self.harness.planner.add_unregistered_worker(name, now=now)
        for name, job in self.requests.items():
            self.harness.add(job, stored.get(name))
        for number, name in enumerate(self.names):
            self.harness.planner.add_worker(entry(name, f"r{number // 3}"), now=now)
        self.stops = []
        # The loss of a planner disturbs as much as that of a worker.
        self.disturbed_at = now

    def _crash(self):
        up = [name for name in self.names if name not in self.back_at]
        if len(up) < 2:
            return
        name = self.rng.choice(up)
        self.disturbed_at = self.harness.now
        self.back_at[name] = self.harness.now + self.rng.uniform(0.3, 2.0)
        self.runs[name], self.ends[name] = {}, []

    def _return_workers(self):
        for name, at in list(self.back_at.items()):
            if at <= self.harness.now:
                del self.back_at[name]
                self.born[name] += 1
                self.sequences[name] = 0

    def _beat(self):
        for name in self.names:
            if name in self.back_at:
                continue
            self._end_done_runs(name)
            listed = [
                running(order, self._percent(order, since))
                for order, since in self.runs[name].values()
            ]
            ends, self.ends[name] = self.ends[name], []
            self.harness.send_heartbeat(name, listed, ends, born_ms=self.born[name])

    def _percent(self, order, since):
        if order.task.job in self.stalled:
            return 0.0
        elapsed_s = self.harness.now - since
        return min(100.0, 100.0 * elapsed_s / min(1e3, self.work_s[order.task.job]))

    def _end_done_runs(self, name):
        for key, (order, since) in list(self.runs[name].items()):
            job, elapsed_s = order.task.job, self.harness.now - since
            if elapsed_s >= self.fail_s.get(job, float("inf")):
                del self.runs[name][key]
                self._list_end(name, order, EndKind.FAILED)
            elif job not in self.stalled and elapsed_s >= self.work_s[job]:
                del self.runs[name][key]
                self._list_end(name, order, EndKind.DONE)

    def _list_end(self, name, order, how):
        self.sequences[name] += 1
        self.ends[name].append(ended(order, how, self.sequences[name]))

    def _carry_out(self, orders):
        self.stops += [order for order in orders if isinstance(order, StopOrder)]
        waiting, self.stops = self.stops, []
        for order in waiting:
            if order.worker in self.back_at:
                self.stops.append(order)
                continue
            found = self.runs[order.worker].pop((order.task, order.run), None)
            if found is not None:
                self._list_end(order.worker, found[0], EndKind.STOPPED)
            self.harness.answer_stop(order)
        for order in orders:
            if not isinstance(order, StartOrder):
                continue
            if order.worker in self.back_at or order.task.job in self.refused:
                self.harness.answer_start(order, StartOutcome.REFUSED)
                continue
            now = self.harness.now
            self.runs[order.worker][order.task, order.run] = (order, now)
            self.last_run_at[order.task] = now
            self.harness.answer_start(order)

    def _judge(self):
        """Note the units that wait although the rule says that they must start."""
        now, due = self.harness.now, set()
        active = {task for runs in self.runs.values() for task, _ in runs}
        for task in active:
            self.last_run_at[task] = now
        free = {name: self._free(name) for name in self.names}
        underused = all(
            2 * sum(parts) > len(self.names) * whole
            for parts, whole in zip(
                zip(*free.values(), strict=True), CAPACITY, strict=True
            )
        )
        for job in self.harness.planner.jobs.values():
            if job.finished or job.request.job in self.refused:
                continue
            (units,) = (each.units.values() for each in job.steps.values())
            open_units = [unit for unit in units if not unit.done]
            names = {unit: {unit.task(i) for i in unit.task_indexes} for unit in units}
            idle = not any(names[unit] & active for unit in units)
            for unit in open_units:
                if names[unit] & active or not self._has_room_twice(unit, free):
                    continue
                if unit.step.step.long_running:
                    last = max(self.last_run_at.get(task, -1e9) for task in names[unit])
                    calm = now - self.disturbed_at > CALM_S - ALLOWED_S
                    wrong = calm and now - last > LASTING_START_S
                else:
                    wrong = idle and underused and now > TRAFFIC_S + FINISH_S
                if wrong:
                    due.add(unit)
        self.waits_since = {unit: self.waits_since.get(unit, now) for unit in due}
        for unit, since in self.waits_since.items():
            if now - since > ALLOWED_S:
                self.late.add((unit.task(unit.task_indexes[0]), now))

    def _free(self, name):
        if name in self.back_at:
            return Resources()
        free = CAPACITY
        for order, _ in self.runs[name].values():
            demand = self.harness.planner.jobs[order.task.job].demand_of(order.task)
            free = free.minus(demand)
        return free

    def _has_room_twice(self, unit, free):
        wanted, room = unit.step.step, 0
        for name, left in free.items():
            fits = min(
                have // need
                for have, need in zip(left, wanted.demand, strict=True)
                if need
            )
            if wanted.max_tasks_per_worker:
                beside = sum(
                    task.job == unit.step.job.request.job for task, _ in self.runs[name]
                )
                fits = min(fits, max(0, wanted.max_tasks_per_worker - beside))
            room += fits
        return room >= 2 * len(unit.task_indexes)


@pytest.mark.parametrize("seed", [*range(1, 41), 104, 107, 292])
def test_no_unit_waits_without_an_end(seed):
    """Guards against any rule that keeps workers from work without a bound in time."""
    world = World(seed)
    world.play()
    assert world.late == set()


@pytest.mark.parametrize("seed", range(1, 41))
def test_no_unit_waits_without_an_end_beside_jobs_that_fail_everywhere(seed):
    """Guards against failures, stalls, refusals and crashes that keep workers from
    work without a bound in time, whatever jobs they come from, across takeovers.
    """
    world = World(seed, bad_share=0.5, takeovers=seed % 3)
    world.play()
    assert world.late == set()


def test_the_oracle_rejects_a_wait_without_an_end():
    world = World(1)
    world.names = ["w0"]
    world.harness.add(request("lasting", step(long_running=True)))
    world.harness.now = 1.0
    while world.harness.now < 20.0:
        world.harness.now += ROUND_S
        world._judge()
    assert world.late
