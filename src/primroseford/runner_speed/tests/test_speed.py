"""Lasting and momentary speed of a runner, and what hosts report of it."""

from __future__ import annotations

import math
from random import Random

import pytest

from primroseford.runner_speed.pool import PoolTimes
from primroseford.runner_speed.pool import ResponseTimes
from primroseford.runner_speed.reports import MAX_REPORTED_SPEEDS
from primroseford.runner_speed.reports import SpeedReport
from primroseford.runner_speed.reports import choose_reported
from primroseford.runner_speed.reports import create_report
from primroseford.runner_speed.reports import has_news
from primroseford.runner_speed.speed import MAX_SPEED
from primroseford.runner_speed.speed import MIN_SPEED
from primroseford.runner_speed.speed import SLOWNESS_SECONDS
from primroseford.runner_speed.speed import RunnerSpeed

RUNNERS = 60
SPEEDS = [0.55] * 15 + [1.2] * 45
USUAL_SECONDS = 0.038
SLOTS = 8


@pytest.mark.parametrize(
    ("age", "factor"),
    [
        (0.0, 2.5),
        (SLOWNESS_SECONDS / 2, 1.75),
        (SLOWNESS_SECONDS, 1.0),
        (60.0, 1.0),
        (-1.0, 2.5),
    ],
)
def test_momentary_slowness_fades(age, factor):
    """Guards against a runner that is avoided after its slow period has ended."""
    speed = RunnerSpeed()
    speed.note_slowness(250, 100.0)
    assert speed.time_factor(100.0 + age) == pytest.approx(factor)


def test_runner_never_tried_has_the_speed_of_its_pool():
    """Guards against new runners that get nothing, or everything."""
    assert RunnerSpeed().time_factor(100.0) == 1.0


def test_one_response_makes_a_runner_slow():
    """Guards against a runner that is avoided for one response in a slow period."""
    speed = RunnerSpeed()
    speed.note_speed(math.log(1 / 2.5), 1.0)
    assert speed.lasting > 0.7


@pytest.mark.parametrize("log_speed", [-1000.0, 1000.0])
def test_speed_is_bounded(log_speed):
    """Guards against a runner that a false figure excludes or always prefers."""
    speed = RunnerSpeed()
    speed.note_speed(log_speed, 8.0)
    assert 0.99 * MIN_SPEED <= speed.lasting <= 1.01 * MAX_SPEED
    report = create_report(speed, 0.0)
    assert report.is_valid


def test_reports_of_hosts_are_merged():
    """Guards against reports that add up with each heartbeat or outlive their host."""
    speed = RunnerSpeed()
    for _ in range(50):
        speed.set_peer_speed("a", 0.5, 38)
    assert speed.lasting == pytest.approx(0.5**0.95)
    speed.set_peer_speed("b", 2.0, 40)
    assert speed.lasting == pytest.approx(1.0, abs=0.05)
    speed.remove_peer("b")
    speed.remove_peer("b")
    assert speed.lasting == pytest.approx(0.5**0.95)
    speed.remove_peer("a")
    assert speed.lasting == 1.0


def test_older_slowness_of_a_peer_is_ignored():
    """Guards against late heartbeats that replace what the runner has said since."""
    speed = RunnerSpeed()
    speed.note_slowness(100, 10.0)
    SpeedReport(1.0, 0, 2.5, 0.5).apply(speed, "a", 10.1)
    assert speed.time_factor(10.1) == 1.0
    SpeedReport(1.0, 0, 2.5, 0.0).apply(speed, "a", 10.1)
    assert speed.time_factor(10.1) == 2.5


@pytest.mark.parametrize(
    ("report", "is_valid"),
    [
        (SpeedReport(1.0, 1, 0.0, 0.0), True),
        (SpeedReport(0.55, 40, 2.5, 0.3), True),
        (SpeedReport(0.0, 1, 0.0, 0.0), False),
        (SpeedReport(-1.0, 1, 0.0, 0.0), False),
        (SpeedReport(11.0, 1, 0.0, 0.0), False),
        (SpeedReport(math.nan, 1, 0.0, 0.0), False),
        (SpeedReport(1.0, -1, 0.0, 0.0), False),
        (SpeedReport(1.0, 10**9, 0.0, 0.0), False),
        (SpeedReport(1.0, 1, 0.1, 0.0), False),
        (SpeedReport(1.0, 1, 11.0, 0.0), False),
        (SpeedReport(1.0, 1, 1.0, -0.1), False),
    ],
)
def test_invalid_report_is_believed(report, is_valid):
    """Guards against figures of a faulty host that decide on placement."""
    assert report.is_valid == is_valid


