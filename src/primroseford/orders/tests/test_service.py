from __future__ import annotations

import asyncio

import pytest

from primroseford.errors import ResultCode
from primroseford.orders.state import Order
from primroseford.orders.state import OrderStatus
from primroseford.platform.objects import decode_object

ORDER = Order("set_role", "van-round")


def leases(platform) -> dict:
    found = platform.state.objects.get("leases", {})
    return {name: decode_object("leases", item).spec for name, item in found.items()}


async def test_lease_is_held_only_while_orders_are_pending(
    platform, engine_of, host_of, eventually
):
    """Guards against leases that are renewed for every runner all the time."""
    engine, runner = await engine_of(True)
    host = host_of("host-1")
    results = await asyncio.gather(*(host.submit(runner, ORDER) for _ in range(3)))
    assert {result.status for result in results} == {OrderStatus.ACCEPTED}
    await eventually(lambda: leases(platform)["orders-runner-1"]["holder"] == "")
    await host.submit(runner, ORDER)
    assert [order["fencing"] for order in engine.state.orders] == [1, 1, 1, 2]


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_orders_of_two_hosts_to_one_runner(engine_of, host_of, checks_fencing):
    """Guards against orders of two hosts that interleave under one fencing number."""
    engine, runner = await engine_of(checks_fencing)
    hosts = [host_of("host-1"), host_of("host-2")]
    results = await asyncio.gather(
        *(host.submit(runner, ORDER) for host in hosts for _ in range(3))
    )
    assert {result.status for result in results} == {OrderStatus.ACCEPTED}
    numbers = [order["fencing"] for order in engine.state.orders]
    assert numbers == sorted(numbers) and len(set(numbers)) == 2


@pytest.mark.parametrize(("checks_fencing", "waits"), [(True, 0.0), (False, 12.0)])
async def test_unknown_outcome_before_the_next_order(
    platform, engine_of, host_of, clock, checks_fencing, waits
):
    """Guards against an order sent while a delayed earlier one may still arrive."""
    engine, runner = await engine_of(checks_fencing)
    host = host_of("host-1")
    engine.faults.lose_order_answers = 1
    before = clock()
    first, second = await asyncio.gather(
        host.submit(runner, ORDER), host.submit(runner, ORDER)
    )
    assert (first.status, second.status) == (OrderStatus.UNKNOWN, OrderStatus.ACCEPTED)
    assert [order["fencing"] for order in engine.state.orders] == [1, 2]
    assert clock() - before >= waits


async def test_concurrent_loads_are_limited_in_the_fleet(
    engine_of, host_of, eventually
):
    """Guards against more concurrent loads than the weight store can serve."""
    engines = [await engine_of(True, f"runner-{n}") for n in range(6)]

    async def pause(_: float) -> None:
        # The clock does not advance: leases are not renewed here and must not expire.
        await asyncio.sleep(0.001)

    hosts = [host_of(f"host-{n}", load_slots=2, pause=pause) for n in range(2)]
    for engine, _ in engines:
        engine.settings.load_seconds = 0.05
    most = 0

    async def observe() -> None:
        nonlocal most
        while True:
            most = max(most, sum(engine.state.loading for engine, _ in engines))
            await asyncio.sleep(0)

    observer = asyncio.create_task(observe())
    results = await asyncio.gather(
        *(
            hosts[n % 2].submit(runner, Order("load_model", "dent"))
            for n, (_, runner) in enumerate(engines)
        )
    )
    await eventually(lambda: all("dent" in e.settings.models for e, _ in engines))
    observer.cancel()
    assert {result.status for result in results} == {OrderStatus.ACCEPTED}
    assert 1 <= most <= 2


async def test_unknown_load_keeps_its_slot(platform, engine_of, host_of, eventually):
    """Guards against a load slot released while a load may still be running."""
    engine, runner = await engine_of(True)
    engine.faults.lose_order_answers = 1
    host = host_of("host-1", load_slots=1)
    result = await host.submit(runner, Order("load_model", "dent"))
    assert result.status is OrderStatus.UNKNOWN
    await eventually(lambda: not host.queue_tasks)
    assert leases(platform)["load-slot-0"]["holder"] == "host-1"
    assert "dent" in await host.loaded_models(runner)


async def test_orders_are_refused_during_an_outage_of_the_platform(
    platform, engine_of, host_of
):
    """Guards against orders without a lease during an outage."""
    engine, runner = await engine_of(True)
    platform.faults.down = True
    result = await host_of("host-1").submit(runner, ORDER)
    assert (result.status, result.code) == (
        OrderStatus.NOT_SENT,
        ResultCode.PLATFORM_UNAVAILABLE,
    )
    assert not engine.state.orders


async def test_cancellation_while_an_order_is_in_flight(
    platform, engine_of, host_of, eventually
):
    """Guards against a shutdown that reports a sent order as not sent, or releases its
    lease."""
    engine, runner = await engine_of(False)
    engine.faults.hang_orders = True
    host = host_of("host-1")
    sent = asyncio.create_task(host.submit(runner, ORDER))
    await eventually(lambda: engine.state.orders)
    host.queue_tasks[runner.name].cancel()
    assert (await sent).status is OrderStatus.UNKNOWN
    await eventually(lambda: not host.queue_tasks)
    assert leases(platform)["orders-runner-1"]["holder"] == "host-1"
