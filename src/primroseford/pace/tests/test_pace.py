"""Limits of runners from their responses and from the reports of their owners."""

from __future__ import annotations

import pytest

from primroseford.gateway.runners import RunnerKey
from primroseford.pace.control import LOWEST_LIMIT
from primroseford.pace.control import RESPONSES_TO_FULL
from primroseford.pace.control import Answers
from primroseford.pace.control import is_eligible
from primroseford.pace.control import next_limit
from primroseford.pace.control import own_share
from primroseford.pace.ramps import UNOWNED_SECONDS
from primroseford.pace.ramps import LimitReport
from primroseford.pace.ramps import Ramps
from primroseford.pace.usual_times import UsualTimes
from primroseford.request_limits.peer_uses import Process

RUNNER = RunnerKey("i-1", 5)
FULL = 18.0
PROCESS = Process("h", "1")


@pytest.mark.parametrize(
    ("limit", "new", "expected"),
    [
        (3.0, Answers(), 3.0),
        (3.0, Answers(in_time=1), 5.5),
        (3.0, Answers(in_time=RESPONSES_TO_FULL), FULL),
        (3.0, Answers(in_time=1000), FULL),
        (3.0, Answers(slow=9), LOWEST_LIMIT),
        (16.0, Answers(slow=1), 12.0),
        (16.0, Answers(in_time=1, slow=2), 12.0),
        (8.0, Answers(in_time=2, slow=1), 10.5),
        (16.0, Answers(in_time=5, failed=1), 8.0),
        (4.0, Answers(failed=9), LOWEST_LIMIT),
    ],
)
def test_limit_does_not_follow_the_responses(limit, new, expected):
    """Guards against a limit that rises with slow responses, or falls without any."""
    assert next_limit(limit, new, FULL) == expected


@pytest.mark.parametrize("hosts", [1, 2, 3, 8, 64, 1500])
def test_shares_exceed_the_limit_together(hosts):
    """Guards against hosts without a report that together flood a runner."""
    shares = [own_share(LOWEST_LIMIT, hosts, rank) for rank in range(hosts)]
    assert sum(shares) == LOWEST_LIMIT


@pytest.mark.parametrize(("hosts", "share"), [(1, 1.0), (8, 1.0), (120, 0.1)])
def test_all_hosts_of_a_large_fleet_use_a_runner_at_once(hosts, share):
    """Guards against a limit that all hosts exceed before they hear of each other."""
    draws = [number / 1000 for number in range(1000)]
    eligible = sum(is_eligible(draw, 3.0, hosts) for draw in draws)
    assert eligible == pytest.approx(1000 * share, abs=1)


def test_usual_time_at_another_load_counts():
    """Guards against responses that are compared with those at another load."""
    usual = UsualTimes()
    assert not usual.is_slow("p", 0.1, 99.0)
    usual.record("p", 0.1, 0.05)
    usual.record("p", 1.5, 0.4)
    assert usual.is_slow("p", 0.1, 0.3)
    assert not usual.is_slow("p", 1.2, 0.3)
    assert usual.is_slow("p", 0.3, 0.3)
    assert not usual.is_slow("other", 0.1, 99.0)


def owned_ramps() -> Ramps:
    """Return the ramps of a host that owns one."""
    ramps = Ramps()
    ramps.begin(RUNNER, FULL, 0.0)
    ramps.own(RUNNER, True, 0.0, 1.0)
    return ramps


def test_lost_heartbeat_loses_responses():
    """Guards against responses that are not counted when their report is lost."""
    ramps = owned_ramps()
    ramps.note_answers(RUNNER, PROCESS, Answers(10, 5, 5), 0.1)
    assert ramps.ramps[RUNNER].owned == LOWEST_LIMIT
    ramps.note_answers(RUNNER, PROCESS, Answers(12, 5, 5), 0.3)
    assert ramps.ramps[RUNNER].owned == 8.0
    ramps.note_answers(RUNNER, PROCESS, Answers(12, 5, 5), 0.4)
    assert ramps.ramps[RUNNER].owned == 8.0


def test_restarted_host_raises_the_limit_with_old_responses():
    """Guards against counts of a new process that are taken for new responses."""
    ramps = owned_ramps()
    ramps.note_answers(RUNNER, PROCESS, Answers(10), 0.1)
    ramps.note_answers(RUNNER, Process("h", "2"), Answers(4), 0.2)
    assert ramps.ramps[RUNNER].owned == LOWEST_LIMIT


def test_fully_used_runner_is_not_reported_as_such():
    """Guards against hosts that keep a limit which has ended at the owner."""
    ramps = owned_ramps()
    ramps.note_answers(RUNNER, PROCESS, Answers(), 0.1)
    assert ramps.note_answers(RUNNER, PROCESS, Answers(in_time=9), 0.2)
    assert RUNNER in ramps.full_until
    ramps.expire({RUNNER}, 5.0)
    assert not ramps.full_until
    ramps.note_answers(RUNNER, PROCESS, Answers(in_time=9), 6.0)
    assert RUNNER in ramps.full_until


@pytest.mark.parametrize(
    ("reports", "limit"),
    [
        ([], None),
        ([("a", 5.0, 1.0)], 5.0),
        ([("a", 5.0, 1.0), ("b", 4.0, 1.0)], 4.0),
        ([("a", 5.0, 1.0), ("a", 9.0, 1.1)], 9.0),
        ([("a", 5.0, -1.0)], None),
        ([("a", FULL, 0.2), ("b", 4.0, 1.0)], 4.0),
        ([("a", FULL, -1.0)], None),
    ],
)
def test_limit_of_two_owners_is_the_higher_one(reports, limit):
    """Guards against an old report, or one of another owner, that raises the limit."""
    ramps = Ramps()
    ramps.begin(RUNNER, FULL, 0.0)
    for host, value, at in reports:
        ramps.note_report(RUNNER, FULL, host, LimitReport(value, at))
    assert ramps.ramps[RUNNER].limit(1.5, 1.0) == limit


def test_stale_report_still_counts():
    """Guards against the limit of an owner that no longer reports."""
    ramps = Ramps()
    ramps.begin(RUNNER, FULL, 0.0)
    ramps.note_report(RUNNER, FULL, "a", LimitReport(9.0, 1.0))
    assert ramps.ramps[RUNNER].limit(2.5, 1.0) is None


def test_next_owner_starts_anew():
    """Guards against a limit that is lost with its owner."""
    ramps = Ramps()
    ramps.begin(RUNNER, FULL, 0.0)
    ramps.note_report(RUNNER, FULL, "a", LimitReport(9.0, 1.0))
    ramps.own(RUNNER, True, 1.5, 1.0)
    assert ramps.ramps[RUNNER].owned == 9.0
    ramps.own(RUNNER, False, 1.6, 1.0)
    ramps.own(RUNNER, True, 9.0, 1.0)
    assert ramps.ramps[RUNNER].owned == LOWEST_LIMIT


def test_runner_without_an_owner_is_limited_for_good():
    """Guards against runners whose chosen owner is of an earlier release."""
    ramps = Ramps()
    ramps.begin(RUNNER, FULL, 0.0)
    assert not ramps.expire({RUNNER}, UNOWNED_SECONDS)
    assert ramps.expire({RUNNER}, UNOWNED_SECONDS + 0.1) == [RUNNER]
