"""Rate limits over several hosts that report admissions to each other with a lag."""

from __future__ import annotations

import math
from random import Random

import pytest

from primroseford.gateway.quota import Quotas
from primroseford.gateway.tables import Organisation
from primroseford.proof.quota_simulation import BURST
from primroseford.proof.quota_simulation import RATE
from primroseford.proof.quota_simulation import WINDOW_SECONDS
from primroseford.proof.quota_simulation import Quiet
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


LARGE_FLEETS = [(17, 0.26), (62, 0.43)]
"""Numbers of hosts, and seconds until all of them know of an admission."""
LARGEST_FLEETS = [(165, 0.82), (300, 1.3)]
SURGES = [(7.5, None), (7.5, 0.6), (7.5, 1.0), (2.0, None)]
"""Load as a multiple of the rate, and the load of the 15 s before it, if any."""


def most_in_surge(hosts: int, lag: float, rate: float, load, before) -> int:
    """Return the most admissions in a window of a surge through a large fleet."""
    quiet = None if before is None else Quiet(before * rate, until=15.0)
    outcome = simulate_quotas(hosts, load * rate, lag, rate=rate, quiet=quiet)
    return most_in_window(outcome.admitted)


@pytest.mark.parametrize(("load", "before"), SURGES)
@pytest.mark.parametrize(
    ("hosts", "lag", "rate"),
    [(*fleet, rate) for fleet in LARGE_FLEETS for rate in (10.0, 60.0, 200.0)]
    + [(*fleet, 200.0) for fleet in LARGEST_FLEETS],
)
def test_surge_through_a_large_fleet_goes_beyond_the_bound(
    hosts, lag, rate, load, before
):
    """Guards against hosts that each admit what only one of them may (QUOTA)."""
    bound = rate * (WINDOW_SECONDS + 1) * (1 + EXCESS) + SLACK
    assert most_in_surge(hosts, lag, rate, load, before) <= bound


@pytest.mark.parametrize(
    ("hosts", "lag", "before"), [(165, 0.82, 1.0), (300, 1.3, None)]
)
def test_surge_of_a_small_organisation_goes_beyond_the_bound(hosts, lag, before):
    """Guards against first requests at more hosts than the bound allows for (QUOTA)."""
    bound = 10.0 * (WINDOW_SECONDS + 1) * (1 + EXCESS) + SLACK
    assert most_in_surge(hosts, lag, 10.0, 7.5, before) <= bound


@pytest.mark.parametrize("rate", [10.0, 60.0, 200.0])
@pytest.mark.parametrize(("hosts", "lag"), LARGE_FLEETS)
def test_large_fleet_refuses_requests_inside_the_rate(hosts, lag, rate):
    """Guards against shares that are smaller than the demand at a host."""
    asked = 0.8 * rate
    admitted = simulate_quotas(hosts, asked, lag, rate=rate).admitted
    assert len(admitted) >= 0.98 * 30 * asked


@pytest.mark.parametrize("rate", [10.0, 60.0, 200.0])
@pytest.mark.parametrize(("hosts", "lag"), LARGE_FLEETS)
def test_large_fleet_uses_less_than_the_rate_under_overload(hosts, lag, rate):
    """Guards against hosts that keep tokens for others that do not need them."""
    admitted = simulate_quotas(hosts, 5 * rate, lag, rate=rate).admitted
    assert len(admitted) >= 0.95 * 30 * rate


def test_organisation_at_one_host_gets_the_share_of_one_host_only():
    """Guards against a share for hosts at which the organisation does not ask.

    The host has the whole share once the others have had time to report requests.
    """
    lag, rate, organisation = 0.43, 80.0, Organisation("caroni", 100.0, 100.0)
    quotas = Quotas(0.0, hosts=62, report_lag=lag, random=Random(3))
    waits = [quotas.try_admit(organisation, 10.0 + n / rate) for n in range(800)]
    assert not any(waits[math.ceil(2 * lag * rate) :])
