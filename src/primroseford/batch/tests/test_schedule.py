from __future__ import annotations

import random
from collections import deque

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from primroseford.batch.schedule import Shares
from primroseford.batch.schedule import charge
from primroseford.batch.schedule import choose
from primroseford.batch.schedule import enter
from primroseford.batch.window import LoadReport
from primroseford.batch.window import Running
from primroseford.batch.window import Sample
from primroseford.batch.window import add_sample
from primroseford.batch.window import batch_window
from primroseford.batch.window import choose_preempted
from primroseford.batch.window import nonrepeatable_places
from primroseford.batch.window import unseen_load
from primroseford.configuration.tables import BatchShare


def naive_max_min(demand, weight, capacity):
    """Return max-min shares by filling all organisations at the same pace."""
    given_to = dict.fromkeys(demand, 0.0)
    while capacity > 1e-9:
        hungry = [n for n in demand if given_to[n] < demand[n] - 1e-9]
        if not hungry:
            break
        total = sum(weight[n] for n in hungry)
        level = min((demand[n] - given_to[n]) / weight[n] for n in hungry)
        level = min(level, capacity / total)
        for name in hungry:
            given_to[name] += level * weight[name]
        capacity -= level * total
    return given_to


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(st.tuples(st.integers(1, 400), st.integers(1, 8)), min_size=1, max_size=8),
    st.integers(0, 2**31),
    st.floats(0.05, 1.0),
)
def test_shares_match_naive_max_min(organisations, seed, part):
    """Guards against an organisation that gets less than its max-min share."""
    source = random.Random(seed)
    queues, weight = {}, {}
    for number, (items, share) in enumerate(organisations):
        queues[f"o{number}"] = [source.randint(1, 20) for _ in range(items)]
        weight[f"o{number}"] = float(share)
    demand = {name: float(sum(costs)) for name, costs in queues.items()}
    capacity = part * sum(demand.values())
    got, shares, spent = dict.fromkeys(queues, 0.0), Shares(), 0.0
    while spent < capacity:
        shares = enter(shares, [name for name, costs in queues.items() if costs])
        name = choose(shares)
        cost = queues[name].pop()
        shares = charge(shares, name, cost, weight[name])
        got[name] += cost
        spent += cost
    expected = naive_max_min(demand, weight, spent)
    # Items are not divisible: each organisation is off by at most one item of
    # its own and its weight's part of one item of each other.
    total = sum(weight.values())
    for name, share in expected.items():
        slack = 20 * (1 + weight[name] * sum(1 / w for w in weight.values()))
        assert got[name] >= share - min(slack, 20 * total)


def test_absence_earns_nothing():
    """Guards against an organisation that returns and starves the others."""
    shares = enter(Shares(), ["a", "b"])
    for _ in range(100):
        shares = charge(enter(shares, ["a"]), "a", 1, 1)
    shares = enter(shares, ["a", "b"])
    order = []
    for _ in range(20):
        order.append(choose(shares))
        shares = charge(shares, order[-1], 1, 1)
    assert 9 <= order.count("a") <= 11


@pytest.mark.parametrize(
    ("online", "unseen", "headroom", "window"),
    [(0, 0, 2, 14), (5, 0, 2, 9), (5, 3, 2, 6), (20, 0, 2, 0), (0, 14, 2, 0)],
)
def test_window_leaves_slots_for_all_online_load(online, unseen, headroom, window):
    """Guards against a window that overlooks one of the views of online load."""
    assert batch_window(16, online, unseen, headroom) == window


@pytest.mark.parametrize(
    ("report", "unseen"),
    [
        (None, 0),
        (LoadReport(1.0, 14), 0),
        (LoadReport(2.0, 14), 9),
        (LoadReport(2.0, 5), 0),
        (LoadReport(1.55, 14), 0),
        (LoadReport(0.5, 7), 7),
    ],
)
def test_report_is_compared_with_its_own_time(report, unseen):
    """Guards against batch items, or load told of since, counted as online."""
    history = [Sample(0.9, 14), Sample(1.5, 5), Sample(3.0, 16)]
    assert unseen_load(report, history) == unseen


def test_history_is_bounded_at_any_rate():
    """Guards against a history that grows with the rate of items."""
    history = deque()
    for n in range(100_000):
        add_sample(history, n * 0.0001, n % 17)
    assert len(history) <= 260
    assert {sample.known for sample in list(history)[1:-1]} == {16}


@pytest.mark.parametrize(
    ("places", "share", "window", "expected"),
    [(16, 0.1, 14, 1), (16, 0.5, 14, 8), (16, 0.0, 14, 0), (16, 0.5, 3, 3)],
)
def test_nonrepeatable_slots_are_bounded(places, share, window, expected):
    """Guards against items that cannot step back filling the runner."""
    found = nonrepeatable_places(places, BatchShare(share_nonrepeatable=share), window)
    assert found == expected


def test_newest_repeatable_items_are_preempted_first():
    """Guards against lost work and against cancelling what may not be repeated."""
    running = [Running(n, n != 4) for n in range(5)]
    assert [r.order for r in choose_preempted(running, 3)] == [3, 2]
    assert [r.order for r in choose_preempted(running, 0)] == [3, 2, 1, 0]
    assert choose_preempted(running, 5) == []
