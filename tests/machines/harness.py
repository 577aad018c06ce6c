"""Runs the stateful machines, with fixed seeds in CI or any seed when fuzzing."""

from typing import NamedTuple

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test
from loguru import logger

STEPS_PER_HISTORY = 50


class Counts:
    """What a machine did; rules add to it.

    :ivar steps: rules run
    :ivar histories: machines started
    :ivar faults: faults injected
    """

    def __init__(self) -> None:
        self.steps = 0
        self.histories = 0
        self.faults = 0


class Point(NamedTuple):
    """One promise of the design page with the machine that checks it."""

    number: int
    machine: type[RuleBasedStateMachine]
    counts: Counts


def run_point(point: Point, *, seed_number: int, histories: int) -> None:
    """Run a machine; an oracle's rejection propagates as ``AssertionError``.

    :param histories: how many histories of ``STEPS_PER_HISTORY`` steps to run
    """
    logger.remove()  # thousands of histories would write millions of lines
    seed(seed_number)(point.machine)
    run_state_machine_as_test(
        point.machine,
        settings=settings(
            max_examples=histories,
            stateful_step_count=STEPS_PER_HISTORY,
            deadline=None,
            database=None,
            print_blob=False,
            phases=[Phase.generate, Phase.shrink],
            suppress_health_check=list(HealthCheck),
        ),
    )
