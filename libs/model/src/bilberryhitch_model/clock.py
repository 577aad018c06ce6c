"""Clock for permissions that expire, such as leases."""

import time


def steady_s() -> float:
    """Return the seconds since a fixed moment, including those of a suspension.

    ``time.monotonic`` stands still while the host is suspended, so a lease that
    expired meanwhile would still look valid afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
