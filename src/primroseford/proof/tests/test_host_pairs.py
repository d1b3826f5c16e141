"""Tests of keys, configuration and stops of hosts under pairs of failures."""

from __future__ import annotations

import asyncio

import pytest

from primroseford.platform.objects import decode_object
from primroseford.proof.fleet import CHAT
from primroseford.proof.hosts import isolate_host
from primroseford.proof.hosts import reconnect_host

ISOLATED_CODE = b'"code": 3006'
WITHDRAWN_CODE = b'"code": 2003'


async def key_refused_by_all_hosts(fleet) -> bool:
    """Return whether every host rejects the key of ``depot``."""
    responses = [await fleet.call(name) for name in fleet.hosts]
    return {status for status, _, _ in responses} == {401}


@pytest.mark.parametrize("second_failure", ["expired watch", "host killed"])
async def test_key_withdrawn_just_before_an_outage_ends(fleet, second_failure):
    """Guards against a missed withdrawal of a key.

    The key is withdrawn during an outage, at whose end watches expire or a host is
    killed.
    """
    await fleet.start()
    fleet.set_platform_down(True)
    assert (await fleet.call("a"))[0] == 200
    fleet.withdraw("depot")
    for view in fleet.views.values():
        view.faults.expire_watches = int(second_failure == "expired watch")
    if second_failure == "host killed":
        await fleet.kill("b")
    fleet.set_platform_down(False)
    async with asyncio.timeout(9.0):
        await fleet.until(lambda: key_refused_by_all_hosts(fleet))
    ran = fleet.service.runs.total()
    assert await key_refused_by_all_hosts(fleet)
    assert fleet.service.runs.total() == ran
    assert (await fleet.call("a", organisation="garage"))[0] == 200


async def test_key_withdrawn_while_the_streams_host_is_cut_off(fleet):
    """Guards against a withdrawn key that an isolated host still accepts."""
    await fleet.start()
    fleet.engines[0].settings.token_seconds = 0.02
    streams = [
        asyncio.create_task(
            fleet.call(name, CHAT, stream=True, max_tokens=9000, organisation=who)
        )
        for name, who in [("a", "depot"), ("b", "depot"), ("b", "garage")]
    ]
    await fleet.until(lambda: fleet.engines[0].state.running == 3)
    fleet.views["a"].faults.down = True
    isolate_host(fleet.hosts["a"])
    fleet.withdraw("depot")

    async def refused() -> bool:
        status, headers, _ = await fleet.call("a", headers={"X-Call": "late"})
        return status == 503 and headers["X-Primroseford-Outcome"] == "not_run"

    async with asyncio.timeout(9.0):
        content = (await streams[1])[2]
        assert WITHDRAWN_CODE in content and b"[DONE]" not in content
        await fleet.until(refused)
    async with asyncio.timeout(9.0):
        content = (await streams[0])[2]
        assert ISOLATED_CODE in content and b"[DONE]" not in content
    ran = fleet.service.runs["late"]
    assert await refused() and fleet.service.runs["late"] == ran
    assert not streams[2].done()
    streams[2].cancel()
    fleet.views["a"].faults.down = False
    reconnect_host(fleet.hosts["a"])
    await fleet.until(lambda: key_refused_by_all_hosts(fleet))
    assert fleet.service.runs["late"] == ran


async def test_host_started_in_an_outage_while_a_watching_host_is_lost(fleet):
    """Guards against a host that starts without tables or keeps outdated ones.

    It starts in an outage of the platform, and a host that watches the platform for its
    peers is killed meanwhile.
    """
    await fleet.start(a="d0", b="d0", c="d0")
    fleet.set_platform_down(True)
    seeds = tuple(host.components.peers.address for host in fleet.hosts.values())
    watchers = [
        name
        for name, host in fleet.hosts.items()
        if host.components.configuration.position.watches
    ]
    assert len(watchers) == 2
    started = await fleet.add("d", "d0", peers=seeds, down=True)
    await fleet.kill(watchers[0])
    await fleet.until(started.ready)
    assert (await fleet.call("d"))[0] == 200
    assert started.components.configuration.store.current().version > 0
    fleet.set_platform_down(False)
    fleet.withdraw("depot")
    await fleet.until(lambda: key_refused_by_all_hosts(fleet))


async def test_planned_stop_while_a_runner_leaves(fleet):
    """Guards against interrupted streams and requests to a runner that is leaving.

    A host stops gracefully while a runner that it uses is leaving.
    """
    await fleet.start(2, {"max_in_flight": 50}, a="d0", b="d1")
    streams = [
        asyncio.create_task(fleet.call("a", CHAT, stream=True, max_tokens=150))
        for _ in range(20)
    ]
    stopping_host = fleet.hosts.pop("a")
    await fleet.until(
        lambda: sum(e.state.run_counts.total() for e in fleet.engines) == 20
    )
    stopping = asyncio.create_task(stopping_host.stop_gracefully())
    fleet.engines[0].faults.leaving = True
    spec = decode_object("pools", fleet.platform.state.get("pools", "vans")).spec
    first = spec["runners"][0] | {"state": "leaving"}
    fleet.put("pools", "vans", spec | {"runners": [first, spec["runners"][1]]})

    def leaving_state_is_known() -> bool:
        store = fleet.hosts["b"].components.configuration.store
        return store.current().pools["vans"].runners[0].state.value == "leaving"

    async with asyncio.timeout(2.0):
        await fleet.until(leaving_state_is_known)
    ran = fleet.engines[0].state.run_counts.total()
    for _ in range(8):
        assert (await fleet.call("b", CHAT, max_tokens=1))[0] == 200
    for status, _, content in await asyncio.gather(*streams):
        assert status == 200 and content.endswith(b"data: [DONE]\n\n")
    await stopping
    assert fleet.engines[0].state.run_counts.total() == ran
    runs = [n for e in fleet.engines for n in e.state.run_counts.values()]
    assert len(runs) == 28 and set(runs) == {1}


async def test_stop_of_a_cut_off_host_during_an_outage(fleet):
    """Guards against a graceful stop that waits for an unreachable platform or peer."""
    await fleet.start(a="d0", b="d1")
    host = fleet.hosts.pop("a")
    fleet.set_platform_down(True)
    isolate_host(host)
    retried = host.components.configuration.relay_state.confirmed_at
    await fleet.until(lambda: host.clock() - retried > 2.0)
    async with asyncio.timeout(10.0):
        await host.stop_gracefully()
    assert host.drained
