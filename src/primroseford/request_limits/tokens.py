"""Tokens that a host holds for requests to runners with a limit."""

from __future__ import annotations

import math
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import NamedTuple

from primroseford.ids import GranterId
from primroseford.request_limits.bounds import COLD_WINDOW_SECONDS
from primroseford.request_limits.bounds import WINDOW_SECONDS
from primroseford.request_limits.bounds import TokenBound
from primroseford.request_limits.bounds import cold_bound
from primroseford.request_limits.bounds import rate_bound
from primroseford.request_limits.cold_runners import ColdRunners

if TYPE_CHECKING:
    from primroseford.clock import Clock
    from primroseford.gateway.runners import RunnerKey
    from primroseford.request_limits.observations import LimitObservations


UNKNOWN_GRANTER = GranterId(0)


class UsedToken(NamedTuple):
    """A token that was used.

    :param at: local time in seconds
    """

    at: float
    granter: GranterId


@dataclass
class HeldTokens:
    """Tokens on hand for one runner and one class of work.

    :param since: local time in seconds at which the newest one was received
    :param granter: process that has granted the newest one
    """

    count: int = 0
    since: float = 0.0
    granter: GranterId = UNKNOWN_GRANTER


@dataclass
class RequestTokens:
    """Tokens on hand. A runner without a limit needs none.

    :param limits: the known limits
    :param clock: local time
    :param cold: the runners that are cold
    :ivar used: tokens that were used in the longest window, by runner
    """

    limits: LimitObservations
    clock: Clock
    cold: ColdRunners = field(default_factory=ColdRunners)
    online: dict[RunnerKey, HeldTokens] = field(default_factory=dict)
    batch: dict[RunnerKey, HeldTokens] = field(default_factory=dict)
    used: dict[RunnerKey, deque[UsedToken]] = field(default_factory=dict)

    @property
    def has_limits(self) -> bool:
        """Whether any runner names a limit, has named one lately, or is cold."""
        return bool(self.limits.newest or self.cold.periods)

    def is_limited(self, runner: RunnerKey) -> bool:
        """Return whether a runner names a limit or is cold."""
        return self.limits.rate(runner) is not None or self.is_cold(runner)

    def is_cold(self, runner: RunnerKey) -> bool:
        """Return whether a runner is cold."""
        return self.cold.limit(runner, self.clock()) is not None

    def rate(self, runner: RunnerKey) -> float | None:
        """Return how many requests per second a runner accepts; ``None`` for any."""
        rate = self.limits.rate(runner)
        cold = self.cold.limit(runner, self.clock())
        if cold is None:
            return rate
        bound = cold_bound(cold)
        return min(bound.size / bound.seconds, rate or math.inf)

    def bounds(
        self, runner: RunnerKey, rate: float | None, share: float
    ) -> tuple[TokenBound, ...]:
        """Return the bounds on the tokens of a runner, one for each kind of limit.

        :param rate: limit that the runner names, in requests per second
        :param share: part of the limits that this host may grant, from 0 to 1
        """
        bounds = () if rate is None else (rate_bound(rate, share),)
        cold = self.cold.limit(runner, self.clock())
        return bounds if cold is None else (*bounds, cold_bound(cold, share))

    def reported_seconds(self, runner: RunnerKey) -> float:
        """Return the length of the window in which used tokens are reported.

        If a cold runner names a limit as well, the longer window counts.
        """
        if self.limits.rate(runner) is None and self.is_cold(runner):
            return COLD_WINDOW_SECONDS
        return WINDOW_SECONDS

    def may_send(self, runner: RunnerKey, batch: bool = False) -> bool:
        """Return whether a request may be sent to a runner now."""
        return not self.is_limited(runner) or self.count(runner, batch) > 0

    def count(self, runner: RunnerKey, batch: bool = False) -> int:
        """Return the number of tokens on hand."""
        held = self._held(batch).get(runner)
        return held.count if held is not None else 0

    def spend(self, runner: RunnerKey, batch: bool = False) -> None:
        """Use a token for a request that is about to be sent."""
        held = self._held(batch).get(runner)
        if held is not None and held.count:
            held.count -= 1
            used = UsedToken(self.clock(), held.granter)
            self.used.setdefault(runner, deque()).append(used)

    def charge(self, runner: RunnerKey) -> None:
        """Count a request for which there is no token, such as one for a report.

        Owners count it as a token that another one has granted.
        """
        used = UsedToken(self.clock(), UNKNOWN_GRANTER)
        self.used.setdefault(runner, deque()).append(used)

    def restore(self, runner: RunnerKey, batch: bool = False) -> None:
        """Restore a token of a request that was not sent."""
        used = self.used.get(runner)
        if used and self.is_limited(runner):
            self.add(runner, 1, used.pop().granter, batch)

    def count_used(
        self, runner: RunnerKey, seconds: float = WINDOW_SECONDS
    ) -> Counter[GranterId]:
        """Return the number of tokens used in the last seconds, by granter.

        :param seconds: length of the window
        """
        used = self.used.get(runner)
        if not used:
            return Counter()
        while used and self.clock() - used[0].at >= WINDOW_SECONDS:
            used.popleft()
        if not used:
            del self.used[runner]
        now = self.clock()
        return Counter(token.granter for token in used if now - token.at < seconds)

    def add(
        self, runner: RunnerKey, count: int, granter: GranterId, batch: bool = False
    ) -> None:
        """Add granted tokens."""
        held = self._held(batch).setdefault(runner, HeldTokens())
        held.count += count
        held.since = self.clock()
        held.granter = granter

    def take_all(self, runner: RunnerKey, batch: bool = False) -> int:
        """Remove all tokens for a runner and return their number."""
        held = self._held(batch).pop(runner, None)
        return held.count if held is not None else 0

    def held_before(self, at: float) -> list[tuple[RunnerKey, bool]]:
        """Return the runners whose newest token was received before a time.

        :param at: local time in seconds
        :returns: runner instances, each with whether the tokens are for batch
        """
        return [
            (runner, batch)
            for batch in (False, True)
            for runner, held in self._held(batch).items()
            if held.since < at
        ]

    def _held(self, batch: bool) -> dict[RunnerKey, HeldTokens]:
        return self.batch if batch else self.online
