"""Idempotency keys: durable claims, resends, changes of the owner, outages."""

from __future__ import annotations

import asyncio
from collections import Counter

import aiohttp
import pytest

from primroseford.clock import ManualClock
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.membership.state import HostInfo
from primroseford.online import idempotency
from primroseford.online.claims import create_claims
from primroseford.online.idempotency import ClaimLog
from primroseford.online.tests.conftest import until
from primroseford.peer.network import create_peer_network
from primroseford.platform.client import create_platform_client
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.serving import serve


class FakeNetwork:
    """Calls the registered handlers directly, without a network."""

    def __init__(self):
        self.handlers = {}

    def register(self, kind, message_type, handler, answer_type=None):
        self.handlers[kind] = handler

    async def call(self, host_id, kind, message, timeout):
        return await self.handlers[kind](HostId("caller"), message)


@pytest.fixture
async def platform():
    """Return a stand-in of the platform with a client."""
    stand_in = create_platform_stand_in()
    served = await serve(create_platform_application(stand_in))
    async with aiohttp.ClientSession() as session:
        # By default aiohttp retries a PUT whose response was lost.
        session._retry_connection = False
        stand_in.client = create_platform_client(served.url, session)
        yield stand_in
    await served.stop()


def claims_of(platform, **extra):
    clock = asyncio.get_running_loop().time
    return create_claims(
        HostId("a"),
        platform.client,
        FakeNetwork(),
        clock,
        lambda organisation: 0,
        lambda group: HostId(extra.get("owner", "a")),
        lambda group: True,
    )


async def code_of(work):
    try:
        await work
    except PrimrosefordError as error:
        return error.code
    return ResultCode.OK


async def test_resend_conflict_and_refused_claim(platform):
    """Guards against a second run of a request with the same key."""
    log = ClaimLog(platform.client, 0, lambda: True)
    assert await code_of(log.claim("o", "k", "f", "1")) == ResultCode.OK
    resend = log.claim("o", "k", "f", "2")
    assert await code_of(resend) == ResultCode.REQUEST_IN_PROGRESS
    other = log.claim("o", "k", "g", "2")
    assert await code_of(other) == ResultCode.IDEMPOTENCY_CONFLICT
    assert await code_of(log.claim("p", "k", "g", "2")) == ResultCode.OK
    log.settle("o", "k", "1", ran=True)
    resend = log.claim("o", "k", "f", "3")
    assert await code_of(resend) == ResultCode.DUPLICATE_REQUEST
    log.settle("p", "k", "2", ran=False)
    assert await code_of(log.claim("p", "k", "g", "4")) == ResultCode.OK


async def test_claims_are_grouped_in_few_writes(platform):
    """Guards against one write per request."""
    log = ClaimLog(platform.client, 0, lambda: True)
    await log.claim("o", "first", "f", "0")
    before = platform.state.calls["PUT", "claims"]
    await asyncio.gather(*(log.claim("o", f"k{n}", "f", "1") for n in range(500)))
    assert platform.state.calls["PUT", "claims"] - before <= 3


async def test_claims_that_arrive_together_are_all_refused(platform):
    """Guards against a first write of claims that exceeds an object."""
    log = ClaimLog(platform.client, 0, lambda: True)
    await log.claim("o", "first", "f", "0")
    claims = (log.claim("o", f"k{n}", "f" * 64, "e" * 32) for n in range(6000))
    codes = await asyncio.gather(*map(code_of, claims))
    assert set(codes) == {ResultCode.OK}


async def test_outcomes_of_an_outage_stop_all_later_claims(platform):
    """Guards against a write that exceeds an object and is repeated unchanged."""
    log = ClaimLog(platform.client, 0, lambda: True)
    count, fingerprint, operation = 6000, "f" * 64, "e" * 32

    def claim(key: int):
        return code_of(log.claim("o", f"k{key}", fingerprint, operation))

    for start in range(0, count, 1000):
        group = (claim(key) for key in range(start, start + 1000))
        assert set(await asyncio.gather(*group)) == {ResultCode.OK}
    platform.faults.down = True
    for key in range(count):
        log.settle("o", f"k{key}", operation, ran=True)
    assert await claim(count) == ResultCode.PLATFORM_UNAVAILABLE
    platform.faults.down = False
    assert await claim(count) == ResultCode.OK
    assert await claim(0) == ResultCode.DUPLICATE_REQUEST


