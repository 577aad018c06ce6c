"""Incarnations of one host, and which of them are leaving."""

MAX_INCARNATIONS = 16


class IncarnationTracker:
    """Incarnations of a host: its boots, or the processes of its entry host.

    The ids of incarnations have no order, and a source that lags may show an older
    incarnation after a newer one. Therefore an incarnation that was never observed is
    considered the newest. One that was observed earlier becomes the newest again only
    if the newest has not been observed for ``reorder_window_s``.

    :param reorder_window_s: maximum time for which a source may show an older
        incarnation after a newer one
    :param source_lag_s: maximum lag of the source, or 0 if it does not lag. For this
        time after an incarnation that was never observed is marked as leaving, the
        newest observed one also counts as leaving, because it may be the older of the
        two. It counts as leaving, too, if any incarnation is leaving and the source
        has not been observed for long enough to know the order of incarnations
    """

    def __init__(self, reorder_window_s: float, source_lag_s: float = 0.0) -> None:
        self._reorder_window_s = reorder_window_s
        self._source_lag_s = source_lag_s
        self._seen: list[str] = []
        self._first_observed_s: float | None = None
        self._newest_observed_s = 0.0
        self._leaving: dict[str, None] = {}
        self._uncertain_until_s = 0.0

    @property
    def newest(self) -> str | None:
        """Id of the newest incarnation, or ``None`` if none was observed."""
        return self._seen[-1] if self._seen else None

    def observe(self, incarnation: str, now_s: float) -> None:
        """Record that the source shows an incarnation; ``now_s`` is loop time."""
        if self._first_observed_s is None:
            self._first_observed_s = now_s
        if incarnation != self.newest:
            if incarnation in self._seen:
                if now_s - self._newest_observed_s < self._reorder_window_s:
                    return
                self._seen.remove(incarnation)
            self._seen.append(incarnation)
            del self._seen[:-MAX_INCARNATIONS]
        self._newest_observed_s = now_s

    def mark_leaving(self, incarnation: str, now_s: float) -> bool:
        """Record that an incarnation is leaving.

        :returns: whether this is new and may concern the newest incarnation
        """
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_INCARNATIONS:
            del self._leaving[next(iter(self._leaving))]
        if incarnation not in self._seen:
            self._uncertain_until_s = now_s + self._source_lag_s
            return True
        return incarnation == self.newest

    def is_leaving(self, now_s: float) -> bool:
        """Whether the newest incarnation is leaving or may be leaving."""
        if self.newest is None or self.newest in self._leaving:
            return bool(self._leaving)
        if now_s < self._uncertain_until_s and not self._leaving.keys() <= {
            *self._seen
        }:
            return True
        return bool(self._leaving) and self._is_order_uncertain(now_s)

    def leaving_ids(self, now_s: float) -> tuple[str, ...]:
        """Return the leaving incarnations; none if the newest is not leaving."""
        return tuple(sorted(self._leaving)) if self.is_leaving(now_s) else ()

    def _is_order_uncertain(self, now_s: float) -> bool:
        """Whether an incarnation may be newer than one observed after it."""
        if not self._source_lag_s or self._first_observed_s is None:
            return False
        return (
            now_s < self._first_observed_s + self._source_lag_s + self._reorder_window_s
        )
