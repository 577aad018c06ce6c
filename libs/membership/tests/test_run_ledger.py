from bilberryhitch_membership.run_ledger import RunLedger


def test_a_leaving_run_stays_so_until_a_new_one_is_seen():
    ledger = RunLedger()
    ledger.observe("b1")
    assert ledger.close("b1", 0.0)
    ledger.observe("b1")
    assert ledger.is_leaving(0.0)
    ledger.observe("b2")
    assert not ledger.is_leaving(0.0)


def test_an_older_run_shown_again_changes_nothing():
    # Guards against a lagging list that brings back a boot from before.
    ledger = RunLedger()
    for run in ("b1", "b2"):
        ledger.observe(run)
    ledger.close("b2", 0.0)
    ledger.observe("b1")
    assert ledger.is_leaving(0.0)
    assert ledger.marks == ("b1", "b2")


def test_a_late_word_about_an_older_run_does_not_close_the_newer():
    ledger = RunLedger()
    for run in ("b1", "b2"):
        ledger.observe(run)
    assert not ledger.close("b1", 0.0)
    assert not ledger.is_leaving(0.0)
    assert ledger.marks == ()


def test_an_unknown_leaving_run_holds_the_shown_one_for_a_while():
    # The shown run may be the older one, but not for ever.
    ledger = RunLedger(hold_s=60.0)
    ledger.observe("b1")
    assert ledger.close("b2", 100.0)
    assert ledger.is_leaving(159.0)
    assert not ledger.is_leaving(161.0)
    ledger.close("b3", 200.0)
    ledger.observe("b4")
    assert not ledger.is_leaving(201.0)


def test_runs_are_bounded():
    ledger = RunLedger()
    for number in range(100):
        ledger.close(f"b{number}", 0.0)
        ledger.observe(f"b{number}")
    assert len(ledger.marks) <= 16
    assert ledger.is_leaving(0.0)
