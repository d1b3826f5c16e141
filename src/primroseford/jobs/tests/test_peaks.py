"""Replays waves of online requests beside batch that has time."""

from __future__ import annotations

import math
from random import Random

import pytest

from primroseford.gateway.placement import HEADROOM
from primroseford.gateway.placement import RunnerLoad
from primroseford.gateway.placement import batch_start_limit
from primroseford.gateway.placement import items_to_preempt
from primroseford.gateway.runners import RunnerKey
from primroseford.jobs.forecast import URGENT_SECONDS
from primroseford.jobs.forecast import Forecast
from primroseford.jobs.forecast import needed_slots
from primroseford.jobs.peaks import PEAK_SECONDS
from primroseford.jobs.peaks import Peaks

SLOTS = 320
"""40 engines with 8 slots each, as on the large site."""
ONLINE = (45, 220)
"""Slots that its online requests take in a lull and in a wave."""
ITEM_SECONDS = 5.0
LULL_SECONDS = 3.4
WAVE_SECONDS = 2.4
STEP_SECONDS = 0.05
SECONDS = 40.0
DUE_SECONDS = 18.0
STEP_BACK_SECONDS = 0.1
"""Time in which batch is to step back for a wave."""


def replay(items_a_second: float, lag: float, look_ahead: bool):
    """Run jobs of ten items beside the waves.

    :param lag: time by which the load is known late, in seconds
    :param look_ahead: whether peaks are left free
    :returns: slot-seconds of online requests without a slot, items that stepped back,
        and the part of the items that is done in time
    """
    random = Random(3)
    forecast, peaks = Forecast(150.0, 0.032, 50), Peaks()
    running: list[list[float]] = []
    waiting: list[list[float]] = []
    history: list[int] = []
    crowded, pauses, in_time, count, at = 0.0, 0, 0, 0, 0.0
    now = 0.0
    while now < SECONDS:
        now += STEP_SECONDS
        wave = now % (LULL_SECONDS + WAVE_SECONDS) >= LULL_SECONDS
        online = ONLINE[wave]
        history.append(online)
        while at <= now:
            waiting += [[random.gauss(ITEM_SECONDS, 1.0), at] for _ in range(10)]
            count += 10
            at += random.expovariate(items_a_second / 10)
        for item in list(running):
            item[0] -= STEP_SECONDS * min(1.0, SLOTS / (online + len(running)))
            if item[0] <= 0:
                running.remove(item)
                in_time += now <= item[1] + DUE_SECONDS
        known = history[max(0, len(history) - 1 - round(lag / STEP_SECONDS))]
        peaks.note(known, now)
        key = RunnerKey("all", 1)
        loads = [RunnerLoad(key, "a", SLOTS, known, len(running), len(running))]
        step_back = items_to_preempt(loads, random)
        pauses += step_back
        waiting += running[len(running) - step_back :]
        del running[len(running) - step_back :]
        crowded += max(0, online + len(running) - SLOTS) * STEP_SECONDS
        if step_back:
            continue
        spares = [item[1] + DUE_SECONDS - now - 1.25 * item[0] for item in waiting]
        ready = sum(spare >= 0 for spare in spares)
        limit = math.inf
        if look_ahead:
            calm = (1 - HEADROOM) * SLOTS - peaks.highest(now)
            left = forecast.left(0)
            limit = max(calm, needed_slots(ready, len(running), left, DUE_SECONDS))
        share = batch_start_limit(loads, 1.0, random, limit)
        urgent = [0 <= spare < URGENT_SECONDS for spare in spares]
        greedy = batch_start_limit(loads, 1.0, random)
        chosen = waiting[:share] + [
            item
            for item, first in zip(waiting[share:], urgent[share:], strict=True)
            if first
        ]
        chosen = chosen[:greedy]
        running += chosen
        waiting = [item for item in waiting if item not in chosen]
    started = count - sum(now - item[1] < DUE_SECONDS for item in waiting + running)
    return crowded, pauses, in_time / started


@pytest.mark.parametrize("lag", [0.2, 0.6])
def test_batch_that_has_time_leaves_room_for_the_next_wave(lag):
    """Guards against online requests that wait in each wave until batch steps back.

    Seen on the quiet day of creamline-rounds-large: a quarter of them were late.
    """
    waves = int(SECONDS / (LULL_SECONDS + WAVE_SECONDS))
    growth = (ONLINE[1] - ONLINE[0]) * waves
    crowded, pauses, in_time = replay(22.5, lag, look_ahead=True)
    assert crowded <= growth * STEP_BACK_SECONDS
    assert in_time >= 0.95
    before = replay(22.5, lag, look_ahead=False)
    assert before[0] > crowded and before[1] > pauses


def test_batch_that_does_not_fit_beside_the_peaks_uses_the_lulls():
    """Guards against slots that stay empty while items become late."""
    _, _, in_time = replay(35.0, 0.2, look_ahead=True)
    _, _, before = replay(35.0, 0.2, look_ahead=False)
    assert in_time >= 0.95 * before


@pytest.mark.parametrize(
    ("ready", "batch", "slots"), [(0, 0, 0.0), (72, 0, 50.0), (0, 144, 50.0)]
)
def test_slots_that_batch_needs(ready, batch, slots):
    """Guards against items that wait until they are late, or start all at once."""
    assert needed_slots(ready, batch, 5.0, 18.0) == pytest.approx(slots)


def test_peaks_count_for_a_while():
    """Guards against peaks that last for ever, or only until the next lull."""
    peaks = Peaks()
    assert peaks.highest(5.0) == 0
    for now, online in [(1.0, 3), (1.4, 9), (1.8, 4), (6.0, 2)]:
        peaks.note(online, now)
    assert peaks.highest(6.0) == peaks.highest(1 + PEAK_SECONDS - 0.1) == 9
    assert peaks.highest(1.0 + PEAK_SECONDS) == 2
    assert peaks.highest(6.0 + PEAK_SECONDS) == 0
