"""Speed of one runner instance: a lasting part and a momentary one."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.ids import HostId

SLOWNESS_SECONDS = 0.6
"""Time after which a report of momentary slowness no longer counts: the mean duration
of the slow periods that other workloads on the machine cause."""
MAX_WEIGHT = 40.0
"""Largest weight of one host's measurements. A new response then has the weight 1/40,
so that a slow period changes the lasting speed by some per cent only."""
PRIOR_WEIGHT = 2.0
"""Weight, in responses, of the assumption that a runner has the speed of its pool. One
response may fall into a period of momentary slowness."""
MIN_SPEED, MAX_SPEED = 0.1, 10.0
"""Bounds of the lasting speed, relative to the usual one of the pool."""
MAX_LOG_SPEED = math.log(MAX_SPEED)


@dataclass(eq=False)
class RunnerSpeed:
    """What a host knows of the speed of one runner instance.

    The lasting speed is the geometric mean of what this host and the others measured,
    relative to the usual speed of the pool, weighted by the responses behind it.

    :param own_log: logarithm of the speed that this host measured
    :param own_weight: weight of that, in responses
    :param peers: logarithm and weight of what each other host reported
    :param log_lasting: logarithm of the lasting speed
    :param lasting: lasting speed; 1 is that of the pool
    :param slowness: time that work last took there, relative to its lasting speed
    :param slowness_at: local time in seconds of that report
    :param told_at: local time in seconds at which this host last reported the runner
    :param told_slowness: slowness that it reported then
    :param told_weight: weight of the lasting speed that it reported then
    """

    own_log: float = 0.0
    own_weight: float = 0.0
    peers: dict[HostId, tuple[float, float]] = field(default_factory=dict)
    peer_log_sum: float = 0.0
    peer_weight: float = 0.0
    log_lasting: float = 0.0
    lasting: float = 1.0
    slowness: float = 1.0
    slowness_at: float = -math.inf
    told_at: float = -math.inf
    told_slowness: float = 1.0
    told_weight: float = 0.0

    def time_factor(self, now: float) -> float:
        """Return the time that work takes there, relative to the usual one of the pool.

        :param now: local time in seconds
        """
        age = now - self.slowness_at
        if age >= SLOWNESS_SECONDS:
            return 1.0 / self.lasting
        weight = 1.0 - max(0.0, age) / SLOWNESS_SECONDS
        return (1.0 + (self.slowness - 1.0) * weight) / self.lasting

    def note_slowness(self, hundredths: int, now: float) -> None:
        """Record what the runner reported in a response of this moment."""
        self.slowness = hundredths / 100
        self.slowness_at = now

    def note_speed(self, log_speed: float, weight: float) -> None:
        """Add a measurement of this host.

        :param log_speed: logarithm of the speed relative to that of the pool
        :param weight: weight of the measurement, in responses
        """
        self.own_weight = min(MAX_WEIGHT, self.own_weight + weight)
        self.own_log += (log_speed - self.own_log) * weight / self.own_weight
        self._combine()

    def set_peer_speed(self, host: HostId, speed: float, weight: float) -> None:
        """Replace the lasting speed that another host reports."""
        self._subtract(host)
        log_speed, weight = math.log(speed), min(MAX_WEIGHT, weight)
        self.peers[host] = (log_speed, weight)
        self.peer_log_sum += log_speed * weight
        self.peer_weight += weight
        self._combine()

    def set_peer_slowness(self, slowness: float, at: float) -> None:
        """Record the slowness that another host reports, unless a newer one is known.

        :param at: local time in seconds at which the runner reported it
        """
        if at > self.slowness_at:
            self.slowness, self.slowness_at = slowness, at

    def remove_peer(self, host: HostId) -> None:
        """Remove what a lost host has reported."""
        if host in self.peers:
            self._subtract(host)
            self._combine()

    def _subtract(self, host: HostId) -> None:
        log_speed, weight = self.peers.pop(host, (0.0, 0.0))
        self.peer_log_sum -= log_speed * weight
        self.peer_weight -= weight
        if not self.peers:
            # Rounding errors must not remain without a report.
            self.peer_log_sum = self.peer_weight = 0.0

    def _combine(self) -> None:
        total = PRIOR_WEIGHT + self.own_weight + self.peer_weight
        mean = (self.own_log * self.own_weight + self.peer_log_sum) / total
        self.log_lasting = min(MAX_LOG_SPEED, max(-MAX_LOG_SPEED, mean))
        self.lasting = math.exp(self.log_lasting)
