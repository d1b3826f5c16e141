"""Pure decisions about giving orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.orders.state import LeaseUse
from primroseford.orders.state import OrderStatus

if TYPE_CHECKING:
    from primroseford.lease.state import Lease
    from primroseford.orders.state import OrderTarget
    from primroseford.orders.state import OrderTimes


def may_give(runner: OrderTarget, lease: Lease, now: float, times: OrderTimes) -> bool:
    """Return whether an order may leave the host now.

    A runner that ignores fencing numbers must get the order before the lease ends,
    so more time than an order needs to arrive must be left.
    """
    needed = 0.0 if runner.checks_fencing else times.arrival
    return lease.valid(now) and lease.remaining(now) > needed


def wait_out(runner: OrderTarget, times: OrderTimes) -> float:
    """Return the seconds for which a new holder waits beyond the old lease."""
    return 0.0 if runner.checks_fencing else times.arrival


def use_after(status: OrderStatus, runner: OrderTarget) -> LeaseUse:
    """Return what becomes of the lease after an order.

    An order of unknown outcome can still arrive. A runner that checks fencing
    numbers refuses it once a holder with the next number has given an order. For a
    runner that ignores them the lease lapses, and the next holder waits it out.
    """
    if status is OrderStatus.FENCED:
        return LeaseUse.ABANDON
    if status is OrderStatus.UNKNOWN:
        return LeaseUse.RELEASE if runner.checks_fencing else LeaseUse.ABANDON
    return LeaseUse.KEEP
