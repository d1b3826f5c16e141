"""The most slots that online requests took lately.

Answers waves of seconds with lulls between, while batch has time: items that fill a
lull have to step back as the next wave starts, and online requests wait until they
have. What the last waves took is left free, unless batch needs it to be in time.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

PEAK_SECONDS = 12
"""Time for which a peak counts: two waves of the workloads, which come every 6 s."""


@dataclass
class Peaks:
    """Largest number of online requests in flight, by second.

    :ivar by_second: largest number by whole second of local time
    """

    by_second: dict[int, int] = field(default_factory=dict)

    def note(self, online: int, now: float) -> None:
        """Take the present number.

        :param now: local time in seconds
        """
        second = int(now)
        if second not in self.by_second:
            oldest = second - PEAK_SECONDS
            kept = {s: n for s, n in self.by_second.items() if s > oldest}
            self.by_second = kept | {second: 0}
        self.by_second[second] = max(self.by_second[second], online)

    def highest(self, now: float) -> int:
        """Return the largest number of the last seconds; 0 if none is known."""
        oldest = int(now) - PEAK_SECONDS
        counts = [n for s, n in self.by_second.items() if s > oldest]
        return max(counts, default=0)
