"""Clocks that neither a suspension nor a jump of the host's time of day changes."""

import time


def steady_s() -> float:
    """Return the seconds since a fixed moment, including those of a suspension.

    ``time.monotonic`` stands still while the host is suspended, so a lease that
    expired meanwhile would still look valid afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class UnixClock:
    """Unix time that goes on steadily from the time of day at its creation.

    The time of day of a host may jump by seconds, which would start timed work early
    and remove finished jobs too soon.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - steady_s()

    def now_s(self) -> float:
        """Return the Unix time in seconds."""
        return steady_s() + self._offset_s

    def correct(self, now_s: float) -> None:
        """Set the Unix time, in seconds, to one on which several hosts agree."""
        self._offset_s = now_s - steady_s()


unix = UnixClock()
