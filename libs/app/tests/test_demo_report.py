from bilberryhitch.demo_load import WorkResult
from bilberryhitch.demo_report import UsageSample, outcome_table, usage_line


def test_table_counts_outcomes_and_excludes_not_run_from_accepted():
    results = [
        WorkResult("fit", "completed", 1.0),
        WorkResult("fit", "not_run", 0.1),
        WorkResult("fit", "unknown", 3.0),
    ]
    row = outcome_table(results).splitlines()[1].split()
    assert row[:7] == ["fit", "2", "1", "0", "1", "1", "0"]


def test_usage_line_shows_the_mean():
    line = usage_line([UsageSample(0.0, 0), UsageSample(1.0, 8)], accelerators=8)
    assert line.endswith("mean 4 of 8")
