"""Chooses when a refused caller should come back."""

# The shortest delay that ``Retry-After`` can express.
MIN_DELAY_S = 1
# Part of the remaining time that the next attempt itself needs.
ATTEMPT_S = 0.2
# A caller has a few attempts only: its remaining time is divided into at most the
# first number of delays, and into at least the second one.
MAX_DELAYS = 5
MIN_DELAYS = 3


def retry_delay_s(remaining_s: float, outage_s: float) -> int:
    """Return the delay before a refused caller's next attempt, in whole seconds.

    An outage that has lasted for some time is likely to last as long again. Callers
    return sooner than that if they would otherwise miss the rest of their time.

    :param remaining_s: time after which the caller stops waiting
    :param outage_s: time for which the cause of the refusal has lasted
    :returns: 0 if no such delay fits into the remaining time: the caller then returns
        after its own shortest delay
    """
    if remaining_s < MIN_DELAY_S + ATTEMPT_S:
        return 0
    shortest_s = max(MIN_DELAY_S, int(remaining_s / MAX_DELAYS))
    longest_s = max(MIN_DELAY_S, round(remaining_s / MIN_DELAYS))
    return min(max(shortest_s, int(outage_s)), longest_s)