async def test_previous_owner_cannot_claim(platform):
    """Guards against two owners that both accept a claim of the same key."""
    old = ClaimLog(platform.client, 0, lambda: True)
    await old.claim("o", "before", "f", "1")
    new = ClaimLog(platform.client, 0, lambda: True)
    assert await code_of(new.claim("o", "k", "f", "2")) == ResultCode.OK
    late = old.claim("o", "k", "f", "3")
    assert await code_of(late) == ResultCode.PLATFORM_UNAVAILABLE
    resend = old.claim("o", "k", "f", "4")
    assert await code_of(resend) == ResultCode.REQUEST_IN_PROGRESS
    again = new.claim("o", "before", "f", "5")
    assert await code_of(again) == ResultCode.REQUEST_IN_PROGRESS


async def names_on(platform):
    return [item.name for item in (await platform.client.list("claims")).items]


async def test_takeovers_add_no_objects(platform):
    """Guards against objects that accumulate with each takeover."""
    for number in range(5):
        log = ClaimLog(platform.client, 0, lambda: True)
        assert await code_of(log.claim("o", f"k{number}", "f", "1")) == ResultCode.OK
    assert await names_on(platform) == ["g0-00000001"]
    again = ClaimLog(platform.client, 0, lambda: True).claim("o", "k0", "f", "2")
    assert await code_of(again) == ResultCode.REQUEST_IN_PROGRESS


async def test_previous_owner_cannot_create_an_object(platform, monkeypatch):
    """Guards against a previous owner that stores a claim in an object of its own."""
    old = ClaimLog(platform.client, 0, lambda: True)
    await old.claim("o", "a", "f", "1")
    new = ClaimLog(platform.client, 0, lambda: True)
    await new.claim("o", "b", "f", "1")
    monkeypatch.setattr(idempotency, "MAX_OBJECT_BYTES", 1)
    late = await code_of(old.claim("o", "k", "f", "2"))
    assert late == ResultCode.PLATFORM_UNAVAILABLE
    assert await names_on(platform) == ["g0-00000001"]
    assert await code_of(new.claim("o", "k", "f", "3")) == ResultCode.OK
    assert await names_on(platform) == ["g0-00000001", "g0-00000002"]
    owner = ClaimLog(platform.client, 0, lambda: True)
    resend = owner.claim("o", "k", "f", "4")
    assert await code_of(resend) == ResultCode.REQUEST_IN_PROGRESS


async def test_objects_of_a_group_are_bounded(platform, monkeypatch):
    """Guards against a takeover that has to list an unbounded number of objects."""
    monkeypatch.setattr(idempotency, "MAX_OBJECT_BYTES", 1)
    monkeypatch.setattr(idempotency, "MAX_OBJECTS", 3)
    log = ClaimLog(platform.client, 0, lambda: True)
    codes = [await code_of(log.claim("o", f"k{n}", "f", "1")) for n in range(6)]
    assert ResultCode.PLATFORM_UNAVAILABLE in codes
    assert len(await names_on(platform)) == 3
    log.settle("o", "k0", "1", ran=True)
    assert await code_of(log.claim("o", "k0", "f", "2")) != ResultCode.OK


@pytest.mark.parametrize("takeover", [False, True])
async def test_claims_are_deleted_after_their_retention(platform, takeover):
    """Guards against claims that never expire, and resends that run before expiry."""
    clock = ManualClock(1_000_000.0)
    logs = [ClaimLog(platform.client, 0, lambda: True, clock)]

    async def claim(key, operation):
        if takeover:
            logs.append(ClaimLog(platform.client, 0, lambda: True, clock))
        return await code_of(logs[-1].claim("o", key, "f", operation))

    assert await claim("first", "1") == ResultCode.OK
    for hour in range(24):
        clock.advance(3601.0)
        assert await claim(f"k{hour}", "1") == ResultCode.OK
        assert await claim("first", "2") == ResultCode.REQUEST_IN_PROGRESS
    assert len(await names_on(platform)) == 25
    clock.advance(2 * 3601.0)
    assert await claim("last", "1") == ResultCode.OK
    await until(lambda: logs[-1].writer is None)
    assert await claim("first", "3") == ResultCode.OK
    await until(lambda: logs[-1].writer is None)
    names = await names_on(platform)
    assert "g0-00000001" not in names and len(names) <= 26
    stored_names = Counter(
        name for log_object in logs[-1].log_objects for name in log_object.names
    )
    assert set(logs[-1].index) == set(stored_names)


