"""Learns the speeds of machines from the progress of their workers' runs.

A machine has a lasting speed, estimated in ``machine_speed``, and at times a passing
disturbance: all its runs are much slower than each was before, or than its speed and
its step's length let expect. Progress under a disturbance tells nothing of the lasting
speed and is left out of it.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from .machine_speed import (
    UNEVENNESS,
    MachineSpeed,
    RunPace,
    StepLength,
)
from .runs import Run, RunState
from .units import Unit
from .workers import Worker

COMPLETE_PERCENT = 100.0
# Runs are looked at once in this time; a worker answers more often when runs end.
MIN_INTERVAL_S = 0.3
# A run's own rate is compared with its earlier one from this progress on.
MIN_OWN_PERCENT = 6.0
# Below this speed a worker counts as slow and is avoided; no lasting speed is as low.
SLOW_WORKER_SPEED = 0.45
# A disturbance begins when the runs are certainly slower than by the first factor, and
# ends when they are not slower than by the second.
DISTURBED, UNDISTURBED = math.log(0.6), math.log(0.75)
CERTAIN_ERRORS = 1.5
# Runs that are certainly faster than by this factor were disturbed before.
RECOVERED = math.log(1.6)
MAX_DISTURBANCE = math.log(10.0)
# A step whose length is known less well shows no disturbance.
MAX_LENGTH_ERROR = 0.3
# Disturbances last for some seconds. What lasts longer is the machine's speed.
MAX_DISTURBANCE_S = 10.0
# A disturbance of which nothing has been seen for the first time fades with the second.
EVIDENCE_LASTS_S = 1.2
FADE_S = 2.5
FADED = -0.05
DISTURBED_ERROR = 0.3
# Error of whole percents, at both ends of an interval.
INTERVAL_PERCENT_ERROR = 0.41
# Factor by which a distant rack slows tasks, as far as it is known.
DISTANT_FACTOR = 3.0
# What was stored may be some seconds old.
LOADED_ERROR = 0.05
CENTRE_PERIOD_S = 1.0
FADE_PERIOD_S = 0.1


class _Progress(NamedTuple):
    """Progress of a run since it was last looked at.

    :param percent: progress made
    :param expected: progress expected without a disturbance
    :param variance: of the logarithm of what was expected
    :param own: what was expected follows from the run's own earlier progress
    """

    pace: RunPace
    percent: float
    time_s: float
    expected: float
    variance: float
    own: bool

    @property
    def telling(self) -> bool:
        """Whether what was expected is known from more than the stated estimate."""
        return self.own or self.pace.pair.length.variance < MAX_LENGTH_ERROR**2


class MachineSpeeds:
    """Speeds of all machines, by machine, or by worker if that is not known.

    :ivar machines: what is known of each
    """

    def __init__(self) -> None:
        self.machines: dict[str, MachineSpeed] = {}
        self._average = 0.0
        self._centred_at = self._faded_at = float("-inf")

    def load(self, name: str, mean: float, error: float) -> None:
        """Add what an earlier planner has stored of a machine.

        :param mean: logarithm of its speed, 0 for the average machine
        :param error: standard deviation of that logarithm
        """
        error = math.hypot(error, LOADED_ERROR)
        self.machines[name] = MachineSpeed(mean + self._average, error)

    def relative(self, machine: MachineSpeed) -> float:
        """Return the logarithm of a lasting speed, 0 for the average machine."""
        return machine.mean - self._average

    def bind(self, worker: Worker) -> None:
        """Give a worker the speed of its machine."""
        name = machine_name(worker)
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines.pop(worker.entry.worker, None)
            machine = machine or MachineSpeed(self._average)
            self.machines[name] = machine
        if worker.machine_speed is not machine:
            worker.machine_speed = machine
            for run in worker.runs.values():
                run.pace = None
        self._apply(worker)

    def observe_runs(
        self, worker: Worker, workers: Mapping[str, Worker], now: float
    ) -> None:
        """Learn from the progress of a worker's runs, after a heartbeat reply.

        :param workers: all workers, by identifier
        """
        clock_s = worker.clock_s
        if 0 <= clock_s - worker.observed_s < MIN_INTERVAL_S:
            return
        worker.observed_s = clock_s
        machine = worker.machine_speed
        progress = [
            each
            for run in worker.runs.values()
            if (each := _look_at(run, worker, workers)) is not None
        ]
        if progress:
            _learn(machine, worker, progress, now)
        _settle_steps(worker)
        machine.update()
        self._apply(worker)

    def tick(self, workers: Mapping[str, Worker], now: float) -> None:
        """Let disturbances fade of which nothing is seen any more."""
        elapsed_s = now - self._faded_at
        if elapsed_s < FADE_PERIOD_S:
            return
        self._faded_at = now
        for worker in workers.values():
            machine = worker.machine_speed
            if machine.disturbance and now - machine.disturbed_at > EVIDENCE_LASTS_S:
                machine.disturbance *= math.exp(-min(elapsed_s, FADE_S) / FADE_S)
                if machine.disturbance > FADED:
                    machine.disturbance = 0.0
                self._apply(worker)
        if self.machines and now - self._centred_at > CENTRE_PERIOD_S:
            self._centred_at = now
            total = sum(machine.mean for machine in self.machines.values())
            self._average = total / len(self.machines)

    def _apply(self, worker: Worker) -> None:
        machine = worker.machine_speed
        worker.speed = math.exp(self.relative(machine) + machine.disturbance)
        extra = DISTURBED_ERROR**2 if machine.disturbance else 0.0
        worker.speed_error = math.sqrt(machine.variance + extra)


def machine_name(worker: Worker) -> str:
    """Return the name under which the speed of a worker's machine is kept."""
    return worker.entry.machine or worker.entry.worker


