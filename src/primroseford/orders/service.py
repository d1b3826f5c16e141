"""Sends the orders of a host, one at a time per runner, with few concurrent loads."""

from __future__ import annotations

import asyncio
import json
import random
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import structlog
from mode import Service

from primroseford.bounded_http import read_limited
from primroseford.clock import boottime
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.metrics import Metrics
from primroseford.orders.decisions import effect_delay
from primroseford.orders.decisions import lease_action_after
from primroseford.orders.sending import create_order_sender
from primroseford.orders.state import LOAD_MODEL
from primroseford.orders.state import LeaseAction
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
    from primroseford.orders.sending import SendOrder
    from primroseford.orders.state import Order
    from primroseford.orders.state import OrderTarget

    Sleep = Callable[[float], Awaitable[None]]

LOAD_SLOTS = 4
"""Concurrent loads of model weights in the fleet; the weight store limits the rate."""
MAX_QUEUED_ORDERS = 100
"""Longest queue of orders for one runner; further orders are refused."""
MAX_MODELS_BYTES = 1024 * 1024
"""Longest list of the models of an engine."""

INTERRUPTED = OrderResult(
    OrderStatus.UNKNOWN,
    ResultCode.HOST_STOPPING,
    "the host stopped before the response to the order arrived",
)

log = structlog.get_logger()


@dataclass
class PendingOrder:
    """A queued order.

    :param runner: runner to send it to
    :param order: the order
    :param result: future that receives the result
    """

    runner: OrderTarget
    order: Order
    result: asyncio.Future[OrderResult]