async def test_claims_over_the_peer_network(platform):
    """Guards against messages that the real peer network cannot encode."""
    addresses, networks, claims = {}, [], {}
    clock = asyncio.get_running_loop().time
    for name in ("a", "b"):
        info = HostInfo(
            HostId(name), Incarnation(name), "127.0.0.1:0", FailureDomainId("d")
        )
        network = create_peer_network(info, b"secret-" * 5, clock, addresses.get)
        claims[name] = create_claims(
            HostId(name),
            platform.client,
            network,
            clock,
            lambda organisation: 0,
            lambda group: HostId("a"),
            lambda group, name=name: name == "a",
        )
        await network.start()
        networks.append(network)
        addresses[HostId(name)] = network.address
    try:
        deadline = clock() + 20.0
        assert await code_of(claims["b"].claim("o", "k", "f", deadline)) == 0
        twice = await code_of(claims["b"].claim("o", "k", "f", deadline))
        assert twice == ResultCode.REQUEST_IN_PROGRESS
        conflict = await code_of(claims["a"].claim("o", "k", "g", deadline))
        assert conflict == ResultCode.IDEMPOTENCY_CONFLICT
        claims["b"].settle("o", "k", ran=True)
        await until(lambda: not claims["b"].background)
        resend = await code_of(claims["a"].claim("o", "k", "f", deadline))
        assert resend == ResultCode.DUPLICATE_REQUEST
        await networks[0].stop()
        unreachable = await code_of(claims["b"].claim("o", "n", "f", clock() + 0.5))
        assert unreachable == ResultCode.PLATFORM_UNAVAILABLE
    finally:
        for network in networks:
            await network.stop()


async def test_claim_during_an_outage_is_refused_and_can_be_resent(platform):
    """Guards against requests that run unclaimed and keys blocked after an outage."""
    log = ClaimLog(platform.client, 0, lambda: True)
    await log.claim("o", "a", "f", "1")
    platform.faults.down = True
    refused = log.claim("o", "k", "f", "2")
    assert await code_of(refused) == ResultCode.PLATFORM_UNAVAILABLE
    platform.faults.down = False
    assert await code_of(log.claim("o", "k", "f", "3")) == ResultCode.OK
    platform.faults.lose_write_answers = 1
    assert await code_of(log.claim("o", "lost", "f", "4")) == ResultCode.OK


async def test_without_the_lease_nothing_is_claimed(platform):
    """Guards against claims by a host whose lease has expired."""
    log = ClaimLog(platform.client, 0, lambda: False)
    assert await code_of(log.claim("o", "k", "f", "1")) == ResultCode.LEASE_LOST
    assert not platform.state.calls["POST", "claims"]


@pytest.mark.parametrize("owner", ["a", "b"])
async def test_request_with_a_key_runs_once(rig, platform, owner):
    """Guards against a resend that runs again, on this host or through another one."""
    claims = claims_of(platform, owner=owner)
    await rig.start(claims=claims)
    headers = rig.bearer() | {"Idempotency-Key": "key-1", "X-Call": "invoice"}

    async def send(body=b"x"):
        request = rig.client.post("/desk/invoice", data=body, headers=headers)
        async with request as answer:
            outcome = answer.headers.get("X-Primroseford-Outcome")
            return answer.status, outcome

    platform.faults.down = True
    assert await send() == (503, "not_run")
    platform.faults.down = False
    assert await send() == (200, None)
    await until(lambda: not claims.background)
    assert await send() == (409, "ran")
    assert await send(b"y") == (409, "not_run")
    assert rig.service.runs["invoice"] == 1
