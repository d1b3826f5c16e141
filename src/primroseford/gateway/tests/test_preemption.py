"""Preemption of batch items for online requests that wait at a runner."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from primroseford.gateway.placement import RunnerLoad
from primroseford.gateway.preemption import PREEMPTION_DELAY_SECONDS
from primroseford.gateway.preemption import choose_preemption_host
from primroseford.gateway.preemption import waits_for_batch
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.tables import Organisation
from primroseford.gateway.tables import Tables
from primroseford.proof.heartbeats import HeartbeatFleet

RUNNER = "i-1"
HOSTS = 40
ENTRY = RunnerEntry(
    RunnerKey(RUNNER, 1), "p", "10.0.0.1:80", "a", 8, RunnerStage.READY, "v1"
)


@pytest.mark.parametrize(
    ("online", "batch", "waits"),
    [
        (1, 7, False),
        (2, 7, True),
        (9, 0, False),
        (1, 0, False),
        (9, 1, True),
    ],
)
def test_request_waits_for_batch(online, batch, waits):
    """Guards against preemption while a slot is free or no batch item uses one."""
    load = RunnerLoad(RunnerKey(RUNNER, 1), "a", 8, online, batch)
    assert waits_for_batch(load) is waits


@pytest.mark.parametrize(
    ("batch", "expected"),
    [
        ({}, {None}),
        ({"own": 0, "a-1": 0}, {None}),
        ({"own": 1, "a-1": 5}, {"own"}),
        ({"own": 0, "a-1": 2}, {"a-1"}),
        ({"own": 0, "a-1": 2, "b-2": 1, "c-3": 0}, {"a-1", "b-2"}),
    ],
)
def test_choice_of_the_preempting_host(batch, expected):
    """Guards against a preemption request to a host without an item on the runner."""
    random = Random(1)
    assert {choose_preemption_host(batch, "own", random) for _ in range(50)} == expected


def test_waiting_hosts_choose_different_hosts():
    """Guards against a wave that preempts only the items of one host."""
    random = Random(2)
    batch = {f"b-{number}": 1 for number in range(8)}
    asked = [
        choose_preemption_host(batch, f"own-{number}", random) for number in range(80)
    ]
    assert set(asked) == set(batch)


@pytest.mark.parametrize(
    ("online", "batch", "asked"), [(0, 1, True), (3, 2, True), (1, 0, False)]
)
def test_preemption_request_is_sent_directly(online, batch, asked):
    """Guards against preemption that waits for heartbeats or reaches several hosts."""
    fleet = HeartbeatFleet(HOSTS)
    for service in fleet.services.values():
        service.gateway.allocator.set_runners({RUNNER: ENTRY})
    holder, other = fleet.services["b-6"], fleet.services["d-13"]
    runner = holder.gateway.allocator.runners[RUNNER]
    runner.online, runner.batch = online, batch
    holder.gateway.allocator.changed = True
    fleet.run(3.0)
    sent = fleet.sent["d-13"]
    other.gateway.request_preemption(other.gateway.allocator.runners[RUNNER])
    assert fleet.sent["d-13"] == sent + asked
    # One simulation step, then enough time for relays and further heartbeats.
    fleet.run(0.02)
    assert holder.jobs.preempted == [RUNNER] * asked
    fleet.run(2.0)
    stepped = {n: s.jobs.preempted for n, s in fleet.services.items()}
    expected = {"b-6": [RUNNER]} if asked else {}
    assert {n: runners for n, runners in stepped.items() if runners} == expected


@pytest.mark.parametrize(
    ("path", "event_seconds", "batch", "asked"),
    [
        ("/pick/x", 0.001, 0, 0),
        ("/pick/x", 0.001, 9, 1),
        ("/pick/x", 0.3, 0, 0),
        ("/pick/x", 0.3, 9, 1),
        ("/once/whole", 0.001, 9, 0),
    ],
)
async def test_stream_requests_preemption_on_a_full_runner(
    site, monkeypatch, path, event_seconds, batch, asked
):
    """Guards against streams queued behind batch items, and needless preemption."""
    monkeypatch.setattr(
        "primroseford.gateway.forward.uses_preemption_requests", lambda hosts: True
    )
    requested = []
    gateway = site.hosts[0].gateway
    gateway.request_preemption = requested.append
    for runner in site.runners:
        runner.event_seconds = event_seconds
    for state in gateway.allocator.runners.values():
        state.set_peer_load("host-9", 0, batch)
    assert (await site.call(path))[0] == 200
    assert len(requested) == asked


async def test_stream_without_a_first_event_requests_preemption(site, monkeypatch):
    """Guards against a request that waits at a runner with a reported free slot."""
    monkeypatch.setattr(
        "primroseford.gateway.forward.uses_preemption_requests", lambda hosts: True
    )
    requested = []
    site.hosts[0].gateway.request_preemption = requested.append
    for runner in site.runners:
        runner.faults.silent = True
    call = asyncio.create_task(site.call("/nudge/x"))
    await site.until(lambda: len(requested) == 1)
    await asyncio.sleep(3 * PREEMPTION_DELAY_SECONDS)
    assert len(requested) == 1
    call.cancel()


@pytest.mark.parametrize("asks", [False, True])
def test_preemption_request_hides_no_admissions(asks):
    """Guards against admissions that are reported only to the receiver of the request.

    A heartbeat reports how many admissions are new since the previous one. Hosts use
    that number for an organisation that is reported to them for the first time.
    """
    fleet = HeartbeatFleet(HOSTS)
    organisation = Organisation("caroni", 5.0, 10.0)
    for service in fleet.services.values():
        service.gateway.allocator.set_runners({RUNNER: ENTRY})
        service.gateway.tables = Tables(1, (), {}, {"caroni": organisation}, None)
    fleet.run(3.0)
    asking = fleet.services["d-13"]
    runner = asking.gateway.allocator.runners[RUNNER]
    runner.set_peer_load("b-6", 0, 1)
    asking.gateway.quotas.try_admit(organisation, fleet.clock())
    if asks:
        asking.gateway.request_preemption(runner)
    fleet.run(2.0)
    counted = {
        name
        for name, service in fleet.services.items()
        if "caroni" in service.gateway.quotas.buckets
    }
    assert counted == set(fleet.names)


def test_own_item_is_preempted_without_a_message():
    """Guards against a message to another host if this host has an item itself."""
    fleet = HeartbeatFleet(HOSTS)
    service = fleet.services["a-0"]
    service.gateway.allocator.set_runners({RUNNER: ENTRY})
    service.gateway.allocator.runners[RUNNER].batch = 1
    service.gateway.request_preemption(service.gateway.allocator.runners[RUNNER])
    assert service.jobs.preempted == [RUNNER]
    assert fleet.sent["a-0"] == 0
