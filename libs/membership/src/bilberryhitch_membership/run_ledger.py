"""Which runs of one host are known to be leaving."""

MAX_RUNS = 16


class RunLedger:
    """Runs of a host: boots, or incarnations of its process.

    Run ids have no order of their own, and sources lag: an older run may be
    shown after a newer one. A run never shown before is taken for the newest,
    and a known one only once the newest was not shown for ``silence_s``.

    :param silence_s: longest time for which a source may show an older run
    :param hold_s: longest lag of the source, or 0 when it does not lag. For this
        long after a run never shown here was closed, the newest run shown counts
        as leaving too, because it may be the older of the two. So it does while
        the source was not watched for long enough to know the order of runs
    """

    def __init__(self, silence_s: float, hold_s: float = 0.0) -> None:
        self._silence_s = silence_s
        self._hold_s = hold_s
        self._seen: list[str] = []
        self._first_s: float | None = None
        self._shown_s = 0.0
        self._closed: dict[str, None] = {}
        self._held_until_s = 0.0

    @property
    def current(self) -> str | None:
        """The newest run, or ``None``."""
        return self._seen[-1] if self._seen else None

    def observe(self, run: str, now_s: float) -> None:
        """Note that the source shows ``run``."""
        if self._first_s is None:
            self._first_s = now_s
        if run != self.current:
            if run in self._seen:
                if now_s - self._shown_s < self._silence_s:
                    return
                self._seen.remove(run)
            self._seen.append(run)
            del self._seen[:-MAX_RUNS]
        self._shown_s = now_s

    def close(self, run: str, now_s: float) -> bool:
        """Note that ``run`` is leaving.

        :returns: whether this says something new about the newest run
        """
        if run in self._closed:
            return False
        self._closed[run] = None
        if len(self._closed) > MAX_RUNS:
            del self._closed[next(iter(self._closed))]
        if run not in self._seen:
            self._held_until_s = now_s + self._hold_s
            return True
        return run == self.current

    def is_leaving(self, now_s: float) -> bool:
        """Whether the newest run is leaving, or may be."""
        if self.current is None or self.current in self._closed:
            return bool(self._closed)
        if now_s < self._held_until_s and not self._closed.keys() <= {*self._seen}:
            return True
        return bool(self._closed) and self._is_order_doubtful(now_s)

    def marks(self, now_s: float) -> tuple[str, ...]:
        """Return the leaving runs, unless the newest run is not leaving."""
        return tuple(sorted(self._closed)) if self.is_leaving(now_s) else ()

    def _is_order_doubtful(self, now_s: float) -> bool:
        """Whether a run shown first may still be newer than one shown later."""
        if not self._hold_s or self._first_s is None:
            return False
        return now_s < self._first_s + self._hold_s + self._silence_s
