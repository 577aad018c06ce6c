"""Retry budgets per client account and backoff for idempotent requests."""

import random

RETRIES_PER_REQUEST = 0.1
MAX_TOKENS = 100.0
# Allows an account with few requests to retry its first failure before it has earned
# a token.
STARTING_TOKENS = 1.0
BACKOFF_BASE_S = 0.05
MAX_BACKOFF_S = 2.0


class RetryBudgets:
    """Token buckets that limit retries per client account.

    :param retries_per_request: tokens earned per request; a retry costs one token
    """

    def __init__(
        self, rng: random.Random, retries_per_request: float = RETRIES_PER_REQUEST
    ) -> None:
        self._rng = rng
        self._retries_per_request = retries_per_request
        self._tokens: dict[str, float] = {}

    def record_request(self, client_account: str) -> None:
        """Add the tokens earned by one request of the account."""
        tokens = (
            self._tokens.get(client_account, STARTING_TOKENS)
            + self._retries_per_request
        )
        self._tokens[client_account] = min(tokens, MAX_TOKENS)

    def try_spend(self, client_account: str) -> bool:
        """Spend one token; return ``False`` if the account has none."""
        tokens = self._tokens.get(client_account, STARTING_TOKENS)
        if tokens < 1.0:
            return False
        self._tokens[client_account] = tokens - 1.0
        return True

    def backoff_s(self, failures: int) -> float:
        """Return the full-jitter exponential backoff before a retry, in seconds.

        :param failures: failed attempts so far, at least 1
        """
        longest: float = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2 ** min(failures, 10))
        return self._rng.uniform(0.0, longest)
