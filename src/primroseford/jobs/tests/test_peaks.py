"""Simulates waves of online requests beside batch items with slack."""

from __future__ import annotations

import math
from random import Random

import pytest

from primroseford.gateway.placement import HEADROOM
from primroseford.gateway.placement import RunnerLoad
from primroseford.gateway.placement import batch_start_limit
from primroseford.gateway.placement import items_to_preempt
from primroseford.gateway.runners import RunnerKey
from primroseford.jobs.forecast import URGENT_SLACK_SECONDS
from primroseford.jobs.forecast import Forecast
from primroseford.jobs.forecast import needed_slots
from primroseford.jobs.peaks import PEAK_WINDOW_SECONDS
from primroseford.jobs.peaks import Peaks

SLOTS = 320
"""40 engines with 8 slots each, as on a large site."""
ONLINE = (45, 220)
"""Slots that online requests use in a lull and in a wave."""
ITEM_SECONDS = 5.0
LULL_SECONDS = 3.4
WAVE_SECONDS = 2.4
STEP_SECONDS = 0.05
SIMULATED_SECONDS = 40.0
DUE_SECONDS = 18.0
PREEMPTION_SECONDS = 0.1
"""Time in which batch items must be preempted for a wave."""


def replay(items_per_second: float, report_lag: float, reserve_peaks: bool):
    """Simulate jobs of ten items beside the waves.

    :param report_lag: age of the load reports in seconds
    :param reserve_peaks: whether slots for recent peaks are kept free
    :returns: slot-seconds of online requests without a slot, number of preemptions,
        and share of the items that meet their deadline
    """
    random = Random(3)
    forecast, peaks = Forecast(150.0, 0.032, 50), Peaks()
    running: list[list[float]] = []
    waiting: list[list[float]] = []
    history: list[int] = []
    excess, preemptions, in_time, count, at = 0.0, 0, 0, 0, 0.0
    now = 0.0
    while now < SIMULATED_SECONDS:
        now += STEP_SECONDS
        wave = now % (LULL_SECONDS + WAVE_SECONDS) >= LULL_SECONDS
        online = ONLINE[wave]
        history.append(online)
        while at <= now:
            waiting += [[random.gauss(ITEM_SECONDS, 1.0), at] for _ in range(10)]
            count += 10
            at += random.expovariate(items_per_second / 10)
        for item in list(running):
            item[0] -= STEP_SECONDS * min(1.0, SLOTS / (online + len(running)))
            if item[0] <= 0:
                running.remove(item)
                in_time += now <= item[1] + DUE_SECONDS
        known = history[max(0, len(history) - 1 - round(report_lag / STEP_SECONDS))]
        peaks.record(known, now)
        key = RunnerKey("all", 1)
        loads = [RunnerLoad(key, "a", SLOTS, known, len(running), len(running))]
        preempted = items_to_preempt(loads, random)
        preemptions += preempted
        waiting += running[len(running) - preempted :]
        del running[len(running) - preempted :]
        excess += max(0, online + len(running) - SLOTS) * STEP_SECONDS
        if preempted:
            continue
        slacks = [item[1] + DUE_SECONDS - now - 1.25 * item[0] for item in waiting]
        feasible = sum(slack >= 0 for slack in slacks)
        limit = math.inf
        if reserve_peaks:
            off_peak = (1 - HEADROOM) * SLOTS - peaks.highest(now)
            remaining = forecast.remaining_seconds(0)
            limit = max(
                off_peak, needed_slots(feasible, len(running), remaining, DUE_SECONDS)
            )
        share = batch_start_limit(loads, 1.0, random, limit)
        urgent = [0 <= slack < URGENT_SLACK_SECONDS for slack in slacks]
        free_limit = batch_start_limit(loads, 1.0, random)
        chosen = waiting[:share] + [
            item
            for item, first in zip(waiting[share:], urgent[share:], strict=True)
            if first
        ]
        chosen = chosen[:free_limit]
        running += chosen
        waiting = [item for item in waiting if item not in chosen]
    started = count - sum(now - item[1] < DUE_SECONDS for item in waiting + running)
    return excess, preemptions, in_time / started


@pytest.mark.parametrize("report_lag", [0.2, 0.6])
def test_batch_with_slack_keeps_slots_free_for_the_next_wave(report_lag):
    """Guards against online requests that wait in each wave until batch is preempted.

    On creamline-rounds-large, on a day without faults, a quarter of the online requests
    were late.
    """
    waves = int(SIMULATED_SECONDS / (LULL_SECONDS + WAVE_SECONDS))
    growth = (ONLINE[1] - ONLINE[0]) * waves
    excess, preemptions, in_time = replay(22.5, report_lag, reserve_peaks=True)
    assert excess <= growth * PREEMPTION_SECONDS
    assert in_time >= 0.95
    before = replay(22.5, report_lag, reserve_peaks=False)
    assert before[0] > excess and before[1] > preemptions


def test_batch_beyond_off_peak_capacity_uses_the_lulls():
    """Guards against slots that stay idle while items miss their deadlines."""
    _, _, in_time = replay(35.0, 0.2, reserve_peaks=True)
    _, _, before = replay(35.0, 0.2, reserve_peaks=False)
    assert in_time >= 0.95 * before


@pytest.mark.parametrize(
    ("feasible", "batch", "slots"), [(0, 0, 0.0), (72, 0, 50.0), (0, 144, 50.0)]
)
def test_needed_slots(feasible, batch, slots):
    """Guards against items that wait until they are late, or that all start at once."""
    assert needed_slots(feasible, batch, 5.0, 18.0) == pytest.approx(slots)


def test_peak_expires_after_its_window():
    """Guards against peaks that never expire, or that expire in the next lull."""
    peaks = Peaks()
    assert peaks.highest(5.0) == 0
    for now, online in [(1.0, 3), (1.4, 9), (1.8, 4), (6.0, 2)]:
        peaks.record(online, now)
    assert peaks.highest(6.0) == peaks.highest(1 + PEAK_WINDOW_SECONDS - 0.1) == 9
    assert peaks.highest(1.0 + PEAK_WINDOW_SECONDS) == 2
    assert peaks.highest(6.0 + PEAK_WINDOW_SECONDS) == 0
