"""Leases as stored in the platform's service and as their holder sees them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import FencingNumber
from primroseford.ids import HostId
from primroseford.ids import Incarnation

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.ids import Version

KIND = "leases"
FREE = HostId("")
"""Holder of a released lease. The object stays, because it carries the fencing
number that the next holder must exceed."""


DURATION_SECONDS = 3.0
RENEW_SECONDS = 1.0
MARGIN_SECONDS = 0.3
"""A tenth of the duration. Clock rates differ by far less; the rest covers the time
between a holder's check and the moment its effect leaves the host."""


@dataclass(frozen=True)
class LeaseTimes:
    """Times of a lease, in seconds.

    :param duration: time after which an unchanged lease may be taken over
    :param renew: time between renewals
    :param margin: how much earlier the holder stops
    """

    duration: float = DURATION_SECONDS
    renew: float = RENEW_SECONDS
    margin: float = MARGIN_SECONDS


@dataclass(frozen=True)
class LeaseRecord:
    """Content of a lease object.

    :param holder: host that holds the lease, or ``FREE``
    :param incarnation: incarnation of the holder
    :param fencing: number that grows by one with each new holder
    :param duration_ms: time after which an unchanged lease may be taken over
    """

    holder: HostId
    incarnation: Incarnation
    fencing: FencingNumber
    duration_ms: int


class LossReason(Enum):
    """Why a lease is no longer held."""

    TAKEN = "taken"
    EXPIRED = "expired"
    RELEASED = "released"
    ABANDONED = "abandoned"


@dataclass(eq=False)
class Lease:
    """A lease that this host holds or held.

    Check ``valid`` at the point of effect, after the last await before it.

    :param name: name of the lease
    :param record: stored content
    :param version: version that the next renewal is conditional on
    :param valid_until: end of validity, in seconds of the local clock
    :param times: times that its renewals use
    :param on_loss: called once when the lease is taken or expires
    :param end_reason: why the lease ended, or nothing while it is held
    """

    name: str
    record: LeaseRecord
    version: Version
    valid_until: float
    times: LeaseTimes
    on_loss: Callable[[Lease], None] | None = None
    end_reason: LossReason | None = None

    @property
    def fencing(self) -> FencingNumber:
        """Number that receivers compare."""
        return self.record.fencing

    def remaining(self, now: float) -> float:
        """Return the seconds of validity that are left; 0 if none."""
        return 0.0 if self.end_reason else max(0.0, self.valid_until - now)

    def valid(self, now: float) -> bool:
        """Return whether the holder may act at a time of its local clock."""
        return self.remaining(now) > 0


@dataclass(frozen=True)
class Sighting:
    """The version of a lease that a waiting host saw last.

    :param version: the version
    :param first_seen: when it was seen first, in seconds of the local clock
    """

    version: Version
    first_seen: float


def decode_record(spec: dict[str, Any]) -> LeaseRecord:
    """Return the record in a lease object.

    :param spec: content of the object
    :raises PrimrosefordError: MALFORMED if a field is missing or of another type
    """
    try:
        return LeaseRecord(
            HostId(str(spec["holder"])),
            Incarnation(str(spec["incarnation"])),
            FencingNumber(int(spec["fencing"])),
            int(spec["duration_ms"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise PrimrosefordError(
            ResultCode.MALFORMED, f"a lease has a missing or wrong field: {error}"
        ) from error


def encode_record(record: LeaseRecord) -> dict[str, Any]:
    """Return the content of a lease object."""
    return {
        "holder": record.holder,
        "incarnation": record.incarnation,
        "fencing": record.fencing,
        "duration_ms": record.duration_ms,
    }
