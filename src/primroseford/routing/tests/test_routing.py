"""Selection and tracking of runners, ejection, leaving runners and the retry budget."""

from __future__ import annotations

import math
from itertools import permutations
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from primroseford.clock import ManualClock
from primroseford.configuration.tables import Pool
from primroseford.configuration.tables import Runner
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.routing.budget import RetryBudget
from primroseford.routing.runner_selection import MAX_AFFINITY_EXTRA_LOAD
from primroseford.routing.runner_selection import MAX_SAME_DOMAIN_LOAD
from primroseford.routing.runner_selection import REPORT_DECAY_SECONDS
from primroseford.routing.runner_selection import LoadReport
from primroseford.routing.runner_selection import RunnerView
from primroseford.routing.runner_selection import choose_runner
from primroseford.routing.runner_selection import choose_subset
from primroseford.routing.runner_selection import rank_runners
from primroseford.routing.runner_selection import score
from primroseford.routing.tracker import MAX_EJECTION_SECONDS
from primroseford.routing.tracker import AttemptResult
from primroseford.routing.tracker import apply_cache_event
from primroseford.routing.tracker import create_runner_tracker


def runner(number, domain="d0"):
    return Runner(
        name=f"r{number}", address=f"127.0.0.1:{1000 + number}", failure_domain=domain
    )


def pool_of(count, **extra):
    runners = tuple(runner(n, f"d{n % 3}") for n in range(count))
    return Pool(name="p", runners=runners, **extra)


def tracker_of(clock, leaving=()):
    return create_runner_tracker(
        HostId("h"), FailureDomainId("d0"), clock, Random(3), lambda n: n in leaving
    )


def naive_score(view, now):
    decay = math.exp(-(now - view.reported_at) / REPORT_DECAY_SECONDS)
    return (view.online + view.batch + view.other_load * decay) / view.capacity


def naive_choices(views, prefix, now, domain):
    """Return the ids of all views that a correct selection may return."""
    free = [
        v
        for v in views
        if not (v.leaving or v.report_leaving)
        and v.unavailable_until <= now
        and (v.online < 1 if v.probing else v.online < v.limit)
    ]
    allowed = {id(v) for v in free} if len(free) == 1 else set()
    for one, other in permutations(free, 2):
        near = [
            v
            for v in (one, other)
            if v.runner.failure_domain == domain
            and naive_score(v, now) < MAX_SAME_DOMAIN_LOAD
        ]
        scores = naive_score(one, now), naive_score(other, now)
        if near == [one] or (near != [other] and scores[0] <= scores[1]):
            allowed.add(id(one))
    if len(free) == 1:
        return allowed
    cached_views = [v for v in free if prefix in v.prefixes]
    if not cached_views:
        return allowed
    best = min(naive_score(v, now) for v in cached_views)
    preferred = [v for v in cached_views if naive_score(v, now) == best]
    result = set()
    for choice in [v for v in free if id(v) in allowed]:
        if prefix in choice.prefixes:
            result.add(id(choice))
        elif best - naive_score(choice, now) <= MAX_AFFINITY_EXTRA_LOAD:
            result |= set(map(id, preferred))
        else:
            result.add(id(choice))
    return result


VIEW = st.builds(
    lambda n, d, own, other_load, capacity, until, probing, leaving, cached: RunnerView(
        runner(n, f"d{d}"),
        8,
        online=own,
        batch=n % 4,
        other_load=other_load,
        capacity=capacity,
        reported_at=9.5,
        unavailable_until=until,
        probing=probing,
        report_leaving=leaving,
        prefixes={"x": None} if cached else {},
    ),
    st.integers(0, 99),
    st.integers(0, 2),
    st.integers(0, 9),
    st.integers(0, 9),
    st.integers(1, 16),
    st.sampled_from([-math.inf, 10.0, 10.5]),
    st.sampled_from([False, False, True]),
    st.sampled_from([False, False, True]),
    st.booleans(),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(VIEW, max_size=8), st.integers(0, 99), st.sampled_from([None, "x"]))
def test_choice_agrees_with_a_naive_version(views, seed, prefix):
    """Guards against selection of a full, ejected, leaving or overloaded runner."""
    chosen = choose_runner(views, prefix, 10.0, Random(seed), FailureDomainId("d0"))
    allowed = naive_choices(views, prefix, 10.0, "d0")
    assert (chosen is None) == (not allowed)
    assert chosen is None or id(chosen) in allowed


@pytest.mark.parametrize("count", [1, 16, 17, 400])
def test_subset_is_bounded_stable_and_spans_domains(count):
    """Guards against state and polling cost that grow with the fleet."""
    runners = pool_of(count).runners

    def subset_of(runners):
        ranked = rank_runners(runners, HostId("h"))
        return choose_subset(ranked, FailureDomainId("d0"), lambda runner: True)

    subset = subset_of(runners)
    assert subset == subset_of(Random(1).sample(runners, len(runners)))
    assert len(subset) == min(16, count)
    if count > 16:
        assert len({r.failure_domain for r in subset}) == 3
        remaining = [r for r in runners if r != subset[0]]
        remaining_subset = set(subset_of(remaining))
        assert len(remaining_subset & set(subset)) == 15


