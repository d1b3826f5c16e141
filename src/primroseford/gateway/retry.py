"""What may follow an attempt that failed."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from primroseford.gateway.tables import RouteKind

if TYPE_CHECKING:
    from primroseford.gateway.tables import Route

MAX_REFUSALS = 4
"""Runners that may refuse one request; each costs a round trip of a few ms, and more
refusals show that the pool is full."""
STREAM_SILENCE_SECONDS = 0.8
"""Silence after which a stream is resumed elsewhere: several prompts of the largest
size read one after the other, and below the 2 s after which callers leave."""
MIN_ANSWER_SILENCE_SECONDS = 0.25
ANSWER_SILENCE_LATENCIES = 5.0
"""Multiple of a runner's usual latency after which an idempotent request is sent
again; one in 100 takes five times as long by itself."""


class RetryDecision(Enum):
    """What follows a failed attempt."""

    AGAIN = "again"
    FAIL = "fail"


def decide_retry(
    route: Route, runs: int, refusals: int, may_have_run: bool, begun: bool
) -> RetryDecision:
    """Return what follows an attempt that failed.

    :param runs: attempts that may have run, this one included
    :param refusals: attempts that surely did not run
    :param may_have_run: whether this attempt may have run
    :param begun: whether the caller has a part of the answer
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
    """Return the silence in seconds after which an attempt ends, if any.

    The last attempt that a request may have is never ended early.

    :param runs: attempts that may have run before this one
    :param latency: usual seconds of the runner's answers; 0 is unknown
    """
    if not route.repeatable or runs + 1 >= route.max_attempts:
        return None
    if route.kind is RouteKind.STREAMING:
        return STREAM_SILENCE_SECONDS
    usual = max(latency * ANSWER_SILENCE_LATENCIES, MIN_ANSWER_SILENCE_SECONDS)
    return max(usual, route.objective)
