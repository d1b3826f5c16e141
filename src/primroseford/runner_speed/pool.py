"""Usual time between the events of a pool's responses, by the load of the runner."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.runner_speed.speed import RunnerSpeed

LOAD_LEVELS = 4
"""Levels of requests in flight relative to the slots, for each of which the usual time
between events is learned: the steps of an engine take longer with more requests, and
the prompts of other requests are read between them."""
MIN_INTERVALS = 4
"""Fewest intervals between events of a response that count. The first intervals of a
response often include the reading of other prompts."""
USUAL_INTERVALS = 18
"""Intervals of a response with the weight 1: an online request of the workloads."""
MAX_RESPONSE_WEIGHT = 8.0
"""Largest weight of one response: a batch item lasts as long as seven online requests
and covers as many periods of momentary slowness."""
MAX_LOG_RATIO = math.log(4.0)
"""Bound of one measurement: a response that is stalled further, for example by a caller
who reads slowly, says nothing more of the runner's speed."""
MIN_UPDATE_WEIGHT = 0.02
"""Smallest weight of one response in the means of the pool."""


@dataclass
class ResponseTimes:
    """Times of the events of one response.

    :param first_at: local time in seconds of the first events
    :param last_at: that of the last events so far
    :param intervals: number of events after the first ones
    """

    first_at: float = 0.0
    last_at: float = 0.0
    intervals: int = -1

    def note(self, events: int, now: float) -> None:
        """Record events that have been received together."""
        if self.intervals < 0:
            self.first_at, self.intervals = now, 0
        else:
            self.intervals += events
        self.last_at = now


@dataclass
class PoolTimes:
    """Means of a pool, each over all measured responses.

    Only ratios of times on one host are used, since a host that is itself slow measures
    all runners as slow.

    :param levels: logarithm of the time between events of a runner of speed 1, and the
        number of responses, by load level
    :param log_speed: logarithm of the speed of the runners that sent the responses. It
        keeps the mean speed at 1: the levels alone leave the scale of speeds open.
    :param count: number of responses
    """

    levels: list[tuple[float, int]] = field(
        default_factory=lambda: [(0.0, 0)] * LOAD_LEVELS
    )
    log_speed: float = 0.0
    count: int = 0

    def measure(
        self, speed: RunnerSpeed, times: ResponseTimes, in_flight: int, slots: int
    ) -> float | None:
        """Update the model with a response.

        :param speed: speed of the runner that sent it
        :param in_flight: requests and items on the runner, this one included
        :returns: time between the events as a multiple of what the model expected;
            ``None`` if the response is too short
        """
        seconds = times.last_at - times.first_at
        if times.intervals < MIN_INTERVALS or seconds <= 0:
            return None
        log_seconds = math.log(seconds / times.intervals)
        level = min(LOAD_LEVELS - 1, max(0, (in_flight - 1) * LOAD_LEVELS // slots))
        known = speed.log_lasting
        mean, count = self.levels[level]
        if not count:
            mean = self._nearest(level, log_seconds + known)
        log_speed = mean - self.log_speed - log_seconds
        weight = min(MAX_RESPONSE_WEIGHT, times.intervals / USUAL_INTERVALS)
        self._update(level, log_seconds + known, known)
        speed.note_speed(min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_speed)), weight)
        return math.exp(log_seconds - mean + known)

    def _nearest(self, level: int, default: float) -> float:
        """Return the mean of the nearest load level that has one."""
        measured = [n for n in range(LOAD_LEVELS) if self.levels[n][1]]
        if not measured:
            return default
        return self.levels[min(measured, key=lambda n: abs(n - level))][0]

    def _update(self, level: int, log_seconds: float, log_speed: float) -> None:
        mean, count = self.levels[level]
        weight = max(MIN_UPDATE_WEIGHT, 1 / (count + 1))
        self.levels[level] = (mean + weight * (log_seconds - mean), count + 1)
        self.count += 1
        weight = max(MIN_UPDATE_WEIGHT, 1 / self.count)
        self.log_speed += weight * (log_speed - self.log_speed)


@dataclass
class ModelErrors:
    """Errors of the model since the last log line.

    :param log_sum: sum of the logarithms of measured by expected times, without signs
    """

    count: int = 0
    log_sum: float = 0.0
    logged_at: float = -math.inf

    def note(self, ratio: float) -> None:
        """Add the ratio of a measured time to the expected one."""
        self.count += 1
        self.log_sum += abs(math.log(ratio))

    def take_mean(self) -> float:
        """Return the typical error as a factor, and begin again."""
        mean = math.exp(self.log_sum / max(1, self.count))
        self.count, self.log_sum = 0, 0.0
        return mean
