"""Bounds on the tokens of a runner, one for each kind of limit on its requests."""

from __future__ import annotations

import math
from typing import NamedTuple

WINDOW_SECONDS = 4.3
"""Window in which the tokens of a limit that a runner names are counted. The platform
counts requests in 4 s; a token may be used some tenths of a second after it was
granted. It is the longest window of all kinds of limits."""
WINDOW_RATE_SECONDS = 5.0
WINDOW_REQUESTS = 3.0
"""Tokens in a window, as seconds of the limit and a number of requests. The platform
tolerates 6 s of the limit and 5 requests; half of that tolerance is left for hosts that
disagree on the owner."""
MIN_RATE = 0.2
"""Lowest limit in requests per second that is obeyed. Only a response tells that a
limit has changed, so while requests wait a runner gets one from time to time whatever
it names."""
COLD_WINDOW_SECONDS = 1.3
"""Window in which the tokens of a cold runner are counted. The platform counts requests
in each second; a token may be used some tenths of a second after it was granted."""
COLD_OWNERS = 2
"""Hosts that may grant tokens of a cold runner in the same window: an owner that is
replaced, and the next one, which has not heard yet which tokens were used."""


class TokenBound(NamedTuple):
    """Largest number of tokens that may be granted in a window.

    :param seconds: length of the window
    :param size: number of tokens
    """

    seconds: float
    size: float


class ColdLimit(NamedTuple):
    """Requests that the runners of a pool tolerate while they are cold.

    :param seconds: time for which a runner is cold after it starts
    :param rate: requests per second that it tolerates then
    :param excess: factor by which the platform tolerates more
    :param slack: number of requests in a second that it tolerates beyond that
    """

    seconds: float
    rate: float
    excess: float = 1.0
    slack: float = 0.0

    @property
    def most_in_second(self) -> float:
        """Largest number of requests in a second from all hosts together."""
        return self.rate * self.excess + self.slack


def rate_bound(rate: float, share: float = 1.0) -> TokenBound:
    """Return the bound of a limit that a runner names.

    :param rate: requests per second
    :param share: part of the limit that this host may grant, from 0 to 1
    """
    size = max(rate * share, MIN_RATE) * WINDOW_RATE_SECONDS + WINDOW_REQUESTS
    return TokenBound(WINDOW_SECONDS, size)


def cold_bound(limit: ColdLimit, share: float = 1.0) -> TokenBound:
    """Return the bound of a cold runner.

    A limit of one request in a second leaves nothing for a second owner.

    :param share: part of the limit that this host may grant, from 0 to 1
    """
    size = math.floor(limit.most_in_second / COLD_OWNERS)
    if size == 0 and limit.most_in_second >= 1:
        size = 1
    return TokenBound(COLD_WINDOW_SECONDS, size * share)
