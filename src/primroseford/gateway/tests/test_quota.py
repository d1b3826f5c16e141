"""Rate limits over several hosts that report admissions to each other with a lag."""

from __future__ import annotations

import pytest

from primroseford.gateway.quota import Quotas
from primroseford.gateway.tables import Organisation
from primroseford.proof.quota_simulation import BURST
from primroseford.proof.quota_simulation import RATE
from primroseford.proof.quota_simulation import WINDOW_SECONDS
from primroseford.proof.quota_simulation import Restart
from primroseford.proof.quota_simulation import most_in_window
from primroseford.proof.quota_simulation import simulate_quotas

EXCESS, SLACK = 0.1, 20
"""Bound set by RULES.md: a tenth plus 20 requests above rate and burst."""
BOUND = (RATE * WINDOW_SECONDS + BURST) * (1 + EXCESS) + SLACK


@pytest.mark.parametrize("cut", [range(0), range(500, 1500), range(1000, 1050)])
@pytest.mark.parametrize("hosts", [1, 7, 9, 54])
@pytest.mark.parametrize("rate", [RATE * 2, RATE * 5])
def test_no_window_goes_beyond_the_bound(hosts, rate, cut):
    """Guards against hosts that together exceed the rate, also in a partition."""
    times = simulate_quotas(hosts, rate, 0.2, cut).admitted
    assert most_in_window(times) <= BOUND


@pytest.mark.parametrize("hosts", [1, 8, 54])
@pytest.mark.parametrize("rate", [RATE, RATE * 5])
@pytest.mark.parametrize(
    ("down", "gap"), [(0.1, 0.0), (1.5, 0.0), (0.0, 0.1), (0.0, 0.5)]
)
def test_start_of_all_hosts_stays_within_the_bound(hosts, rate, down, gap):
    """Guards against hosts that get their tokens again when they restart."""
    times = simulate_quotas(hosts, rate, 0.2, restart=Restart(20.0, down, gap)).admitted
    assert most_in_window(times) <= BOUND


def test_burst_at_the_start_of_each_host_would_exceed_the_bound():
    """Checks that the simulation of a rolling restart detects an exceeded bound."""
    restart = Restart(20.0, gap=0.5, tokens=BURST)
    assert (
        most_in_window(simulate_quotas(8, RATE * 5, 0.2, restart=restart).admitted)
        > BOUND
    )


@pytest.mark.parametrize("hosts", [1, 7, 9])
def test_nothing_is_refused_inside_the_rate(hosts):
    """Guards against refusals of requests within the rate."""
    asked = RATE * 0.6
    assert len(simulate_quotas(hosts, asked, 0.2).admitted) >= 30 * asked - 1


@pytest.mark.parametrize("hosts", [7, 9])
def test_rate_is_used_under_overload(hosts):
    """Guards against hosts that together admit much less than the rate allows."""
    assert len(simulate_quotas(hosts, RATE * 5, 0.1).admitted) >= 0.85 * 30 * RATE


def test_refusal_gives_the_time_until_the_next_token():
    """Guards against a Retry-After that ends before a token is available."""
    caroni = Organisation("caroni", RATE, BURST)
    quotas = Quotas(0.0)
    while not (wait := quotas.try_admit(caroni, 10.0)):
        continue
    assert quotas.try_admit(caroni, 10.0 + wait / 2) > 0
    assert quotas.try_admit(caroni, 10.0 + wait + 0.001) == 0
