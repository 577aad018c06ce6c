import random

from bilberryhitch_requests.retries import MAX_BACK_OFF_S, RetryBudgets


def test_retries_stay_within_a_tenth_of_the_requests():
    # Guards against retries that multiply load when executors fail.
    budgets = RetryBudgets(random.Random(1))
    taken = 0
    for _ in range(1000):
        budgets.note_request("acme")
        taken += budgets.take("acme")
    assert 90 <= taken <= 101


def test_back_off_is_bounded():
    budgets = RetryBudgets(random.Random(1))
    delays = [budgets.delay_s(failures) for failures in range(1, 2000)]
    assert all(0.0 <= delay <= MAX_BACK_OFF_S for delay in delays)
