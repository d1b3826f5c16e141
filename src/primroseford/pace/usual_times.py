"""Times in which the runners of each pool usually respond, by their load."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.ids import PoolName

LOAD_STEPS = 4
"""Steps of the load from an idle runner to one whose slots are all taken; one more
stands for runners with a queue."""
WEIGHT = 0.1
"""Weight of one response in the EWMA, as for the time to the first event."""
TOLERANCE = 2.0
"""Multiple of the usual time from which a response is slow. Times vary with the length
of prompts; a runner at half of the usual speed can still be fully used."""


@dataclass
class UsualTimes:
    """Response times of the runners that are fully used.

    :ivar means: EWMA of the times in seconds, by pool and step of the load
    """

    means: dict[PoolName, dict[int, float]] = field(default_factory=dict)

    def record(self, pool: PoolName, load: float, seconds: float) -> None:
        """Record a response.

        :param load: requests in flight at the runner, as a fraction of its slots
        :param seconds: time from the request to the first event
        """
        means = self.means.setdefault(pool, {})
        step = _step(load)
        mean = means.get(step, seconds)
        means[step] = mean + WEIGHT * (seconds - mean)

    def is_slow(self, pool: PoolName, load: float, seconds: float) -> bool:
        """Return whether a response took longer than usual at this load.

        If nothing is known of the load, the nearest known one counts. If nothing is
        known of the pool, no response is slow.

        :param load: requests in flight at the runner, as a fraction of its slots
        :param seconds: time from the request to the first event
        """
        means = self.means.get(pool)
        if not means:
            return False
        step = _step(load)
        nearest = min(means, key=lambda known: abs(known - step))
        return seconds > TOLERANCE * means[nearest]


def _step(load: float) -> int:
    return min(LOAD_STEPS, int(LOAD_STEPS * load))
