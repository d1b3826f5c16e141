"""Estimates the remaining run time of batch items and ranks them by slack."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

INITIAL_EVENTS = 200.0
"""Initial estimate of the events of an item, from the workloads of large sites."""
INITIAL_EVENT_SECONDS = 0.03
"""Initial estimate of the time between two events of an item: about the decoding step
of an engine with all slots in use."""
RUN_START_SECONDS = 0.2
"""Time from the start of a run to its first event: connection setup and prompt
processing."""
MIN_SAMPLE_WEIGHT = 0.1
"""Minimum EWMA weight of a sample; the first samples weigh more."""
MIN_REMAINING_SHARE = 0.1
"""Minimum share of an item's events that is assumed to remain, since items differ in
length."""
RESULT_DELAY_SECONDS = 1.2
"""Time from an item's last event until a caller has read its result: the delay in which
results are collected into one commit, and the interval between two reads."""
HORIZON_SHARE = 0.4
"""Share of a job's time limit in which the items that wait now should complete; the
rest is a reserve for waves of online requests and for jobs that arrive together."""
URGENT_SLACK_SECONDS = 4.0
"""Slack below which an item may use any free slot: enough for one wave of online
requests and the start of the lull after it."""
PREEMPTION_FACTOR = 1.25
"""Ratio of the time until an item completes to its run time, since it is preempted
during some waves of online requests."""


@dataclass
class Forecast:
    """Moving averages of the length and speed of one route's items.

    :param events: events of an item
    :param event_seconds: time between two events of a run
    :param count: number of completed items observed
    """

    events: float = INITIAL_EVENTS
    event_seconds: float = INITIAL_EVENT_SECONDS
    count: int = 0

    def observe(self, events: int, run_events: int, run_seconds: float) -> None:
        """Update the estimate with a completed item.

        :param events: its events in all runs
        :param run_events: its events in the last run
        :param run_seconds: duration of the last run
        """
        self.count += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / (self.count + 1))
        self.events += weight * (events - self.events)
        if run_events > 0:
            sample = max(0.0, run_seconds - RUN_START_SECONDS) / run_events
            self.event_seconds += weight * (sample - self.event_seconds)

    def remaining_seconds(self, events: int) -> float:
        """Return the estimated remaining run time of an item in seconds.

        :param events: events received so far
        """
        remaining = max(self.events - events, MIN_REMAINING_SHARE * self.events)
        return RUN_START_SECONDS + remaining * self.event_seconds

    def slack(self, events: int, due_in: float) -> float:
        """Return an item's slack in seconds; negative if it will miss its deadline.

        :param events: events received so far
        :param due_in: seconds until the deadline
        """
        return (
            due_in
            - PREEMPTION_FACTOR * self.remaining_seconds(events)
            - RESULT_DELAY_SECONDS
        )


def rank(
    slack: float, remaining: float, due_in: float, has_progress: bool
) -> tuple[int, float]:
    """Return the sort key of an item; the lowest starts first.

    Under overload, earliest deadline first would complete every item just too late,
    since items that can still meet their deadline would queue behind those that barely
    can. So items that can meet their deadline come first: among them the partly run
    ones, shortest remaining time first, so that no work is lost, then those with the
    latest deadline, which stay on time even if a wave preempts them. Late items come
    last, shortest remaining time first.

    :param slack: seconds of slack
    :param remaining: estimated remaining run time in seconds
    :param due_in: seconds until the deadline
    :param has_progress: whether the item has received events
    """
    if slack < 0:
        return (2, remaining)
    return (0, remaining) if has_progress else (1, -due_in)


def needed_slots(
    feasible: int, batch: int, remaining: float, time_limit: float
) -> float:
    """Return the slots that batch needs to complete the backlog early enough.

    Covers loads in which more items wait than fit into the slots that the peaks of
    online requests leave. Slots beyond this number would only be preempted when the
    next wave starts.

    :param feasible: waiting items of all hosts that can meet their deadline
    :param batch: running items of all hosts
    :param remaining: run time of a whole item in seconds
    :param time_limit: seconds from a job's submission to its deadline
    """
    # On average, running items are half complete.
    return (feasible + batch / 2) * remaining / max(1.0, HORIZON_SHARE * time_limit)


def choose_preempted(slacks: Sequence[float], count: int) -> list[int]:
    """Return the indices of the running items to preempt.

    Items that miss their deadline anyway come first, then those with the most slack.

    :param slacks: slack of each running item in seconds
    """

    def cost(number: int) -> tuple[bool, float]:
        slack = slacks[number]
        return (slack >= 0, -slack if slack >= 0 else slack)

    return sorted(range(len(slacks)), key=cost)[:count]


def late_items_to_preempt(late: int, feasible: int, batch: int) -> float:
    """Return how many late items to preempt for items that can meet their deadline.

    Each host preempts its proportional share, so that all hosts together free about as
    many slots as there are such waiting items.

    :param late: running items of this host that will miss their deadline
    :param feasible: waiting items of all hosts that can meet their deadline
    :param batch: running items of all hosts
    """
    return late * min(1.0, feasible / max(1, batch))