def test_unchanged_runner_is_reported_again_and_again():
    """Guards against heartbeats that repeat what the other hosts know."""
    speed = RunnerSpeed()
    assert not has_news(speed, 100.0)
    speed.note_slowness(250, 100.0)
    assert has_news(speed, 100.0)
    create_report(speed, 100.0)
    assert not has_news(speed, 100.0)
    speed.note_slowness(250, 100.05)
    assert not has_news(speed, 100.05)
    speed.note_slowness(250, 100.4)
    assert has_news(speed, 100.4)
    create_report(speed, 100.4)
    speed.note_slowness(100, 100.5)
    assert has_news(speed, 100.5)
    speed.note_speed(0.0, 1.0)
    create_report(speed, 100.5)
    assert not has_news(speed, 100.6)
    assert has_news(speed, 200.0)


def test_heartbeat_holds_few_runners():
    """Guards against heartbeats that exceed a datagram, and runners never reported."""
    speeds = [RunnerSpeed() for _ in range(300)]
    for speed in speeds:
        speed.note_speed(0.1, 1.0)
    reported = set()
    for beat in range(10):
        chosen = choose_reported(speeds, float(beat))
        assert len(chosen) <= MAX_REPORTED_SPEEDS
        for speed in chosen:
            create_report(speed, float(beat))
            reported.add(id(speed))
    assert len(reported) == len(speeds)


def learn(host_factor: float, random: Random, responses: int) -> list[RunnerSpeed]:
    """Return the speeds that a host has learned from responses of all runners.

    :param host_factor: factor by which the host itself makes all times longer
    """
    pool, speeds = PoolTimes(), [RunnerSpeed() for _ in range(RUNNERS)]
    for _ in range(responses):
        number = random.randrange(RUNNERS)
        # Slow runners have more requests in flight, and steps take longer with them.
        in_flight = random.randint(2, 8) if number < 15 else random.randint(1, 6)
        slowness = 2.5 if random.random() < 0.15 else 1.0
        seconds = USUAL_SECONDS * host_factor * (1 + 0.02 * in_flight)
        seconds *= (0.7 * 1.0 + 0.3 * slowness) / SPEEDS[number]
        times = ResponseTimes()
        times.note(1, 100.0)
        times.note(18, 100.0 + 18 * seconds)
        pool.measure(speeds[number], times, in_flight, SLOTS)
    return speeds


@pytest.mark.parametrize("host_factor", [1.0, 3.0])
def test_lasting_speeds_are_learned(host_factor):
    """Guards against speeds that depend on the load of the runner or on the host."""
    speeds = learn(host_factor, Random(3), 2500)
    slow = [speed.lasting for speed in speeds[:15]]
    fast = [speed.lasting for speed in speeds[15:]]
    assert max(slow) < min(fast)
    ratio = (sum(slow) / 15) / (sum(fast) / 45)
    assert ratio == pytest.approx(0.55 / 1.2, rel=0.12)
    assert 0.6 < sum(slow + fast) / RUNNERS < 1.5


@pytest.mark.parametrize(
    ("intervals", "seconds"), [(0, 0.0), (3, 1.0), (18, 0.0), (18, -1.0)]
)
def test_short_response_is_measured(intervals, seconds):
    """Guards against speeds from responses with too few events or no duration."""
    times = ResponseTimes()
    times.note(1, 100.0)
    times.note(intervals, 100.0 + seconds)
    assert PoolTimes().measure(RunnerSpeed(), times, 1, SLOTS) is None


def test_stalled_response_is_bounded():
    """Guards against a caller who reads slowly and makes a runner count as slow."""
    pool, speed = PoolTimes(), RunnerSpeed()
    for seconds in (0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 700.0):
        times = ResponseTimes()
        times.note(1, 100.0)
        times.note(18, 100.0 + seconds)
        pool.measure(speed, times, 9, SLOTS)
    assert speed.lasting > 0.75
