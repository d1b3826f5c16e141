"""Placement on runners of unequal speed, replayed with hosts that see old loads."""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING

import pytest

from primroseford.gateway.affinity import choose_cached_runner
from primroseford.gateway.placement import MAX_RUNNER_QUEUE
from primroseford.gateway.placement import batch_runner
from primroseford.gateway.placement import choose_runner
from primroseford.gateway.placement import sample_runners
from primroseford.gateway.slot_allocator import FIRST_EVENT_SECONDS
from primroseford.gateway.speed_placement import choose_by_speed
from primroseford.gateway.tests.uneven_fleet import RUNNERS
from primroseford.gateway.tests.uneven_fleet import SLOTS
from primroseford.gateway.tests.uneven_fleet import Fleet
from primroseford.gateway.tests.uneven_fleet import Policy
from primroseford.gateway.tests.uneven_fleet import Result
from primroseford.runner_speed.pool import PoolTimes
from primroseford.runner_speed.pool import ResponseTimes
from primroseford.runner_speed.reports import choose_reported
from primroseford.runner_speed.reports import create_report
from primroseford.runner_speed.speed import RunnerSpeed

if TYPE_CHECKING:
    from primroseford.gateway.placement import RunnerLoad
    from primroseford.gateway.tests.uneven_fleet import Work

RATE = 250.0
"""Mean online requests a second; a surge with the items takes 0.95 of all slots."""
SECONDS = 20.0
SERVICE_SECONDS = 0.73
"""Time that an online request takes a slot of a usual runner."""


def place_near_cache(
    work: Work, loads: list[RunnerLoad], best: RunnerLoad | None
) -> RunnerLoad | None:
    """Return the runner of a request, by its large shared part if it has one."""
    if work.part is None or best is None:
        return best
    return choose_cached_runner(f"part-{work.part}", loads, best) or best


class FreeSlots(Policy):
    """Placement by free slots alone."""

    def choose(self, fleet, host, loads, work):
        """Return the number of the runner; ``None`` if the work must wait."""
        if work.is_item:
            best = batch_runner(loads, fleet.choices, fleet.hosts)
        else:
            sampled = sample_runners(loads, fleet.hosts, fleet.choices)
            best = choose_runner(sampled, "a", fleet.choices)
            best = best or choose_runner(loads, "a", fleet.choices)
        best = place_near_cache(work, loads, best)
        return None if best is None else loads.index(best)


class KnownSpeeds(Policy):
    """Placement by the true lasting speeds.

    Each host sees the true momentary slowness as reported with the last response that
    any host got from a runner, if ``momentary`` is set.
    """

    def __init__(self, momentary: bool) -> None:
        self.momentary = momentary
        self.heads: dict[int, tuple[float, float]] = {}

    def note_head(self, fleet, host, number):
        """Handle the report of a runner in the head of a response."""
        self.heads[number] = (fleet.engines[number].slowness, fleet.now)

    def time_factor(self, fleet: Fleet, number: int, is_item: bool) -> float:
        """Return the time that work takes on a runner, relative to the usual one."""
        factor = 1 / fleet.engines[number].speed
        if is_item or not self.momentary or number not in self.heads:
            return factor
        slowness, at = self.heads[number]
        return factor * (1 + (slowness - 1) * max(0.0, 1 - (fleet.now - at) / 0.6))

    def choose(self, fleet, host, loads, work):
        """Return the number of the runner; ``None`` if the work must wait."""
        best = choose_by_speed(
            loads,
            [self.time_factor(fleet, n, work.is_item) for n in range(RUNNERS)],
            fleet.hosts,
            FIRST_EVENT_SECONDS,
            SERVICE_SECONDS,
            fleet.choices,
            work.is_item,
        )
        best = place_near_cache(work, loads, best)
        return None if best is None else loads.index(best)


class MeasuredSpeeds(KnownSpeeds):
    """Placement by what the hosts measure and tell each other."""

    def __init__(self, hosts: int) -> None:
        super().__init__(momentary=True)
        self.pools = [PoolTimes() for _ in range(hosts)]
        self.speeds = [[RunnerSpeed() for _ in range(RUNNERS)] for _ in range(hosts)]
        self.reports = 0

    def note_head(self, fleet, host, number):
        """Handle the report of a runner in the head of a response."""
        slowness = round(100 * fleet.engines[number].slowness)
        self.speeds[host][number].note_slowness(slowness, fleet.now)

    def note_end(self, fleet, work, number):
        """Handle the end of a response."""
        times = ResponseTimes(work.first, work.last_event, work.events - 1)
        speed = self.speeds[work.host][number]
        in_flight = fleet.engines[number].in_flight + 1
        self.pools[work.host].measure(speed, times, in_flight, SLOTS)

    def report(self, fleet, host):
        """Return what a host reports on speeds in a heartbeat."""
        speeds = self.speeds[host]
        numbers = {id(speed): n for n, speed in enumerate(speeds)}
        chosen = choose_reported(speeds, fleet.now)
        self.reports += len(chosen)
        return [
            (numbers[id(speed)], create_report(speed, fleet.now)) for speed in chosen
        ]

    def apply(self, fleet, host, sender, report):
        """Apply the report of another host."""
        for number, entry in report:
            assert entry.is_valid
            entry.apply(self.speeds[host][number], str(sender), fleet.now)

    def time_factor(self, fleet, number, is_item):
        """Return the time that work takes on a runner, relative to the usual one."""
        speed = self.speeds[self.host][number]
        return 1 / speed.lasting if is_item else speed.time_factor(fleet.now)

    def choose(self, fleet, host, loads, work):
        """Return the number of the runner; ``None`` if the work must wait."""
        self.host = host
        return super().choose(fleet, host, loads, work)


class AllKnowing(Policy):
    """Placement by the true loads, speeds and slowness of this moment."""

    def choose(self, fleet, host, loads, work):
        """Return the number of the runner; ``None`` if the work must wait."""

        def first_event(number: int) -> float:
            engine = fleet.engines[number]
            queued = max(0, engine.in_flight + 1 - SLOTS)
            wait = 0.05 + queued * SERVICE_SECONDS / SLOTS
            if work.part is not None and work.part not in engine.cache:
                wait += 0.2
            return wait * engine.slowness / engine.speed

        best = min(range(RUNNERS), key=first_event)
        least = 0 if work.is_item else -MAX_RUNNER_QUEUE
        free = SLOTS - fleet.engines[best].in_flight
        return best if free > least else None


POLICIES = {
    "free slots": lambda hosts: FreeSlots(),
    "lasting speed": lambda hosts: KnownSpeeds(momentary=False),
    "lasting and momentary speed": lambda hosts: KnownSpeeds(momentary=True),
    "measured": MeasuredSpeeds,
    "all known": lambda hosts: AllKnowing(),
}


@cache
def replay(hosts: int, policy: str) -> Result:
    """Return what the callers get with a policy; printed for the design note."""
    result = Fleet(hosts, POLICIES[policy](hosts), RATE, seed=5).run(SECONDS)
    values = zip(result._fields, result, strict=True)
    print(hosts, policy, " ".join(f"{name}={value:.3f}" for name, value in values))
    return result


@pytest.mark.parametrize(("hosts", "ratio"), [(8, 0.6), (68, 0.9)])
def test_fewer_requests_are_late_if_speeds_count(hosts, ratio):
    """Guards against requests that wait at slow runners while fast ones have slots."""
    before = replay(hosts, "free slots")
    after = replay(hosts, "measured")
    bound = replay(hosts, "all known")
    assert after.late <= ratio * before.late
    assert bound.late <= after.late
    assert after.items >= 0.95 * before.items
