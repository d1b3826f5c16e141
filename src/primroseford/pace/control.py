"""Computes the limit on requests in flight at a runner from its responses."""

from __future__ import annotations

from typing import NamedTuple

LOWEST_LIMIT = 3.0
"""Requests in flight at a runner of which nothing is known: one that it processes, and
the two that may wait in its own queue (``placement.MAX_RUNNER_QUEUE``)."""
SLOW_FACTOR = 0.75
"""Factor of the limit when most new responses were slow. Two slow reports in a row take
back about as much as one report of a full limit has added."""
FAILURE_FACTOR = 0.5
"""Factor of the limit after a failure or a refusal, as in TCP after a loss."""
RESPONSES_TO_FULL = 6
"""Responses in time after which a runner is fully used, however many slots it has."""
SPREAD = 4.0
"""Hosts that may use a runner in the same heartbeat interval, as a multiple of its
limit. Each sees the requests of the others an interval late, so that all of them
together would exceed the limit. In a large fleet about one in four has a request in an
interval; with 1, a runner among 64 hosts was not fully used 3.5 s after it was fast."""


class Answers(NamedTuple):
    """Numbers of responses of a runner.

    :param failed: failures and refusals
    """

    in_time: int = 0
    slow: int = 0
    failed: int = 0

    def since(self, before: Answers) -> Answers:
        """Return the responses after an earlier count."""
        return Answers(
            *(max(0, new - old) for new, old in zip(self, before, strict=True))
        )


def next_limit(limit: float, new: Answers, full: float) -> float:
    """Return the limit after new responses.

    :param limit: requests that may be in flight from all hosts together
    :param new: responses since the limit was computed
    :param full: limit at which the runner is fully used
    """
    if new.failed:
        limit *= FAILURE_FACTOR
    elif new.slow > new.in_time:
        limit *= SLOW_FACTOR
    else:
        step = max(1.0, (full - LOWEST_LIMIT) / RESPONSES_TO_FULL)
        limit += step * (new.in_time - new.slow)
    return min(full, max(LOWEST_LIMIT, limit))


def own_share(limit: float, hosts: int, rank: int) -> int:
    """Return how many requests one host may have in flight without a report.

    The shares of all hosts add up to the limit.

    :param hosts: number of live hosts, this one included
    :param rank: rank of this host among them for the runner, from 0
    """
    each, rest = divmod(int(limit), max(1, hosts))
    return each + (rank < rest)


def is_eligible(draw: float, limit: float, hosts: int) -> bool:
    """Return whether a host may use a runner in the present heartbeat interval.

    :param draw: number from 0 to 1, another one for each host, runner and interval
    :param hosts: number of live hosts, this one included
    """
    return draw < SPREAD * limit / max(1, hosts)
