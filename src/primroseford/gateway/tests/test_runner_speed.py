"""Hosts in front of runners that report how slow they are at the moment."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict
from structlog.testing import capture_logs

from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.gen.messages.ttypes import RunnerSpeed as SpeedMessage
from primroseford.gateway.notices import RunnerNotice
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerRestart
from primroseford.ids import HostId
from primroseford.ids import RunnerName
from primroseford.peer.codec import encode
from primroseford.platform.runner_calls import decode_load
from primroseford.runner_speed.pool import ResponseTimes
from primroseford.runner_speed.reports import MAX_REPORTED_SPEEDS

ENGINE_PATH = "/nudge/x"


@pytest.mark.parametrize(
    ("load", "path", "reports"),
    [
        ("1, 0, 8, 100", ENGINE_PATH, True),
        ("1, 0, 8, 250", ENGINE_PATH, True),
        ("1, 0, 8", ENGINE_PATH, False),
        ("1, 0, 8, 9999", ENGINE_PATH, False),
        ("", ENGINE_PATH, False),
    ],
)
async def test_pool_counts_as_reporting_slowness(site, load, path, reports):
    """Guards against placement by speed for pools whose runners do not report it."""
    for runner in site.runners:
        runner.faults.load = load
    assert (await site.call(path, "first"))[0] == 200
    allocator = site.hosts[0].gateway.allocator
    pool = allocator.runners["i-1"].entry.pool
    assert allocator.slowness_pools == ({pool} if reports else set())


async def test_changing_load_is_logged_as_a_notice(site):
    """Guards against a log line for each response whose load differs."""
    states = site.hosts[0].gateway.allocator.runners.values()
    for number in range(3):
        for runner in site.runners:
            runner.faults.load = f"{number}, 0, 8, {100 + number}"
        assert (await site.call(ENGINE_PATH, f"id-{number}"))[0] == 200
        assert all(state.notice == RunnerNotice() for state in states)


async def test_other_hosts_learn_speeds_and_slowness(site):
    """Guards against hosts that know only runners that they have used."""
    other = await site.add_host()
    for host in site.hosts:
        members = host.gateway.members
        await site.until(lambda m=members, h=host: len(m.live(h.clock())) == 1)
    for runner in site.runners:
        runner.faults.load = "1, 0, 8, 250"
    for number in range(6):
        assert (await site.call(ENGINE_PATH, f"id-{number}"))[0] == 200
    states = other.gateway.allocator.runners
    await site.until(lambda: any(state.speed.peers for state in states.values()))
    allocator = other.gateway.allocator
    assert allocator.slowness_pools == {states["i-1"].entry.pool}
    assert any(state.speed.slowness == 2.5 for state in states.values())
    other.gateway.speeds.remove_host(site.hosts[0].gateway.members.own)
    assert not any(state.speed.peers for state in states.values())


async def test_restarted_runner_keeps_its_speed(site):
    """Guards against the speed of a former process under the same name."""
    gateway = site.hosts[0].gateway
    runner = gateway.allocator.runners["i-1"]
    runner.speed.note_speed(-1.0, 8.0)
    born = runner.entry.key.born
    gateway.note_restart(RunnerRestart(RunnerName("i-1"), born, born + 1000))
    assert gateway.allocator.runners["i-1"].speed.lasting == 1.0


@pytest.mark.parametrize(
    ("speed", "responses", "slowness", "age_ms", "born_offset", "is_used"),
    [
        (50, 10, 0, 0, 0, True),
        (50, 10, 250, 100, 0, True),
        (None, None, None, None, 0, False),
        (0, 10, 0, 0, 0, False),
        (50, -1, 0, 0, 0, False),
        (50, 10, 5000, 0, 0, False),
        (50, 10, 250, -5, 0, False),
        (50, 10, 0, 0, 1, False),
    ],
)
async def test_invalid_report_of_a_peer_is_used(
    site, speed, responses, slowness, age_ms, born_offset, is_used
):
    """Guards against reports out of bounds, or on another instance of the runner."""
    gateway = site.hosts[0].gateway
    runner = gateway.allocator.runners["i-1"]
    born = runner.entry.key.born + born_offset
    message = SpeedMessage("i-1", born, speed, responses, slowness, age_ms)
    heartbeat = Heartbeat(host="host-9", speeds=[message])
    gateway.speeds.apply_heartbeat(heartbeat, HostId("host-9"))
    assert (runner.speed.lasting < 1.0) == is_used
    gateway.speeds.apply_heartbeat(Heartbeat(host="host-9"), HostId("host-9"))


async def test_heartbeat_with_most_speeds_fits_a_datagram(site):
    """Guards against heartbeats that are too long to be sent."""
    gateway = site.hosts[0].gateway
    entry = gateway.allocator.runners["i-1"].entry
    entries = {
        name: replace(entry, key=RunnerKey(name, entry.key.born))
        for name in (RunnerName(f"runner-{number:04}") for number in range(200))
    }
    gateway.allocator.set_runners(entries)
    gateway.allocator.slowness_pools.add(entry.pool)
    for runner in gateway.allocator.runners.values():
        runner.speed.note_speed(0.1, 8.0)
        runner.speed.note_slowness(250, gateway.clock())
    heartbeat = site.hosts[0].services[0].heartbeat()
    assert len(heartbeat.speeds) == MAX_REPORTED_SPEEDS
    assert len(encode(heartbeat)) < 4000


@pytest.mark.parametrize(
    ("load", "busy", "counted"),
    [
        ("8, 1, 8, 100", 0, 1),
        ("8, 0, 8, 100", 0, 0),
        ("8, 1, 8, 100", 8, 0),
        ("8, 1, 8", 0, 0),
    ],
)
async def test_waits_beside_free_slots_are_counted(site, load, busy, counted):
    """Guards against waits of which operators cannot see that they are needless."""
    gateway = site.hosts[0].gateway
    for runner in gateway.allocator.runners.values():
        runner.peer_online = busy
    gateway.note_load(
        gateway.allocator.runners["i-1"],
        decode_load(SimpleNamespace(headers=CIMultiDict({"Server-Load": load}))),
    )
    assert gateway.metrics.needless_waits._value.get() == counted


async def test_first_events_are_counted_by_speed(site):
    """Guards against a metric that does not tell slow runners from others."""
    gateway = site.hosts[0].gateway
    for name, lasting in (("i-1", 0.5), ("i-2", 1.1)):
        gateway.allocator.runners[name].speed.set_peer_speed("host-9", lasting, 40)
        gateway.speeds.note_first_event(gateway.allocator.runners[name], 0.1)
    for label in ("slow", "usual"):
        assert gateway.metrics.first_events.labels(label)._sum.get() == 0.1


async def test_error_of_the_model_is_logged_seldom(site):
    """Guards against a log line for each response, and against none."""
    gateway = site.hosts[0].gateway
    runner = gateway.allocator.runners["i-1"]
    gateway.allocator.slowness_pools.add(runner.entry.pool)
    now = gateway.clock()
    gateway.clock = lambda: now
    with capture_logs() as lines:
        for _ in range(130):
            now += 1.0
            gateway.speeds.note_response(runner, ResponseTimes(0.0, 0.7, 18))
    logged = [line for line in lines if line["event"] == "runner speeds"]
    assert len(logged) == 2
    assert logged[0]["responses"] == 61
    assert logged[0]["error_factor"] == 1.0
