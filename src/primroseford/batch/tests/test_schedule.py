from __future__ import annotations

import random
from collections import deque

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from primroseford.batch.schedule import FairShares
from primroseford.batch.schedule import charge_cost
from primroseford.batch.schedule import next_organisation
from primroseford.batch.schedule import update_waiting
from primroseford.batch.window import LoadReport
from primroseford.batch.window import RunningItem
from primroseford.batch.window import Sample
from primroseford.batch.window import add_sample
from primroseford.batch.window import batch_window
from primroseford.batch.window import nonrepeatable_slots
from primroseford.batch.window import select_preempted
from primroseford.batch.window import unreported_load
from primroseford.configuration.tables import BatchShare


def naive_max_min(demand, weight, capacity):
    """Return max-min fair shares by filling all organisations at the same rate."""
    shares = dict.fromkeys(demand, 0.0)
    while capacity > 1e-9:
        unsatisfied = [n for n in demand if shares[n] < demand[n] - 1e-9]
        if not unsatisfied:
            break
        total = sum(weight[n] for n in unsatisfied)
        level = min((demand[n] - shares[n]) / weight[n] for n in unsatisfied)
        level = min(level, capacity / total)
        for name in unsatisfied:
            shares[name] += level * weight[name]
        capacity -= level * total
    return shares


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(st.tuples(st.integers(1, 400), st.integers(1, 8)), min_size=1, max_size=8),
    st.integers(0, 2**31),
    st.floats(0.05, 1.0),
)
def test_shares_match_naive_max_min(organisations, seed, capacity_fraction):
    """Guards against an organisation that gets less than its max-min fair share."""
    source = random.Random(seed)
    queues, weight = {}, {}
    for number, (items, share) in enumerate(organisations):
        queues[f"o{number}"] = [source.randint(1, 20) for _ in range(items)]
        weight[f"o{number}"] = float(share)
    demand = {name: float(sum(costs)) for name, costs in queues.items()}
    capacity = capacity_fraction * sum(demand.values())
    received, shares, spent = dict.fromkeys(queues, 0.0), FairShares(), 0.0
    while spent < capacity:
        shares = update_waiting(
            shares, [name for name, costs in queues.items() if costs]
        )
        name = next_organisation(shares)
        cost = queues[name].pop()
        shares = charge_cost(shares, name, cost, weight[name])
        received[name] += cost
        spent += cost
    expected = naive_max_min(demand, weight, spent)
    # Items are indivisible: each organisation deviates by at most one of its own
    # items plus, scaled by the weights, one item of each other organisation.
    total = sum(weight.values())
    for name, share in expected.items():
        slack = 20 * (1 + weight[name] * sum(1 / w for w in weight.values()))
        assert received[name] >= share - min(slack, 20 * total)


def test_idle_organisation_earns_no_credit():
    """Guards against an organisation that starves the others after it was idle."""
    shares = update_waiting(FairShares(), ["a", "b"])
    for _ in range(100):
        shares = charge_cost(update_waiting(shares, ["a"]), "a", 1, 1)
    shares = update_waiting(shares, ["a", "b"])
    started = []
    for _ in range(20):
        started.append(next_organisation(shares))
        shares = charge_cost(shares, started[-1], 1, 1)
    assert 9 <= started.count("a") <= 11


@pytest.mark.parametrize(
    ("online", "unreported", "headroom", "window"),
    [(0, 0, 2, 14), (5, 0, 2, 9), (5, 3, 2, 6), (20, 0, 2, 0), (0, 14, 2, 0)],
)
def test_window_leaves_slots_for_all_online_load(online, unreported, headroom, window):
    """Guards against a window that ignores reported or unreported online load."""
    assert batch_window(16, online, unreported, headroom) == window


@pytest.mark.parametrize(
    ("report", "unreported"),
    [
        (None, 0),
        (LoadReport(1.0, 14), 0),
        (LoadReport(2.0, 14), 9),
        (LoadReport(2.0, 5), 0),
        (LoadReport(1.55, 14), 0),
        (LoadReport(0.5, 7), 7),
    ],
)
def test_load_report_is_compared_with_samples_of_its_time(report, unreported):
    """Guards against batch items or later load counted as unreported online load."""
    history = [Sample(0.9, 14), Sample(1.5, 5), Sample(3.0, 16)]
    assert unreported_load(report, history) == unreported


def test_history_is_bounded_at_any_rate():
    """Guards against a history that grows with the rate of items."""
    history = deque()
    for n in range(100_000):
        add_sample(history, n * 0.0001, n % 17)
    assert len(history) <= 260
    assert {sample.in_flight for sample in list(history)[1:-1]} == {16}


@pytest.mark.parametrize(
    ("slots", "share", "window", "expected"),
    [(16, 0.1, 14, 1), (16, 0.5, 14, 8), (16, 0.0, 14, 0), (16, 0.5, 3, 3)],
)
def test_nonrepeatable_slots_are_bounded(slots, share, window, expected):
    """Guards against a runner full of items that cannot be preempted."""
    found = nonrepeatable_slots(slots, BatchShare(share_nonrepeatable=share), window)
    assert found == expected


def test_newest_repeatable_items_are_preempted_first():
    """Guards against more lost work than needed and preempted non-repeatable items."""
    running = [RunningItem(n, n != 4) for n in range(5)]
    assert [r.start_number for r in select_preempted(running, 3)] == [3, 2]
    assert [r.start_number for r in select_preempted(running, 0)] == [3, 2, 1, 0]
    assert select_preempted(running, 5) == []
