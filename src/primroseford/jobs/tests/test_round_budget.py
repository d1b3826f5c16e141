"""Simulates waves of online requests on hosts with delayed load reports."""

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
from primroseford.jobs.round_budget import RoundBudget
from primroseford.jobs.service import TICK_SECONDS

SLOTS = 360
"""45 runners with 8 slots each, as on large sites."""
LULL_SECONDS = 3.4
WAVE_SECONDS = 2.4
ONLINE = (80, 290)
"""Slots that online requests use in a lull and in a wave."""
ITEM_SECONDS = 4.0
RESUME_SECONDS = 0.15
"""Time to connect and to process the prompt and the events again after a preemption."""
ITEMS = 1200
SIMULATED_SECONDS = 30.0
PREEMPTION_SECONDS = 0.1
"""Time in which batch items must be preempted for a wave."""


@dataclass
class ReplayResult:
    """Result of a simulation.

    :ivar preemptions: number of preempted items
    :ivar excess: slot-seconds of online requests without a slot
    :ivar completed: number of completed items
    """

    preemptions: int = 0
    excess: float = 0.0
    completed: int = 0


def replay(hosts: int, budgeted: bool) -> ReplayResult:
    """Simulate the decisions of all hosts over several waves.

    Each host has the same number of items, which keep their progress when preempted.

    :param budgeted: whether a host decides only once per heartbeat round
    """
    random = Random(5)
    interval = heartbeat_interval(hosts)
    waiting = [[ITEM_SECONDS] * (ITEMS // hosts) for _ in range(hosts)]
    running: list[list[float]] = [[] for _ in range(hosts)]
    reported_batch = [0] * hosts
    reported_online = [ONLINE[0] / hosts] * hosts
    reported_at = [random.random() * interval for _ in range(hosts)]
    budgets = [RoundBudget() for _ in range(hosts)]
    result = ReplayResult()
    for step in range(int(SIMULATED_SECONDS / TICK_SECONDS)):
        now = step * TICK_SECONDS
        wave = now % (LULL_SECONDS + WAVE_SECONDS) >= LULL_SECONDS
        online = ONLINE[wave]
        # Requests beyond the slots queue at the runners in order of arrival.
        speed = min(1.0, SLOTS / (online + sum(map(len, running))))
        for host in range(hosts):
            remaining = [seconds - TICK_SECONDS * speed for seconds in running[host]]
            running[host] = [seconds for seconds in remaining if seconds > 0]
            result.completed += len(remaining) - len(running[host])
            own = len(running[host])
            batch = sum(reported_batch) - reported_batch[host] + own
            key = RunnerKey("all", 1)
            known_online = sum(reported_online) - reported_online[host] + online / hosts
            load = [RunnerLoad(key, "a", SLOTS, round(known_online), batch, own)]
            budgets[host].renew(now, interval if budgeted else 0.0)
            if "all" not in budgets[host].preempted:
                count = items_to_preempt(load, random)
                if count:
                    budgets[host].preempted.add("all")
                    result.preemptions += count
                    preempted = running[host][own - count :]
                    waiting[host] += [
                        remaining + RESUME_SECONDS for remaining in preempted
                    ]
                    # The item with the shortest remaining time resumes first.
                    waiting[host].sort()
                    del running[host][own - count :]
            if not budgets[host].preempted and "all" not in budgets[host].starts:
                share = min(
                    batch_start_limit(load, 1 / hosts, random), len(waiting[host])
                )
                budgets[host].starts["all"] = share
                running[host] += waiting[host][:share]
                del waiting[host][:share]
            if now - reported_at[host] >= interval:
                reported_batch[host], reported_at[host] = len(running[host]), now
                reported_online[host] = online / hosts
        shortage = online + sum(map(len, running)) - SLOTS
        result.excess += max(0, shortage) * TICK_SECONDS
    return result


@pytest.mark.parametrize("hosts", [1, 8, 54])
def test_batch_is_preempted_once_per_wave(hosts):
    """Guards against items that are preempted and restarted several times per wave.

    In each wave, online requests wait for a slot for at most 100 ms, the time in which
    batch must be preempted, or for one heartbeat round if that takes longer.
    """
    waves = math.ceil(SIMULATED_SECONDS / (LULL_SECONDS + WAVE_SECONDS)) - 1
    growth = (ONLINE[1] - ONLINE[0]) * waves
    result = replay(hosts, budgeted=True)
    assert result.preemptions <= 1.25 * growth
    assert result.excess <= growth * max(PREEMPTION_SECONDS, heartbeat_interval(hosts))


@pytest.mark.parametrize("hosts", [8, 20, 54])
def test_round_budget_costs_little_batch_throughput(hosts):
    """Guards against slots that stay idle while hosts wait for heartbeats."""
    unlimited, budgeted = replay(hosts, budgeted=False), replay(hosts, budgeted=True)
    assert budgeted.completed >= 0.95 * unlimited.completed


def test_round_budget_reduces_preemptions_of_many_hosts():
    """Guards against a round budget without effect on a fleet of many hosts."""
    unlimited, budgeted = replay(54, budgeted=False), replay(54, budgeted=True)
    assert budgeted.preemptions < 0.5 * unlimited.preemptions
    assert budgeted.excess < unlimited.excess
