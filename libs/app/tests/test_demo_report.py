from bilberryhitch.demo_load import Ending
from bilberryhitch.demo_report import Usage, outcome_table, usage_line


def test_table_counts_outcomes_and_leaves_refused_work_out_of_accepted():
    endings = [
        Ending("fit", "completed", 1.0),
        Ending("fit", "not_run", 0.1),
        Ending("fit", "unknown", 3.0),
    ]
    row = outcome_table(endings).splitlines()[1].split()
    assert row[:7] == ["fit", "2", "1", "0", "1", "1", "0"]


def test_usage_line_shows_the_mean():
    line = usage_line([Usage(0.0, 0), Usage(1.0, 8)], accelerators=8)
    assert line.endswith("mean 4 of 8")
