"""Forecasts when the runs of a worker free enough of it for the tasks of a gang."""

import math

from bilberryhitch_jobs import Resources, Step

from .placement import slots
from .runs import Run, RunState
from .workers import Worker

# Below this progress the rate is too uncertain; the run time estimate is used.
MIN_PROGRESS_PERCENT = 5.0
# A stop takes less than this, regardless of the remaining work.
STOP_DURATION_S = 0.5

DemandKey = tuple[Resources, int, bool]


class Forecast:
    """Expected ends of a worker's runs, computed once for all waiting gangs.

    :param now: monotonic time in seconds
    :ivar lasts: it holds until the worker changes; a forecast with runs that are being
        stopped holds for one scheduling round
    :ivar made_at: monotonic time at which it was made
    """

    __slots__ = (
        "_capacity",
        "_ends",
        "_exclusive",
        "_found",
        "_free",
        "lasts",
        "made_at",
    )

    def __init__(self, worker: Worker, now: float) -> None:
        runs = worker.runs.values()
        self.lasts = all(run.state is not RunState.STOPPING for run in runs)
        self.made_at = now
        self._capacity = worker.entry.capacity
        self._exclusive = worker.exclusive
        self._free = worker.free
        self._ends = sorted(
            ((_expected_end(run, now), run.demand) for run in runs),
            key=lambda end: end[0],
        )
        self._found: dict[DemandKey, tuple[float, int]] = {}

    @property
    def idle_at(self) -> float:
        """Monotonic time at which the last run ends; minus infinity without runs.

        Infinity with a long-running one, which never ends by itself.
        """
        return self._ends[-1][0] if self._ends else float("-inf")

    def available_at(self, step: Step, key: DemandKey) -> tuple[float, int]:
        """Return when as many tasks of a step fit as the worker can hold.

        :param key: the step's ``demand_key``
        :returns: monotonic time, minus infinity if they fit already, and number of
            tasks
        """
        found = self._found.get(key)
        if found is None:
            found = self._found[key] = self._search(step)
        return found

    def _search(self, step: Step) -> tuple[float, int]:
        most = slots(self._capacity, step)
        if self._exclusive:
            return self.idle_at, most
        free_at, free = float("-inf"), self._free
        for end, demand in self._ends:
            if slots(free, step) >= most or end == math.inf:
                break
            free_at, free = end, free.plus(demand)
        return free_at, slots(free, step)


def demand_key(step: Step) -> DemandKey:
    """Return what a worker's forecast for a step depends on, besides the worker."""
    most_tasks = step.max_tasks_per_worker or step.task_count
    return step.demand, most_tasks, step.uses_idle_cpu


def forecast(worker: Worker, now: float) -> Forecast:
    """Return the forecast for a worker; a new one only if its runs have changed."""
    known = worker.forecast
    if known is None or not (known.lasts or known.made_at == now):
        known = worker.forecast = Forecast(worker, now)
    return known


def _expected_end(run: Run, now: float) -> float:
    """Return the monotonic time at which a run should end; overdue ones lie before."""
    if run.state is RunState.STOPPING:
        return now + STOP_DURATION_S
    if run.unit and run.unit.step.step.long_running:
        return math.inf
    if run.percent >= MIN_PROGRESS_PERCENT and not (run.unit and run.unit.checkpoint):
        length_s = (run.advanced_at - run.ordered_at) * 100.0 / run.percent
    else:
        length_s = run.unit.step.step.estimate_s if run.unit else 0.0
    return run.ordered_at + length_s
