"""Retry policy for failed attempts."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from primroseford.gateway.tables import RouteKind

if TYPE_CHECKING:
    from primroseford.gateway.tables import Route

MAX_REFUSALS = 4
"""Refusals by runners after which a request fails. Each costs a round trip of a few ms,
and so many refusals show that the pool is full."""
STREAM_SILENCE_SECONDS = 0.8
"""Inactivity timeout after which a stream is resumed on another runner. It covers
several of the largest prompts processed in sequence, and is below the 2 s after which
callers disconnect."""
MIN_ANSWER_SILENCE_SECONDS = 0.25
ANSWER_SILENCE_LATENCIES = 5.0
"""Multiple of a runner's mean latency after which an idempotent request is retried.
One request in 100 takes five times the mean without a fault."""


class RetryDecision(Enum):
    """Decision after a failed attempt."""

    AGAIN = "again"
    FAIL = "fail"


def decide_retry(
    route: Route, runs: int, refusals: int, may_have_run: bool, begun: bool
) -> RetryDecision:
    """Decide whether a failed attempt is retried.

    :param runs: attempts that may have been executed, this one included
    :param refusals: attempts that were certainly not executed
    :param may_have_run: whether this attempt may have been executed
    :param begun: whether part of the response was sent to the caller
    """
    if refusals >= MAX_REFUSALS:
        return RetryDecision.FAIL
    if begun and not route.resumable:
        return RetryDecision.FAIL
    if not may_have_run:
        return RetryDecision.AGAIN
    if not route.repeatable or runs >= route.max_attempts:
        return RetryDecision.FAIL
    return RetryDecision.AGAIN


def inactivity_timeout(route: Route, runs: int, latency: float) -> float | None:
    """Return the inactivity timeout of an attempt in seconds; ``None`` without one.

    The last permitted attempt of a request has no inactivity timeout.

    :param runs: earlier attempts that may have been executed
    :param latency: mean latency of the runner in seconds; 0 is unknown
    """
    if not route.repeatable or runs + 1 >= route.max_attempts:
        return None
    if route.kind is RouteKind.STREAMING:
        return STREAM_SILENCE_SECONDS
    usual = max(latency * ANSWER_SILENCE_LATENCIES, MIN_ANSWER_SILENCE_SECONDS)
    return max(usual, route.objective)
