"""Retries of idempotent requests: a budget per client account and back-off."""

import random

RETRY_SHARE = 0.1
MAX_TOKENS = 100.0
# Lets the first failure of a small account be retried; afterwards the share rules.
FIRST_TOKENS = 1.0
BACK_OFF_S = 0.05
MAX_BACK_OFF_S = 2.0


class RetryBudgets:
    """Retries that each client account may spend.

    :param share: retries allowed per request
    """

    def __init__(self, rng: random.Random, share: float = RETRY_SHARE) -> None:
        self._rng = rng
        self._share = share
        self._tokens: dict[str, float] = {}

    def note_request(self, client_account: str) -> None:
        """Count one request of the account."""
        tokens = self._tokens.get(client_account, FIRST_TOKENS) + self._share
        self._tokens[client_account] = min(tokens, MAX_TOKENS)

    def take(self, client_account: str) -> bool:
        """Spend one retry; return whether the budget allows it."""
        tokens = self._tokens.get(client_account, FIRST_TOKENS)
        if tokens < 1.0:
            return False
        self._tokens[client_account] = tokens - 1.0
        return True

    def delay_s(self, failures: int) -> float:
        """Return the full-jitter back-off after ``failures`` failures, from 1."""
        longest: float = min(MAX_BACK_OFF_S, BACK_OFF_S * 2 ** min(failures, 10))
        return self._rng.uniform(0.0, longest)
