"""Pure decisions about sending orders under a lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.orders.state import LeaseAction
from primroseford.orders.state import OrderStatus

if TYPE_CHECKING:
    from primroseford.lease.state import Lease
    from primroseford.orders.state import OrderTarget
    from primroseford.orders.state import OrderTimes


def may_send(runner: OrderTarget, lease: Lease, now: float, times: OrderTimes) -> bool:
    """Return whether an order may be sent now.

    A runner that ignores fencing numbers must receive the order before the lease
    expires, so the remaining validity must exceed the delivery timeout.
    """
    required = 0.0 if runner.checks_fencing else times.delivery_timeout
    return lease.valid(now) and lease.remaining(now) > required


def effect_delay(runner: OrderTarget, times: OrderTimes) -> float:
    """Return the seconds for which a new holder must wait after the old lease."""
    return 0.0 if runner.checks_fencing else times.delivery_timeout


def lease_action_after(status: OrderStatus, runner: OrderTarget) -> LeaseAction:
    """Return what to do with the lease after an order.

    An order with an unknown outcome may still arrive. A runner that checks fencing
    numbers refuses it once a holder with the next number has sent an order. For a
    runner that ignores them the lease is left to expire, and the next holder also
    waits for the delivery timeout.
    """
    if status is OrderStatus.FENCED:
        return LeaseAction.ABANDON
    if status is OrderStatus.UNKNOWN:
        return LeaseAction.RELEASE if runner.checks_fencing else LeaseAction.ABANDON
    return LeaseAction.KEEP
