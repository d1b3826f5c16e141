"""What a host knows of the runners' limits, from responses and from other hosts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroseford.gateway.runners import RunnerKey

REPORT_SECONDS = 2.0
"""Time for which a host reports what a response said. Each response renews it, so that
a host that starts learns of the limits that are in use."""
END_MARGIN_SECONDS = 0.3
"""How much newer the report of another host must be to end a limit. The age of a report
does not include its time on the network, which is up to two relay intervals."""


@dataclass(frozen=True)
class Observation:
    """Limit in one response of a runner.

    :param rate: requests per second; ``None`` if the response named no limit
    :param at: local time of the response in seconds
    """

    rate: float | None
    at: float


class LimitReport(NamedTuple):
    """Observation of this host as its heartbeats report it.

    :param rate: requests per second; ``None`` if the response named no limit
    :param age: seconds since the response
    """

    runner: RunnerKey
    rate: float | None
    age: float


class LimitObservations:
    """The newest known observation of each runner that has named a limit.

    :ivar newest: newest observation of any host, by runner instance
    :ivar own: newest observation of this host
    """

    def __init__(self) -> None:
        self.newest: dict[RunnerKey, Observation] = {}
        self.own: dict[RunnerKey, Observation] = {}

    def rate(self, runner: RunnerKey) -> float | None:
        """Return the limit of a runner; ``None`` if it has none."""
        known = self.newest.get(runner)
        return known.rate if known is not None else None

    def observe(self, runner: RunnerKey, rate: float | None, now: float) -> bool:
        """Record a response to this host; return whether the limit has changed.

        :param rate: requests per second; ``None`` if the response named no limit
        :param now: local time in seconds
        """
        if rate is None and runner not in self.newest:
            return False
        observation = Observation(rate, now)
        self.own[runner] = observation
        return self._replace(runner, observation)

    def merge(self, runner: RunnerKey, rate: float | None, at: float) -> bool:
        """Apply the report of another host; return whether the limit has changed.

        :param at: local time of the response in seconds
        """
        known = self.newest.get(runner)
        if known is None:
            return rate is not None and self._replace(runner, Observation(rate, at))
        margin = END_MARGIN_SECONDS if rate is None and known.rate is not None else 0.0
        if at <= known.at + margin:
            return False
        return self._replace(runner, Observation(rate, at))

    def _replace(self, runner: RunnerKey, observation: Observation) -> bool:
        changed = self.rate(runner) != observation.rate
        self.newest[runner] = observation
        return changed

    def reports(self, now: float) -> list[LimitReport]:
        """Return the recent observations of this host.

        :param now: local time in seconds
        """
        return [
            LimitReport(runner, known.rate, now - known.at)
            for runner, known in self.own.items()
            if now - known.at < REPORT_SECONDS
        ]

    def forget(self, listed: Collection[RunnerKey], now: float) -> None:
        """Drop what is known of runners that are gone or no longer name a limit.

        :param listed: runner instances of the runner list
        :param now: local time in seconds
        """
        for runner, known in list(self.newest.items()):
            ended = known.rate is None and now - known.at >= REPORT_SECONDS
            if ended or runner not in listed:
                del self.newest[runner]
                self.own.pop(runner, None)
