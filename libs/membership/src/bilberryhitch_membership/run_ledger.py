"""Which runs of one host are known to be leaving."""

MAX_RUNS = 16


class RunLedger:
    """Runs of a host (boots, or incarnations of its process) in first-seen order.

    Run ids have no order of their own, and the sources lag: an older run may be
    reported after a newer one. The newest run is therefore the one that was
    seen first last, and closing a run closes every run seen before it.

    :param hold_s: how long a run that is not known to be leaving counts as
        leaving after a run never seen here was closed. It may be the older of
        the two, shown by a source that lags behind the closer's; 0 for no hold
    """

    def __init__(self, hold_s: float = 0.0) -> None:
        self._hold_s = hold_s
        self._seen: list[str] = []
        self._closed: dict[str, None] = {}
        self._held_until_s = 0.0

    @property
    def current(self) -> str | None:
        """The newest run, or ``None``."""
        return self._seen[-1] if self._seen else None

    @property
    def marks(self) -> tuple[str, ...]:
        """Leaving runs that others should know; empty once a newer run is open."""
        superseded = self.current not in self._closed and all(
            run in self._seen for run in self._closed
        )
        return () if superseded else tuple(sorted(self._closed))

    def observe(self, run: str) -> None:
        """Note that a source shows ``run``."""
        if run in self._seen:
            return
        self._seen.append(run)
        del self._seen[:-MAX_RUNS]
        self._held_until_s = 0.0
        if run in self._closed:
            self._close_seen_up_to(run)

    def close(self, run: str, now_s: float) -> bool:
        """Note that ``run`` is leaving.

        :returns: whether this says something new about the newest run
        """
        if run in self._closed:
            return False
        news = run not in self._seen or run == self.current
        self._closed[run] = None
        if run in self._seen:
            self._close_seen_up_to(run)
        elif self._seen:
            self._held_until_s = now_s + self._hold_s
        while len(self._closed) > MAX_RUNS:
            del self._closed[next(iter(self._closed))]
        return news

    def is_leaving(self, now_s: float) -> bool:
        """Whether the newest run is leaving."""
        if self.current is None:
            return bool(self._closed)
        return self.current in self._closed or now_s < self._held_until_s

    def _close_seen_up_to(self, run: str) -> None:
        for seen in self._seen[: self._seen.index(run) + 1]:
            self._closed.setdefault(seen)
