"""Runs the state machines, with fixed seeds in CI and any seed when fuzzing."""

from typing import NamedTuple

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test
from loguru import logger

STEPS_PER_HISTORY = 50


class Counts:
    """Counts of one machine's runs, updated by its rules.

    :ivar steps: rules executed
    :ivar histories: histories started
    :ivar faults: faults injected
    """

    def __init__(self) -> None:
        self.steps = 0
        self.histories = 0
        self.faults = 0


class Point(NamedTuple):
    """A numbered guarantee of the design and the state machine that tests it."""

    number: int
    machine: type[RuleBasedStateMachine]
    counts: Counts


def run_point(point: Point, *, seed_number: int, histories: int) -> None:
    """Run a machine; a violation propagates as ``AssertionError``.

    :param histories: number of histories, each of ``STEPS_PER_HISTORY`` steps
    """
    logger.remove()  # the histories would log millions of lines
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
