"""When refused callers come back.

Pattern: callers with three seconds and four retries arrive evenly while the store is
away; each comes back when it was told to, or after 0.2 s if it was told nothing.
"""

import pytest
from bilberryhitch_jobs.retry_delay import retry_delay_s

CALLER_TIMEOUT_S = 3.0
RETRIES = 4
OWN_DELAY_S = 0.2
OUTAGES_S = [0.5, 1.0, 2.0, 3.0, 4.0, 6.0]


def served_share(delay, outage_s, timeout_s=CALLER_TIMEOUT_S):
    """Return the share of the callers of an outage that are served in time."""
    arrivals = [each / 20 for each in range(int(outage_s * 20))]
    served = 0
    for arrival in arrivals:
        at = arrival
        for _ in range(RETRIES + 1):
            if at >= outage_s:
                served += 1
                break
            at += delay(arrival + timeout_s - at, at) or OWN_DELAY_S
            if at >= arrival + timeout_s:
                break
    return served / len(arrivals)


def former_rule(_remaining_s, outage_s):
    """One second; two once an outage has lasted for 1.2 s."""
    return 2 if outage_s > 1.2 else 1


@pytest.mark.parametrize("outage_s", OUTAGES_S)
def test_more_callers_are_served_than_by_fixed_delays(outage_s):
    """Guards against callers that are told to return after their deadline, or so often
    that they have used up their attempts before the store is back.
    """
    share = served_share(retry_delay_s, outage_s)
    assert share >= served_share(former_rule, outage_s)
    assert share >= served_share(lambda _remaining_s, _outage_s: 0, outage_s)
    assert share >= served_share(lambda _remaining_s, _outage_s: 1, outage_s)


def test_callers_are_served_by_an_outage_that_ends_within_their_first_two_seconds():
    for outage_s in OUTAGES_S:
        lost = max(0.0, outage_s - 2.2)
        assert served_share(retry_delay_s, outage_s) >= 1 - lost / outage_s


@pytest.mark.parametrize("outage_s", [2.0, 5.0, 8.0])
def test_callers_with_more_time_do_not_use_up_their_attempts(outage_s):
    assert served_share(retry_delay_s, outage_s, timeout_s=12.0) == 1.0


@pytest.mark.parametrize(
    ("remaining_s", "outage_s", "delay"),
    [
        (3.0, 0.0, 1),
        (3.0, 9.0, 1),
        (1.1, 0.0, 0),
        (0.0, 5.0, 0),
        (12.0, 0.0, 2),
        (12.0, 3.5, 3),
    ],
)
def test_a_delay_fits_into_the_remaining_time(remaining_s, outage_s, delay):
    assert retry_delay_s(remaining_s, outage_s) == delay
