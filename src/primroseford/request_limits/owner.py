"""Token windows of the runners that this host owns, and the hosts that wait for tokens.

Hosts are served in order of arrival, a token at a time. Batch gets a token only if no
online request waits for one and a reserve for the next ones is left.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import HostId

WINDOW_SECONDS = 4.3
"""Window in which tokens are counted. The platform counts requests in 4 s; a token may
be used some tenths of a second after it was granted."""
WINDOW_RATE_SECONDS = 5.0
WINDOW_REQUESTS = 3.0
"""Tokens in a window, as seconds of the limit and a number of requests. The platform
tolerates 6 s of the limit and 5 requests; half of that tolerance is left for hosts that
disagree on the owner."""
MIN_RATE = 0.2
"""Lowest limit in requests per second that is obeyed. Only a response tells that a
limit has changed, so while requests wait a runner gets one from time to time whatever
it names."""
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

    :param rate: limit of the runner in requests per second
    :param granted: local times of the tokens in the window, oldest first
    """

    rate: float
    granted: deque[float] = field(default_factory=deque)
    waiting: OrderedDict[HostId, Waiting] = field(default_factory=OrderedDict)

    @property
    def size(self) -> float:
        """Largest number of tokens in the window."""
        return self.rate * WINDOW_RATE_SECONDS + WINDOW_REQUESTS

    def expire(self, now: float) -> None:
        """Drop the grants that are out of the window.

        :param now: local time in seconds
        """
        while self.granted and now - self.granted[0] >= WINDOW_SECONDS:
            self.granted.popleft()

    def take(self, now: float, others: int, reserve: float = 0.0) -> bool:
        """Take a token if the window allows it.

        :param now: local time in seconds
        :param others: used tokens that other owners have granted
        :param reserve: part of the window to be left, from 0 to 1
        """
        self.expire(now)
        if len(self.granted) + others + 1 > self.size * (1 - reserve):
            return False
        self.granted.append(now)
        return True

    def put_back(self, count: int) -> None:
        """Put unused tokens back, the newest ones of the window."""
        for _ in range(min(count, len(self.granted))):
            self.granted.pop()

    def grant(self, now: float, others: int) -> list[HostId]:
        """Take tokens for the hosts that wait; return a host for each token.

        :param now: local time in seconds
        :param others: used tokens that other owners have granted
        """
        hosts = []
        while self.waiting:
            host, waiting = next(iter(self.waiting.items()))
            if waiting.expires_at <= now or waiting.count <= 0:
                del self.waiting[host]
                continue
            if not self.take(now, others):
                break
            hosts.append(host)
            waiting.count -= 1
            self.waiting.move_to_end(host)
        return hosts


class TokenOwner:
    """Windows of the runners whose tokens this host grants.

    :param count_others: returns how many tokens of a runner all hosts have used in the
        last window that other owners have granted
    :ivar windows: windows by runner instance
    """

    def __init__(self, count_others: Callable[[RunnerKey], int]) -> None:
        self.count_others = count_others
        self.windows: dict[RunnerKey, TokenWindow] = {}

    def ask(
        self,
        runner: RunnerKey,
        host: HostId,
        count: int,
        rate: float,
        now: float,
        until: float,
    ) -> list[Grant]:
        """Set how many tokens a host waits for, and return the grants due now.

        :param count: tokens that the host waits for in all
        :param rate: limit of the runner in requests per second
        :param now: local time in seconds
        :param until: local time after which the host no longer waits
        """
        window = self.open_window(runner, rate)
        known = window.waiting.get(host)
        if known is None:
            window.waiting[host] = Waiting(count, until)
        else:
            known.count, known.expires_at = count, until
        return self._grant(runner, window, now)

    def _grant(self, runner: RunnerKey, window: TokenWindow, now: float) -> list[Grant]:
        if not window.waiting:
            return []
        others = self.count_others(runner)
        return [Grant(runner, host, 1) for host in window.grant(now, others)]

    def ask_for_batch(
        self, runner: RunnerKey, host: HostId, rate: float, now: float
    ) -> list[Grant]:
        """Grant a token for batch if online requests do not need it.

        :param rate: limit of the runner in requests per second
        :param now: local time in seconds
        """
        taken = self.take_spare(runner, rate, now)
        return [Grant(runner, host, 1)] if taken else []

    def take_spare(self, runner: RunnerKey, rate: float, now: float) -> bool:
        """Take a token that online requests do not need, if there is one.

        :param rate: limit of the runner in requests per second
        :param now: local time in seconds
        """
        window = self.open_window(runner, rate)
        is_wanted = any(
            waiting.count > 0 and waiting.expires_at > now
            for waiting in window.waiting.values()
        )
        others = self.count_others(runner)
        return not is_wanted and window.take(now, others, BATCH_RESERVE)

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

    def open_window(self, runner: RunnerKey, rate: float) -> TokenWindow:
        """Return the window of a runner at its present limit.

        :param rate: limit of the runner in requests per second
        """
        rate = max(rate, MIN_RATE)
        window = self.windows.get(runner)
        if window is None:
            window = self.windows[runner] = TokenWindow(rate)
        window.rate = rate
        return window
