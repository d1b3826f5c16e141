"""Tests of token buckets, orders and operators' edits under pairs of failures."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from primroseford.configuration.apply import StepResult
from primroseford.configuration.apply import apply_plan
from primroseford.configuration.apply import plan_changes
from primroseford.configuration.apply import read_platform
from primroseford.configuration.check import read_tables
from primroseford.configuration.tests.fakes import FakeMembership
from primroseford.configuration.tests.fakes import FakeNetwork
from primroseford.configuration.tests.fakes import host_info
from primroseford.errors import PrimrosefordError
from primroseford.ids import RunnerName
from primroseford.limits import service
from primroseford.limits.bucket import Limit
from primroseford.limits.service import create_limiter
from primroseford.limits.tests.test_protocol import excess
from primroseford.orders.sending import create_order_sender
from primroseford.orders.service import create_order_service
from primroseford.orders.state import Order
from primroseford.orders.state import OrderStatus
from primroseford.orders.state import OrderTarget
from primroseford.orders.state import OrderTimes
from primroseford.platform.objects import decode_object
from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.engine_state import EngineSettings
from primroseford.standins.serving import serve

LIMIT = Limit(rate=40.0, burst=20.0)
STEP_SECONDS = 0.05
RECONCILE_STEPS = 5
READ_SECONDS = 1e-4
ORGANISATION = {"kind": "Organisation", "name": "caroni", "rate": 5, "burst": 5}


class Buckets:
    """Limiters of three hosts with one manual clock; their periodic tasks do not run.

    Their short waits between requests take real time, so the fixture shortens them.
    """

    def __init__(self, clock, create_keeper) -> None:
        self.clock = clock
        self.network = FakeNetwork()
        infos = [host_info(name, "d0") for name in "abc"]
        self.membership = FakeMembership(infos)
        self.keepers = {name: create_keeper(name) for name in "abc"}
        self.limiters = {
            info.host_id: create_limiter(
                info,
                self.membership,
                self.network.peer(info.host_id),
                self.keepers[info.host_id],
                lambda organisation: LIMIT,
                self.tick,
                groups=1,
                floor_hosts=3,
            )
            for info in infos
        }
        self.running = set(self.limiters)
        self.steps = 0
        self.spent: list[tuple[float, int]] = []
        self.request_tasks: set[asyncio.Task] = set()

    def tick(self) -> float:
        """Return the time and advance it, or an owner's own requests would not end."""
        self.clock.advance(READ_SECONDS)
        return self.clock()

    def owners(self) -> list[str]:
        """Return the running hosts that own the group."""
        return [name for name in self.running if self.limiters[name].owns(0)]

    async def spend_token(self, name: str) -> None:
        """Acquire one token through a host and record it if that succeeds."""
        try:
            await self.limiters[name].acquire("depot", 1, self.clock() + 1.0)
        except PrimrosefordError:
            return
        self.spent.append((self.clock(), 1))

    def start_request(self, name: str) -> None:
        """Start a task that acquires one token."""
        task = asyncio.ensure_future(self.spend_token(name))
        self.request_tasks.add(task)
        task.add_done_callback(self.request_tasks.discard)

    async def until(self, condition, seconds: float = 40.0) -> None:
        """Run the hosts until a condition holds; each requests more than its share."""
        end = self.clock() + seconds
        while not condition():
            assert self.clock() < end, "the condition did not become true"
            self.clock.advance(STEP_SECONDS)
            self.steps += 1
            for name in list(self.running):
                self.keepers[name].start_due_renewals()
                if self.steps % RECONCILE_STEPS == 0:
                    await self.limiters[name].ownership.reconcile()
                self.start_request(name)
            await asyncio.sleep(0.004)

    async def run(self, seconds: float) -> None:
        """Run the hosts for a time."""
        end = self.clock() + seconds
        await self.until(lambda: self.clock() >= end, seconds + 1.0)

    def pause(self, name: str) -> None:
        """Pause a host; without :meth:`resume` it is lost."""
        self.running.discard(name)
        self.network.unreachable.add(name)

    def resume(self, name: str) -> None:
        """Resume a paused host, which has not noticed the time that has passed."""
        self.network.unreachable.discard(name)
        for _ in range(30):
            self.start_request(name)
        self.running.add(name)

    async def close(self) -> None:
        """Cancel all tasks."""
        tasks = [group.task for m in self.limiters.values() for group in m.groups]
        tasks = [task for task in tasks if task is not None] + list(self.request_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@pytest.fixture
async def buckets(clock, create_keeper, monkeypatch):
    """Return the limiters of three hosts."""
    monkeypatch.setattr(service, "TICK_SECONDS", 0.001)
    monkeypatch.setattr(service, "RETRY_SECONDS", 0.002)
    created = Buckets(clock, create_keeper)
    yield created
    await created.close()


@pytest.mark.parametrize("resumes", ["before", "after"])
async def test_owner_paused_while_its_successor_is_lost(buckets, resumes):
    """Guards against admissions above the limit, or none, over two takeovers.

    The owner of a bucket is paused, its successor is lost, and the owner resumes before
    or after the second takeover.
    """
    await buckets.until(buckets.owners)
    (paused,) = buckets.owners()
    await buckets.run(2.0)
    buckets.pause(paused)
    await buckets.until(buckets.owners)
    (lost,) = buckets.owners()
    await buckets.run(0.5)
    buckets.pause(lost)
    if resumes == "before":
        buckets.resume(paused)
    await buckets.until(buckets.owners)
    assert lost not in buckets.owners()
    if resumes == "after":
        buckets.resume(paused)
    buckets.membership.remove(lost)
    await buckets.run(8.0)
    since = buckets.clock() - 4.0
    recovered = sum(amount for at, amount in buckets.spent if at >= since)
    assert len(buckets.owners()) == 1
    assert excess(buckets.spent, LIMIT.rate, LIMIT.burst) <= 1e-6
    assert recovered >= 0.5 * LIMIT.rate * 4.0 * 2 / 3


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_paused_order_sender_resumes_after_its_successors_order(
    session, create_keeper, clock, checks_fencing
):
    """Guards against an outdated order that an engine executes after a newer one.

    The sender of orders is paused and resumes after its successor has sent an order.
    """
    engine = create_engine_stand_in(EngineSettings(checks_fencing=checks_fencing))
    served = await serve(create_engine_application(engine))
    address = served.url.removeprefix("http://")
    runner = OrderTarget(RunnerName("runner-1"), address, checks_fencing)
    first, times = create_keeper("a"), OrderTimes()
    lease = await first.acquire("orders-runner-1", times=times.runner_lease)

    async def pause(seconds: float) -> None:
        clock.advance(seconds)

    successor = create_order_service(
        create_keeper("b"), session, clock=clock, pause=pause
    )
    sent_orders = []

    async def submit_successor_order(*_) -> None:
        sent_orders.append(await successor.submit(runner, Order("set_role", "new")))

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(submit_successor_order)
    async with aiohttp.ClientSession(trace_configs=[trace]) as slow:
        send_order = create_order_sender(slow, clock)
        late = await send_order(runner, Order("set_role", "old"), lease)
    assert [result.status for result in sent_orders] == [OrderStatus.ACCEPTED]
    assert late.status is OrderStatus.NOT_SENT
    assert [order["model"] for order in engine.state.orders] == ["new"]
    await successor.on_stop()
    await served.stop()


async def edit(client, rate: int):
    """Edit the organisation's rate as the ``apply`` command does."""
    current = await read_platform(client)
    steps = plan_changes(read_tables([ORGANISATION | {"rate": rate}]), current)
    return (await apply_plan(client, steps, current))[0]


@pytest.mark.parametrize(
    ("fault", "result"),
    [
        ("lose_write_answers", StepResult.LOST_RACE),
        ("lose_writes", StepResult.LOST_RACE),
        ("", StepResult.DONE),
    ],
)
async def test_concurrent_edits_while_a_response_is_lost(
    platform, client, session, fault, result
):
    """Guards against an edit that overwrites a concurrent one.

    The response to the first write is lost, so that it is repeated.
    """
    await edit(client, 5)
    # aiohttp repeats a PUT after a connection error, which hides the lost response.
    session._retry_connection = False
    if fault:
        setattr(platform.faults, fault, 1)
    raced, store = [], platform.state.update

    def update(kind, item):
        """Store an edit and, directly before or after it, another operator's edit."""
        other = {"metadata": dict(item["metadata"]), "spec": {"rate": 7, "burst": 5}}
        if fault == "lose_writes" and not raced:
            raced.append(store(kind, other))
        stored = store(kind, item)
        if fault == "lose_write_answers" and not raced:
            other["metadata"] = dict(stored["metadata"])
            raced.append(store(kind, other))
        return stored

    platform.state.update = update
    mine = await edit(client, 9)
    assert mine.result is result
    found = platform.state.get("organisations", "caroni")
    stored = decode_object("organisations", found).spec
    assert stored["rate"] == (7 if fault else 9)
    if fault:
        assert len(raced) == 1 and platform.faults == type(platform.faults)()
        assert [change.new for change in mine.theirs] == [7]
