"""Rules shared by the state machines for jobs: calls, time and faults."""

from bilberryhitch_model.errors import NotRun
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .harness import Counts
from .oracle_point5_jobs import JobFacts
from .world_point2_gangs import World

processes = st.sampled_from("ab")
workers = st.sampled_from(["w0", "w1", "w2"])
# Jobs of "any" are idempotent, so they may run again; those of "once" are not. With
# "-save" they can also save and resume their state.
routes = st.sampled_from(["any", "once", "any-save", "once-save"])


class GangRules(RuleBasedStateMachine):
    """Submits and cancels jobs on two entry hosts and three workers, with faults."""

    counts = Counts()
    world_class = World

    def __init__(self):
        super().__init__()
        self.world = self.world_class(processes=2, workers=3, accelerators=4)
        self.keyed = {}
        self.faults = 0
        self.counts.histories += 1
        self.world.advance(3)

    @rule(
        route=routes,
        tasks=st.integers(1, 4),
        accelerators=st.integers(1, 3),
        seconds=st.sampled_from([0.5, 4.0, 15.0, 40.0]),
        fail=st.sampled_from([False, False, False, True]),
        settle_s=st.sampled_from([0.0, 0.1, 1.5, 4.0]),
    )
    def submit(self, *, route, tasks, accelerators, seconds, fail, settle_s):
        call = self.world.call(route, tasks, accelerators, seconds, fail=fail)
        for name in "ab":
            if not self.world.answers.get(call.caller):
                self._accept(call, name)
        self.world.advance(settle_s)

    def submit_one(self, route, seconds, *, tasks=1, settle_s=0.0):
        """Submit with defaults, for hand-written histories."""
        self.submit(
            route=route,
            tasks=tasks,
            accelerators=3,
            seconds=seconds,
            fail=False,
            settle_s=settle_s,
        )

    def advance_to(self, kind):
        """Advance until a worker has recorded an event of this kind."""
        while not any(event.kind == kind for event in self.world.events()):
            self.world.advance(0.001)

    @rule(
        route=routes,
        sizes=st.lists(st.integers(1, 3), min_size=1, max_size=2),
        settle_s=st.sampled_from([0.06, 0.5, 3.5]),
    )
    def submit_burst(self, route, sizes, settle_s):
        for tasks in sizes:
            self._accept(self.world.call(route, tasks, 3, 5.0), "a")
            self._accept(self.world.call(route, tasks + 1, 2, 2.0), "b")
        self.world.advance(settle_s)

    @rule(key=st.sampled_from("xy"), through=processes)
    def submit_with_key(self, key, through):
        if key not in self.keyed:
            self.keyed[key] = self.world.call("once", tasks=2, key=key)
        self._accept(self.keyed[key], through)

    def _accept(self, call, through):
        if self.world.processes[through].alive:
            self.world.spawn(self.world.accept(call, through))
            self.world.advance(0.02)

    @rule(seconds=st.sampled_from([0.003, 0.05, 0.3, 1.0, 3.0, 6.0, 12.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(job=st.integers(0, 5), through=processes)
    def cancel(self, job, through):
        jobs = list(self.world.records())
        if jobs and self.world.processes[through].alive:
            job_id = jobs[-1 - job % len(jobs)]
            self.world.spawn(self.world.cancel(job_id, through))
            self.world.advance(0.004)

    @rule(through=processes)
    def cancel_wave(self, through):
        unfinished = [
            record
            for record in self.world.records().values()
            if record.state != "finished"
        ]
        if len(unfinished) > 4 and self.world.processes[through].alive:
            for job_id in self.world.records():
                self.world.spawn(self.world.cancel(job_id, through))

    @rule(job=st.integers(0, 3))
    def evict(self, job):
        for name in self.world.holders():
            process = self.world.processes[name]
            running = sorted(process.scheduler._placed)
            if running:
                process.scheduler.to_evict.append(running[job % len(running)])

    @rule(process=processes)
    def kill(self, process):
        self._inject_fault()
        self.world.processes[process].kill()

    @rule(process=processes, steps=st.integers(1, 12))
    def kill_after_steps(self, process, steps):
        self._inject_fault()
        target = self.world.processes[process]
        target.at_step(steps, target.kill)

    @rule(process=processes)
    def boot(self, process):
        if not self.world.processes[process].alive:
            self.world.processes[process].boot()

    @rule(process=processes, pause=st.booleans())
    def pause_process(self, process, pause):
        self._inject_fault()
        tables = self.world.processes[process].tables
        if pause:
            tables.pause()
        else:
            tables.resume()

    @rule(process=processes, down=st.booleans(), slow_s=st.sampled_from([0.0, 0.4]))
    def store(self, process, down, slow_s):
        self._inject_fault()
        tables = self.world.processes[process].tables
        tables.down, tables.slow_s = down, slow_s

    @rule(process=processes, answers=st.integers(1, 4))
    def lose_store_answers(self, process, answers):
        self._inject_fault()
        self.world.processes[process].tables.lose_answers = answers

    @rule(process=processes, worker=workers)
    def cut(self, process, worker):
        self._inject_fault()
        self.world.processes[process].cut ^= {worker}

    @rule(worker=workers, starts=st.booleans())
    def refuse_or_fail(self, worker, starts):
        self._inject_fault()
        model = self.world.workers[worker].model
        if starts:
            model.refuse_starts = not model.refuse_starts
        else:
            model.fail_everything = not model.fail_everything

    @rule(worker=workers, lost=st.integers(0, 2), late=st.integers(0, 1))
    def lose_worker_answers(self, worker, lost, late):
        self._inject_fault()
        self.world.workers[worker].lose_answers = lost
        self.world.workers[worker].late_starts = late

    @rule(worker=workers)
    def pause_worker(self, worker):
        self._inject_fault()
        self.world.workers[worker].paused ^= True

    @rule(worker=workers)
    def restart_worker(self, worker):
        self._inject_fault()
        self.world.workers[worker].model.restart()

    @rule(worker=workers, ignore=st.booleans())
    def ignore_checkpoint(self, worker, ignore):
        self.world.workers[worker].model.ignore_checkpoint = ignore

    @rule()
    def heal(self):
        self.world.heal()

    @invariant()
    def planners_have_not_failed(self):
        self.counts.steps += 1
        self.world.check_tasks()

    def teardown(self):
        try:
            self.check()
            self.world.heal()
            unfinished = self.world.drain()
            self.world.check_tasks()
            self.check()
            assert not unfinished, f"not finished after healing: {unfinished}"
        finally:
            self.world.close()

    def check(self):
        raise NotImplementedError

    def _inject_fault(self):
        """Count a fault; every third one first ends all earlier faults.

        Otherwise faults pile up and no job can run for most of a history.
        """
        self.counts.faults += 1
        self.faults += 1
        if self.faults % 3 == 0:
            self.world.heal()
            self.world.advance(1.0)


def accelerators_by_job(world):
    """Return the number of accelerators of each whole gang, by job id."""
    return {
        job_id: record.shape.tasks * record.shape.accelerators
        for job_id, record in world.records().items()
    }


def job_facts(world):
    """Return the stored state of each job, for the oracle."""
    return {
        job_id: JobFacts(
            record.caller,
            record.key,
            not record.idempotent,
            record.shape.tasks * record.shape.accelerators,
            record.status,
            record.detail,
        )
        for job_id, record in world.records().items()
    }


def not_run_callers(world):
    """Return the callers whose every answer was ``NotRun``."""
    return {
        caller
        for caller, answers in world.answers.items()
        if all(each.is_error() and isinstance(each.error, NotRun) for each in answers)
    }
