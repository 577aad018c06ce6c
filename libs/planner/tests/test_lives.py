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
