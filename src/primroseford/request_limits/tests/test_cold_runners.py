"""Cold runners and the bounds on their tokens."""

from __future__ import annotations

import pytest

from primroseford.clock import ManualClock
from primroseford.gateway.runners import RunnerKey
from primroseford.request_limits.bounds import ColdLimit
from primroseford.request_limits.bounds import TokenBound
from primroseford.request_limits.bounds import cold_bound
from primroseford.request_limits.bounds import rate_bound
from primroseford.request_limits.cold_runners import ColdRunners
from primroseford.request_limits.observations import LimitObservations
from primroseford.request_limits.owner import TokenOwner
from primroseford.request_limits.tokens import RequestTokens

RUNNER = RunnerKey("i-1", 5)
POOL = "models"
LIMIT = ColdLimit(3.0, 8.3, 1.5, 5.0)


def create_runners() -> ColdRunners:
    """Return the cold runners of a host with one pool that can have some."""
    runners = ColdRunners()
    runners.configure({POOL: LIMIT, "others": ColdLimit(3.0, 0.0)})
    return runners


@pytest.mark.parametrize(
    ("limit", "share", "size"),
    [
        (LIMIT, 1.0, 8),
        (LIMIT, 0.5, 4),
        (ColdLimit(3.0, 1.0), 1.0, 1),
        (ColdLimit(3.0, 0.5), 1.0, 0),
        (ColdLimit(3.0, 100.0), 1.0, 50),
    ],
)
def test_two_owners_exceed_the_limit(limit, share, size):
    """Guards against bounds that two owners of a moment exceed together."""
    assert cold_bound(limit, share).size == size


def test_named_limit_is_bounded_as_before():
    """Guards against other windows for limits that runners name."""
    assert rate_bound(2.0) == TokenBound(4.3, 13.0)
    assert rate_bound(2.0, 0.5) == TokenBound(4.3, 8.0)
    assert rate_bound(0.01) == TokenBound(4.3, 4.0)


@pytest.mark.parametrize(
    ("steps", "until"),
    [
        ([("begin", None, 0.0)], 3.0),
        ([("begin", None, 1.0)], 4.0),
        ([("begin", 0.0, 0.0)], None),
        ([("begin", -1.0, 0.0)], None),
        ([("begin", None, 0.0), ("begin", 1.0, 0.0)], 3.0),
        ([("begin", None, 0.0), ("begin", 5.0, 0.0)], 5.0),
        ([("begin", 9e9, 0.0)], 600.0),
        ([("begin", None, 0.0), ("state", 1.0, 0.0)], 1.0),
        ([("begin", None, 0.0), ("state", 0.0, 0.0)], None),
        ([("state", 2.0, 0.0), ("begin", None, 0.0)], 3.0),
        ([("hear", 2.0, 0.0)], 2.0),
        ([("hear", 9e9, 0.0)], 600.0),
        ([("hear", -1.0, 0.0)], None),
        ([("begin", None, 0.0), ("hear", 2.0, 0.0)], 3.0),
        ([("hear", 5.0, 0.0), ("state", 0.0, 0.0)], 5.0),
        ([("hear", 5.0, 0.0), ("hear", 0.0, 0.0)], None),
    ],
)
def test_cold_time_is_wrong(steps, until):
    """Guards against a cold time that ends early, or late after a statement."""
    runners = create_runners()
    for kind, seconds, after in steps:
        if kind == "begin":
            runners.begin(RUNNER, POOL, 0.0, seconds, after)
        elif kind == "state":
            runners.note_statement(RUNNER, POOL, seconds, 0.0)
        else:
            runners.replace_reports("h", {RUNNER: seconds}, {RUNNER: POOL}, 0.0)
    if until is None:
        assert runners.limit(RUNNER, 0.0) is None
    else:
        assert runners.limit(RUNNER, until - 0.01) == LIMIT
        assert runners.limit(RUNNER, until) is None