def test_own_requests_are_subtracted_from_a_late_report():
    """Guards against own requests counted twice, and herding on outdated reports."""
    clock = ManualClock(100.0)
    tracker = tracker_of(clock)
    view = tracker.pool_views(pool_of(1))[0]
    for _ in range(3):
        tracker.start(view)
    clock.advance(0.5)
    for _ in range(2):
        tracker.finish(view, AttemptResult.SUCCEEDED)
    tracker.apply_report(view, LoadReport(5, 1, 10, clock() - 0.5))
    assert view.other_load == 3 and view.capacity == 10
    fresh = score(view, 100.0)
    assert fresh == pytest.approx(0.4)
    assert score(view, 200.0) == pytest.approx(0.1)
    tracker.apply_report(view, LoadReport(13, 0, 10, clock()))
    assert 3 < view.other_load < 4


def test_ejection_backs_off_probes_once_and_readmits():
    """Guards against requests to a failed runner, and against permanent ejection."""
    clock = ManualClock()
    tracker = tracker_of(clock)
    pool = pool_of(1)
    view = tracker.pool_views(pool)[0]
    pauses = []
    for failures in [3, 1, 1, 1, 1, 1, 1]:
        for _ in range(failures):
            assert tracker.choose(pool, None) is view
            tracker.start(view)
            tracker.finish(view, AttemptResult.FAILED)
        assert tracker.choose(pool, None) is None
        pauses.append(tracker.seconds_until_available(pool))
        clock.advance(pauses[-1])
    assert pauses == [1, 2, 4, 8, 16, MAX_EJECTION_SECONDS, MAX_EJECTION_SECONDS]
    tracker.start(view)
    assert tracker.choose(pool, None) is None
    tracker.finish(view, AttemptResult.SUCCEEDED, 0.1)
    assert tracker.choose(pool, None) is view and not view.probing


def test_latency_outlier_is_ejected_but_never_most_of_a_pool():
    """Guards against a slow runner that raises tail latency, and mass ejection."""
    clock = ManualClock()
    tracker = tracker_of(clock)
    pool = pool_of(5)
    views = tracker.pool_views(pool)
    for _ in range(20):
        for number, view in enumerate(views):
            tracker.start(view)
            tracker.finish(view, AttemptResult.SUCCEEDED, 0.5 if number < 2 else 0.1)
    clock.advance(0.1)
    for view in views * 20:
        tracker.start(view)
        tracker.finish(view, AttemptResult.SUCCEEDED, 0.5 if view in views[:2] else 0.1)
    assert sum(view.probing for view in views) == 1
    slow = next(view for view in views if view.probing)
    assert slow in views[:2]
    clock.advance(1.0)
    tracker.start(slow)
    tracker.finish(slow, AttemptResult.SUCCEEDED, 0.5)
    assert slow.probing and slow.unavailable_until == clock() + 2.0
    clock.advance(2.0)
    tracker.start(slow)
    tracker.finish(slow, AttemptResult.SUCCEEDED, 0.1)
    assert not slow.probing


@pytest.mark.parametrize("by", ["edit", "list", "report"])
def test_leaving_runner_gets_no_new_requests(by):
    """Guards against new requests to a leaving runner, for each way of detection."""
    clock = ManualClock()
    leaving = set()
    tracker = tracker_of(clock, leaving)
    pool = pool_of(2)
    view = next(v for v in tracker.pool_views(pool) if v.runner.name == "r0")
    if by == "edit":
        leaving_runner = pool.runners[0].model_copy(update={"state": "leaving"})
        pool = pool.model_copy(update={"runners": (leaving_runner, pool.runners[1])})
    elif by == "list":
        leaving.add("r0")
        clock.advance(0.5)
    else:
        tracker.apply_report(view, LoadReport(0, 0, 8, clock(), leaving=True))
    assert {tracker.choose(pool, None).runner.name for _ in range(50)} == {"r1"}


def test_retry_after_pauses_a_runner():
    """Guards against requests to a runner that sent Retry-After."""
    clock = ManualClock()
    tracker = tracker_of(clock)
    pool = pool_of(1)
    view = tracker.pool_views(pool)[0]
    tracker.start(view)
    tracker.finish(view, AttemptResult.REFUSED, retry_after=2.0)
    assert tracker.choose(pool, None) is None
    clock.advance(2.0)
    assert tracker.choose(pool, None) is view


def test_cache_events_may_be_late_and_have_gaps():
    """Guards against affinity to an evicted prefix, and against outdated events."""
    view = tracker_of(ManualClock()).pool_views(pool_of(1))[0]
    apply_cache_event(view, 5, "stored", "a")
    apply_cache_event(view, 9, "removed", "a")
    apply_cache_event(view, 5, "stored", "a")
    assert "a" not in view.prefixes and view.cache_sequence == 10


def test_retries_stay_within_a_tenth_of_requests():
    """Guards against retries that multiply the load of failing runners."""
    budget = RetryBudget()
    retries = 0
    for _ in range(10_000):
        budget.add_request()
        retries += budget.try_spend()
    assert retries <= 1010
