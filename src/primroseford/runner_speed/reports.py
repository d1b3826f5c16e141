"""Choice and validation of what hosts tell each other on the speed of runners."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from primroseford.runner_speed.speed import MAX_LOG_SPEED
from primroseford.runner_speed.speed import MAX_SPEED
from primroseford.runner_speed.speed import MIN_SPEED
from primroseford.runner_speed.speed import SLOWNESS_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseford.ids import HostId
    from primroseford.runner_speed.speed import RunnerSpeed

MAX_REPORTED_SPEEDS = 40
"""Runners in one heartbeat, which must fit a datagram: about 25 bytes each."""
SLOWNESS_CHANGE = 0.25
"""Change of the momentary slowness that is reported. A smaller one changes the expected
times less than the requests of other hosts that are not known yet."""
WEIGHT_GROWTH = 1.25
"""Growth of the weight of a lasting speed after which it is reported again."""
REPEAT_SECONDS = 10.0
"""Interval at which what is known of a runner in use is repeated, for hosts that have
lost a heartbeat or have started since."""
MIN_SLOWNESS, MAX_SLOWNESS = 0.2, 10.0
MAX_RESPONSES = 1_000_000


class SpeedReport(NamedTuple):
    """Report of one host on one runner.

    :param speed: lasting speed that the host measured; 1 is that of the pool
    :param responses: number of responses behind it; 0 if it has measured none
    :param slowness: momentary slowness; 0 if the runner has not told it lately
    :param age: seconds since the runner told it
    """

    speed: float
    responses: int
    slowness: float
    age: float

    @property
    def is_valid(self) -> bool:
        """Whether all figures are within their bounds."""
        return (
            MIN_SPEED <= self.speed <= MAX_SPEED
            and 0 <= self.responses <= MAX_RESPONSES
            and (not self.slowness or MIN_SLOWNESS <= self.slowness <= MAX_SLOWNESS)
            and self.age >= 0
        )

    def apply(self, speed: RunnerSpeed, host: HostId, now: float) -> None:
        """Merge a valid report of another host.

        :param now: local time in seconds
        """
        if self.responses:
            speed.set_peer_speed(host, self.speed, self.responses)
        if self.slowness:
            speed.set_peer_slowness(self.slowness, now - self.age)


def has_news(speed: RunnerSpeed, now: float) -> bool:
    """Return whether other hosts should be told of a runner.

    :param now: local time in seconds
    """
    is_fresh = now - speed.slowness_at < SLOWNESS_SECONDS
    if is_fresh and speed.slowness_at > speed.told_at:
        # What the other hosts still believe of the last report.
        weight = max(0.0, 1.0 - (now - speed.told_at) / SLOWNESS_SECONDS)
        believed = 1.0 + (speed.told_slowness - 1.0) * weight
        if abs(speed.slowness - believed) >= SLOWNESS_CHANGE:
            return True
    if speed.own_weight > speed.told_weight * WEIGHT_GROWTH:
        return True
    return bool(speed.own_weight) and now - speed.told_at >= REPEAT_SECONDS


def choose_reported(speeds: Iterable[RunnerSpeed], now: float) -> list[RunnerSpeed]:
    """Return the runners to report now, those told longest ago first.

    :param now: local time in seconds
    """
    news = [speed for speed in speeds if has_news(speed, now)]
    news.sort(key=lambda speed: speed.told_at)
    return news[:MAX_REPORTED_SPEEDS]


def create_report(speed: RunnerSpeed, now: float) -> SpeedReport:
    """Return the report of this host on a runner and record that it was told.

    :param now: local time in seconds
    """
    age = now - speed.slowness_at
    is_fresh = age < SLOWNESS_SECONDS
    speed.told_at, speed.told_weight = now, speed.own_weight
    speed.told_slowness = speed.slowness if is_fresh else 1.0
    own_log = min(MAX_LOG_SPEED, max(-MAX_LOG_SPEED, speed.own_log))
    return SpeedReport(
        min(MAX_SPEED, max(MIN_SPEED, math.exp(own_log))),
        math.ceil(speed.own_weight),
        speed.slowness if is_fresh else 0.0,
        max(0.0, age) if is_fresh else 0.0,
    )