@pytest.mark.parametrize("pool", ["others", "unknown"])
def test_runner_of_a_pool_without_cold_time_is_cold(pool):
    """Guards against cold limits where the configuration states none."""
    runners = create_runners()
    assert not runners.begin(RUNNER, pool, 0.0)
    assert not runners.note_statement(RUNNER, pool, 2.0, 0.0)
    assert not runners.replace_reports("h", {RUNNER: 2.0}, {RUNNER: pool}, 0.0)
    assert not runners.periods


def test_reports_of_other_hosts_are_repeated():
    """Guards against a cold time that hosts extend for each other without end."""
    runners = create_runners()
    runners.replace_reports("h", {RUNNER: 2.0}, {RUNNER: POOL}, 0.0)
    assert not runners.reports(0.0)
    runners.begin(RUNNER, POOL, 0.5)
    assert runners.reports(1.0) == [(RUNNER, 2.5)]


def test_gone_or_warm_runner_is_kept():
    """Guards against cold times that are kept for good."""
    runners = create_runners()
    other = RunnerKey("i-2", 5)
    runners.begin(RUNNER, POOL, 0.0)
    runners.begin(other, POOL, 0.0)
    assert runners.expire({RUNNER}, 1.0) == [other]
    assert runners.expire({RUNNER}, 3.0) == [RUNNER]
    assert not runners.periods


def create_tokens(clock: ManualClock) -> RequestTokens:
    """Return the tokens of a host."""
    return RequestTokens(LimitObservations(), clock, create_runners())


def test_tokens_of_a_cold_runner_exceed_its_window():
    """Guards against a window of seconds, in which all tokens come at once."""
    clock = ManualClock(0.0)
    tokens = create_tokens(clock)
    tokens.cold.begin(RUNNER, POOL, clock())
    owner = TokenOwner(lambda runner, seconds: 0)
    granted = []
    for _ in range(60):
        bounds = tokens.bounds(RUNNER, None, 1.0)
        granted += [
            clock() for _ in owner.ask(RUNNER, "h", 99, bounds, clock(), clock() + 1.0)
        ]
        clock.advance(0.05)
    most = max(sum(at <= other < at + 1.0 for other in granted) for at in granted)
    assert most == 8
    assert len(granted) >= 0.7 * LIMIT.rate * LIMIT.seconds


def test_cold_runner_that_names_a_limit_gets_more_than_either_allows():
    """Guards against a limit that replaces the other one."""
    clock = ManualClock(0.0)
    tokens = create_tokens(clock)
    tokens.cold.begin(RUNNER, POOL, clock())
    bounds = tokens.bounds(RUNNER, 0.2, 1.0)
    assert len(bounds) == 2
    owner = TokenOwner(lambda runner, seconds: 0)
    assert len(owner.ask(RUNNER, "h", 99, bounds, 0.0, 1.0)) == 4
    assert tokens.reported_seconds(RUNNER) == 1.3
    tokens.limits.observe(RUNNER, 0.2, clock())
    assert tokens.reported_seconds(RUNNER) == 4.3
    assert tokens.rate(RUNNER) == 0.2


def test_owner_ignores_tokens_of_other_owners():
    """Guards against two owners that each grant the whole limit."""
    owner = TokenOwner(lambda runner, seconds: 5 if seconds == 1.3 else 0)
    granted = owner.ask(RUNNER, "h", 99, (cold_bound(LIMIT),), 0.0, 1.0)
    assert len(granted) == 3


def test_check_that_takes_two_requests_gets_one_token():
    """Guards against checks beyond the part that is left for them."""
    owner = TokenOwner(lambda runner, seconds: 0)
    bounds = (cold_bound(LIMIT),)
    assert owner.take_spare(RUNNER, bounds, 0.0, 3)
    assert not owner.take_spare(RUNNER, bounds, 0.0, 2)
    assert owner.take_spare(RUNNER, bounds, 0.0, 1)
