"""Orders to engines and their results."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primroseford.errors import Outcome
from primroseford.errors import ResultCode
from primroseford.lease.state import LeaseTimes

if TYPE_CHECKING:
    from primroseford.ids import RunnerName

LOAD_MODEL = "load_model"


@dataclass(frozen=True)
class Order:
    """One order to an engine.

    :param order: kind of order, for example ``load_model``
    :param model: model that the order is about
    """

    order: str
    model: str


@dataclass(frozen=True)
class OrderTarget:
    """Runner whose engine an order is sent to.

    :param name: name of the runner
    :param address: IP address and port
    :param checks_fencing: whether it refuses orders with an old fencing number, as
        set for its pool
    """

    name: RunnerName
    address: str
    checks_fencing: bool


class OrderStatus(Enum):
    """Result of sending an order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    FENCED = "fenced"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


OUTCOMES = {
    OrderStatus.ACCEPTED: Outcome.RAN,
    OrderStatus.REFUSED: Outcome.NOT_RUN,
    OrderStatus.FENCED: Outcome.NOT_RUN,
    OrderStatus.NOT_SENT: Outcome.NOT_RUN,
    OrderStatus.UNKNOWN: Outcome.MAY_HAVE_RUN,
}


@dataclass(frozen=True)
class OrderResult:
    """Result of an order with its reason.

    :param status: result of sending the order
    :param code: result code
    :param message: reason in one sentence
    """

    status: OrderStatus
    code: ResultCode = ResultCode.OK
    message: str = ""

    @property
    def outcome(self) -> Outcome:
        """Whether the engine has executed the order."""
        return OUTCOMES[self.status]


class LeaseAction(Enum):
    """What a host does with the runner's lease after an order."""

    KEEP = "keep"
    RELEASE = "release"
    ABANDON = "abandon"


@dataclass(frozen=True)
class OrderTimes:
    """Times of orders, in seconds.

    :param delivery_timeout: longest time from sending an order to its arrival; also
        the timeout of the response
    :param runner_lease: times of the lease on a runner
    :param slot_lease: times of the lease on a load slot, long enough to survive short
        outages
    :param poll_interval: time between attempts to acquire a lease, and between checks
        of a load
    :param lease_wait: longest wait for the runner's lease or for a load slot
    :param load_timeout: longest time for which a load keeps its slot
    """

    delivery_timeout: float = 2.0
    runner_lease: LeaseTimes = LeaseTimes(duration=10.0, renew=3.0, margin=1.0)
    slot_lease: LeaseTimes = LeaseTimes(duration=60.0, renew=15.0, margin=6.0)
    poll_interval: float = 1.0
    lease_wait: float = 120.0
    load_timeout: float = 600.0