def observe_end(worker: Worker, run: Run) -> None:
    """Learn from a run that is done, before it is removed from its worker.

    The end of a gang shows nothing: its members are listed as done when the last is.
    """
    pace, unit = run.pace, run.unit
    if pace is None or pace.seen_s is None or unit is None or unit.step.step.gang:
        return
    time_s = worker.clock_s - pace.seen_s
    percent = COMPLETE_PERCENT - pace.seen_percent
    if time_s <= 0 or percent <= 0 or worker.machine_speed.disturbance:
        return
    if pace.percent >= MIN_OWN_PERCENT:
        change = math.log(percent / time_s / pace.rate)
        if change < DISTURBED:
            return
    pace.add(percent, time_s)


def _look_at(
    run: Run, worker: Worker, workers: Mapping[str, Worker]
) -> _Progress | None:
    """Return the progress of a run since it was last looked at; None without any."""
    if run.state is not RunState.RUNNING or run.unit is None:
        return None
    pace, clock_s = run.pace, worker.clock_s
    if pace is None:
        pace = run.pace = _begin_pace(run, run.unit, worker, workers)
        if pace is None:
            return None
    before, run_percent = pace.seen_percent, run.percent
    seen_s = pace.seen_s
    pace.seen_percent = run_percent
    if seen_s is None or seen_s > clock_s or run_percent < before:
        # It counts from the first progress on, as it may have begun late.
        pace.seen_s = clock_s if run_percent > before else None
        return None
    pace.seen_s = clock_s
    if run_percent >= COMPLETE_PERCENT or clock_s == seen_s:
        return None
    time_s = clock_s - seen_s
    machine, length = worker.machine_speed, pace.pair.length
    if pace.percent >= MIN_OWN_PERCENT:
        expected = pace.rate * time_s
        return _Progress(
            pace, run_percent - before, time_s, expected, pace.variance, True
        )
    expected = 100 * time_s * math.exp(machine.mean - length.mean)
    variance = machine.variance + length.variance + UNEVENNESS**2
    return _Progress(pace, run_percent - before, time_s, expected, variance, False)


