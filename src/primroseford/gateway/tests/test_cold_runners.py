"""How a host learns that a runner is cold."""

from __future__ import annotations

from random import Random

import pytest

from primroseford.clock import ManualClock
from primroseford.gateway.evacuations import EvacuationChange
from primroseford.gateway.gen.messages.ttypes import ColdRunner
from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.members import Members
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.slot_allocator import SlotAllocator
from primroseford.gateway.state import Gateway
from primroseford.gateway.state import GatewayMetrics
from primroseford.gateway.tables import Pool
from primroseford.gateway.token_ownership import START_SECONDS
from primroseford.metrics import Metrics
from primroseford.platform.configuration import decode_tables
from primroseford.platform.objects import PlatformObject
from primroseford.platform.runner_list import decode_runner
from primroseford.proof.site import Site
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.fleet_objects import runner_entry

POOL = "models"
NOW, UNIX_NOW = 100.0, 1_700_000_000.0
OLD = round(UNIX_NOW * 1000) - 60_000
COLD_TIMES = {"cold_start_s": 3.0, "cold_per_s": 8.3}


def create_gateway(rate: float = 8.3) -> Gateway:
    """Return the state of a host whose pool has a cold time of 3 s."""
    clock = ManualClock(NOW)
    random = Random(1)
    gateway = Gateway(
        Members("h"),
        SlotAllocator("a", clock, random),
        None,
        clock,
        random,
        GatewayMetrics(Metrics()),
    )
    gateway.cold.unix_time = lambda: UNIX_NOW
    gateway.cold.configure({POOL: Pool(POOL, True, "/health", 3.0, rate)})
    return gateway


def entry(born: int = OLD, cold_seconds: float = 0.0) -> RunnerEntry:
    """Return the entry of the only runner."""
    key = RunnerKey("i-1", born)
    return RunnerEntry(key, POOL, "", "a", 8, RunnerStage.READY, "v1", cold_seconds)


def seconds_left(gateway: Gateway) -> float | None:
    """Return for how long the runner is cold; ``None`` if it is not."""
    period = next(iter(gateway.cold.runners.periods.values()), None)
    return None if period is None else round(period.until() - NOW, 3)


FIRST = {"i-1": entry()}


def list_runners(*lists):
    """Return a function that gives a host several lists of runners in turn."""

    def apply(gateway: Gateway) -> None:
        for entries in lists:
            gateway.allocator.set_runners(entries)

    return apply


def suspect(gateway: Gateway) -> None:
    """Let a known runner count as failed."""
    gateway.allocator.set_runners(FIRST)
    gateway.suspect(gateway.allocator.runners["i-1"], "silent")


def end_evacuation(domain: str):
    """Return a function that ends the evacuation of a failure domain."""

    def apply(gateway: Gateway) -> None:
        gateway.allocator.set_runners(FIRST)
        gateway.note_evacuations(EvacuationChange(frozenset(), frozenset({domain})))

    return apply


EVENTS = [
    (list_runners(FIRST), None),
    (list_runners({"i-1": entry(cold_seconds=2.0)}), 2.0),
    (list_runners({"i-1": entry(OLD + 59_000)}), 2.0),
    (list_runners({"i-1": entry(OLD + 90_000)}), 3.0),
    (list_runners({}, FIRST), 3.0),
    (list_runners(FIRST, FIRST), None),
    (list_runners(FIRST, {"i-1": entry(OLD + 1)}), 3.0),
    (list_runners(FIRST, {"i-1": entry(OLD + 1, 9.0)}), 9.0),
    (list_runners(FIRST, {}, FIRST), 3.0),
    (list_runners(FIRST, {"i-1": entry(cold_seconds=2.5)}), 2.5),
    (suspect, 4.0),
    (end_evacuation("a"), 3.0),
    (end_evacuation("b"), None),
]


@pytest.mark.parametrize(("apply", "left"), EVENTS)
def test_cold_runner_is_taken_for_warm(apply, left):
    """Guards against requests to a runner that may have started or returned lately."""
    gateway = create_gateway()
    apply(gateway)
    assert seconds_left(gateway) == left


@pytest.mark.parametrize(("apply", "left"), EVENTS)
def test_pool_without_a_cold_rate_is_limited(apply, left):
    """Guards against changes for deployments whose runners have no cold period."""
    gateway = create_gateway(rate=0.0)
    apply(gateway)
    assert not gateway.cold.runners.periods
    assert not gateway.allocator.tokens.is_limited(RunnerKey("i-1", OLD))


def test_entry_extends_the_cold_time_at_each_change_of_the_list():
    """Guards against a cold time that begins anew when other runners change."""
    gateway = create_gateway()
    listed = {"i-1": entry(cold_seconds=2.0)}
    gateway.allocator.set_runners(listed)
    gateway.clock.advance(1.0)
    gateway.allocator.set_runners(listed)
    assert seconds_left(gateway) == 2.0


