"""Run times observed per client account and kind of work."""

from bisect import bisect_left, insort
from collections import deque

RUNS_NEEDED = 5  # fewer runs say less than the declared time
RUNS_KEPT = 64  # newest runs that count, so that a change of the work shows


class _Runs:
    __slots__ = ("newest", "ordered")

    def __init__(self) -> None:
        self.newest: deque[float] = deque()
        self.ordered: list[float] = []


class Estimates:
    """Quantiles of run times in seconds, by client account and kind."""

    def __init__(self) -> None:
        self._runs: dict[tuple[str, str], _Runs] = {}

    def observe(self, client_account: str, kind: str, run_s: float) -> None:
        """Record the run time of a finished job."""
        runs = self._runs.setdefault((client_account, kind), _Runs())
        runs.newest.append(run_s)
        insort(runs.ordered, run_s)
        if len(runs.newest) > RUNS_KEPT:
            oldest = runs.newest.popleft()
            del runs.ordered[bisect_left(runs.ordered, oldest)]

    def quantile(
        self, client_account: str, kind: str, declared_s: float, share: float
    ) -> float:
        """Return a run-time quantile in seconds.

        :param declared_s: returned until a few runs were observed
        :param share: between 0 and 1, as 0.9 for p90
        """
        runs = self._runs.get((client_account, kind))
        if runs is None or len(runs.ordered) < RUNS_NEEDED:
            return declared_s
        last = len(runs.ordered) - 1
        return runs.ordered[min(last, int(share * len(runs.ordered)))]
