import random

from bilberryhitch_platform import RetryBudget


def test_retries_are_limited_to_a_tenth_of_the_calls():
    # Guards against retries that multiply the load of an outage.
    budget = RetryBudget(random.Random(1))
    retries = 0
    for _ in range(1000):
        budget.record_call()
        while budget.take_retry():
            retries += 1
    assert 95 <= retries <= 101


def test_burst_of_retries_is_limited_by_the_capacity():
    budget = RetryBudget(random.Random(1), capacity=3.0)
    for _ in range(1000):
        budget.record_call()
    assert [budget.take_retry() for _ in range(5)] == [True] * 3 + [False] * 2


def test_delays_grow_up_to_the_maximum():
    budget = RetryBudget(random.Random(1), base_delay_s=0.1, max_delay_s=1.0)
    assert all(0.0 <= budget.delay_s(0) <= 0.1 for _ in range(50))
    assert max(budget.delay_s(50) for _ in range(200)) > 0.9
    assert all(budget.delay_s(50) <= 1.0 for _ in range(200))
