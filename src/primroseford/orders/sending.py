"""Sends an order to a runner under a lease."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import aiohttp

from primroseford.clock import boottime
from primroseford.errors import ResultCode
from primroseford.orders.decisions import may_send
from primroseford.orders.state import OrderResult
from primroseford.orders.state import OrderStatus
from primroseford.orders.state import OrderTimes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from primroseford.clock import Clock
    from primroseford.lease.state import Lease
    from primroseford.orders.state import Order
    from primroseford.orders.state import OrderTarget

    SendOrder = Callable[[OrderTarget, Order, Lease], Awaitable[OrderResult]]

JSON_HEADERS = {"Content-Type": "application/json"}
NOT_PERMITTED = OrderResult(
    OrderStatus.NOT_SENT,
    ResultCode.LEASE_LOST,
    "the lease on the runner expired, or expires too soon, to send the order",
)


class SendingNotPermitted(Exception):
    """The lease has expired, or expires too soon, to send the order."""


def create_order_sender(
    session: aiohttp.ClientSession,
    clock: Clock = boottime,
    times: OrderTimes | None = None,
) -> SendOrder:
    """Return ``send_order(runner, order, lease)``, which sends an order without
    retries.

    :param session: HTTP session, owned by the caller
    :param clock: local clock of the leases
    :param times: times of orders
    """
    order_times = times or OrderTimes()
    timeout = aiohttp.ClientTimeout(total=order_times.delivery_timeout)

    async def send_order(
        runner: OrderTarget, order: Order, lease: Lease
    ) -> OrderResult:
        body = _encode(order, lease)

        async def checked_body() -> AsyncIterator[bytes]:
            # Runs after the connection has been established; there is no await between
            # this check and the write to the socket.
            if not may_send(runner, lease, clock(), order_times):
                raise SendingNotPermitted
            sent.append(True)
            yield body

        sent: list[bool] = []
        if not may_send(runner, lease, clock(), order_times):
            return NOT_PERMITTED
        try:
            async with session.post(
                f"http://{runner.address}/v1/orders",
                data=checked_body(),
                headers=JSON_HEADERS | {"Content-Length": str(len(body))},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return _result_of_status(runner, response.status)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _result_of_failure(error, bool(sent), lease, clock())

    return send_order


def _encode(order: Order, lease: Lease) -> bytes:
    body = {"order": order.order, "model": order.model, "fencing": lease.fencing}
    return json.dumps(body).encode()


def _result_of_status(runner: OrderTarget, status: int) -> OrderResult:
    if status < 300:
        return OrderResult(OrderStatus.ACCEPTED)
    message = f"the runner responded with HTTP status {status}"
    if status == 409 and runner.checks_fencing:
        return OrderResult(OrderStatus.FENCED, ResultCode.FENCED, message)
    if 400 <= status < 500:
        return OrderResult(OrderStatus.REFUSED, ResultCode.RUNNER_FAILED, message)
    return OrderResult(OrderStatus.UNKNOWN, ResultCode.RUNNER_FAILED, message)


def _result_of_failure(
    error: Exception, sent: bool, lease: Lease, now: float
) -> OrderResult:
    if sent:
        return OrderResult(
            OrderStatus.UNKNOWN,
            ResultCode.RUNNER_TIMEOUT,
            "the order was sent but the response was lost",
        )
    if isinstance(error, aiohttp.ClientConnectorError) and lease.valid(now):
        return OrderResult(
            OrderStatus.NOT_SENT,
            ResultCode.RUNNER_UNREACHABLE,
            "the connection to the runner could not be established",
        )
    return NOT_PERMITTED
