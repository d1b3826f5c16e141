"""Orders to engines and what became of them."""

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

    :param order: what to do, for example ``load_model``
    :param model: model that the order is about
    """

    order: str
    model: str


@dataclass(frozen=True)
class OrderTarget:
    """Receiver of orders.

    :param name: name of the runner
    :param address: IP number and port
    :param checks_fencing: whether it refuses old fencing numbers, from its pool
    """

    name: RunnerName
    address: str
    checks_fencing: bool


class OrderStatus(Enum):
    """What became of an order."""

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
    """What became of an order, and why.

    :param status: what became of it
    :param code: result code
    :param message: one plain sentence
    """

    status: OrderStatus
    code: ResultCode = ResultCode.OK
    message: str = ""

    @property
    def outcome(self) -> Outcome:
        """Whether the engine carried the order out."""
        return OUTCOMES[self.status]


class LeaseUse(Enum):
    """What a giver does with the runner's lease after an order."""

    KEEP = "keep"
    RELEASE = "release"
    ABANDON = "abandon"


@dataclass(frozen=True)
class OrderTimes:
    """Times of orders, in seconds.

    :param arrival: longest time from sending an order to its arrival; also the
        time after which a missing answer is given up on
    :param runner_lease: times of the lease on a runner
    :param slot_lease: times of a load slot, which outlasts short outages
    :param poll: time between two looks at a lease held by another, or at a load
    :param wait: longest wait for the runner's lease or for a load slot
    :param load: longest time that a load keeps its slot
    """

    arrival: float = 2.0
    runner_lease: LeaseTimes = LeaseTimes(duration=10.0, renew=3.0, margin=1.0)
    slot_lease: LeaseTimes = LeaseTimes(duration=60.0, renew=15.0, margin=6.0)
    poll: float = 1.0
    wait: float = 120.0
    load: float = 600.0
