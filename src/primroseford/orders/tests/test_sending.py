from __future__ import annotations

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from primroseford.errors import Outcome
from primroseford.errors import ResultCode
from primroseford.ids import FencingNumber
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.ids import RunnerName
from primroseford.ids import Version
from primroseford.lease.decisions import Wait
from primroseford.lease.decisions import decide_acquire
from primroseford.lease.decisions import valid_until
from primroseford.lease.state import Lease
from primroseford.lease.state import LeaseRecord
from primroseford.lease.state import ObservedVersion
from primroseford.orders.decisions import effect_delay
from primroseford.orders.decisions import may_send
from primroseford.orders.sending import create_order_sender
from primroseford.orders.state import Order
from primroseford.orders.state import OrderStatus
from primroseford.orders.state import OrderTarget
from primroseford.orders.state import OrderTimes

ORDER = Order("set_role", "van-round")
TIMES = OrderTimes()


async def send_order_directly(session, runner, fencing: int) -> int:
    """Deliver an order of a former holder, as if it had been delayed in the network."""
    body = {"order": "set_role", "model": "late", "fencing": fencing}
    async with session.post(f"http://{runner.address}/v1/orders", json=body) as answer:
        return answer.status


async def test_old_holders_order_is_refused_by_fencing(
    engine_of, create_keeper, session, clock
):
    """Guards against an old holder's order executed after one of the new holder."""
    engine, runner = await engine_of(True)
    send_order = create_order_sender(session, clock)
    first, second = create_keeper("host-1"), create_keeper("host-2")
    old = await first.acquire("orders-runner-1", times=TIMES.runner_lease)
    assert (await send_order(runner, ORDER, old)).status is OrderStatus.ACCEPTED
    assert await second.acquire("orders-runner-1") is None
    clock.advance(10.1)
    new = await second.acquire("orders-runner-1", times=TIMES.runner_lease)
    assert (await send_order(runner, ORDER, new)).status is OrderStatus.ACCEPTED
    assert await send_order_directly(session, runner, old.fencing) == 409
    assert [order["fencing"] for order in engine.state.orders] == [1, 2]


@given(
    checked=st.floats(0, 20),
    delay=st.floats(0, TIMES.delivery_timeout),
    seen=st.floats(0, 5),
)
def test_late_order_arrives_before_a_new_holder_if_fencing_is_ignored(
    checked, delay, seen
):
    """Guards against an old order that arrives after the first of a new holder."""
    runner = OrderTarget(RunnerName("runner-1"), "", False)
    record = LeaseRecord(HostId("a"), Incarnation("1"), FencingNumber(1), 10_000)
    until = valid_until(0.0, TIMES.runner_lease)
    lease = Lease("l", record, Version(1), until, TIMES.runner_lease)
    if not may_send(runner, lease, checked, TIMES):
        return
    decision = decide_acquire(
        HostId("b"),
        Incarnation("1"),
        record,
        ObservedVersion(Version(1), seen),
        checked + delay,
        TIMES.runner_lease,
        effect_delay(runner, TIMES),
    )
    assert isinstance(decision, Wait)


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_pause_between_check_and_effect(
    engine_of, create_keeper, clock, checks_fencing
):
    """Guards against an order sent after a pause past the end of the lease."""
    engine, runner = await engine_of(checks_fencing)
    lease = await create_keeper("host-1").acquire("a", times=TIMES.runner_lease)
    trace = aiohttp.TraceConfig()

    async def pause(*_) -> None:
        clock.advance(10.0)

    trace.on_connection_create_end.append(pause)
    async with aiohttp.ClientSession(trace_configs=[trace]) as session:
        result = await create_order_sender(session, clock)(runner, ORDER, lease)
    assert (result.status, result.code) == (
        OrderStatus.NOT_SENT,
        ResultCode.LEASE_LOST,
    )
    assert not engine.state.orders


@pytest.mark.parametrize(("checks_fencing", "sent"), [(True, True), (False, False)])
async def test_order_requires_time_for_its_delivery(
    engine_of, create_keeper, session, clock, checks_fencing, sent
):
    """Guards against an order that may arrive after the lease has expired."""
    engine, runner = await engine_of(checks_fencing)
    lease = await create_keeper("host-1").acquire("a", times=TIMES.runner_lease)
    clock.advance(7.5)
    await create_order_sender(session, clock)(runner, ORDER, lease)
    assert bool(engine.state.orders) is sent


async def test_lost_answer_is_unknown_and_not_repeated(
    engine_of, create_keeper, session, clock
):
    """Guards against a lost response reported as failure, or an order sent twice."""
    engine, runner = await engine_of(True)
    lease = await create_keeper("host-1").acquire("a", times=TIMES.runner_lease)
    engine.faults.lose_order_answers = 1
    result = await create_order_sender(session, clock)(runner, ORDER, lease)
    assert result.status is OrderStatus.UNKNOWN
    assert result.outcome is Outcome.MAY_HAVE_RUN
    assert len(engine.state.orders) == 1


async def test_refused_connection_is_not_sent(create_keeper, session, clock):
    """Guards against an unknown outcome of an order that was never sent."""
    runner = OrderTarget(RunnerName("runner-1"), "127.0.0.1:1", True)
    lease = await create_keeper("host-1").acquire("a", times=TIMES.runner_lease)
    result = await create_order_sender(session, clock)(runner, ORDER, lease)
    assert (result.status, result.code) == (
        OrderStatus.NOT_SENT,
        ResultCode.RUNNER_UNREACHABLE,
    )
