"""Point 2: no gang runs partially."""

from .harness import Counts, Point, run_point
from .oracle_point2_gangs import check_gangs
from .rules_point2_gangs import GangRules, accelerators_by_job


class GangMachine(GangRules):
    """Histories of jobs judged by what the workers saw."""

    counts = Counts()

    def check(self):
        world = self.world
        check_gangs(world.events(), accelerators_by_job(world), world.loop.time())


POINT = Point(2, GangMachine, GangMachine.counts)


def test_point_holds():
    run_point(POINT, seed_number=1, histories=15)
