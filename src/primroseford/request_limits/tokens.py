"""Tokens that a host holds for requests to runners with a limit."""

from __future__ import annotations

from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import NamedTuple

from primroseford.ids import GranterId
from primroseford.request_limits.owner import WINDOW_SECONDS

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
    :ivar used: tokens that were used in the last window, by runner
    """

    limits: LimitObservations
    clock: Clock
    online: dict[RunnerKey, HeldTokens] = field(default_factory=dict)
    batch: dict[RunnerKey, HeldTokens] = field(default_factory=dict)
    used: dict[RunnerKey, deque[UsedToken]] = field(default_factory=dict)

    def is_limited(self, runner: RunnerKey) -> bool:
        """Return whether a runner names a limit."""
        return self.limits.rate(runner) is not None

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

    def restore(self, runner: RunnerKey, batch: bool = False) -> None:
        """Restore a token of a request that was not sent."""
        used = self.used.get(runner)
        if used and self.is_limited(runner):
            self.add(runner, 1, used.pop().granter, batch)

    def count_used(self, runner: RunnerKey) -> Counter[GranterId]:
        """Return the number of tokens used in the last window, by granter."""
        used = self.used.get(runner)
        if not used:
            return Counter()
        while used and self.clock() - used[0].at >= WINDOW_SECONDS:
            used.popleft()
        if not used:
            del self.used[runner]
        return Counter(token.granter for token in used)

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
