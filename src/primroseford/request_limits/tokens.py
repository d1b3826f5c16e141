"""Tokens that a host holds for requests to runners with a limit."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.request_limits.owner import WINDOW_SECONDS

if TYPE_CHECKING:
    from primroseford.clock import Clock
    from primroseford.gateway.runners import RunnerKey
    from primroseford.request_limits.observations import LimitObservations


@dataclass
class HeldTokens:
    """Tokens on hand for one runner and one class of work.

    :param since: local time in seconds at which the newest one was received
    """

    count: int = 0
    since: float = 0.0


@dataclass
class RequestTokens:
    """Tokens on hand. A runner without a limit needs none.

    :param limits: the known limits
    :param clock: local time
    :ivar used: local times at which tokens were used in the last window, by runner
    """

    limits: LimitObservations
    clock: Clock
    online: dict[RunnerKey, HeldTokens] = field(default_factory=dict)
    batch: dict[RunnerKey, HeldTokens] = field(default_factory=dict)
    used: dict[RunnerKey, deque[float]] = field(default_factory=dict)

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
            self.used.setdefault(runner, deque()).append(self.clock())

    def restore(self, runner: RunnerKey, batch: bool = False) -> None:
        """Restore a token of a request that was not sent."""
        times = self.used.get(runner)
        if times and self.is_limited(runner):
            times.pop()
            self.add(runner, 1, batch)

    def count_used(self, runner: RunnerKey) -> int:
        """Return the number of tokens used in the last window."""
        times = self.used.get(runner)
        if not times:
            return 0
        while times and self.clock() - times[0] >= WINDOW_SECONDS:
            times.popleft()
        if not times:
            del self.used[runner]
        return len(times)

    def add(self, runner: RunnerKey, count: int, batch: bool = False) -> None:
        """Add granted tokens."""
        held = self._held(batch).setdefault(runner, HeldTokens())
        held.count += count
        held.since = self.clock()

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
