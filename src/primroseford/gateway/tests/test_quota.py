"""Rates over several hosts that tell each other what they admitted, with a lag."""

from __future__ import annotations

import pytest

from primroseford.gateway.quota import Quotas
from primroseford.gateway.tables import Organisation

RATE, BURST = 22.0, 22.0
WINDOW = 5.0
STEP = 0.01
"""Time between two decisions, in seconds."""
EXCESS, SLACK = 0.1, 20
"""Bound that RULES.md sets: a tenth and 20 requests above rate and burst."""


def replay(hosts: int, asked: float, lag: float, cut: range = range(0)) -> list[float]:
    """Return the times at which hosts together admitted requests.

    :param asked: requests a second over all hosts
    :param lag: age of what hosts know of each other, in seconds
    :param cut: steps during which the first host hears nobody and nobody hears it
    """
    caroni = Organisation("caroni", RATE, BURST)
    quotas = [Quotas(0.0) for _ in range(hosts)]
    for quota in quotas:
        quota.hosts = hosts
    told = [[0] * hosts for _ in range(hosts)]
    admitted, due = [], 0.0
    for step in range(3000):
        now = 5.0 + step * STEP
        apart = step in cut
        for quota in quotas:
            quota.silent = int(apart)
        quotas[0].silent = hosts - 1 if apart else 0
        if step % round(lag / STEP) == 0:
            for reader in range(hosts):
                for writer in range(hosts):
                    if reader == writer or (apart and 0 in (reader, writer)):
                        continue
                    count = quotas[writer].admitted.get("caroni", 0)
                    news = count - told[reader][writer]
                    told[reader][writer] = count
                    quotas[reader].peer_admitted(caroni, f"h{writer}", news, now)
        due += asked * STEP
        while due >= 1:
            due -= 1
            host = len(admitted) * 7 + step
            if quotas[host % hosts].take(caroni, now) == 0:
                admitted.append(now)
    return admitted


def most_in_window(times: list[float]) -> int:
    """Return the largest number of times in any window."""
    best = first = 0
    for last, time in enumerate(times):
        while times[first] < time - WINDOW:
            first += 1
        best = max(best, last - first + 1)
    return best


@pytest.mark.parametrize("cut", [range(0), range(500, 1500), range(1000, 1050)])
@pytest.mark.parametrize("hosts", [1, 7, 9, 54])
@pytest.mark.parametrize("asked", [RATE * 2, RATE * 5])
def test_no_window_goes_beyond_the_bound(hosts, asked, cut):
    """Guards against a rate that hosts exceed together, cut off or not."""
    times = replay(hosts, asked, 0.2, cut)
    assert most_in_window(times) <= (RATE * WINDOW + BURST) * (1 + EXCESS) + SLACK


@pytest.mark.parametrize("hosts", [1, 7, 9])
def test_nothing_is_refused_inside_the_rate(hosts):
    """Guards against refusals of what an organisation may send."""
    asked = RATE * 0.6
    assert len(replay(hosts, asked, 0.2)) >= 30 * asked - 1


@pytest.mark.parametrize("hosts", [7, 9])
def test_rate_is_used_under_overload(hosts):
    """Guards against hosts that together admit much less than the rate."""
    assert len(replay(hosts, RATE * 5, 0.1)) >= 0.85 * 30 * RATE


def test_refusal_says_when_to_come_back():
    """Guards against callers that return before there is a token."""
    caroni = Organisation("caroni", RATE, BURST)
    quotas = Quotas(0.0)
    while not (wait := quotas.take(caroni, 10.0)):
        continue
    assert quotas.take(caroni, 10.0 + wait / 2) > 0
    assert quotas.take(caroni, 10.0 + wait + 0.001) == 0
