"""Replays waves of online requests over hosts that hear each other some time late."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

import pytest

from primroseford.gateway.placement import RunnerLoad
from primroseford.gateway.placement import batch_start_limit
from primroseford.gateway.placement import heartbeat_interval
from primroseford.gateway.placement import items_to_preempt
from primroseford.gateway.runners import RunnerKey
from primroseford.jobs.round_budget import Pace
from primroseford.jobs.service import TICK_SECONDS

SLOTS = 360
"""45 runners with 8 slots each, as on the grown sites."""
LULL_SECONDS = 3.4
WAVE_SECONDS = 2.4
ONLINE = (80, 290)
"""Slots that online requests take in a lull and in a wave."""
ITEM_SECONDS = 4.0
READ_AGAIN_SECONDS = 0.15
"""Time to connect and to read the prompt and the events again after a pause."""
ITEMS = 1200
SECONDS = 30.0
STEP_BACK_SECONDS = 0.1
"""Time in which batch is to step back for a wave."""


@dataclass
class Outcome:
    """What a replay showed.

    :ivar pauses: items that stepped back
    :ivar crowded: slot-seconds of online requests without a slot
    """

    pauses: int = 0
    crowded: float = 0.0
    done: int = 0


def replay(hosts: int, paced: bool) -> Outcome:
    """Run the decisions of all hosts through some waves.

    Each host has the same number of items, which keep their progress when they pause.

    :param paced: whether a host decides once for each round of heartbeats
    """
    random = Random(5)
    interval = heartbeat_interval(hosts)
    waiting = [[ITEM_SECONDS] * (ITEMS // hosts) for _ in range(hosts)]
    running: list[list[float]] = [[] for _ in range(hosts)]
    told = [0] * hosts
    told_online = [ONLINE[0] / hosts] * hosts
    told_at = [random.random() * interval for _ in range(hosts)]
    paces = [Pace() for _ in range(hosts)]
    outcome = Outcome()
    for step in range(int(SECONDS / TICK_SECONDS)):
        now = step * TICK_SECONDS
        wave = now % (LULL_SECONDS + WAVE_SECONDS) >= LULL_SECONDS
        online = ONLINE[wave]
        # Beyond the slots, requests wait at the runners in order of arrival.
        speed = min(1.0, SLOTS / (online + sum(map(len, running))))
        for host in range(hosts):
            left = [seconds - TICK_SECONDS * speed for seconds in running[host]]
            running[host] = [seconds for seconds in left if seconds > 0]
            outcome.done += len(left) - len(running[host])
            own = len(running[host])
            batch = sum(told) - told[host] + own
            key = RunnerKey("all", 1)
            seen = sum(told_online) - told_online[host] + online / hosts
            load = [RunnerLoad(key, "a", SLOTS, round(seen), batch, own)]
            paces[host].renew(now, interval if paced else 0.0)
            if "all" not in paces[host].paused:
                count = items_to_preempt(load, random)
                if count:
                    paces[host].paused.add("all")
                    outcome.pauses += count
                    again = running[host][own - count :]
                    waiting[host] += [left + READ_AGAIN_SECONDS for left in again]
                    # The furthest advanced goes on first.
                    waiting[host].sort()
                    del running[host][own - count :]
            if not paces[host].paused and "all" not in paces[host].starts:
                share = min(
                    batch_start_limit(load, 1 / hosts, random), len(waiting[host])
                )
                paces[host].starts["all"] = share
                running[host] += waiting[host][:share]
                del waiting[host][:share]
            if now - told_at[host] >= interval:
                told[host], told_at[host] = len(running[host]), now
                told_online[host] = online / hosts
        crowd = online + sum(map(len, running)) - SLOTS
        outcome.crowded += max(0, crowd) * TICK_SECONDS
    return outcome


@pytest.mark.parametrize("hosts", [1, 8, 54])
def test_batch_steps_back_once_for_each_wave(hosts):
    """Guards against items that pause and start again several times a wave.

    Online requests wait for a slot for 100 ms of each wave at most, the time in which
    batch is to step back, or for one round of heartbeats where that takes longer.
    """
    waves = math.ceil(SECONDS / (LULL_SECONDS + WAVE_SECONDS)) - 1
    growth = (ONLINE[1] - ONLINE[0]) * waves
    outcome = replay(hosts, paced=True)
    assert outcome.pauses <= 1.25 * growth
    assert outcome.crowded <= growth * max(STEP_BACK_SECONDS, heartbeat_interval(hosts))


@pytest.mark.parametrize("hosts", [8, 20, 54])
def test_pace_costs_batch_little(hosts):
    """Guards against slots that stay empty while hosts wait for heartbeats."""
    unpaced, paced = replay(hosts, paced=False), replay(hosts, paced=True)
    assert paced.done >= 0.95 * unpaced.done


def test_pace_answers_what_many_hosts_did_without_it():
    """Guards against a pace that changes nothing for the load that it answers."""
    unpaced, paced = replay(54, paced=False), replay(54, paced=True)
    assert paced.pauses < 0.5 * unpaced.pauses
    assert paced.crowded < unpaced.crowded
