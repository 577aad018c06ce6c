"""Prints what callers of an emulated day got: by kind of job, and by client account.

Played on two checkouts with the same seeds, it shows what a rule changes for callers.
See ``python -m measure.callers --help``.
"""

import argparse
from typing import NamedTuple

from bilberryhitch_jobs import JobState
from loguru import logger

from .job_emulator import LATE_FACTOR, SHEETS, Day, Job, make_deployment

# Accounts beyond the first two offer a fifth of the jobs between them.
LARGE_ACCOUNTS = ("account-0", "account-1")


class Outcome(NamedTuple):
    """What a caller got.

    :ivar account: client account
    :ivar took_s: time to completion; infinity if the job was not completed
    """

    kind: str
    priority: int
    account: str
    took_s: float
    objective_s: float

    @property
    def in_time(self) -> bool:
        """Whether the job met its objective."""
        return self.took_s <= self.objective_s

    @property
    def late(self) -> bool:
        """Whether the job missed its objective and was still of use."""
        return self.objective_s < self.took_s <= LATE_FACTOR * self.objective_s


def outcomes(day: Day) -> list[Outcome]:
    """Return the outcome of each job of a day that has been run."""
    return [_outcome(day, name, job) for name, job in day.jobs.items()]


def _outcome(day: Day, name: str, job: Job) -> Outcome:
    state, at = day.ended.get(name, (JobState.PENDING, 0.0))
    took_s = at - job.at if state is JobState.COMPLETED else float("inf")
    queue, account = job.kind.queue, job.request.account
    return Outcome(job.kind.name, queue.priority, account, took_s, job.objective_s)


def format_row(name: str, rows: list[Outcome]) -> str:
    """Return a row of the table; the last figure is the 99th percentile of took/aim."""
    in_time = sum(row.in_time for row in rows)
    late = sum(row.late for row in rows)
    ratios = sorted(row.took_s / row.objective_s for row in rows)
    p99 = ratios[min(len(ratios) - 1, int(0.99 * len(ratios)))]
    lost = len(rows) - in_time - late
    return f"| {name} | {len(rows)} | {in_time} | {late} | {lost} | {p99:.1f} |"


def main() -> None:
    """Emulate days of one deployment and print the table of all of them."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", choices=sorted(SHEETS))
    parser.add_argument("--load", type=float, default=1.4)
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--days", type=int, default=3)
    arguments = parser.parse_args()
    logger.remove()
    rows: list[Outcome] = []
    for seed in range(arguments.seed, arguments.seed + arguments.days):
        day = Day(
            make_deployment(arguments.site, arguments.load), arguments.seconds, seed
        )
        day.run()
        rows += outcomes(day)
    print("| callers | jobs | in time | late | not served | p99, times the objective |")
    print("|---|---|---|---|---|---|")
    for kind, priority in sorted(
        {(row.kind, row.priority) for row in rows}, key=lambda each: each[1]
    ):
        found = [row for row in rows if row.kind == kind]
        print(format_row(f"{kind}, priority {priority}", found))
    for name, large in (("large accounts", True), ("small accounts", False)):
        found = [row for row in rows if (row.account in LARGE_ACCOUNTS) == large]
        print(format_row(name, found))


if __name__ == "__main__":
    main()
