"""A token bucket that limits retries to a share of the calls.

Retries without a budget multiply the load on a service that is already
overloaded; see Beyer et al., Site Reliability Engineering, 2016, chapter 21.
"""

import random

RETRY_RATIO = 0.1  # tokens per call
CAPACITY = 10.0  # tokens
INITIAL_TOKENS = 1.0  # allows one retry before the calls have earned a token
BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0


class RetryBudget:
    """Limits the retries after n calls to ``n * ratio + 1``, and gives their delays.

    :param rng: source of the jitter
    :param ratio: tokens that each call adds; a retry costs one token
    :param capacity: maximum number of tokens, which is the longest burst of retries
    :param base_delay_s: upper bound of the delay before the first retry
    :param max_delay_s: upper bound of any delay
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        ratio: float = RETRY_RATIO,
        capacity: float = CAPACITY,
        base_delay_s: float = BASE_DELAY_S,
        max_delay_s: float = MAX_DELAY_S,
    ) -> None:
        self._rng = rng
        self._ratio = ratio
        self._capacity = capacity
        self._base_delay_s = base_delay_s
        self._max_delay_s = max_delay_s
        self._tokens = min(INITIAL_TOKENS, capacity)

    @property
    def tokens(self) -> float:
        """Number of tokens; each allows one retry."""
        return self._tokens

    def record_call(self) -> None:
        """Add the tokens of one call; retries are not counted as calls."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def take_retry(self) -> bool:
        """Take one token; without one return False: the call must not be retried."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def delay_s(self, retry: int) -> float:
        """Return the delay before a retry: exponential backoff with full jitter.

        :param retry: index of the retry, from 0
        :returns: seconds, uniformly distributed between 0 and a bound that grows
            exponentially up to ``max_delay_s``
        """
        bound = min(self._max_delay_s, self._base_delay_s * 2.0 ** min(retry, 30))
        return self._rng.uniform(0.0, bound)
