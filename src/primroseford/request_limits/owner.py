"""Token windows of the runners that this host owns, and the hosts that wait for tokens.

Hosts are served in order of arrival, a token at a time. Batch gets a token only if no
online request waits for one and a reserve for the next ones is left.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from primroseford.request_limits.bounds import WINDOW_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import HostId
    from primroseford.request_limits.bounds import TokenBound

    CountOthers = Callable[[float], int]
    """Returns how many tokens of other owners were used in the last seconds."""

BATCH_RESERVE = 0.5
"""Part of a window that batch leaves for online requests."""


class Grant(NamedTuple):
    """Tokens for a host."""

    runner: RunnerKey
    host: HostId
    count: int


@dataclass
class Waiting:
    """A host that waits for tokens.

    :param expires_at: local time in seconds after which it no longer waits
    """

    count: int
    expires_at: float


@dataclass
class TokenWindow:
    """Tokens of one runner in the last seconds, and the hosts that wait for more.

    :param bounds: bounds on its tokens, one for each kind of limit that it has
    :param granted: local times of the tokens in the longest window, oldest first
    """

    bounds: Sequence[TokenBound]
    granted: deque[float] = field(default_factory=deque)
    waiting: OrderedDict[HostId, Waiting] = field(default_factory=OrderedDict)

    def expire(self, now: float) -> None:
        """Drop the grants that are out of the longest window.

        :param now: local time in seconds
        """
        while self.granted and now - self.granted[0] >= WINDOW_SECONDS:
            self.granted.popleft()

    def take(self, now: float, count_others: CountOthers, reserve: float = 0.0) -> bool:
        """Take a token if all bounds allow it.

        :param now: local time in seconds
        :param count_others: counts used tokens that other owners have granted
        :param reserve: part of the window to be left, from 0 to 1
        """
        self.expire(now)
        for bound in self.bounds:
            granted = sum(now - at < bound.seconds for at in self.granted)
            taken = granted + count_others(bound.seconds)
            if taken + 1 > bound.size * (1 - reserve):
                return False
        self.granted.append(now)
        return True

    def put_back(self, count: int) -> None:
        """Put unused tokens back, the newest ones of the window."""
        for _ in range(min(count, len(self.granted))):
            self.granted.pop()

    def grant(self, now: float, count_others: CountOthers) -> list[HostId]:
        """Take tokens for the hosts that wait; return a host for each token.

        :param now: local time in seconds
        :param count_others: counts used tokens that other owners have granted
        """
        hosts = []
        while self.waiting:
            host, waiting = next(iter(self.waiting.items()))
            if waiting.expires_at <= now or waiting.count <= 0:
                del self.waiting[host]
                continue
            if not self.take(now, count_others):
                break
            hosts.append(host)
            waiting.count -= 1
            self.waiting.move_to_end(host)
        return hosts


class TokenOwner:
    """Windows of the runners whose tokens this host grants.

    :param count_others: returns how many tokens of a runner all hosts have used in the
        last seconds that other owners have granted
    :ivar windows: windows by runner instance
    """

    def __init__(self, count_others: Callable[[RunnerKey, float], int]) -> None:
        self.count_others = count_others
        self.windows: dict[RunnerKey, TokenWindow] = {}

    def ask(
        self,
        runner: RunnerKey,
        host: HostId,
        count: int,
        bounds: Sequence[TokenBound],
        now: float,
        until: float,
    ) -> list[Grant]:
        """Set how many tokens a host waits for, and return the grants due now.

        :param count: tokens that the host waits for in all
        :param bounds: bounds on the tokens of the runner
        :param now: local time in seconds
        :param until: local time after which the host no longer waits
        """
        window = self.open_window(runner, bounds)
        known = window.waiting.get(host)
        if known is None:
            window.waiting[host] = Waiting(count, until)
        else:
            known.count, known.expires_at = count, until
        return self._grant(runner, window, now)

    def _grant(self, runner: RunnerKey, window: TokenWindow, now: float) -> list[Grant]:
        if not window.waiting:
            return []
        count_others = partial(self.count_others, runner)
        return [Grant(runner, host, 1) for host in window.grant(now, count_others)]

    def ask_for_batch(
        self, runner: RunnerKey, host: HostId, bounds: Sequence[TokenBound], now: float
    ) -> list[Grant]:
        """Grant a token for batch if online requests do not need it.

        :param bounds: bounds on the tokens of the runner
        :param now: local time in seconds
        """
        taken = self.take_spare(runner, bounds, now)
        return [Grant(runner, host, 1)] if taken else []

    def take_spare(
        self,
        runner: RunnerKey,
        bounds: Sequence[TokenBound],
        now: float,
        count: int = 1,
    ) -> bool:
        """Take tokens that online requests do not need, if there are enough.

        :param bounds: bounds on the tokens of the runner
        :param now: local time in seconds
        """
        window = self.open_window(runner, bounds)
        is_wanted = any(
            waiting.count > 0 and waiting.expires_at > now
            for waiting in window.waiting.values()
        )
        if is_wanted:
            return False
        count_others = partial(self.count_others, runner)
        for taken in range(count):
            if not window.take(now, count_others, BATCH_RESERVE):
                window.put_back(taken)
                return False
        return True

    def put_back(self, runner: RunnerKey, count: int, now: float) -> list[Grant]:
        """Put unused tokens back, and return the grants due now.

        :param now: local time in seconds
        """
        window = self.windows.get(runner)
        if window is None:
            return []
        window.put_back(count)
        return self._grant(runner, window, now)

    def due_grants(self, now: float) -> list[Grant]:
        """Return the grants due now.

        :param now: local time in seconds
        """
        return [
            grant
            for runner, window in self.windows.items()
            for grant in self._grant(runner, window, now)
        ]

    def leave(self, runner: RunnerKey, now: float) -> None:
        """Stop granting tokens of a runner that another host owns now.

        Its window is kept until its grants are out of it, in case this host becomes
        the owner again.

        :param now: local time in seconds
        """
        window = self.windows[runner]
        window.waiting.clear()
        window.expire(now)
        if not window.granted:
            del self.windows[runner]

    def open_window(
        self, runner: RunnerKey, bounds: Sequence[TokenBound]
    ) -> TokenWindow:
        """Return the window of a runner with its present bounds.

        :param bounds: bounds on the tokens of the runner
        """
        window = self.windows.get(runner)
        if window is None:
            window = self.windows[runner] = TokenWindow(bounds)
        window.bounds = bounds
        return window
