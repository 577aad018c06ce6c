"""Points 4 and 5 for jobs: at most one run, and truthful answers."""

from .harness import Counts, Point, run_point
from .oracle_point5_jobs import check_jobs
from .rules_point2_gangs import GangRules, facts, not_run_callers


class JobMachine(GangRules):
    """Histories of jobs judged by what callers were told."""

    counts = Counts()

    def check(self):
        world = self.world
        check_jobs(facts(world), world.events(), not_run_callers(world))


POINT = Point(5, JobMachine, JobMachine.counts)


def test_point_holds():
    run_point(POINT, seed_number=1, histories=15)
