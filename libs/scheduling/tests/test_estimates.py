"""Tests of the run-time estimates."""

from bilberryhitch_scheduling import RunTimeEstimates


def test_declared_time_is_used_until_five_runs_were_observed():
    estimates = RunTimeEstimates()
    for run_s in (10.0, 20.0, 30.0, 40.0):
        estimates.observe("a", "k", run_s)
    assert estimates.quantile("a", "k", 999.0, 0.9) == 999.0
    estimates.observe("a", "k", 50.0)
    assert estimates.quantile("a", "k", 999.0, 0.9) == 50.0
    assert estimates.quantile("a", "other", 7.0, 0.9) == 7.0


def test_estimates_use_only_the_newest_runs():
    estimates = RunTimeEstimates()
    for number in range(200):
        estimates.observe("a", "k", 1000.0 if number < 100 else 10.0)
    assert estimates.quantile("a", "k", 1.0, 0.99) == 10.0
