"""Tests of the order, the limit and the drops of the fair queue."""

from bilberryhitch_scheduling import FairQueue


def take_in_order(queue, costs=None, count=100):
    taken = []
    while (entry := queue.select()) is not None and len(taken) < count:
        item = queue.take(entry, 0.0)
        taken.append(item)
        account, kind, caller = item.split("/")[:3]
        queue.charge(account, (costs or {}).get(account, 1.0), kind, caller)
    return taken


def push_many(queue, path, count, **options):
    for number in range(count):
        queue.push(f"{path}/{number}", *path.split("/"), **options)


def test_backlog_of_one_account_does_not_delay_another():
    queue = FairQueue(1000)
    push_many(queue, "a/k/c", 100)
    push_many(queue, "b/k/c", 5)
    assert sum(item.startswith("b") for item in take_in_order(queue, count=10)) == 5


def test_service_ratio_follows_weight_and_observed_cost():
    weights = {"a": 2.0, "b": 1.0}
    queue = FairQueue(1000, weight=weights.__getitem__)
    push_many(queue, "a/k/c", 100)
    push_many(queue, "b/k/c", 100)
    taken = take_in_order(queue, {"a": 1.0, "b": 4.0}, count=90)
    assert 78 <= sum(item.startswith("a") for item in taken) <= 82


def test_kinds_and_callers_are_fair_within_an_account():
    queue = FairQueue(1000)
    push_many(queue, "a/batch/big", 50)
    push_many(queue, "a/check/big", 50)
    push_many(queue, "a/check/small", 2)
    taken = take_in_order(queue, count=8)
    assert sum("/batch/" in item for item in taken) == 4
    assert sum("/small/" in item for item in taken) == 2


def test_idle_account_earns_no_credit():
    queue = FairQueue(1000)
    push_many(queue, "a/k/c", 100)
    take_in_order(queue, count=50)
    push_many(queue, "b/k/c", 50)
    taken = take_in_order(queue, count=20)
    assert 9 <= sum(item.startswith("b") for item in taken) <= 11


def test_full_queue_drops_from_the_account_furthest_above_its_share():
    queue = FairQueue(10)
    push_many(queue, "a/k/c", 9)
    push_many(queue, "b/k/c", 1)
    _, dropped = queue.push("b/k/c/new", "b", "k", "c")
    assert dropped.item == "a/k/c/8"
    assert dropped.retry_after_s >= 1.0
    assert len(queue) == 10


def test_entries_that_are_not_droppable_may_exceed_the_limit():
    queue = FairQueue(1)
    queue.push("a/k/c/0", "a", "k", "c", droppable=False)
    _, dropped = queue.push("a/k/c/1", "a", "k", "c", droppable=False)
    assert dropped is None
    assert len(queue) == 2


def test_urgent_work_goes_first_only_within_its_share():
    within = {"a": True}
    queue = FairQueue(100, urgent_first=lambda account: within["a"])
    queue.charge("a", 10.0)
    push_many(queue, "b/k/c", 2)
    push_many(queue, "a/k/c", 2, urgent=True)
    assert queue.select().item == "a/k/c/0"
    within["a"] = False
    queue.refresh("a")
    assert queue.select().item == "b/k/c/0"


def test_account_below_its_guarantee_goes_first():
    queue = FairQueue(100, below_guarantee=lambda account: account == "a")
    queue.charge("a", 10.0)
    push_many(queue, "b/k/c", 1)
    push_many(queue, "a/k/c", 1)
    assert queue.select().item == "a/k/c/0"


def test_parked_signature_is_skipped_until_unparked():
    queue = FairQueue(100)
    push_many(queue, "a/k/c", 2, signature="large")
    queue.push("a/k/c/s", "a", "k", "c", signature="small")
    queue.park(queue.select())
    assert queue.select().item == "a/k/c/s"
    queue.take(queue.select(), 0.0)
    assert queue.select() is None
    queue.unpark()
    assert queue.select().item == "a/k/c/0"
