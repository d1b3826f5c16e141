"""Simulates batch items that need more slots than are free to meet their deadlines."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import pytest

from primroseford.jobs.forecast import INITIAL_EVENTS
from primroseford.jobs.forecast import RESULT_DELAY_SECONDS
from primroseford.jobs.forecast import Forecast
from primroseford.jobs.forecast import choose_preempted
from primroseford.jobs.forecast import late_items_to_preempt
from primroseford.jobs.forecast import rank

SLOTS = 40
DUE_SECONDS = 18.0
STEP_SECONDS = 0.1
SIMULATED_SECONDS = 40.0
EVENT_SECONDS = 0.033
RESUME_SECONDS = 0.15
ONLINE_IDLE_SECONDS = 3.4
ONLINE_BURST_SECONDS = 2.4
ONLINE_BURST_SLOTS = 28
"""Slots that online requests use during a burst."""
MIN_ON_TIME_SHARE = 0.8
"""Minimum number of items on time, as a share of those that could be on time."""


@dataclass(eq=False)
class SimulatedItem:
    """An item of the simulation.

    :param submitted: simulated time of its submission in seconds
    :param events: number of its events
    :param done: number of events received so far
    :param delay: seconds until its run produces further events
    :param finished: simulated time of its last event in seconds
    """

    submitted: float
    events: float
    done: float = 0.0
    delay: float = 0.0
    finished: float | None = None

    @property
    def is_on_time(self) -> bool:
        """Whether a caller can read the result at most 0.7 s after the deadline."""
        return self.finished is not None and (
            self.finished + RESULT_DELAY_SECONDS <= self.submitted + DUE_SECONDS + 0.7
        )


def create_items(overload: float) -> list[SimulatedItem]:
    """Return the items of jobs with ten items each.

    :param overload: ratio of the items' run time to the capacity that online requests
        leave free
    """
    random = Random(7)
    burst_share = ONLINE_BURST_SECONDS / (ONLINE_IDLE_SECONDS + ONLINE_BURST_SECONDS)
    free = SLOTS - burst_share * ONLINE_BURST_SLOTS
    items_per_second = overload * free / (150 * EVENT_SECONDS)
    items, arrives_at = [], 0.0
    while arrives_at < SIMULATED_SECONDS:
        items += [SimulatedItem(arrives_at, random.gauss(150, 37)) for _ in range(10)]
        arrives_at += random.expovariate(items_per_second / 10)
    return items


def earliest_deadline_first(
    forecast: Forecast, item: SimulatedItem, now: float
) -> tuple:
    """Return a sort key by deadline alone."""
    return (item.submitted, -item.done)


def by_rank(forecast: Forecast, item: SimulatedItem, now: float) -> tuple:
    """Return the sort key under test."""
    due_in = item.submitted + DUE_SECONDS - now
    slack = forecast.slack(round(item.done), due_in)
    return rank(
        slack, forecast.remaining_seconds(round(item.done)), due_in, item.done > 0
    )


def simulate_share_on_time(overload: float, sort_key) -> float:
    """Simulate all items and return the share that is on time."""
    forecast = Forecast()
    items = create_items(overload)
    waiting, running = [], []
    arriving = list(items)
    now = 0.0
    while now < SIMULATED_SECONDS + DUE_SECONDS:
        now += STEP_SECONDS
        is_burst = (
            now % (ONLINE_IDLE_SECONDS + ONLINE_BURST_SECONDS) >= ONLINE_IDLE_SECONDS
        )
        capacity = SLOTS - ONLINE_BURST_SLOTS * is_burst
        while arriving and arriving[0].submitted <= now:
            waiting.append(arriving.pop(0))
        for item in list(running):
            item.delay = max(0.0, item.delay - STEP_SECONDS)
            item.done += 0 if item.delay else STEP_SECONDS / EVENT_SECONDS
            if item.done >= item.events:
                item.finished = now
                running.remove(item)
                forecast.observe(
                    round(item.events), 100, 100 * EVENT_SECONDS + RESUME_SECONDS
                )

        def slack(item: SimulatedItem, now: float = now) -> float:
            due_in = item.submitted + DUE_SECONDS - now
            return forecast.slack(round(item.done), due_in)

        preempted = choose_preempted(
            [slack(i) for i in running], len(running) - capacity
        )
        if sort_key is by_rank and not preempted:
            feasible = sum(slack(i) >= 0 for i in waiting)
            late = [n for n, i in enumerate(running) if slack(i) < 0]
            if len(running) >= capacity:
                preempted = late[
                    : round(late_items_to_preempt(len(late), feasible, len(running)))
                ]
        for item in [running[number] for number in preempted]:
            running.remove(item)
            waiting.append(item)
            item.delay = RESUME_SECONDS
        waiting.sort(key=lambda item: sort_key(forecast, item, now))
        free_slots = max(0, capacity - len(running))
        running += waiting[:free_slots]
        del waiting[:free_slots]
    return sum(item.is_on_time for item in items) / len(items)


@pytest.mark.parametrize("overload", [0.7, 1.0, 1.4, 2.0, 4.0])
def test_items_that_can_meet_their_deadline_start_first(overload):
    """Guards against overload that makes every item miss its deadline."""
    assert simulate_share_on_time(overload, by_rank) >= MIN_ON_TIME_SHARE * min(
        1.0, 1 / overload
    )


def test_earliest_deadline_first_fails_under_overload():
    """Guards against a simulation in which the order makes no difference."""
    assert (
        simulate_share_on_time(1.4, earliest_deadline_first) < MIN_ON_TIME_SHARE / 1.4
    )


@pytest.mark.parametrize(
    ("slacks", "count", "chosen"),
    [
        ([1.0, 5.0, 3.0], 0, []),
        ([1.0, 5.0, 3.0], 2, [1, 2]),
        ([1.0, -2.0, 3.0, -5.0], 3, [3, 1, 2]),
    ],
)
def test_late_items_and_those_with_most_slack_are_preempted(slacks, count, chosen):
    """Guards against preemption of items that would have met their deadline."""
    assert choose_preempted(slacks, count) == chosen


@pytest.mark.parametrize(
    ("late", "feasible", "batch", "expected"),
    [(4, 0, 10, 0.0), (4, 5, 10, 2.0), (4, 50, 10, 4.0), (0, 5, 0, 0.0)],
)
def test_late_items_are_preempted_in_proportion(late, feasible, batch, expected):
    """Guards against preemption of more late items, over all hosts, than there are
    waiting items to replace them."""
    assert late_items_to_preempt(late, feasible, batch) == expected


def test_forecast_learns_from_completed_items():
    """Guards against an order that relies on a wrong initial estimate."""
    forecast = Forecast()
    assert forecast.remaining_seconds(0) > 5.0
    for _ in range(30):
        forecast.observe(100, 100, 100 * 0.02 + 0.2)
    assert forecast.remaining_seconds(0) == pytest.approx(2.2, rel=0.1)
    assert forecast.remaining_seconds(100) == forecast.remaining_seconds(1000) > 0.2
    assert forecast.events < INITIAL_EVENTS
