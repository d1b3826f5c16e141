"""Recent peak number of online requests in flight.

Online requests arrive in waves of a few seconds with lulls between. Items that fill a
lull must be preempted when the next wave starts, and online requests wait until that is
done. So the slots that recent waves used are kept free, unless batch needs them to meet
its deadlines.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

PEAK_WINDOW_SECONDS = 12
"""Window of the maximum: two waves of the workloads, which arrive every 6 s."""


@dataclass
class Peaks:
    """Sliding-window maximum of the online requests in flight.

    :ivar by_second: largest number by whole second of local time
    """

    by_second: dict[int, int] = field(default_factory=dict)

    def record(self, online: int, now: float) -> None:
        """Record the current number.

        :param online: online requests in flight
        :param now: local time in seconds
        """
        second = int(now)
        if second not in self.by_second:
            oldest = second - PEAK_WINDOW_SECONDS
            kept = {s: n for s, n in self.by_second.items() if s > oldest}
            self.by_second = kept | {second: 0}
        self.by_second[second] = max(self.by_second[second], online)

    def highest(self, now: float) -> int:
        """Return the maximum within the window; 0 without samples."""
        oldest = int(now) - PEAK_WINDOW_SECONDS
        counts = [n for s, n in self.by_second.items() if s > oldest]
        return max(counts, default=0)
