"""Scripted failure scenarios on the model of the stateful protocol test."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.limits import bucket as buckets
from primroseford.limits import owner
from primroseford.limits import requester
from primroseford.limits.gen.messages.ttypes import Demand
from primroseford.limits.gen.messages.ttypes import DemandRequest
from primroseford.limits.tests.test_protocol import BATCH_KEY
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


def obtain_tokens(model, host, amount):
    """Obtain up to ``amount`` tokens for a host; return its unspent tokens."""
    account = requester.get_account(model.hosts[host], KEY, model.now)
    account.waiting = amount
    account.next_request_at = 0.0
    model.exchange(host)
    account.waiting = 0
    return sum(held.unspent for held in account.held_grants.values())


def count_admitted(model, host, amount=1, times=30):
    """Make ``times`` requests of ``amount`` tokens; return how many are admitted."""
    before = len(model.spent)
    for _ in range(times):
        model.spend(host, KEY, amount)
    return len(model.spent) - before


def is_within_bound(model):
    """Return whether no window exceeds rate times length plus burst."""
    return excess(model.spent, LIMIT.rate, LIMIT.burst) <= 1e-6


def test_one_host_gets_a_whole_burst(model):
    """Guards against a burst that is split between hosts in advance."""
    assert obtain_tokens(model, "b", 20) == 20
    assert count_admitted(model, "b") == 20
    assert is_within_bound(model)


@pytest.mark.parametrize("first", ["exchange", "spend"])
def test_refund_after_the_bucket_filled_up_is_not_credited(model, first):
    """Guards against a refund credited although the bucket was full meanwhile."""
    assert obtain_tokens(model, "b", 20) == 20
    model.spend("b", KEY, 20)
    model.exchange("b")
    model.now += 0.6
    model.spend_all("a", 1)
    assert len(model.spent) > 10
    model.refund(0)
    if first == "spend":
        count_admitted(model, "b")
    model.exchange("b")
    model.spend_all("c", 1)
    count_admitted(model, "b")
    assert is_within_bound(model)


def test_refund_of_a_reported_token_is_credited_once(model):
    """Guards against refunds that are lost, or credited twice when repeated."""
    for _ in range(30):
        model.now += 0.1
        model.renew()
        for host in HOSTS:
            model.exchange(host)
        model.spend_all("a", 1)
    model.now += 0.4
    amount = obtain_tokens(model, "b", 3)
    assert amount
    model.spend("b", KEY, amount)
    account = requester.get_account(model.hosts["b"], KEY, model.now)
    account.next_report_at = 0.0
    model.exchange("b")
    bucket = model.owner_terms[-1].state.buckets[KEY]
    before = bucket.available + bucket.outstanding
    model.refund(len(model.permits) - 1)
    for _ in range(3):
        account.next_report_at = 0.0
        for held in account.held_grants.values():
            held.reported_returns = 0
        model.exchange("b")
    after = bucket.available + bucket.outstanding
    assert after == pytest.approx(before + amount)


def test_takeover_waits_for_the_last_grants(model):
    """Guards against a new owner that grants while old grants can be spent."""
    model.now = model.owner_terms[-1].lease_until - 0.01
    assert obtain_tokens(model, "b", 20) == 20
    model.now += 0.02
    model.replace_owner("a")
    for host in HOSTS * 2:
        model.exchange(host)
    model.now += 0.6
    for host in "ac":
        model.spend_all(host, 1)
    count_admitted(model, "b")
    assert is_within_bound(model)
    model.run_undisturbed(1)
    assert obtain_tokens(model, "c", 5) == 5


def test_hand_over_keeps_levels_and_counts_outstanding_grants(model):
    """Guards against a hand-over that loses tokens or grants them twice."""
    assert obtain_tokens(model, "b", 12) == 12
    model.hand_over("c", 0.0)
    model.now += 0.5
    for _ in range(2):
        model.spend_all("a", 1)
        model.spend_all("c", 1)
    assert 0 < len(model.spent) <= 8
    count_admitted(model, "b")
    assert is_within_bound(model)


def test_slow_hand_over_does_not_extend_promises(model):
    """Guards against a new owner that counts on a promise after it has expired."""
    model.owner_terms[-1].lease_until += 100
    model.hand_over("c", 7.0)
    assert owner.reserved_share(
        model.owner_terms[-1].state, model.current_fallback_hosts(), model.now
    )


def test_fallback_serves_in_an_outage_and_stays_within_the_bound(model):
    """Guards against hosts that admit nothing, or too much, without an owner."""
    model.platform_up = False
    model.spend_all("a", 1)
    model.now += 10.0
    admitted = 0
    for _ in range(60):
        model.now += 0.1
        admitted += sum(count_admitted(model, host, 1, 10) for host in HOSTS)
    assert admitted > LIMIT.rate * 4
    assert is_within_bound(model)


def test_owner_reserves_the_fallback_of_silent_hosts(model):
    """Guards against grants and the fallback of an isolated host above the limit."""
    for _ in range(30):
        model.now += 0.5
        model.renew()
        for host in "ab":
            model.spend_all(host, 1)
        count_admitted(model, "c", 1, 10)
    assert is_within_bound(model)
    model.now += 1.0
    assert obtain_tokens(model, "a", 20) < 20


def test_duplicate_request_is_not_granted_twice(model):
    """Guards against tokens granted to a repeated message."""
    owner_term = model.owner_terms[-1]
    message = DemandRequest(0, 99, "x", 0, 0, [Demand("org", False, 5, 5, [])])
    answers = [
        owner.answer(
            owner_term.state,
            "b",
            message,
            lambda _: LIMIT,
            model.current_fallback_hosts(),
            model.now,
        )
        for _ in range(2)
    ]
    assert [sum(g.amount for g in a.grants) for a in answers] == [5, 0]


def test_batch_waits_behind_online_of_the_same_organisation(model):
    """Guards against batch items that take tokens online requests wait for."""
    account = requester.get_account(model.hosts["c"], BATCH_KEY, model.now)
    account.waiting, account.next_request_at = 20, 0.0
    model.exchange("c")
    assert 0 < sum(h.unspent for h in account.held_grants.values()) <= 20 * 7 / 8
    assert obtain_tokens(model, "b", 2) == 2


def test_idle_tokens_are_returned_before_they_expire(model):
    """Guards against tokens of an idle host that expire unspent."""
    assert obtain_tokens(model, "b", 20) == 20
    model.now += requester.IDLE_SECONDS
    model.exchange("b")
    assert obtain_tokens(model, "a", 20) == 20


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0, 2), st.integers(0, 12), st.integers(0, 12)), max_size=60
    )
)
def test_bucket_admits_the_same_as_a_simple_bucket(steps):
    """Guards against levels that differ from those of a bucket without grants."""
    bucket = buckets.Bucket(20.0, 0.0)
    level = 20.0
    now = 0.0
    for number, (step, amount, returned) in enumerate(steps):
        now += step
        buckets.refill(bucket, 10.0, 20.0, now)
        level = min(20.0, level + 10.0 * step)
        assert bucket.available == pytest.approx(level, abs=1e-6)
        amount = min(amount, int(bucket.available))
        returned = min(amount, returned)
        buckets.issue_grant(bucket, number, amount, now)
        buckets.apply_usage(bucket, number, amount - returned, returned, 0)
        buckets.apply_usage(bucket, number, amount - returned, returned, 0)
        level -= amount - returned
        assert bucket.outstanding == 0


@pytest.mark.parametrize("age", [0.0, 30.0])
def test_first_request_to_an_old_owner_waits_as_after_a_takeover(age):
    """Guards against requests beyond the rate that wait for seconds (make demo)."""
    now = 100.0
    state = requester.create_requester(0, Incarnation("1"), now)
    state.pending[1] = now
    owner_state = owner.create_empty_state(0, 1, now - age - buckets.GRANT_SECONDS)
    message = owner.answer(
        owner_state,
        HostId("b"),
        DemandRequest(0, 1, "1", 0, 0, []),
        lambda organisation: None,
        owner.FallbackHosts(frozenset(), 1),
        now,
    )
    assert requester.apply_answer(state, HostId("a"), message, now)
    assert state.owner_since == now - age
