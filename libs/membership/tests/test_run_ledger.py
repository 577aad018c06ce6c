from bilberryhitch_membership.run_ledger import RunLedger


def ledger_of(*runs, hold_s=0.0):
    ledger = RunLedger(silence_s=2.0, hold_s=hold_s)
    for run in runs:
        ledger.observe(run, 0.0)
    return ledger


def test_a_leaving_run_stays_so_until_a_new_one_is_seen():
    ledger = ledger_of("b1")
    assert ledger.close("b1", 0.0)
    ledger.observe("b1", 0.0)
    assert ledger.is_leaving(0.0)
    ledger.observe("b2", 0.0)
    assert not ledger.is_leaving(0.0)


def test_an_older_run_shown_again_changes_nothing():
    # Guards against a lagging list that brings back a boot from before.
    ledger = ledger_of("b1", "b2")
    ledger.close("b2", 0.0)
    ledger.observe("b1", 1.0)
    assert ledger.is_leaving(1.0)


def test_a_run_that_outlives_the_one_taken_for_the_newest_is_believed_again():
    # Guards against a late message of an ended run that hides its successor
    # for good, as seen when a fresh process heard both in the wrong order.
    ledger = ledger_of("i2", "i1")
    ledger.close("i1", 0.0)
    ledger.observe("i2", 1.9)
    assert ledger.is_leaving(1.9)
    ledger.observe("i2", 2.1)
    assert not ledger.is_leaving(2.1)
    assert ledger.marks(2.1) == ()


def test_a_late_word_about_an_older_run_does_not_close_the_newer():
    ledger = ledger_of("b1", "b2")
    assert not ledger.close("b1", 0.0)
    assert not ledger.is_leaving(0.0)
    assert ledger.marks(0.0) == ()


def test_an_unknown_leaving_run_holds_the_shown_one_for_a_while():
    # The shown run may be the older one, but not for ever.
    ledger = ledger_of("b1", hold_s=60.0)
    assert ledger.close("b2", 100.0)
    assert ledger.is_leaving(159.0)
    assert not ledger.is_leaving(161.0)
    ledger.observe("b2", 162.0)
    assert ledger.is_leaving(162.0)
    ledger.observe("b3", 163.0)
    assert not ledger.is_leaving(163.0)


def test_the_order_of_runs_is_doubted_at_first():
    # Guards against a fresh process that takes an older boot, shown by a list
    # that flaps between fresh and lagging, for a reboot after a leave.
    ledger = RunLedger(silence_s=60.0, hold_s=60.0)
    ledger.observe("b2", 0.0)
    ledger.close("b2", 0.0)
    ledger.observe("b1", 2.0)
    assert ledger.is_leaving(60.0)
    ledger.observe("b2", 61.9)
    assert ledger.current == "b1"
    ledger.observe("b2", 62.1)
    assert ledger.is_leaving(999.0)


def test_runs_are_bounded():
    ledger = ledger_of()
    for number in range(100):
        ledger.close(f"b{number}", 0.0)
        ledger.observe(f"b{number}", 0.0)
    assert len(ledger.marks(0.0)) <= 16
    assert ledger.is_leaving(0.0)
