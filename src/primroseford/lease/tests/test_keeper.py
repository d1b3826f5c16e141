from __future__ import annotations

import asyncio

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.lease.state import EndReason


async def test_takeover_waits_for_the_full_duration(create_keeper, clock):
    """Guards against a takeover earlier than a duration after the first observation."""
    first, second = create_keeper("host-1"), create_keeper("host-2")
    lease = await first.acquire("group-1")
    clock.advance(2.0)
    assert await second.acquire("group-1") is None
    clock.advance(2.9)
    assert await second.acquire("group-1") is None
    clock.advance(0.2)
    taken = await second.acquire("group-1")
    assert (lease.fencing, taken.fencing) == (1, 2)
    assert not lease.valid(clock())


async def test_renewal_restarts_the_wait_of_others(create_keeper, clock):
    """Guards against a takeover from a holder that renews."""
    first, second = create_keeper("host-1"), create_keeper("host-2")
    lease = await first.acquire("group-1")
    for _ in range(6):
        assert await second.acquire("group-1") is None
        clock.advance(1.0)
        await first.renew(lease)
    assert lease.valid(clock())


@pytest.mark.parametrize("lost", [0, 1])
async def test_concurrent_acquires_of_a_free_lease(
    platform, create_keeper, clock, lost
):
    """Guards against two holders when several hosts acquire a free lease at once."""
    keepers = [create_keeper(f"host-{n}") for n in range(4)]
    platform.faults.lose_write_answers = lost
    taken = await asyncio.gather(*(k.acquire("group-1") for k in keepers))
    assert len([lease for lease in taken if lease is not None]) == 1


async def test_holder_paused_past_its_lease(create_keeper, clock):
    """Guards against a holder that acts or renews after a pause past its lease."""
    first, second = create_keeper("host-1"), create_keeper("host-2")
    lost = []
    lease = await first.acquire("group-1", on_loss=lost.append)
    assert await second.acquire("group-1") is None
    clock.advance(3.1)
    taken = await second.acquire("group-1")
    assert not lease.valid(clock())
    await first.renew(lease)
    assert (lost, lease.end_reason) == ([lease], EndReason.EXPIRED)
    assert taken.valid(clock())
    await second.renew(taken)
    assert taken.end_reason is None


@pytest.mark.parametrize(("paused", "lost"), [(2.0, None), (2.9, EndReason.EXPIRED)])
async def test_pause_during_a_renewal(create_keeper, clock, paused, lost):
    """Guards against validity counted from the response instead of the request."""
    first = create_keeper("host-1")
    lease = await first.acquire("group-1")
    update = first.client.update

    async def slow_update(*arguments, **keywords):
        stored = await update(*arguments, **keywords)
        clock.advance(paused)
        return stored

    until = lease.valid_until
    first.client.update = slow_update
    await first.renew(lease)
    assert (lease.end_reason, lease.valid_until) == (lost, until)


async def test_renewal_answer_lost_before_an_outage(platform, create_keeper, clock):
    """Guards against an own renewal mistaken for a takeover."""
    first = create_keeper("host-1")
    lease = await first.acquire("group-1")
    until = lease.valid_until
    platform.faults.lose_write_answers = 1
    platform.faults.down_after_writes = 1
    clock.advance(1.0)
    await first.renew(lease)
    assert lease.valid(clock()) and lease.valid_until == until
    platform.faults.down = False
    await first.renew(lease)
    assert lease.end_reason is None and lease.valid_until == until
    await first.renew(lease)
    assert lease.end_reason is None and lease.valid_until == until + 1.0


async def test_lease_expires_during_an_outage(platform, create_keeper, clock):
    """Guards against a holder that keeps its lease throughout an outage."""
    first = create_keeper("host-1")
    lease = await first.acquire("group-1")
    platform.faults.down = True
    clock.advance(2.6)
    await first.renew(lease)
    assert lease.valid(clock())
    clock.advance(0.2)
    assert not lease.valid(clock())
    with pytest.raises(PrimrosefordError) as caught:
        await create_keeper("host-2").acquire("group-1")
    assert caught.value.code is ResultCode.PLATFORM_UNAVAILABLE


async def test_taken_over_lease_is_reported_once(create_keeper, clock, client):
    """Guards against a holder that is not informed of a takeover."""
    first = create_keeper("host-1")
    lost = []
    lease = await first.acquire("group-1", on_loss=lost.append)
    lease_object = await client.get("leases", "group-1")
    other = lease_object.spec | {"holder": "host-2", "fencing": 2}
    await client.update("leases", "group-1", other, lease_object.version)
    await first.renew(lease)
    await first.renew(lease)
    assert (lost, lease.end_reason) == ([lease], EndReason.TAKEN)


async def test_restarted_host_does_not_inherit_its_lease(create_keeper, clock):
    """Guards against a new process that continues its predecessor's lease."""
    await create_keeper("host-1").acquire("group-1")
    restarted = create_keeper("host-1", incarnation="2")
    assert await restarted.acquire("group-1") is None
    clock.advance(3.1)
    assert (await restarted.acquire("group-1")).fencing == 2


@pytest.mark.parametrize(("released", "taken"), [(True, True), (False, False)])
async def test_release_frees_and_abandon_does_not(create_keeper, released, taken):
    """Guards against a takeover while a request of the old holder may be in flight."""
    first, second = create_keeper("host-1"), create_keeper("host-2")
    lease = await first.acquire("group-1")
    if released:
        await first.release(lease)
    else:
        first.abandon(lease)
    assert (await second.acquire("group-1") is not None) is taken


async def test_release_during_a_renewal(create_keeper):
    """Guards against a release that fails because a concurrent renewal won."""
    first = create_keeper("host-1")
    lease = await first.acquire("group-1")
    update = first.client.update
    applied, proceed = asyncio.Event(), asyncio.Event()

    async def slow_update(*arguments, **keywords):
        stored = await update(*arguments, **keywords)
        applied.set()
        await proceed.wait()
        return stored

    first.client.update = slow_update
    renewal = asyncio.create_task(first.renew(lease))
    await applied.wait()
    first.client.update = update
    await first.release(lease)
    proceed.set()
    await renewal
    assert (await create_keeper("host-2").acquire("group-1")).fencing == 2


async def test_effect_delay_extends_the_wait(create_keeper, clock):
    """Guards against a takeover before the old holder's requests have arrived."""
    first, second = create_keeper("host-1"), create_keeper("host-2")
    await first.acquire("group-1")
    assert await second.acquire("group-1", effect_delay=5.0) is None
    clock.advance(7.9)
    assert await second.acquire("group-1", effect_delay=5.0) is None
    clock.advance(0.2)
    assert await second.acquire("group-1", effect_delay=5.0) is not None


async def test_service_renews_and_releases_on_stop(
    platform, create_keeper, clock, eventually
):
    """Guards against leases that expire while their holder runs, or outlive it."""
    first = create_keeper("host-1")
    await first.start()
    lease = await first.acquire("group-1")
    version = lease.version
    clock.advance(1.1)
    await eventually(lambda: lease.version > version)
    await first.stop()
    assert lease.end_reason is EndReason.RELEASED
    assert (await create_keeper("host-2").acquire("group-1")).fencing == 2
