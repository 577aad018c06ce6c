"""Simulates successive planners over model workers, a store and delayed orders."""

from bilberryhitch_jobs import JobProgress, JobState
from bilberryhitch_planner import EndKind, Planner, StartOrder, StartOutcome, StopOrder
from bilberryhitch_planner.leader_election import WORKER_LEASE_HORIZON_S
from bilberryhitch_planner.workers import CLOCK_DRIFT, LEASE_SLACK_S
from bilberryhitch_standins.simulated_fleet import SimulatedFleet, TaskProfile
from bilberryhitch_testing.planner_harness import START_UNIX_S, configuration, entry

TURN_S = 0.1
LEASE_S = 10.0
MAX_WORKER_LEASE_S = WORKER_LEASE_HORIZON_S * (1 + CLOCK_DRIFT) + LEASE_SLACK_S


class LeaseHolder:
    """A planner with its lease, and the calls that its host has in flight."""

    def __init__(self, token, planner, confirmed_at):
        self.token = token
        self.planner = planner
        self.confirmed_at = confirmed_at
        self.contacted = set()
        self.unreachable = set()
        self.acknowledged = {}
        self.stops = []
        self.fenced = False

    @property
    def lease_limit(self):
        return self.confirmed_at + WORKER_LEASE_HORIZON_S


class PlannerWorld:
    """A planner and its successors, with faults.

    The store can be unavailable, workers unreachable and start orders delayed.
    """

    def __init__(self, workers=4):
        self.now = 0.0
        self.revision = 0
        self.last_commit = 0
        self.store_up = True
        self.requests = {}
        self.progress = {}
        self.roster = frozenset()
        self.profiles = {}
        self.cut = set()
        self.delayed_orders = []
        self.orders_to_delay = 0
        self.finished_tasks = set()
        self.violations = []
        self.fleet = SimulatedFleet(lambda task: self.profiles[task.job])
        for number in range(workers):
            each = entry(f"w{number}", rack=f"r{number // 2}")
            self.fleet.add_worker(each)
        self.former_leader = None
        self.leader = None
        self.take_over()

    def submit(self, request, profile):
        if not self.store_up:
            return
        self.revision += 1
        self.profiles[request.job] = profile
        self.requests[request.job] = (request, self.revision)
        for holder in (self.leader, self.former_leader):
            if holder is not None:
                self._add_job(holder, request.job)

    def take_over(self):
        """Elect another planner; the former leader continues until it is fenced."""
        self.former_leader = self.leader
        self.revision += 1
        former_commit, self.last_commit = self.last_commit, self.revision
        until = (
            self.former_leader.confirmed_at + MAX_WORKER_LEASE_S
            if self.former_leader
            else 0.0
        )
        planner = Planner(inherited_revision=self.revision, inherited_until=until)
        planner.limit_inheritance(former_commit)
        planner.configure(configuration())
        self.leader = LeaseHolder(self.revision, planner, self.now)
        for name in self.roster:
            planner.add_unregistered_worker(name, now=self.now)
        for worker in self.fleet.workers.values():
            if worker.alive:
                planner.add_worker(worker.entry, now=self.now)
        for name in self.requests:
            self._add_job(self.leader, name)

    def turn(self):
        """Advance the clock, the workers and both planners by ``TURN_S``."""
        self.now += TURN_S
        self.fleet.advance(self.now)
        for due, name, call in list(self.delayed_orders):
            if due <= self.now:
                self.delayed_orders.remove((due, name, call))
                if self.fleet.workers[name].alive:
                    call()
        for holder in (self.former_leader, self.leader):
            if holder is not None and not holder.fenced:
                self._run_turn(holder)
        self.violations += [f"{task} overlaps" for task in self.fleet.duplicate_runs]
        self.violations += [
            f"{task} is overcommitted" for task in self.fleet.overcommitted
        ]
        assert not self.violations, self.violations

    def crash(self, name):
        """End a worker permanently; the planners learn it from the host list."""
        self.fleet.workers[name].crash()
        for holder in (self.leader, self.former_leader):
            if holder is not None:
                holder.planner.remove_ended_worker(
                    name, now=self.now, unix_s=START_UNIX_S + self.now
                )

    def _add_job(self, holder, name):
        request, revision = self.requests[name]
        fresh = JobProgress(JobState.PENDING, request.account, {})
        holder.planner.add_job(
            request,
            self.progress.get(name, fresh),
            revision,
            now=self.now,
            unix_s=START_UNIX_S + self.now,
        )

    def _run_turn(self, holder):
        for name in list(holder.planner.workers):
            if name in self.fleet.workers:
                self._exchange_heartbeat(holder, name)
        self._store_progress(holder)
        planner = holder.planner
        planner.tick(now=self.now, unix_s=START_UNIX_S + self.now)
        for order in planner.plan(
            now=self.now,
            unix_s=START_UNIX_S + self.now,
            may_start=holder.lease_limit - self.now > 1.5,
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

    def _exchange_heartbeat(self, holder, name):
        model = self.fleet.workers[name]
        worker = holder.planner.workers[name]
        if name in self.cut or not model.alive:
            holder.unreachable.add(name)
            holder.acknowledged.pop(name, None)
            return
        lease = None
        limit = min(self.now + LEASE_S, holder.lease_limit)
        if (
            name in holder.contacted
            and name not in holder.unreachable
            and limit > self.now
        ):
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
        holder.contacted.add(name)
        holder.unreachable.discard(name)
        holder.planner.apply_heartbeat(
            name, report, sent_at=self.now, now=self.now, unix_s=START_UNIX_S + self.now
        )
        if report.ended and self._store_progress(holder):
            holder.acknowledged[name] = max(end.sequence for end in report.ended)
            self.finished_tasks |= {
                e.task for e in report.ended if e.how is EndKind.DONE
            }

    def _store_progress(self, holder):
        """Store changed jobs and renew the lease; return whether that succeeded."""
        if not self.store_up or holder is not self.leader:
            return False
        for name in holder.planner.dirty:
            self.progress[name] = holder.planner.jobs[name].progress()
        holder.planner.dirty = set()
        self.revision += 1
        self.last_commit = self.revision
        holder.planner.confirm_lease(self.revision)
        self.roster = holder.planner.stored_roster = frozenset(holder.planner.workers)
        holder.confirmed_at = self.now
        return True

    def _start(self, holder, order):
        model = self.fleet.workers[order.worker]
        worker = holder.planner.workers[order.worker]
        lease = worker.lease_deadline(
            min(self.now + LEASE_S, holder.lease_limit), self.now
        )

        def apply():
            outcome = model.start(
                order.task,
                order.run,
                saved=order.checkpoint,
                token=holder.token,
                lease_until_s=lease,
                now=self.now,
            )
            if outcome is StartOutcome.STARTED and order.task in self.finished_tasks:
                self.violations.append(
                    f"{order.task} was started after it had finished"
                )
            return outcome

        outcome = StartOutcome.UNKNOWN
        if self.orders_to_delay:
            self.orders_to_delay -= 1
            due = self.now + 0.5 * (1 + self.orders_to_delay)
            self.delayed_orders.append((due, order.worker, apply))
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


def task_profile(work_s, demand, *, gang_size=1, save_s=0.0):
    """Return the actual work and demand of a job's tasks."""
    return TaskProfile(work_s, demand, gang_size=gang_size, checkpoint_period_s=save_s)
