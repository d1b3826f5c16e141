"""Service that gives a host's orders: one giver a runner, few loads at a time."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import structlog
from mode import Service

from primroseford.clock import boottime
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.metrics import Metrics
from primroseford.orders.decisions import use_after
from primroseford.orders.decisions import wait_out
from primroseford.orders.sending import create_order_sender
from primroseford.orders.state import LOAD_MODEL
from primroseford.orders.state import LeaseUse
from primroseford.orders.state import OrderResult
from primroseford.orders.state import OrderStatus
from primroseford.orders.state import OrderTimes

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from primroseford.clock import Clock
    from primroseford.ids import RunnerName
    from primroseford.lease.keeper import LeaseKeeper
    from primroseford.lease.state import Lease
    from primroseford.lease.state import LeaseTimes
    from primroseford.orders.sending import GiveOrder
    from primroseford.orders.state import Order
    from primroseford.orders.state import OrderTarget

    Sleep = Callable[[float], Awaitable[None]]

LOAD_SLOTS = 4
"""Weight loads over the fleet at a time, for a rate-limited weight store."""
MAX_PENDING = 100
"""Orders that may wait for one runner; more are refused."""

INTERRUPTED = OrderResult(
    OrderStatus.UNKNOWN,
    ResultCode.HOST_STOPPING,
    "the host stopped before the order's answer came",
)

log = structlog.get_logger()


@dataclass
class PendingOrder:
    """An order that waits for its turn.

    :param runner: receiver
    :param order: the order
    :param result: gets the result
    """

    runner: OrderTarget
    order: Order
    result: asyncio.Future[OrderResult]


class OrderService(Service):
    """Gives the orders of one host.

    :param keeper: leases of the host
    :param give_order: sends one order
    :param session: HTTP session for reads of an engine's state
    :param clock: local clock
    :param times: times of orders
    :param load_slots: weight loads over the fleet at a time, equal on every host
    :param metrics: where results are counted
    :param pause: waits between polls
    """

    def __init__(
        self,
        keeper: LeaseKeeper,
        give_order: GiveOrder,
        session: aiohttp.ClientSession,
        clock: Clock,
        times: OrderTimes,
        load_slots: int,
        metrics: Metrics,
        pause: Sleep,
    ) -> None:
        super().__init__()
        self.keeper = keeper
        self.give_order = give_order
        self.session = session
        self.clock = clock
        self.times = times
        self.load_slots = load_slots
        self.results = metrics.counter(
            "orders", "Orders to engines by result.", ("status", "code")
        )
        self.pause = pause
        self.pending: dict[RunnerName, deque[PendingOrder]] = {}
        self.givers: dict[RunnerName, asyncio.Task[None]] = {}

    async def submit(self, runner: OrderTarget, order: Order) -> OrderResult:
        """Give an order when its turn comes.

        :param runner: receiver
        :param order: the order
        :returns: what became of the order; an order whose answer was lost is
            ``UNKNOWN`` and is never sent again
        """
        queue = self.pending.setdefault(runner.name, deque())
        if self.should_stop or len(queue) >= MAX_PENDING:
            stopping = ResultCode.HOST_STOPPING
            code = stopping if self.should_stop else ResultCode.QUEUE_FULL
            return self._count(_not_sent(code, "the host takes no more orders"))
        result = asyncio.get_running_loop().create_future()
        queue.append(PendingOrder(runner, order, result))
        if runner.name not in self.givers:
            task = asyncio.ensure_future(self._serve(runner.name, queue))
            self.givers[runner.name] = task
        return self._count(await result)

    async def on_stop(self) -> None:
        """Refuse the orders that wait; one that was sent is awaited."""
        for queue in self.pending.values():
            _refuse_all(queue, ResultCode.HOST_STOPPING, "the host is stopping")
        if self.givers:
            await asyncio.wait(list(self.givers.values()), timeout=self.times.arrival)
        for task in list(self.givers.values()):
            task.cancel()

    async def _serve(self, name: RunnerName, queue: deque[PendingOrder]) -> None:
        """Give the orders of one runner; the lease is held only meanwhile."""
        lease: Lease | None = None
        try:
            while queue:
                lease = await self._hold_runner(queue[0].runner, lease)
                if not queue:
                    break
                lease = await self._give_next(queue.popleft(), lease)
        except PrimrosefordError as error:
            _refuse_all(queue, error.code, error.message)
        except BaseException:
            log.exception("orders not given", runner=name)
            _refuse_all(queue, ResultCode.INTERNAL, "the giver of orders failed")
            raise
        finally:
            del self.givers[name]
            self.pending.pop(name, None)
            if lease is not None:
                await self.keeper.release(lease)

    async def _give_next(self, item: PendingOrder, lease: Lease) -> Lease | None:
        slot = None
        result = _not_sent(ResultCode.INTERNAL, "the giver of orders failed")
        try:
            if item.order.order == LOAD_MODEL:
                slot = await self._hold_slot()
            result = INTERRUPTED
            result = await self.give_order(item.runner, item.order, lease)
            if slot is not None and result.status is OrderStatus.ACCEPTED:
                await self._wait_loaded(item)
        except PrimrosefordError as error:
            result = _not_sent(error.code, error.message)
        except BaseException:
            self.keeper.abandon(lease)
            raise
        finally:
            if not item.result.done():
                item.result.set_result(result)
            await self._finish_slot(slot, result)
        use = use_after(result.status, item.runner)
        if use is LeaseUse.KEEP:
            return lease
        if use is LeaseUse.RELEASE:
            await self.keeper.release(lease)
        else:
            self.keeper.abandon(lease)
        return None

    async def _hold_runner(self, runner: OrderTarget, lease: Lease | None) -> Lease:
        if lease is not None and lease.valid(self.clock()):
            return lease
        if lease is not None:
            self.keeper.abandon(lease)
        extra = wait_out(runner, self.times)
        names = [f"orders-{runner.name}"]
        return await self._wait_for_lease(names, extra, self.times.runner_lease)

    async def _hold_slot(self) -> Lease:
        numbers = list(range(self.load_slots))
        random.shuffle(numbers)
        names = [f"load-slot-{number}" for number in numbers]
        return await self._wait_for_lease(names, 0.0, self.times.slot_lease)

    async def _wait_for_lease(
        self, names: list[str], extra: float, times: LeaseTimes
    ) -> Lease:
        deadline = self.clock() + self.times.wait
        while True:
            for name in names:
                lease = await self.keeper.acquire(name, wait_out=extra, times=times)
                if lease is not None:
                    return lease
            if self.should_stop or self.clock() >= deadline:
                raise PrimrosefordError(
                    ResultCode.DEADLINE_UNREACHABLE,
                    f"{names[0].rsplit('-', 1)[0]} leases are held by other hosts",
                )
            await self.pause(self.times.poll)

    async def _finish_slot(self, slot: Lease | None, result: OrderResult) -> None:
        if slot is None:
            return
        if result.status is OrderStatus.UNKNOWN:
            # The load may be running, so the slot stays taken until it lapses.
            self.keeper.abandon(slot)
        else:
            await self.keeper.release(slot)

    async def _wait_loaded(self, item: PendingOrder) -> None:
        """Keep the slot until the engine serves the model."""
        if not item.result.done():
            item.result.set_result(OrderResult(OrderStatus.ACCEPTED))
        deadline = self.clock() + self.times.load
        while self.clock() < deadline and not self.should_stop:
            models = await self.loaded_models(item.runner)
            if models is not None and item.order.model in models:
                return
            await self.pause(self.times.poll)

    async def loaded_models(self, runner: OrderTarget) -> set[str] | None:
        """Return the models that an engine serves, or nothing if it cannot say.

        It tells what became of an order whose outcome is unknown.
        """
        timeout = aiohttp.ClientTimeout(total=self.times.arrival)
        url = f"http://{runner.address}/v1/models"
        try:
            async with self.session.get(url, timeout=timeout) as response:
                if response.status != 200:
                    return None
                return {model["id"] for model in (await response.json())["data"]}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError):
            return None

    def _count(self, result: OrderResult) -> OrderResult:
        self.results.labels(result.status.value, result.code.name).inc()
        return result


def create_order_service(
    keeper: LeaseKeeper,
    session: aiohttp.ClientSession,
    *,
    clock: Clock = boottime,
    times: OrderTimes | None = None,
    load_slots: int = LOAD_SLOTS,
    metrics: Metrics | None = None,
    pause: Sleep = asyncio.sleep,
) -> OrderService:
    """Return a service that gives a host's orders.

    :param keeper: leases of the host
    :param session: HTTP session, owned by the caller
    :param clock: local clock
    :param times: times of orders
    :param load_slots: weight loads over the fleet at a time, equal on every host
    :param metrics: where results are counted
    :param pause: waits between polls
    """
    used = times or OrderTimes()
    give_order = create_order_sender(session, clock, used)
    return OrderService(
        keeper,
        give_order,
        session,
        clock,
        used,
        load_slots,
        metrics or Metrics(),
        pause,
    )


def _not_sent(code: ResultCode, message: str) -> OrderResult:
    return OrderResult(OrderStatus.NOT_SENT, code, message)


def _refuse_all(queue: deque[PendingOrder], code: ResultCode, message: str) -> None:
    while queue:
        item = queue.popleft()
        if not item.result.done():
            item.result.set_result(_not_sent(code, message))
