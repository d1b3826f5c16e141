from __future__ import annotations

import asyncio

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.lease.state import LossReason


async def test_takeover_waits_for_the_full_duration(keeper_of, clock):
    """Guards against a takeover counted from anything but the first sight."""
    first, second = keeper_of("host-1"), keeper_of("host-2")
    lease = await first.acquire("group-1")
    clock.advance(2.0)
    assert await second.acquire("group-1") is None
    clock.advance(2.9)
    assert await second.acquire("group-1") is None
    clock.advance(0.2)
    taken = await second.acquire("group-1")
    assert (lease.fencing, taken.fencing) == (1, 2)
    assert not lease.valid(clock())


async def test_renewal_restarts_the_wait_of_others(keeper_of, clock):
    """Guards against a takeover from a holder that renews."""
    first, second = keeper_of("host-1"), keeper_of("host-2")
    lease = await first.acquire("group-1")
    for _ in range(6):
        assert await second.acquire("group-1") is None
        clock.advance(1.0)
        await first.renew(lease)
    assert lease.valid(clock())


@pytest.mark.parametrize("lost", [0, 1])
async def test_concurrent_acquires_of_a_free_lease(platform, keeper_of, clock, lost):
    """Guards against two holders when several hosts take a free lease."""
    keepers = [keeper_of(f"host-{n}") for n in range(4)]
    platform.faults.lose_write_answers = lost
    taken = await asyncio.gather(*(k.acquire("group-1") for k in keepers))
    assert len([lease for lease in taken if lease is not None]) == 1


async def test_holder_paused_past_its_lease(keeper_of, clock):
    """Guards against a holder that acts or renews after it was paused."""
    first, second = keeper_of("host-1"), keeper_of("host-2")
    lost = []
    lease = await first.acquire("group-1", on_loss=lost.append)
    assert await second.acquire("group-1") is None
    clock.advance(3.1)
    taken = await second.acquire("group-1")
    assert not lease.valid(clock())
    await first.renew(lease)
    assert (lost, lease.end_reason) == ([lease], LossReason.EXPIRED)
    assert taken.valid(clock())
    await second.renew(taken)
    assert taken.end_reason is None


@pytest.mark.parametrize(("paused", "lost"), [(2.0, None), (2.9, LossReason.EXPIRED)])
async def test_pause_during_a_renewal(keeper_of, clock, paused, lost):
    """Guards against validity counted from the answer instead of the call."""
    first = keeper_of("host-1")
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


async def test_renewal_answer_lost_and_service_away(platform, keeper_of, clock):
    """Guards against an own renewal being taken for a takeover."""
    first = keeper_of("host-1")
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


async def test_outage_ends_the_lease_in_time(platform, keeper_of, clock):
    """Guards against a holder that goes on through an outage."""
    first = keeper_of("host-1")
    lease = await first.acquire("group-1")
    platform.faults.down = True
    clock.advance(2.6)
    await first.renew(lease)
    assert lease.valid(clock())
    clock.advance(0.2)
    assert not lease.valid(clock())
    with pytest.raises(PrimrosefordError) as caught:
        await keeper_of("host-2").acquire("group-1")
    assert caught.value.code is ResultCode.PLATFORM_UNAVAILABLE


async def test_taken_lease_is_reported_once(keeper_of, clock, client):
    """Guards against a holder that does not learn that its lease is gone."""
    first = keeper_of("host-1")
    lost = []
    lease = await first.acquire("group-1", on_loss=lost.append)
    found = await client.get("leases", "group-1")
    other = found.spec | {"holder": "host-2", "fencing": 2}
    await client.update("leases", "group-1", other, found.version)
    await first.renew(lease)
    await first.renew(lease)
    assert (lost, lease.end_reason) == ([lease], LossReason.TAKEN)


async def test_restarted_host_does_not_inherit(keeper_of, clock):
    """Guards against a new process that continues its predecessor's lease."""
    await keeper_of("host-1").acquire("group-1")
    restarted = keeper_of("host-1", incarnation="2")
    assert await restarted.acquire("group-1") is None
    clock.advance(3.1)
    assert (await restarted.acquire("group-1")).fencing == 2


@pytest.mark.parametrize(("released", "taken"), [(True, True), (False, False)])
async def test_release_frees_and_abandon_does_not(keeper_of, released, taken):
    """Guards against a takeover while an effect of the old holder is in doubt."""
    first, second = keeper_of("host-1"), keeper_of("host-2")
    lease = await first.acquire("group-1")
    if released:
        await first.release(lease)
    else:
        first.abandon(lease)
    assert (await second.acquire("group-1") is not None) is taken


async def test_release_during_a_renewal(keeper_of):
    """Guards against a released lease that lapses because a renewal came first."""
    first = keeper_of("host-1")
    lease = await first.acquire("group-1")
    update = first.client.update
    took_effect, go_on = asyncio.Event(), asyncio.Event()

    async def slow_update(*arguments, **keywords):
        stored = await update(*arguments, **keywords)
        took_effect.set()
        await go_on.wait()
        return stored

    first.client.update = slow_update
    renewal = asyncio.create_task(first.renew(lease))
    await took_effect.wait()
    first.client.update = update
    await first.release(lease)
    go_on.set()
    await renewal
    assert (await keeper_of("host-2").acquire("group-1")).fencing == 2


async def test_wait_out_is_added(keeper_of, clock):
    """Guards against a new holder whose receiver still gets old effects."""
    first, second = keeper_of("host-1"), keeper_of("host-2")
    await first.acquire("group-1")
    assert await second.acquire("group-1", wait_out=5.0) is None
    clock.advance(7.9)
    assert await second.acquire("group-1", wait_out=5.0) is None
    clock.advance(0.2)
    assert await second.acquire("group-1", wait_out=5.0) is not None


async def test_service_renews_and_releases_on_stop(
    platform, keeper_of, clock, eventually
):
    """Guards against leases that lapse while their holder runs, or outlive it."""
    first = keeper_of("host-1")
    await first.start()
    lease = await first.acquire("group-1")
    version = lease.version
    clock.advance(1.1)
    await eventually(lambda: lease.version > version)
    await first.stop()
    assert lease.end_reason is LossReason.RELEASED
    assert (await keeper_of("host-2").acquire("group-1")).fencing == 2
