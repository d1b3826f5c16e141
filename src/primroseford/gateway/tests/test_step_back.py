"""Batch items that make room for online requests that wait at a runner."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from primroseford.gateway.placement import RunnerLoad
from primroseford.gateway.preemption import PREEMPTION_DELAY_SECONDS
from primroseford.gateway.preemption import choose_holder
from primroseford.gateway.preemption import waits_for_batch
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.tables import Organisation
from primroseford.gateway.tables import Tables
from primroseford.proof.heartbeats import Fleet

RUNNER = "i-1"
HOSTS = 40
ENTRY = RunnerEntry(RunnerKey(RUNNER, 1), "p", "10.0.0.1:80", "a", 8, RunnerStage.READY)


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
    """Guards against items that pause though another slot is free, or for nothing."""
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
def test_holder(batch, expected):
    """Guards against a question to a host without an item there."""
    random = Random(1)
    assert {choose_holder(batch, "own", random) for _ in range(50)} == expected


def test_hosts_that_wait_at_once_ask_different_hosts():
    """Guards against a wave that pauses the items of one host and no other's."""
    random = Random(2)
    batch = {f"b-{number}": 1 for number in range(8)}
    asked = [choose_holder(batch, f"own-{number}", random) for number in range(80)]
    assert set(asked) == set(batch)


@pytest.mark.parametrize(
    ("online", "batch", "asked"), [(0, 1, True), (3, 2, True), (1, 0, False)]
)
def test_the_host_that_has_the_slot_is_asked_at_once(online, batch, asked):
    """Guards against a wave that waits for heartbeats, or pauses items everywhere."""
    fleet = Fleet(HOSTS)
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
    # One step of the network, then time enough for relays and further heartbeats.
    fleet.run(0.02)
    assert holder.jobs.stepped_back == [RUNNER] * asked
    fleet.run(2.0)
    stepped = {n: s.jobs.stepped_back for n, s in fleet.services.items()}
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
async def test_stream_asks_if_its_runner_is_full(
    site, monkeypatch, path, event_seconds, batch, asked
):
    """Guards against streams that wait behind batch, and questions without need."""
    monkeypatch.setattr("primroseford.gateway.forward.may_ask", lambda hosts: True)
    questions = []
    gateway = site.hosts[0].gateway
    gateway.request_preemption = questions.append
    for runner in site.runners:
        runner.event_seconds = event_seconds
    for state in gateway.allocator.runners.values():
        state.take_peer("host-9", 0, batch)
    assert (await site.call(path))[0] == 200
    assert len(questions) == asked


async def test_stream_without_a_first_event_asks_once_more(site, monkeypatch):
    """Guards against a request that waits at a runner that seemed to have room."""
    monkeypatch.setattr("primroseford.gateway.forward.may_ask", lambda hosts: True)
    questions = []
    site.hosts[0].gateway.request_preemption = questions.append
    for runner in site.runners:
        runner.faults.silent = True
    call = asyncio.create_task(site.call("/nudge/x"))
    await site.until(lambda: len(questions) == 1)
    await asyncio.sleep(3 * PREEMPTION_DELAY_SECONDS)
    assert len(questions) == 1
    call.cancel()


@pytest.mark.parametrize("asks", [False, True])
def test_question_keeps_nothing_from_the_other_hosts(asks):
    """Guards against admissions that only the asked host hears of.

    A heartbeat tells how many admissions are new since the last one, by which hosts
    count an organisation that they hear of for the first time.
    """
    fleet = Fleet(HOSTS)
    organisation = Organisation("caroni", 5.0, 10.0)
    for service in fleet.services.values():
        service.gateway.allocator.set_runners({RUNNER: ENTRY})
        service.gateway.tables = Tables(1, (), {}, {"caroni": organisation}, None)
    fleet.run(3.0)
    asking = fleet.services["d-13"]
    runner = asking.gateway.allocator.runners[RUNNER]
    runner.take_peer("b-6", 0, 1)
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


def test_own_item_steps_back_without_a_message():
    """Guards against a host that asks others for a slot that it has itself."""
    fleet = Fleet(HOSTS)
    service = fleet.services["a-0"]
    service.gateway.allocator.set_runners({RUNNER: ENTRY})
    service.gateway.allocator.runners[RUNNER].batch = 1
    service.gateway.request_preemption(service.gateway.allocator.runners[RUNNER])
    assert service.jobs.stepped_back == [RUNNER]
    assert fleet.sent["a-0"] == 0
