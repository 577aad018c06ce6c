"""Planners that follow each other over model workers, a store and lossy orders."""

from bilberryhitch_jobs import JobProgress, JobState
from bilberryhitch_planner import EndKind, Planner, StartOrder, StartOutcome, StopOrder
from bilberryhitch_planner.leader_election import WORKER_LEASE_HORIZON_S
from bilberryhitch_planner.workers import CLOCK_DRIFT, LEASE_SLACK_S
from bilberryhitch_standins.simulated_fleet import SimulatedFleet, TaskProfile
from bilberryhitch_testing.planner_harness import START_UNIX_S, configuration, entry

TURN_S = 0.1
LEASE_S = 10.0
HORIZON_S = WORKER_LEASE_HORIZON_S * (1 + CLOCK_DRIFT) + LEASE_SLACK_S


class Holder:
    """One planner's tenure and what its host has in flight."""

    def __init__(self, token, planner, confirmed_at):
        self.token = token
        self.planner = planner
        self.confirmed_at = confirmed_at
        self.looked = set()
        self.lost = set()
        self.acknowledged = {}
        self.stops = []
        self.fenced = False

    @property
    def limit(self):
        return self.confirmed_at + WORKER_LEASE_HORIZON_S


class PlannerWorld:
    """A store that may be away, workers that may be cut off, orders that come late."""

    def __init__(self, workers=4):
        self.now = 0.0
        self.revision = 0
        self.store_up = True
        self.requests = {}
        self.progress = {}
        self.roster = frozenset()
        self.truths = {}
        self.cut = set()
        self.late = []
        self.late_next = 0
        self.done = set()
        self.violations = []
        self.fleet = SimulatedFleet(lambda task: self.truths[task.job])
        for number in range(workers):
            each = entry(f"w{number}", rack=f"r{number // 2}")
            self.fleet.add_worker(each)
        self.former = None
        self.leader = None
        self.take_over()

    def submit(self, request, truth):
        if not self.store_up:
            return
        self.revision += 1
        self.truths[request.job] = truth
        self.requests[request.job] = (request, self.revision)
        for holder in (self.leader, self.former):
            if holder is not None:
                self._tell(holder, request.job)

    def take_over(self):
        """Elect another planner; the former one goes on until it notices."""
        self.former = self.leader
        self.revision += 1
        until = self.former.confirmed_at + HORIZON_S if self.former else 0.0
        planner = Planner(inherited_revision=self.revision, inherited_until=until)
        planner.configure(configuration())
        self.leader = Holder(self.revision, planner, self.now)
        for name in self.roster:
            planner.add_unregistered_worker(name, now=self.now)
        for worker in self.fleet.workers.values():
            if worker.alive:
                planner.add_worker(worker.entry, now=self.now)
        for name in self.requests:
            self._tell(self.leader, name)

    def turn(self):
        """Let a tenth of a second pass for everybody."""
        self.now += TURN_S
        self.fleet.advance(self.now)
        for due, name, call in list(self.late):
            if due <= self.now:
                self.late.remove((due, name, call))
                if self.fleet.workers[name].alive:
                    call()
        for holder in (self.former, self.leader):
            if holder is not None and not holder.fenced:
                self._act(holder)
        self.violations += [f"{task} overlaps" for task in self.fleet.duplicate_runs]
        self.violations += [f"{task} has no room" for task in self.fleet.overcommitted]
        assert not self.violations, self.violations

    def crash(self, name):
        """End a worker for good; the list of machines tells of it."""
        self.fleet.workers[name].crash()
        for holder in (self.leader, self.former):
            if holder is not None:
                holder.planner.remove_ended_worker(
                    name, now=self.now, unix_s=START_UNIX_S + self.now
                )

    def _tell(self, holder, name):
        request, revision = self.requests[name]
        fresh = JobProgress(JobState.PENDING, request.account, {})
        holder.planner.add_job(
            request,
            self.progress.get(name, fresh),
            revision,
            now=self.now,
            unix_s=START_UNIX_S + self.now,
        )

    def _act(self, holder):
        for name in list(holder.planner.workers):
            if name in self.fleet.workers:
                self._look(holder, name)
        self._store(holder)
        planner = holder.planner
        planner.tick(now=self.now, unix_s=START_UNIX_S + self.now)
        for order in planner.plan(
            now=self.now,
            unix_s=START_UNIX_S + self.now,
            may_start=holder.limit - self.now > 1.5,
        ):
            if isinstance(order, StartOrder):
                self._start(holder, order)
            elif isinstance(order, StopOrder):
                holder.stops.append(order)
        for order in holder.stops:
            self._stop(holder, order)
        holder.stops = [
            order
            for order in holder.stops
            if (order.task, order.run)
            in getattr(planner.workers.get(order.worker), "runs", {})
        ]

    def _look(self, holder, name):
        model = self.fleet.workers[name]
        worker = holder.planner.workers[name]
        if name in self.cut or not model.alive:
            holder.lost.add(name)
            holder.acknowledged.pop(name, None)
            return
        lease = None
        limit = min(self.now + LEASE_S, holder.limit)
        if name in holder.looked and name not in holder.lost and limit > self.now:
            lease = worker.lease_deadline(limit, self.now)
        report = model.hold(
            token=holder.token,
            acknowledged=holder.acknowledged.get(name, 0),
            lease_until_s=lease,
            now=self.now,
        )
        if report is None:
            holder.fenced = True
            return
        holder.looked.add(name)
        holder.lost.discard(name)
        holder.planner.apply_heartbeat(
            name, report, sent_at=self.now, now=self.now, unix_s=START_UNIX_S + self.now
        )
        if report.ended and self._store(holder):
            holder.acknowledged[name] = max(end.sequence for end in report.ended)
            self.done |= {e.task for e in report.ended if e.how is EndKind.DONE}

    def _store(self, holder):
        """Store what has changed under the lease and return whether all is stored."""
        if not self.store_up or holder is not self.leader:
            return False
        for name in holder.planner.dirty:
            self.progress[name] = holder.planner.jobs[name].progress()
        holder.planner.dirty = set()
        self.revision += 1
        holder.planner.confirm_lease(self.revision)
        self.roster = holder.planner.stored_roster = frozenset(holder.planner.workers)
        holder.confirmed_at = self.now
        return True

    def _start(self, holder, order):
        model = self.fleet.workers[order.worker]
        worker = holder.planner.workers[order.worker]
        lease = worker.lease_deadline(min(self.now + LEASE_S, holder.limit), self.now)

        def apply():
            outcome = model.start(
                order.task,
                order.run,
                saved=order.checkpoint,
                token=holder.token,
                lease_until_s=lease,
                now=self.now,
            )
            if outcome is StartOutcome.STARTED and order.task in self.done:
                self.violations.append(f"{order.task} ran after its end")
            return outcome

        outcome = StartOutcome.UNKNOWN
        if self.late_next:
            self.late_next -= 1
            due = self.now + 0.5 * (1 + self.late_next)
            self.late.append((due, order.worker, apply))
        elif order.worker not in self.cut and model.alive:
            outcome = apply()
        if outcome is StartOutcome.FENCED:
            holder.fenced = True
            return
        holder.planner.apply_start_outcome(
            order,
            outcome,
            certain=outcome is not StartOutcome.UNKNOWN,
            now=self.now,
            unix_s=START_UNIX_S + self.now,
        )

    def _stop(self, holder, order):
        model = self.fleet.workers[order.worker]
        if order.worker in self.cut or not model.alive:
            return
        outcome = model.stop(order.task, order.run, token=holder.token, now=self.now)
        holder.planner.apply_stop_outcome(order, outcome, now=self.now)


def truth(work_s, demand, *, gang_size=1, save_s=0.0):
    """Return what the tasks of a job really are."""
    return TaskProfile(work_s, demand, gang_size=gang_size, checkpoint_period_s=save_s)
