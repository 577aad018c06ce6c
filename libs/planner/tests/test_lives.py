"""One term of the real planner beside workers that restart, in simulated time.

More seeds: ``python -m bilberryhitch_testing.lives_world --seeds 1-1000``.
"""

import pytest
from bilberryhitch_testing.lives_world import play


@pytest.mark.parametrize("seed", [1, 3, 5])
def test_no_run_is_held_for_over_while_it_goes_on(seed):
    """Guards against two runs of a task at once, and against done work that is done
    again, beside restarts, late orders, answers that overtake each other, cuts, a
    silent store, identifiers that move and old lists of machines.
    """
    result = play(seed)
    assert result.starts > 20
    assert [each for each in result.violations if each.cause != "undecidable"] == []


@pytest.mark.parametrize("seed", [34, 43])
def test_no_attempt_of_a_settled_start_begins_a_run_in_the_next_life(seed):
    """Guards against two runs of a task at once: the second attempt of a start was
    answered, the worker restarted, and its list lets the run go while the first attempt
    is still under way.
    """
    violations = play(seed).violations
    assert [each for each in violations if each.cause == "unbarred"] == []
