"""Limit on retries relative to requests."""

from __future__ import annotations

RETRY_SHARE = 0.1
RESERVE_RETRIES = 10.0
"""Retries an idle host may do at once, so that a single failure is retried."""


class RetryBudget:
    """Allows retries for a tenth of the requests."""

    def __init__(self) -> None:
        self.retries = RESERVE_RETRIES

    def add_request(self) -> None:
        """Count a request, which earns a tenth of a retry."""
        self.retries = min(RESERVE_RETRIES, self.retries + RETRY_SHARE)

    def take(self) -> bool:
        """Return whether one more retry is allowed, and count it."""
        if self.retries < 1:
            return False
        self.retries -= 1
        return True
