import random

from bilberryhitch_requests.retries import MAX_BACKOFF_S, RetryBudgets


def test_retries_stay_within_a_tenth_of_the_requests():
    # Guards against retries that multiply the load while executors fail.
    budgets = RetryBudgets(random.Random(1))
    taken = 0
    for _ in range(1000):
        budgets.record_request("acme")
        taken += budgets.try_spend("acme")
    assert 90 <= taken <= 101


def test_backoff_is_bounded():
    budgets = RetryBudgets(random.Random(1))
    delays = [budgets.backoff_s(failures) for failures in range(1, 2000)]
    assert all(0.0 <= delay <= MAX_BACKOFF_S for delay in delays)
