"""Run-time estimates from observed runs, by client account and kind of work."""

from bisect import bisect_left, insort
from collections import deque

MIN_RUNS = 5  # with fewer runs the declared time is the better estimate
MAX_RUNS_KEPT = 64  # only the newest runs count, to follow changes of the work


class _RunTimes:
    """Run times in seconds, by time of observation and sorted."""

    __slots__ = ("newest", "ordered")

    def __init__(self) -> None:
        self.newest: deque[float] = deque()
        self.ordered: list[float] = []


class RunTimeEstimates:
    """Quantiles of run times in seconds, by client account and kind."""

    def __init__(self) -> None:
        self._runs: dict[tuple[str, str], _RunTimes] = {}

    def observe(self, client_account: str, kind: str, run_s: float) -> None:
        """Record the run time of a completed job, in seconds."""
        runs = self._runs.setdefault((client_account, kind), _RunTimes())
        runs.newest.append(run_s)
        insort(runs.ordered, run_s)
        if len(runs.newest) > MAX_RUNS_KEPT:
            oldest = runs.newest.popleft()
            del runs.ordered[bisect_left(runs.ordered, oldest)]

    def quantile(
        self, client_account: str, kind: str, declared_s: float, fraction: float
    ) -> float:
        """Return a run-time quantile in seconds.

        :param declared_s: returned until ``MIN_RUNS`` runs were observed
        :param fraction: the quantile between 0 and 1, such as 0.9 for p90
        """
        runs = self._runs.get((client_account, kind))
        if runs is None or len(runs.ordered) < MIN_RUNS:
            return declared_s
        last = len(runs.ordered) - 1
        return runs.ordered[min(last, int(fraction * len(runs.ordered)))]
