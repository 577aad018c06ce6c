"""A token bucket that bounds retries to a share of the calls.

Retries without a budget multiply the load on a service that is already
overloaded; see Beyer et al., Site Reliability Engineering, 2016, chapter 21.
"""

import random

RETRY_RATIO = 0.1
CAPACITY = 10.0
INITIAL_TOKENS = 1.0  # lets a process that has made few calls retry once
BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0


class RetryBudget:
    """Retries earned by calls; after n calls at most ``n * ratio + 1`` are spent.

    :param rng: source of the jitter
    :param ratio: tokens earned by each call; a retry costs one token
    :param capacity: most tokens kept, the longest burst of retries
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
        """Retries that may be made now."""
        return self._tokens

    def record_call(self) -> None:
        """Earn the share of a first attempt."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def take_retry(self) -> bool:
        """Spend one token; ``False`` means that the call must not be retried."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def delay_s(self, retry: int) -> float:
        """Return how long to wait before a retry.

        :param retry: number of the retry, from 0
        :returns: seconds, uniform between zero and an exponentially growing
            bound ("full jitter")
        """
        bound = min(self._max_delay_s, self._base_delay_s * 2.0 ** min(retry, 30))
        return self._rng.uniform(0.0, bound)
