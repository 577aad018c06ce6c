from bilberryhitch_membership.incarnation_tracker import RunLedger


def ledger_with(*incarnations, source_lag_s=0.0):
    ledger = RunLedger(silence_s=2.0, source_lag_s=source_lag_s)
    for incarnation in incarnations:
        ledger.observe(incarnation, 0.0)
    return ledger


def test_a_leaving_incarnation_stays_leaving_until_a_new_one_is_observed():
    ledger = ledger_with("b1")
    assert ledger.mark_leaving("b1", 0.0)
    ledger.observe("b1", 0.0)
    assert ledger.is_leaving(0.0)
    ledger.observe("b2", 0.0)
    assert not ledger.is_leaving(0.0)


def test_observing_an_older_incarnation_again_changes_nothing():
    # Guards against a lagging host list that makes an earlier boot the newest.
    ledger = ledger_with("b1", "b2")
    ledger.mark_leaving("b2", 0.0)
    ledger.observe("b1", 1.0)
    assert ledger.is_leaving(1.0)


def test_an_incarnation_observed_after_the_newest_went_silent_becomes_the_newest():
    # Guards against a delayed message of an earlier incarnation that hides its
    # successor forever: a restarted process may receive the two in the wrong order.
    ledger = ledger_with("i2", "i1")
    ledger.mark_leaving("i1", 0.0)
    ledger.observe("i2", 1.9)
    assert ledger.is_leaving(1.9)
    ledger.observe("i2", 2.1)
    assert not ledger.is_leaving(2.1)
    assert ledger.leaving_ids(2.1) == ()


def test_marking_an_older_incarnation_does_not_affect_the_newest():
    ledger = ledger_with("b1", "b2")
    assert not ledger.mark_leaving("b1", 0.0)
    assert not ledger.is_leaving(0.0)
    assert ledger.leaving_ids(0.0) == ()


def test_an_unknown_leaving_incarnation_makes_the_observed_one_leave_for_the_lag():
    # The observed incarnation may be the older one only for as long as the source lags.
    ledger = ledger_with("b1", source_lag_s=60.0)
    assert ledger.mark_leaving("b2", 100.0)
    assert ledger.is_leaving(159.0)
    assert not ledger.is_leaving(161.0)
    ledger.observe("b2", 162.0)
    assert ledger.is_leaving(162.0)
    ledger.observe("b3", 163.0)
    assert not ledger.is_leaving(163.0)


def test_the_order_of_incarnations_is_uncertain_at_first():
    # Guards against a restarted process that considers an older boot a reboot of a
    # leaving host, because the host list alternates between current and stale rows.
    ledger = RunLedger(silence_s=60.0, source_lag_s=60.0)
    ledger.observe("b2", 0.0)
    ledger.mark_leaving("b2", 0.0)
    ledger.observe("b1", 2.0)
    assert ledger.is_leaving(60.0)
    ledger.observe("b2", 61.9)
    assert ledger.newest == "b1"
    ledger.observe("b2", 62.1)
    assert ledger.is_leaving(999.0)


def test_the_number_of_incarnations_is_bounded():
    ledger = ledger_with()
    for number in range(100):
        ledger.mark_leaving(f"b{number}", 0.0)
        ledger.observe(f"b{number}", 0.0)
    assert len(ledger.leaving_ids(0.0)) <= 16
    assert ledger.is_leaving(0.0)
