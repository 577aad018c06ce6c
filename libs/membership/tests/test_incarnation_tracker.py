from bilberryhitch_membership.incarnation_tracker import IncarnationTracker


def tracker_with(*incarnations, source_lag_s=0.0):
    tracker = IncarnationTracker(reorder_window_s=2.0, source_lag_s=source_lag_s)
    for incarnation in incarnations:
        tracker.observe(incarnation, 0.0)
    return tracker


def test_a_leaving_incarnation_stays_leaving_until_a_new_one_is_observed():
    tracker = tracker_with("b1")
    assert tracker.mark_leaving("b1", 0.0)
    tracker.observe("b1", 0.0)
    assert tracker.is_leaving(0.0)
    tracker.observe("b2", 0.0)
    assert not tracker.is_leaving(0.0)


def test_observing_an_older_incarnation_again_changes_nothing():
    # Guards against a lagging host list that makes an earlier boot the newest.
    tracker = tracker_with("b1", "b2")
    tracker.mark_leaving("b2", 0.0)
    tracker.observe("b1", 1.0)
    assert tracker.is_leaving(1.0)


def test_an_incarnation_observed_after_the_newest_went_silent_becomes_the_newest():
    # Guards against a delayed message of an earlier incarnation that hides its
    # successor forever: a restarted process may receive the two in the wrong order.
    tracker = tracker_with("i2", "i1")
    tracker.mark_leaving("i1", 0.0)
    tracker.observe("i2", 1.9)
    assert tracker.is_leaving(1.9)
    tracker.observe("i2", 2.1)
    assert not tracker.is_leaving(2.1)
    assert tracker.leaving_ids(2.1) == ()


def test_marking_an_older_incarnation_does_not_affect_the_newest():
    tracker = tracker_with("b1", "b2")
    assert not tracker.mark_leaving("b1", 0.0)
    assert not tracker.is_leaving(0.0)
    assert tracker.leaving_ids(0.0) == ()


def test_an_unknown_leaving_incarnation_makes_the_observed_one_leave_for_the_lag():
    # The observed incarnation may be the older one only for as long as the source lags.
    tracker = tracker_with("b1", source_lag_s=60.0)
    assert tracker.mark_leaving("b2", 100.0)
    assert tracker.is_leaving(159.0)
    assert not tracker.is_leaving(161.0)
    tracker.observe("b2", 162.0)
    assert tracker.is_leaving(162.0)
    tracker.observe("b3", 163.0)
    assert not tracker.is_leaving(163.0)


def test_the_order_of_incarnations_is_uncertain_at_first():
    # Guards against a restarted process that considers an older boot a reboot of a
    # leaving host, because the host list alternates between current and stale rows.
    tracker = IncarnationTracker(reorder_window_s=60.0, source_lag_s=60.0)
    tracker.observe("b2", 0.0)
    tracker.mark_leaving("b2", 0.0)
    tracker.observe("b1", 2.0)
    assert tracker.is_leaving(60.0)
    tracker.observe("b2", 61.9)
    assert tracker.newest == "b1"
    tracker.observe("b2", 62.1)
    assert tracker.is_leaving(999.0)


def test_the_number_of_incarnations_is_bounded():
    tracker = tracker_with()
    for number in range(100):
        tracker.mark_leaving(f"b{number}", 0.0)
        tracker.observe(f"b{number}", 0.0)
    assert len(tracker.leaving_ids(0.0)) <= 16
    assert tracker.is_leaving(0.0)
