"""Retry budget: limits retries to a fraction of the requests."""

from __future__ import annotations

RETRY_RATIO = 0.1
MAX_RETRY_TOKENS = 10.0
"""Burst size. It lets a host with few requests retry single failures."""


class RetryBudget:
    """Token bucket that is filled by requests and emptied by retries."""

    def __init__(self) -> None:
        self.tokens = MAX_RETRY_TOKENS

    def add_request(self) -> None:
        """Add the fraction of a retry that each request allows."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRY_RATIO)

    def try_spend(self) -> bool:
        """Take a token for a retry; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