def _begin_pace(
    run: Run, unit: Unit, worker: Worker, workers: Mapping[str, Worker]
) -> RunPace | None:
    """Return the pace of a run that is looked at for the first time.

    :returns: None for a run that tells nothing, or a gang that is not complete yet
    """
    step = unit.step.step
    if step.long_running or step.uses_idle_cpu:
        return None
    members = unit.runs.values()
    if len(members) < len(unit.task_indexes):
        return None
    if any(member.state is RunState.ORDERED for member in members):
        return None
    racks = {
        workers[member.worker].entry.rack
        for member in members
        if member.worker in workers
    }
    distant = (step.same_rack and len(racks) > 1) or (
        bool(step.data_rack) and worker.entry.rack != step.data_rack
    )
    length = unit.step.lengths.get(distant)
    if length is None:
        factor = DISTANT_FACTOR if distant else 1.0
        length = unit.step.lengths[distant] = StepLength(
            step.estimate_s * factor, unit.step.is_over
        )
    pair = worker.machine_speed.pair(length)
    starts = [member.started_at for member in members]
    if run.resumed or any(start is None for start in starts):
        return RunPace(pair, run.percent, None)
    started_at = max(start for start in starts if start is not None)
    return RunPace(pair, 0.0, worker.clock_at(started_at))


def _learn(
    machine: MachineSpeed, worker: Worker, progress: list[_Progress], now: float
) -> None:
    """Tell disturbed from undisturbed progress, and count the latter."""
    telling = [each for each in progress if each.telling]
    change, error = _change(telling) if telling else (machine.disturbance, 0.0)
    if machine.disturbance:
        if not telling:
            return
        machine.disturbed_at = now
        if change > UNDISTURBED:
            machine.disturbance = 0.0
        elif now - machine.disturbed_since > MAX_DISTURBANCE_S:
            machine.disturbance = 0.0
            _start_again(machine, worker)
        else:
            machine.disturbance = change
        return
    if change + CERTAIN_ERRORS * error < DISTURBED:
        machine.disturbance = change
        machine.disturbed_since = machine.disturbed_at = now
        return
    if change - CERTAIN_ERRORS * error > RECOVERED:
        _start_again(machine, worker)
    for each in progress:
        each.pace.add(each.percent, each.time_s)


def _change(progress: list[_Progress]) -> tuple[float, float]:
    """Return by how much runs are faster than expected: a logarithm and its error."""
    percent = expected = own_variance = unknown = unknown_variance = 0.0
    for each in progress:
        percent += each.percent
        expected += each.expected
        if each.own:
            own_variance += each.expected**2 * each.variance
        else:
            # The errors of a machine's and a step's estimates are common to runs.
            unknown += each.expected
            unknown_variance = max(unknown_variance, each.variance)
    rounding = INTERVAL_PERCENT_ERROR**2 * len(progress)
    variance = (rounding + own_variance) / expected**2
    variance += unknown_variance * (unknown / expected) ** 2
    half = INTERVAL_PERCENT_ERROR
    change = math.log((percent + half) / (expected + half))
    return min(max(change, -MAX_DISTURBANCE), MAX_DISTURBANCE), math.sqrt(variance)


def _start_again(machine: MachineSpeed, worker: Worker) -> None:
    """Forget what was learnt under conditions that no longer hold."""
    machine.doubt()
    for run in worker.runs.values():
        if run.pace is not None:
            run.pace.restart(machine.pair(run.pace.pair.length))


def _settle_steps(worker: Worker) -> None:
    """Settle the evidence of steps that are over."""
    machine = worker.machine_speed
    lengths = machine.lengths()
    if not lengths:
        return
    live = {run.pace.pair.length for run in worker.runs.values() if run.pace}
    for length in lengths:
        if length not in live and length.over():
            machine.settle(length)
