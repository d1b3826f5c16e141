"""Tokens that the owner of a runner grants."""

from __future__ import annotations

import pytest

from primroseford.gateway.runners import RunnerKey
from primroseford.request_limits.bounds import WINDOW_RATE_SECONDS
from primroseford.request_limits.bounds import WINDOW_REQUESTS
from primroseford.request_limits.bounds import WINDOW_SECONDS
from primroseford.request_limits.bounds import rate_bound
from primroseford.request_limits.owner import BATCH_RESERVE
from primroseford.request_limits.owner import TokenOwner

RUNNER = RunnerKey("i-1", 1)
RATE = 2.0
BOUNDS = (rate_bound(RATE),)
SIZE = int(RATE * WINDOW_RATE_SECONDS + WINDOW_REQUESTS)


def hosts(grants) -> list[str]:
    """Return the host of each granted token."""
    return [grant.host for grant in grants]


@pytest.fixture
def owner() -> TokenOwner:
    """An owner of a runner whose tokens nobody has used."""
    return TokenOwner(lambda runner, seconds: 0)


def test_one_host_takes_the_tokens_that_others_wait_for(owner):
    """Guards against a host that gets all tokens since it asked first."""
    taken = owner.ask(RUNNER, "a", SIZE, BOUNDS, 0.0, 60.0)
    assert hosts(taken) == ["a"] * SIZE
    assert not owner.ask(RUNNER, "a", 5, BOUNDS, 1.0, 60.0)
    assert not owner.ask(RUNNER, "b", 5, BOUNDS, 1.0, 60.0)
    granted = hosts(owner.due_grants(WINDOW_SECONDS))
    assert granted[:4] == ["a", "b", "a", "b"]


@pytest.mark.parametrize(
    ("used", "granted"), [(0, SIZE), (SIZE - 1, 1), (SIZE, 0), (10 * SIZE, 0)]
)
def test_next_owner_grants_the_same_tokens_again(used, granted):
    """Guards against an owner that does not know what the one before has granted."""
    owner = TokenOwner(lambda runner, seconds: used)
    assert len(owner.ask(RUNNER, "a", 100, BOUNDS, 0.0, 60.0)) == granted


@pytest.mark.parametrize(
    ("others", "granted"), [(0, SIZE - 1), (3, SIZE - 4), (SIZE - 1, 0), (SIZE, 0)]
)
def test_owner_grants_what_another_has_granted_meanwhile(others, granted):
    """Guards against two owners that grant a whole window each (LIMIT).

    The first one was cut off, and owns the runner again.
    """
    used = 0
    owner = TokenOwner(lambda runner, seconds: used)
    assert len(owner.ask(RUNNER, "a", 1, BOUNDS, 0.0, 60.0)) == 1
    used = others
    assert len(owner.ask(RUNNER, "a", 100, BOUNDS, 1.0, 60.0)) == granted


def test_owner_that_is_one_again_forgets_its_grants():
    """Guards against a window that is granted again after a short loss of ownership."""
    owner = TokenOwner(lambda runner, seconds: 0)
    owner.ask(RUNNER, "a", SIZE, BOUNDS, 0.0, 60.0)
    owner.ask(RUNNER, "b", 1, BOUNDS, 0.0, 60.0)
    owner.leave(RUNNER, 1.0)
    assert not owner.due_grants(WINDOW_SECONDS)
    assert not owner.ask(RUNNER, "a", 1, BOUNDS, 1.0, 60.0)
    owner.leave(RUNNER, WINDOW_SECONDS)
    assert not owner.windows


def test_host_that_no_longer_waits_gets_tokens(owner):
    """Guards against tokens for hosts that have left the queue."""
    owner.ask(RUNNER, "a", SIZE, BOUNDS, 0.0, 60.0)
    owner.ask(RUNNER, "b", 3, BOUNDS, 0.0, WINDOW_SECONDS - 1)
    assert not owner.due_grants(WINDOW_SECONDS)


def test_unused_token_is_lost(owner):
    """Guards against returned tokens that no other host gets."""
    owner.ask(RUNNER, "a", SIZE, BOUNDS, 0.0, 60.0)
    owner.ask(RUNNER, "b", 1, BOUNDS, 0.0, 60.0)
    assert hosts(owner.put_back(RUNNER, 1, 0.1)) == ["b"]


def test_batch_takes_the_tokens_of_online_requests(owner):
    """Guards against batch items that use up the window before a wave."""
    granted = sum(
        len(owner.ask_for_batch(RUNNER, "a", BOUNDS, 0.0)) for _ in range(2 * SIZE)
    )
    assert granted == int(SIZE * (1 - BATCH_RESERVE))
    assert len(owner.ask(RUNNER, "b", SIZE, BOUNDS, 0.0, 60.0)) == SIZE - granted
    assert not owner.ask_for_batch(RUNNER, "a", BOUNDS, WINDOW_SECONDS - 0.1)


@pytest.mark.parametrize("rate", [1e-9, 1e-3, 0.1])
def test_limit_near_zero_is_never_seen_to_end(owner, rate):
    """Guards against a runner that gets no request which could tell of the end."""
    bounds = (rate_bound(rate),)
    granted = sum(
        len(owner.ask(RUNNER, "a", 1, bounds, at, at + 1)) for at in range(0, 60, 5)
    )
    assert granted >= 12


def test_batch_gets_the_token_of_an_online_request(owner):
    """Guards against a token that an online request waits for and batch receives."""
    owner.ask(RUNNER, "a", SIZE, BOUNDS, 0.0, 60.0)
    owner.ask(RUNNER, "b", 1, BOUNDS, 0.0, 60.0)
    assert not owner.ask_for_batch(RUNNER, "c", BOUNDS, WINDOW_SECONDS)
    assert not owner.take_spare(RUNNER, BOUNDS, WINDOW_SECONDS)
    assert hosts(owner.due_grants(WINDOW_SECONDS)) == ["b"]


def test_host_that_has_stopped_waiting_holds_batch_back(owner):
    """Guards against batch items that wait for requests which were given up."""
    owner.ask(RUNNER, "a", SIZE, BOUNDS, 0.0, 60.0)
    owner.ask(RUNNER, "b", 1, BOUNDS, 0.0, 1.0)
    assert hosts(owner.ask_for_batch(RUNNER, "c", BOUNDS, WINDOW_SECONDS)) == ["c"]