def test_configuration_after_the_runner_list_is_ignored():
    """Guards against a host that reads the runner list before the configuration."""
    gateway = create_gateway(rate=0.0)
    gateway.allocator.set_runners({"i-1": entry(cold_seconds=2.0)})
    gateway.cold.configure({POOL: Pool(POOL, True, "/health", 3.0, 8.3)})
    assert seconds_left(gateway) == 2.0


def test_check_of_a_cold_runner_needs_no_token():
    """Guards against checks that double the requests to a cold runner.

    A request that may find no other runner of its version is checked and counted.
    """
    gateway = create_gateway()
    suspect(gateway)
    runner = gateway.allocator.runners["i-1"]
    limiter = gateway.request_limiter
    assert not limiter.take_check(runner, continues=False)
    assert limiter.take_check(runner, continues=True)
    assert limiter.tokens.count_used(runner.entry.key).total() == 1
    gateway.clock.advance(START_SECONDS)
    taken = [limiter.take_check(runner, continues=False) for _ in range(9)]
    # A window has 4 tokens. Two are left for online requests, and the check that needed
    # none counts as one.
    assert taken == [True] + [False] * 8


@pytest.mark.parametrize(
    ("seconds", "is_suspected", "host", "ends"),
    [
        (1.0, False, "peer", True),
        (0.9, False, "peer", False),
        (1.0, True, "peer", False),
        (1.0, False, "other", False),
    ],
)
def test_statement_of_another_host_ends_a_newer_suspicion(
    seconds, is_suspected, host, ends
):
    """Guards against a statement from before a crash that ends the cold time after it.

    :param seconds: age of the suspicion
    :param is_suspected: whether the owner suspects the runner
    """
    gateway = create_gateway()
    suspect(gateway)
    runner = gateway.allocator.runners["i-1"]
    gateway.clock.advance(seconds)
    for name in ("peer", "other"):
        heartbeat = Heartbeat(name, "1", f"{name}:1", "a", 1, loads=[], jobs=[])
        heartbeat.owns_request_tokens = name == "peer"
        gateway.members.receive(heartbeat, gateway.clock())
    if is_suspected:
        runner.suspected_by.add("peer")
    statement = ColdRunner("i-1", OLD, 0)
    gateway.cold.apply_heartbeat(
        Heartbeat(host, "1", loads=[], cold_runners=[statement])
    )
    assert gateway.allocator.tokens.is_cold(runner.entry.key) is not ends


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, (0.0, 0.0)),
        (COLD_TIMES, (3.0, 8.3)),
        ({"cold_start_s": None, "cold_per_s": 0}, (0.0, 0.0)),
    ],
)
def test_cold_times_of_a_service_are_not_read(fields, expected):
    """Guards against a configuration whose cold times are lost."""
    content = configuration()
    content["services"][0] |= fields
    pool = decode_tables(content).pools[POOL]
    assert (pool.cold_seconds, pool.cold_rate) == expected


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (0, 0.0),
        (2500, 2.5),
        (2500.5, 2.5005),
        (10**30, 600.0),
        (-1, 0.0),
        (True, 0.0),
        ("9", 0.0),
        (None, 0.0),
        (float("nan"), 0.0),
        (float("inf"), 0.0),
    ],
)
def test_cold_time_of_an_entry_is_no_time(value, seconds):
    """Guards against entries of other writers that make a runner useless."""
    spec = runner_entry("1.2.3.4:5", cold_left_ms=value)
    assert (
        decode_runner(PlatformObject("servers", "i", 1, spec)).cold_seconds == seconds
    )


@pytest.fixture
async def site(platform, session):
    """A site of one host and one runner whose pool has a cold time."""
    created = Site(platform, session, host_settings={"cold_slack": 5.0})
    content = configuration()
    content["services"][0] |= COLD_TIMES
    created.put("config", "main", content)
    await created.add_runner("i-1")
    await created.add_host()
    yield created
    await created.stop()


@pytest.mark.parametrize(
    ("stated", "is_cold"), [(0, False), (None, False), (60_000, True)]
)
async def test_statement_in_a_health_response_is_ignored(site, stated, is_cold):
    """Guards against a cold time that is assumed although the runner states another."""
    gateway = site.hosts[0].gateway
    site.runners[0].cold_ms = stated
    runner = gateway.allocator.runners["i-1"]
    gateway.suspect(runner, "silent")
    key = runner.entry.key
    periods = gateway.cold.runners.periods
    assert periods[key].until() - gateway.clock() < 5.0
    if is_cold:
        await site.until(lambda: periods[key].until() - gateway.clock() > 50.0)
    else:
        await site.until(lambda: key not in periods)
    assert (await site.call("/ping/whole"))[0] == 200


async def test_warm_runner_that_states_no_time_stays_limited(site):
    """Guards against a false suspicion that limits a healthy runner for a cold time."""
    gateway = site.hosts[0].gateway
    pools = gateway.cold.runners.pools
    # Longer than the test, so that the assumption does not end by itself.
    pools["models"] = pools["models"]._replace(seconds=600.0)
    runner = gateway.allocator.runners["i-1"]
    gateway.suspect(runner, "silent")
    assert runner.entry.key in gateway.cold.runners.periods
    await site.until(lambda: runner.entry.key not in gateway.cold.runners.periods)