class OrderService(Service):
    """Queues and sends the orders of one host.

    :param keeper: leases of the host
    :param send_order: sends one order
    :param session: HTTP session for requests to engines
    :param clock: local clock
    :param times: times of orders
    :param load_slots: concurrent weight loads in the fleet, equal on every host
    :param metrics: registry of the counter of results
    :param pause: sleeps between polls
    """

    def __init__(
        self,
        keeper: LeaseKeeper,
        send_order: SendOrder,
        session: aiohttp.ClientSession,
        clock: Clock,
        times: OrderTimes,
        load_slots: int,
        metrics: Metrics,
        pause: Sleep,
    ) -> None:
        super().__init__()
        self.keeper = keeper
        self.send_order = send_order
        self.session = session
        self.clock = clock
        self.times = times
        self.load_slots = load_slots
        self.results = metrics.counter(
            "orders", "Orders to engines by result.", ("status", "code")
        )
        self.pause = pause
        self.queues: dict[RunnerName, deque[PendingOrder]] = {}
        self.queue_tasks: dict[RunnerName, asyncio.Task[None]] = {}

    async def submit(self, runner: OrderTarget, order: Order) -> OrderResult:
        """Queue an order and wait for its result.

        :param runner: runner to send it to
        :param order: the order
        :returns: the result; an order whose response was lost is ``UNKNOWN`` and is
            not retried
        """
        queue = self.queues.setdefault(runner.name, deque())
        if self.should_stop or len(queue) >= MAX_QUEUED_ORDERS:
            stopping = ResultCode.HOST_STOPPING
            code = stopping if self.should_stop else ResultCode.QUEUE_FULL
            return self._count(_not_sent(code, "the host accepts no more orders"))
        result = asyncio.get_running_loop().create_future()
        queue.append(PendingOrder(runner, order, result))
        if runner.name not in self.queue_tasks:
            task = asyncio.ensure_future(self._process_queue(runner.name, queue))
            self.queue_tasks[runner.name] = task
        return self._count(await result)

    async def on_stop(self) -> None:
        """Refuse the queued orders and wait for those in flight."""
        for queue in self.queues.values():
            _refuse_all(queue, ResultCode.HOST_STOPPING, "the host is stopping")
        if self.queue_tasks:
            await asyncio.wait(
                list(self.queue_tasks.values()), timeout=self.times.delivery_timeout
            )
        for task in list(self.queue_tasks.values()):
            task.cancel()

    async def _process_queue(
        self, name: RunnerName, queue: deque[PendingOrder]
    ) -> None:
        """Send the queued orders of one runner, holding its lease only meanwhile."""
        lease: Lease | None = None
        try:
            while queue:
                lease = await self._acquire_runner_lease(queue[0].runner, lease)
                if not queue:
                    break
                lease = await self._send_next(queue.popleft(), lease)
        except PrimrosefordError as error:
            _refuse_all(queue, error.code, error.message)
        except BaseException:
            log.exception("sending of orders failed", runner=name)
            _refuse_all(queue, ResultCode.INTERNAL, "sending the order failed")
            raise
        finally:
            del self.queue_tasks[name]
            self.queues.pop(name, None)
            if lease is not None:
                await self.keeper.release(lease)

    async def _send_next(self, item: PendingOrder, lease: Lease) -> Lease | None:
        slot = None
        result = _not_sent(ResultCode.INTERNAL, "sending the order failed")
        try:
            if item.order.order == LOAD_MODEL:
                slot = await self._acquire_load_slot()
            result = INTERRUPTED
            result = await self.send_order(item.runner, item.order, lease)
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
            await self._end_load_slot(slot, result)
        action = lease_action_after(result.status, item.runner)
        if action is LeaseAction.KEEP:
            return lease
        if action is LeaseAction.RELEASE:
            await self.keeper.release(lease)
        else:
            self.keeper.abandon(lease)
        return None

    async def _acquire_runner_lease(
        self, runner: OrderTarget, lease: Lease | None
    ) -> Lease:
        if lease is not None and lease.valid(self.clock()):
            return lease
        if lease is not None:
            self.keeper.abandon(lease)
        delay = effect_delay(runner, self.times)
        names = [f"orders-{runner.name}"]
        return await self._wait_for_lease(names, delay, self.times.runner_lease)

    async def _acquire_load_slot(self) -> Lease:
        numbers = list(range(self.load_slots))
        random.shuffle(numbers)
        names = [f"load-slot-{number}" for number in numbers]
        return await self._wait_for_lease(names, 0.0, self.times.slot_lease)

    async def _wait_for_lease(
        self, names: list[str], delay: float, times: LeaseTimes
    ) -> Lease:
        deadline = self.clock() + self.times.lease_wait
        while True:
            for name in names:
                lease = await self.keeper.acquire(name, effect_delay=delay, times=times)
                if lease is not None:
                    return lease
            if self.should_stop or self.clock() >= deadline:
                raise PrimrosefordError(
                    ResultCode.DEADLINE_UNREACHABLE,
                    f"{names[0].rsplit('-', 1)[0]} leases are held by other hosts",
                )
            await self.pause(self.times.poll_interval)

    async def _end_load_slot(self, slot: Lease | None, result: OrderResult) -> None:
        if slot is None:
            return
        if result.status is OrderStatus.UNKNOWN:
            # The load may be running: keep the slot occupied until its lease expires.
            self.keeper.abandon(slot)
        else:
            await self.keeper.release(slot)

    async def _wait_loaded(self, item: PendingOrder) -> None:
        """Wait until the engine serves the model, meanwhile keeping the load slot."""
        if not item.result.done():
            item.result.set_result(OrderResult(OrderStatus.ACCEPTED))
        deadline = self.clock() + self.times.load_timeout
        while self.clock() < deadline and not self.should_stop:
            models = await self.loaded_models(item.runner)
            if models is not None and item.order.model in models:
                return
            await self.pause(self.times.poll_interval)

    async def loaded_models(self, runner: OrderTarget) -> set[str] | None:
        """Return the models that an engine serves, or ``None`` if the request fails.

        Shows whether an order with an unknown outcome was executed.
        """
        timeout = aiohttp.ClientTimeout(total=self.times.delivery_timeout)
        url = f"http://{runner.address}/v1/models"
        try:
            async with self.session.get(url, timeout=timeout) as response:
                if response.status != 200:
                    return None
                content = await read_limited(response, MAX_MODELS_BYTES)
                return {model["id"] for model in json.loads(content)["data"]}
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
    """Return a service that sends the orders of a host.

    :param keeper: leases of the host
    :param session: HTTP session, owned by the caller
    :param clock: local clock
    :param times: times of orders
    :param load_slots: concurrent weight loads in the fleet, equal on every host
    :param metrics: registry of the counter of results
    :param pause: sleeps between polls
    """
    order_times = times or OrderTimes()
    send_order = create_order_sender(session, clock, order_times)
    return OrderService(
        keeper,
        send_order,
        session,
        clock,
        order_times,
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
