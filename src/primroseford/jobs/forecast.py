"""How long items still take, and in which order they go."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

FIRST_EVENTS = 200.0
"""First estimate of the events of an item, from the workloads of the grown sites."""
FIRST_EVENT_SECONDS = 0.03
"""First estimate of the time between two of its events: about the step of an engine
whose slots are all taken."""
START_SECONDS = 0.2
"""Time from the start of a run to its first event: a connection and a prompt."""
LEAST_WEIGHT = 0.1
"""Weight of the newest item in the running means; the first ones count for more."""
LEAST_LEFT = 0.1
"""Part of an item that counts as left at least, since items differ in length."""
LIST_SECONDS = 1.2
"""Time from an item's last event until a caller has read it: the pause in which items
are listed together, and the time between two reads."""
HORIZON_SHARE = 0.4
"""Part of the time in which jobs are due in which the items that wait now shall be
done; the rest is left for waves and for jobs that come together."""
URGENT_SECONDS = 4.0
"""Time that an item has to spare from which it takes any free slot: enough for one wave
and the start of the lull after it."""
PAUSED_SHARE = 1.25
"""Time that an item takes over the time that it runs: it steps back for a part of the
waves."""


@dataclass
class Forecast:
    """What items of one route usually take.

    :param events: events of an item
    :param event_seconds: time between two events of a run
    :param count: items that were seen
    """

    events: float = FIRST_EVENTS
    event_seconds: float = FIRST_EVENT_SECONDS
    count: int = 0

    def observe(self, events: int, run_events: int, run_seconds: float) -> None:
        """Take a complete item.

        :param events: its events in all runs
        :param run_events: its events in the last run
        :param run_seconds: length of the last run
        """
        self.count += 1
        weight = max(LEAST_WEIGHT, 1 / (self.count + 1))
        self.events += weight * (events - self.events)
        if run_events > 0:
            pace = max(0.0, run_seconds - START_SECONDS) / run_events
            self.event_seconds += weight * (pace - self.event_seconds)

    def left(self, events: int) -> float:
        """Return the seconds that an item still runs.

        :param events: events that it has
        """
        left = max(self.events - events, LEAST_LEFT * self.events)
        return START_SECONDS + left * self.event_seconds

    def spare(self, events: int, due_in: float) -> float:
        """Return the seconds that an item has to spare; negative if it will be late.

        :param events: events that it has
        :param due_in: seconds until it is due
        """
        return due_in - PAUSED_SHARE * self.left(events) - LIST_SECONDS


def rank(spare: float, left: float, due_in: float, begun: bool) -> tuple[int, float]:
    """Return the place of an item in the order; the lowest goes first.

    Answers more items than there is room for. The earliest due first would run each
    item just too late, since those that can still be in time always wait behind those
    that hardly can. So items that can be in time go first: of these the begun ones, the
    nearest to their end first, so that no work is lost, then those that are due last,
    which no pause for a wave makes late. Of the late ones, those go first that need the
    least time.

    :param spare: seconds to spare
    :param left: seconds that it still runs
    :param due_in: seconds until it is due
    :param begun: whether it has events
    """
    if spare < 0:
        return (2, left)
    return (0, left) if begun else (1, -due_in)


def needed_slots(ready: int, batch: int, left: float, due: float) -> float:
    """Return the slots that batch needs so that what waits is done early enough.

    Answers the same waves with more items than fit beside their peaks: more slots than
    these items need would only have to be given back when the next wave starts.

    :param ready: waiting items of all hosts that can be in time
    :param batch: running items of all hosts
    :param left: seconds that a whole item runs
    :param due: seconds after its submission in which a job is due
    """
    # Running items are half done on average.
    return (ready + batch / 2) * left / max(1.0, HORIZON_SHARE * due)


def choose_to_pause(spares: Sequence[float], count: int) -> list[int]:
    """Return which running items step back, as indices.

    Those that are late anyway come first, then those with the most time to spare.

    :param spares: seconds that each running item has to spare
    """

    def cost(number: int) -> tuple[bool, float]:
        spare = spares[number]
        return (spare >= 0, -spare if spare >= 0 else spare)

    return sorted(range(len(spares)), key=cost)[:count]


def late_to_yield(late: int, ready: int, batch: int) -> float:
    """Return how many of this host's late items yield to items that can be in time.

    Each host gives up its part, so that together they make room for about as many as
    wait.

    :param late: items that run on this host and will be late
    :param ready: waiting items of all hosts that can be in time
    :param batch: running items of all hosts
    """
    return late * min(1.0, ready / max(1, batch))
