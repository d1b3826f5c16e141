from __future__ import annotations

from itertools import permutations

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.runners import RunnerKey
from primroseford.quarantine.evidence import CRASH_RETENTION_SECONDS
from primroseford.quarantine.evidence import MAX_CRASHES
from primroseford.quarantine.evidence import MAX_REPORTED_CRASH_PARTS
from primroseford.quarantine.evidence import MAX_REPORTED_CRASHES
from primroseford.quarantine.evidence import MAX_SERVED_PARTS
from primroseford.quarantine.evidence import Evidence
from primroseford.quarantine.state import MIN_HEARING_SECONDS
from primroseford.quarantine.state import TRIAL_REPEAT_SECONDS
from primroseford.quarantine.state import TRIAL_SECONDS
from primroseford.quarantine.state import Quarantine
from primroseford.quarantine.state import QuarantineRecord

PARTS = {"a": 0, "t": 1}


def runner(number: int) -> RunnerKey:
    """Return a runner instance."""
    return RunnerKey(f"i-{number}", number)


@pytest.fixture
def quarantine(clock) -> Quarantine:
    """A quarantine with a manual clock."""
    return Quarantine(clock)


def crash_three_runners(quarantine, clock) -> None:
    """Let three runners crash on ``t`` and decide."""
    for number in range(3):
        quarantine.record_crash(runner(number), clock(), PARTS)
        quarantine.record_served(["a"])
        clock.advance(1.0)
    quarantine.decide()


def is_refused(quarantine, *parts) -> bool:
    """Return whether a request with parts is refused."""
    try:
        quarantine.check(parts)
    except PrimrosefordError as error:
        assert error.code is ResultCode.PROMPT_QUARANTINED
        assert error.http_status == 503 and error.retry_after >= 1.0
        return True
    return False


def test_requests_beside_the_deadly_ones_are_refused(quarantine, clock):
    """Guards against a quarantine that meets sound requests of the same first part."""
    crash_three_runners(quarantine, clock)
    assert is_refused(quarantine, "a", "t")
    assert not is_refused(quarantine, "a", "b")


def test_verdict_precedes_the_reports_of_other_hosts(quarantine, clock):
    """Guards against a verdict before others could say what they have served."""
    for number in range(3):
        clock.advance(1.0)
        quarantine.record_crash(runner(number), clock(), PARTS)
    clock.advance(MIN_HEARING_SECONDS / 2)
    quarantine.decide()
    assert not quarantine.active()
    for part in PARTS:
        quarantine.evidence.merge_served(part, clock())
    clock.advance(MIN_HEARING_SECONDS)
    quarantine.decide()
    assert not quarantine.active()


def test_quarantined_part_is_never_tried_again(quarantine, clock):
    """Guards against a wrong verdict that never ends, and against many trials."""
    crash_three_runners(quarantine, clock)
    clock.advance(TRIAL_SECONDS)
    assert not is_refused(quarantine, "t")
    quarantine.begin_trial(["t"])
    assert is_refused(quarantine, "t")
    clock.advance(TRIAL_SECONDS)
    assert is_refused(quarantine, "t")
    clock.advance(TRIAL_SECONDS)
    quarantine.begin_trial(["t"])
    quarantine.record_served(["t"])
    assert not quarantine.active() and not is_refused(quarantine, "t")
    quarantine.decide()
    assert not quarantine.active()


@pytest.mark.parametrize("answer", ["crashed", "learnt", "lifted"])
def test_trial_that_reached_a_runner_is_repeated_soon(quarantine, clock, answer):
    """Guards against trials beyond those that their intervals allow (BUDGET)."""
    crash_three_runners(quarantine, clock)
    clock.advance(TRIAL_SECONDS)
    quarantine.begin_trial(["t"])
    if answer == "learnt":
        newer = quarantine.records["t"].generation + 1
        quarantine.apply(QuarantineRecord("t", newer, clock() + 60.0, 60.0))
    if answer == "lifted":
        quarantine.record_served(["t"])
    if answer != "crashed":
        quarantine.repeat_trial(["t"])
    clock.advance(TRIAL_SECONDS)
    assert is_refused(quarantine, "t") == (answer != "lifted")


def test_trial_that_reached_no_runner_is_used_up(quarantine, clock):
    """Guards against a wait for the next interval after a trial of nothing."""
    crash_three_runners(quarantine, clock)
    clock.advance(TRIAL_SECONDS)
    quarantine.begin_trial(["t"])
    quarantine.repeat_trial(["t"])
    quarantine.repeat_trial(["t"])
    assert is_refused(quarantine, "t")
    clock.advance(TRIAL_REPEAT_SECONDS)
    assert not is_refused(quarantine, "t")
    quarantine.begin_trial(["t"])
    clock.advance(2 * TRIAL_SECONDS - 0.1)
    assert is_refused(quarantine, "t")


def test_every_host_tries_a_quarantined_part(quarantine, clock):
    """Guards against a trial by each host."""
    crash_three_runners(quarantine, clock)
    quarantine.is_responsible = lambda part: False
    clock.advance(TRIAL_SECONDS)
    assert is_refused(quarantine, "t")


@pytest.mark.parametrize("order", list(permutations(range(4))))
def test_records_that_arrive_in_another_order(clock, order):
    """Guards against hosts that disagree after hearing the same reports."""
    records = [
        QuarantineRecord("t", 1, 130.0, 30.0),
        QuarantineRecord("t", 2, 190.0, 60.0),
        QuarantineRecord("t", 3, 190.0, 60.0, lifted=True),
        QuarantineRecord("u", 1, 130.0, 30.0),
    ]
    quarantine = Quarantine(clock)
    for number in order:
        quarantine.apply(records[number])
    assert quarantine.active() == {"u"}
    assert quarantine.records["t"] == records[2]


@pytest.mark.parametrize("order", list(permutations(range(3))))
def test_reports_of_one_crash_count_twice(clock, order):
    """Guards against a crash that counts once for each host that saw it."""
    evidence = Evidence()
    reports = [
        (runner(1), 100.0, {"a": 0, "t": 1}),
        (runner(1), 100.2, {"b": 0}),
        (runner(2), 103.0, {"t": 2}),
    ]
    for number in order:
        evidence.add_crash(*reports[number], now=104.0)
        evidence.add_crash(*reports[number], now=104.0)
    found = sorted(evidence.known_crashes(0.3, 105.0), key=lambda crash: crash.at)
    assert [(c.at, dict(sorted(c.parts.items()))) for c in found] == [
        (100.0, {"a": 0, "b": 0, "t": 1}),
        (103.0, {"t": 2}),
    ]


def test_evidence_grows_without_bound():
    """Guards against memory that callers can fill with part ids and crashes."""
    evidence = Evidence()
    for number in range(4 * MAX_CRASHES):
        parts = {f"p-{number}-{part}": part for part in range(200)}
        evidence.add_crash(runner(number), 100.0, parts, 100.0, own=True)
    evidence.add_served((f"s-{n}" for n in range(2 * MAX_SERVED_PARTS)), 100.0)
    assert len(evidence.crashes) == MAX_CRASHES
    assert len(evidence.own_served_at) == MAX_SERVED_PARTS
    reported = evidence.reported_crashes((), 101.0)
    assert sum(len(p) for *_, p in reported) <= (
        MAX_REPORTED_CRASHES * MAX_REPORTED_CRASH_PARTS
    )
    evidence.add_crash(runner(0), 200.0, {}, 101.0 + CRASH_RETENTION_SECONDS)
    assert len(evidence.crashes) == 1
