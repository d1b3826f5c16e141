"""Scripted failures on the model of the protocol's state machine."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from primroseford.limits import bucket as buckets
from primroseford.limits import owner
from primroseford.limits import requester
from primroseford.limits.gen.messages.ttypes import Demand
from primroseford.limits.gen.messages.ttypes import DemandRequest
from primroseford.limits.tests.test_protocol import BATCH
from primroseford.limits.tests.test_protocol import HOSTS
from primroseford.limits.tests.test_protocol import KEY
from primroseford.limits.tests.test_protocol import LIMIT
from primroseford.limits.tests.test_protocol import Protocol
from primroseford.limits.tests.test_protocol import excess


@pytest.fixture
def model():
    """Return three hosts with a full bucket at their owner."""
    model = Protocol()
    model.start()
    return model


def fetch(model, host, amount):
    """Let a host hold tokens that it has not spent."""
    account = requester.account_of(model.hosts[host], KEY, model.now)
    account.waiting = amount
    account.ask_at = 0.0
    model.exchange(host)
    account.waiting = 0
    return sum(held.left for held in account.held.values())


def spent_by(model, host, amount=1, times=30):
    """Spend single tokens until the host has none; return how many."""
    before = len(model.spent)
    for _ in range(times):
        model.spend(host, KEY, amount)
    return len(model.spent) - before


def bound_holds(model):
    """Return whether no window is over the bound."""
    return excess(model.spent, LIMIT.rate, LIMIT.burst) <= 1e-6


def test_one_host_gets_a_whole_burst(model):
    """Guards against a burst that is split between hosts in advance."""
    assert fetch(model, "b", 20) == 20
    assert spent_by(model, "b") == 20
    assert bound_holds(model)


@pytest.mark.parametrize("first", ["exchange", "spend"])
def test_refund_after_the_bucket_filled_up_is_not_credited(model, first):
    """Guards against a refund on top of the refill that took its room."""
    assert fetch(model, "b", 20) == 20
    model.spend("b", KEY, 20)
    model.exchange("b")
    model.now += 0.6
    model.drain("a", 1)
    assert len(model.spent) > 10
    model.refund(0)
    if first == "spend":
        spent_by(model, "b")
    model.exchange("b")
    model.drain("c", 1)
    spent_by(model, "b")
    assert bound_holds(model)


def test_refund_of_a_reported_token_comes_back_once(model):
    """Guards against tokens lost, or doubled by a repeated refund."""
    for _ in range(30):
        model.now += 0.1
        model.renew()
        for host in HOSTS:
            model.exchange(host)
        model.drain("a", 1)
    model.now += 0.4
    amount = fetch(model, "b", 3)
    assert amount
    model.spend("b", KEY, amount)
    account = requester.account_of(model.hosts["b"], KEY, model.now)
    account.report_at = 0.0
    model.exchange("b")
    bucket = model.holders[-1].state.buckets[KEY]
    before = bucket.available + bucket.outstanding
    model.refund(len(model.permits) - 1)
    for _ in range(3):
        account.report_at = 0.0
        for held in account.held.values():
            held.given_back_sent = 0
        model.exchange("b")
    after = bucket.available + bucket.outstanding
    assert after == pytest.approx(before + amount)


def test_takeover_waits_for_the_last_grants(model):
    """Guards against a new owner that grants while old grants can be spent."""
    model.now = model.holders[-1].lease_until - 0.01
    assert fetch(model, "b", 20) == 20
    model.now += 0.02
    model.replace_owner("a")
    for host in HOSTS * 2:
        model.exchange(host)
    model.now += 0.6
    for host in "ac":
        model.drain(host, 1)
    spent_by(model, "b")
    assert bound_holds(model)
    model.run_undisturbed(1)
    assert fetch(model, "c", 5) == 5


def test_hand_over_keeps_levels_and_counts_outstanding_grants(model):
    """Guards against a hand-over that loses tokens or grants them twice."""
    assert fetch(model, "b", 12) == 12
    model.hand_over("c", 0.0)
    model.now += 0.5
    for _ in range(2):
        model.drain("a", 1)
        model.drain("c", 1)
    assert 0 < len(model.spent) <= 8
    spent_by(model, "b")
    assert bound_holds(model)


def test_slow_hand_over_does_not_extend_promises(model):
    """Guards against a new owner that trusts a promise after it has ended."""
    model.holders[-1].lease_until += 100
    model.hand_over("c", 7.0)
    assert owner.reserved_share(model.holders[-1].state, model.members(), model.now)


def test_floors_serve_in_an_outage_and_stay_inside_the_bound(model):
    """Guards against hosts that refuse all, or serve too much, without an owner."""
    model.platform = False
    model.drain("a", 1)
    model.now += 10.0
    used = 0
    for _ in range(60):
        model.now += 0.1
        used += sum(spent_by(model, host, 1, 10) for host in HOSTS)
    assert used > LIMIT.rate * 4
    assert bound_holds(model)


def test_owner_reserves_the_floors_of_silent_hosts(model):
    """Guards against an owner and a cut-off host's floor that add up to too much."""
    for _ in range(30):
        model.now += 0.5
        model.renew()
        for host in "ab":
            model.drain(host, 1)
        spent_by(model, "c", 1, 10)
    assert bound_holds(model)
    model.now += 1.0
    assert fetch(model, "a", 20) < 20


def test_duplicate_request_is_not_granted_twice(model):
    """Guards against tokens granted to a repeated message."""
    holder = model.holders[-1]
    message = DemandRequest(0, 99, "x", 0, 0, [Demand("org", False, 5, 5, [])])
    answers = [
        owner.answer(
            holder.state, "b", message, lambda _: LIMIT, model.members(), model.now
        )
        for _ in range(2)
    ]
    assert [sum(g.amount for g in a.grants) for a in answers] == [5, 0]


def test_batch_waits_behind_online_of_the_same_organisation(model):
    """Guards against batch that takes the tokens online requests wait for."""
    account = requester.account_of(model.hosts["c"], BATCH, model.now)
    account.waiting, account.ask_at = 20, 0.0
    model.exchange("c")
    assert 0 < sum(h.left for h in account.held.values()) <= 20 * 7 / 8
    assert fetch(model, "b", 2) == 2


def test_idle_tokens_go_back_before_they_expire(model):
    """Guards against tokens that a quiet host lets expire."""
    assert fetch(model, "b", 20) == 20
    model.now += requester.IDLE_SECONDS
    model.exchange("b")
    assert fetch(model, "a", 20) == 20


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0, 2), st.integers(0, 12), st.integers(0, 12)), max_size=60
    )
)
def test_bucket_admits_what_an_exact_bucket_admits(steps):
    """Guards against a level that differs from a naive bucket without grants ahead."""
    bucket = buckets.Bucket(20.0, 0.0)
    level = 20.0
    now = 0.0
    for number, (step, amount, back) in enumerate(steps):
        now += step
        buckets.advance(bucket, 10.0, 20.0, now)
        level = min(20.0, level + 10.0 * step)
        assert bucket.available == pytest.approx(level, abs=1e-6)
        amount = min(amount, int(bucket.available))
        back = min(amount, back)
        buckets.grant(bucket, number, amount, now)
        buckets.report(bucket, number, amount - back, back, 0)
        buckets.report(bucket, number, amount - back, back, 0)
        level -= amount - back
        assert bucket.outstanding == 0
